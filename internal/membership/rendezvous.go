package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Owns reports whether self is one of the count candidates that are responsible
// for a subject, by rendezvous hashing: each candidate gets a pseudo-random
// weight for the subject, and those with the highest weights are responsible.
// When a candidate goes away, only its own subjects move.
//
// Processes that know different candidates get different results for a while.
// Callers must tolerate that: it may cost time or cause double work, but must
// not make anything incorrect.
func Owns(self ident.Instance, candidates []ident.Instance, subject ident.Instance, count int) bool {
	own := rendezvousWeight(self, subject)
	better := 0
	for _, c := range candidates {
		if c == self {
			continue
		}
		w := rendezvousWeight(c, subject)
		if w > own || (w == own && c > self) {
			better++
		}
	}
	return better < count
}

func rendezvousWeight(candidate, subject ident.Instance) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(candidate))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(subject))
	return d.Sum64()
}
