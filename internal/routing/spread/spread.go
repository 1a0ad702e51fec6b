// Package spread draws the upstream of a call where more gateways share a plain service's upstreams than
// these have slots.
//
// Gateways hear of each other's loads some tenths of a second late. Where requests take less than that, most
// of what is heard has ended. If each gateway took the upstream that seemed least loaded, all of them would
// take the same one until the next reports, and it would refuse calls while others are idle. So what is
// heard is aged towards the mean of all upstreams, and the upstream is drawn by the room that it then has.
package spread

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rendezvous"
)

// stopShare is the number of gateways, in parts of the slots, below which gateways spread their calls no longer
// if they did. It is below 1, so that the decision doesn't change with each gateway that comes or goes.
const stopShare = 0.8

// Needed reports whether so many gateways spread their calls over upstreams that have so many slots
// together: each has less than one of them, or had when they began to. before is whether they do so now. It is
// false if the number of slots is not known, which is 0.
func Needed(gateways, slots int, before bool) bool {
	if slots <= 0 {
		return false
	}
	if before {
		return float64(gateways) >= stopShare*float64(slots)
	}
	return gateways > slots
}

// Fleet is what all other gateways have in progress at the upstreams of a service, as they reported it.
type Fleet struct {
	// Running is the number of requests, Slots how many slots the upstreams have together.
	Running, Slots int
	// Kept is the part of the requests that were in progress at the time of the reports and still are.
	Kept float64
}

// Now returns about how many requests the others have now at an upstream at which they reported some.
func (f Fleet) Now(reported, slots int) int {
	mean := float64(f.Running) * float64(slots) / float64(max(1, f.Slots))
	return int(math.Round(mean + (float64(reported)-mean)*f.Kept))
}

// Draw is the draw of one call.
type Draw struct{ seed uint64 }

// Of returns the draw of a call at a gateway, whose seed is its own. A call that its caller sends again
// to another gateway has another draw.
func Of(call ident.Request, seed uint64) Draw { return Draw{xxhash.Sum64String(string(call)) ^ seed} }

// maxScore is the highest score.
const maxScore = 100

// Score returns the score of an upstream, from 0 to 100, if it has room for so many more requests. The
// lowest score of several upstreams is that of each with a probability in proportion to its room. An
// upstream that comes or goes changes only the draws that it wins.
func (d Draw) Score(name ident.Instance, room float64) float64 {
	if room <= 0 {
		return maxScore
	}
	hash := rendezvous.Weight(d.seed, xxhash.Sum64String(string(name)))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return min(maxScore, -math.Log(uniform)/room)
}
