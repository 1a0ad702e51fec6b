package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
)

// unsampledPenalty is by how much sooner, in seconds, an upstream must serve a call than its home
// and those that are drawn for it: more than what one view's age adds to a queue, less than
// the shortest objective.
const unsampledPenalty = 0.1

// sampledPair are two of a service's upstreams, drawn by a call's ID: of many gateways that see
// the same loads, some tenths of a second old, each would else send what its home cannot
// take to the same upstream, the one that had least to do.
type sampledPair [2]int

// samplePair draws two of the upstreams that are ready.
func samplePair(call *forward.Call, all []directory.Upstream) sampledPair {
	seed := xxhash.Sum64String(string(call.ID))
	d, weights := sampledPair{-1, -1}, [2]uint64{}
	for i := range all {
		if all[i].State != directory.Ready {
			continue
		}
		switch w := rendezvous(seed, all[i].Name); {
		case d[0] < 0 || w > weights[0]:
			d[1], weights[1] = d[0], weights[0]
			d[0], weights[0] = i, w
		case d[1] < 0 || w > weights[1]:
			d[1], weights[1] = i, w
		}
	}
	return d
}

func (d sampledPair) has(i int) bool { return i == d[0] || i == d[1] }
