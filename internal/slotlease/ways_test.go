package slotlease_test

import (
	"fmt"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/fleetsim/plain"
)

// Guards against upstreams that refuse calls while others are idle, and against slots that stay free while
// calls wait or are refused: each gateway alone can't know which slots are free.
func TestLeasedSlotsAgainstDrawnUpstreams(t *testing.T) {
	for _, fleet := range []plain.Case{{Gateways: 89, Upstreams: 6}, {Gateways: 89, Upstreams: 6, SlowSpells: true}, {Gateways: 330, Upstreams: 6}} {
		for _, load := range []float64{0.3, 0.8, 1, 1.5} {
			for _, queue := range []int{6, 24} {
				c := fleet
				c.Slots, c.Queue, c.Load, c.Seed = 6, queue, load, 1
				drawn := plain.Run(c)
				c.Keepers = 1
				leased := plain.Run(c)
				name := fmt.Sprintf("%d gateways, load %.1f, queue %d, slow spells %v", c.Gateways, load, queue, c.SlowSpells)
				t.Logf("%s\n  drawn:  %v\n  leased: %v", name, drawn, leased)
				if leased.MostAsked > 1.5 {
					t.Errorf("%s: most asked %.2f times the mean", name, leased.MostAsked)
				}
				if load <= 0.8 && 1000*leased.RefusedByUpstream > leased.Offered {
					t.Errorf("%s: %d of %d refused by an upstream", name, leased.RefusedByUpstream, leased.Offered)
				}
				if load >= 1.5 && leased.PlacesUsed < 0.97 {
					t.Errorf("%s: %.3f of the places used", name, leased.PlacesUsed)
				}
			}
		}
	}
}

// Guards against upstreams that refuse calls because two gateways that don't hear of each other lease the same
// slots, or because gateways of an older build ask none: more wait at the upstreams then, and no more than that.
func TestSlotsLeasedTwiceOrNotAtAll(t *testing.T) {
	for _, c := range []plain.Case{{Keepers: 2}, {Keepers: 1, Alone: 0.25}, {Keepers: 1, Alone: 0.75}} {
		c.Gateways, c.Upstreams, c.Slots, c.Queue, c.Load, c.Seed = 89, 6, 6, 24, 0.8, 1
		got := plain.Run(c)
		t.Logf("%d keepers, %.2f of the gateways alone: %v", c.Keepers, c.Alone, got)
		if 1000*got.RefusedByUpstream > got.Offered || got.MostAsked > 1.5 {
			t.Errorf("%d keepers, %.2f of the gateways alone: %v", c.Keepers, c.Alone, got)
		}
	}
}

// Guards against calls that are refused while slots are free, where several gateways keep parts of a service's
// upstreams.
func TestSlotsInSeveralParts(t *testing.T) {
	for _, c := range []plain.Case{{Gateways: 150, Upstreams: 20}, {Gateways: 400, Upstreams: 60}} {
		c.Slots, c.Queue, c.Load, c.Keepers = 6, 6, 0.8, 1
		for _, c.Seed = range []uint64{1, 2} {
			got := plain.Run(c)
			t.Logf("%d upstreams, seed %d: %v", c.Upstreams, c.Seed, got)
			if 1000*(got.RefusedByGateway+got.RefusedByUpstream) > got.Offered {
				t.Errorf("%d upstreams, seed %d: %d and %d of %d refused", c.Upstreams, c.Seed, got.RefusedByGateway, got.RefusedByUpstream, got.Offered)
			}
		}
	}
}

// Guards against calls that are refused in a burst although they could be served in time a little later, and
// against calls that wait so long for a slot that they are late.
func TestCallsWaitForSlotsAsLongAsTheyAreServedInTime(t *testing.T) {
	for _, c := range []plain.Case{{Load: 0.7, BurstLoad: 1.4}, {Load: 0.7, BurstLoad: 2}, {Load: 1.5}} {
		for _, c.Upstreams = range []int{6, 20} {
			c.Gateways, c.Slots, c.Queue, c.Keepers, c.Seed, c.ShortWait = 150, 6, 6, 1, 1, false
			inTime := plain.Run(c)
			c.ShortWait = true
			short := plain.Run(c)
			t.Logf("%d upstreams, load %.1f, bursts %.1f\n  an eighth: %v\n  in time:   %v", c.Upstreams, c.Load, c.BurstLoad, short, inTime)
			if 1000*inTime.Late > inTime.Offered {
				t.Errorf("%d upstreams, load %.1f, bursts %.1f: %d of %d late", c.Upstreams, c.Load, c.BurstLoad, inTime.Late, inTime.Offered)
			}
			if c.BurstLoad > 0 && inTime.Served-inTime.Late <= short.Served-short.Late {
				t.Errorf("%d upstreams, load %.1f, bursts %.1f: no more served in time", c.Upstreams, c.Load, c.BurstLoad)
			}
		}
	}
}
