package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
)

// unsampledPenalty is added, in seconds, to the score of an engine that is neither
// the call's home nor in its sampledPair. It is more than a queue grows within the
// age of a view, and less than the shortest objective.
const unsampledPenalty = 0.1

// sampledPair holds the indexes of two of a service's upstreams that are sampled
// by the call's ID, -1 for none. Without the sampling many gateways that see the
// same loads, some tenths of a second old, would all send the calls that a home
// cannot take to the same upstream, the one that was least loaded.
type sampledPair [2]int

// samplePair samples two of the upstreams that are ready.
func samplePair(call *forward.Call, all []directory.Upstream) sampledPair {
	seed := xxhash.Sum64String(string(call.ID))
	p, weights := sampledPair{-1, -1}, [2]uint64{}
	for i := range all {
		if all[i].State != directory.Ready {
			continue
		}
		switch w := rendezvous(seed, all[i].Name); {
		case p[0] < 0 || w > weights[0]:
			p[1], weights[1] = p[0], weights[0]
			p[0], weights[0] = i, w
		case p[1] < 0 || w > weights[1]:
			p[1], weights[1] = i, w
		}
	}
	return p
}

func (p sampledPair) has(i int) bool { return i == p[0] || i == p[1] }
