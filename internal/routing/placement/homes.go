package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// homeOrder orders a list of upstreams for a shared prompt part by weights that
// are the same at all gateways. The upstream with the highest weight is the
// part's home.
type homeOrder struct {
	// weights are by index in the list of upstreams; 0 for those that are not ready.
	weights []uint64
	// home is the index of the home, -1 if no upstream is ready.
	home int
}

// homeOrderOf returns the order for the last prompt part that the call shares with
// others, or nil if it shares none or the service has no engines.
func (c *Chooser) homeOrderOf(call *forward.Call, all []directory.Upstream) *homeOrder {
	if call.Service.Engine == nil || len(call.Parts) < 2 {
		return nil
	}
	part := call.Parts[len(call.Parts)-2].ID
	o := &homeOrder{weights: make([]uint64, len(all)), home: -1}
	for i := range all {
		if all[i].State != directory.Ready {
			continue
		}
		o.weights[i] = rendezvous(part, all[i].Name)
		if o.home < 0 || o.weights[i] > o.weights[o.home] {
			o.home = i
		}
	}
	return o
}

// distanceFromFront returns how far the i-th upstream is from the front of the
// order, from 0 to 1.
func (o *homeOrder) distanceFromFront(i int) float64 {
	return 1 - float64(o.weights[i])/float64(math.MaxUint64)
}

// rendezvous returns the weight of an upstream for a part. It depends on the
// upstream's name and not on its ID, so that an upstream that restarts is the home
// of the same parts as before and the other homes do not change.
func rendezvous(part uint64, name ident.Instance) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(part)
	// Writing to a digest never fails.
	_, _ = d.WriteString(string(name))
	return d.Sum64()
}

// sharedTokens returns the number of tokens in all prompt parts but the last,
// which belongs to the call alone.
func sharedTokens(call *forward.Call) int {
	sum := 0
	for _, part := range call.SharedParts() {
		sum += part.Tokens
	}
	return sum
}
