package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// homeOrder is the order of upstreams for a shared part: by weights that all gateways
// work out alike. The one with the highest weight is the part's home.
type homeOrder struct {
	weights []uint64
	home    int
}

// homeOrderOf returns the order for the call's shared part, or nil if it shares none.
func (c *Chooser) homeOrderOf(call *forward.Call, all []directory.Upstream) *homeOrder {
	if call.Service.Engine == nil || len(call.Parts) < 2 {
		return nil
	}
	part := call.Parts[len(call.Parts)-2].ID
	l := &homeOrder{weights: make([]uint64, len(all)), home: -1}
	for i := range all {
		if all[i].State != directory.Ready {
			continue
		}
		l.weights[i] = rendezvous(part, all[i].Name)
		if l.home < 0 || l.weights[i] > l.weights[l.home] {
			l.home = i
		}
	}
	return l
}

// distanceFromFront is how far an upstream is from the front, from 0 to 1.
func (l *homeOrder) distanceFromFront(i int) float64 {
	return 1 - float64(l.weights[i])/float64(math.MaxUint64)
}

// rendezvous weighs an upstream for a part, by its name: an upstream that starts again
// is the home of the same parts as before, so that the others keep theirs.
func rendezvous(part uint64, name ident.Instance) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(part)
	// Writing to a digest never fails.
	_, _ = d.WriteString(string(name))
	return d.Sum64()
}

// sharedTokens are those of all parts but the last, which belongs to the call.
func sharedTokens(call *forward.Call) int {
	sum := 0
	for _, part := range call.Parts[:max(0, len(call.Parts)-1)] {
		sum += part.Tokens
	}
	return sum
}
