package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Owns reports whether self is among the first count candidates for a subject,
// by rendezvous hashing: each candidate gets a pseudo-random weight for the
// subject, and the highest weights win. When a candidate goes, only its own
// subjects move. Processes that know different candidates choose differently
// for a while, so a choice may cost time or double work, never correctness.
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
