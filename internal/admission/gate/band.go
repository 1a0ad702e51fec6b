package gate

import (
	"math"
	"slices"
	"time"
)

const (
	// reserveEvery is how often the reserves are worked out again.
	reserveEvery = 200 * time.Millisecond
	// costMemory is the weight of one request in a band's mean cost.
	costMemory = 0.05
)

// band is the slots that one priority uses.
type band struct {
	priority int
	inFlight int
	mean     float64
	// reserve is how many slots are kept free for more urgent bands.
	reserve float64
	// bookedUntil is when the last turn told to anyone begins.
	bookedUntil time.Time
}

func (b *band) learn(cost float64) {
	if b.mean == 0 {
		b.mean = cost
	}
	b.mean += costMemory * (cost - b.mean)
}

func (b *band) meanCost() float64 {
	if b.mean == 0 {
		return 1
	}
	return b.mean
}

// bands are the priorities in use, by falling priority.
//
// A slot that a long request holds is not free for seconds. Without reserves
// long requests, whose deadlines let them wait for any slot, would fill all of
// them, and short ones would be refused although they go first in the queue.
type bands struct {
	list []*band
	// reservedAt is when the reserves were last worked out.
	reservedAt time.Time
}

// of finds or creates the band of a priority.
func (b *bands) of(priority int) *band {
	for _, x := range b.list {
		if x.priority == priority {
			return x
		}
	}
	x := &band{priority: priority}
	b.list = append(b.list, x)
	slices.SortFunc(b.list, func(x, y *band) int { return y.priority - x.priority })
	return x
}

// allows reports whether a slot may go to a priority. One slot always may, so
// that no class starves.
func (b *bands) allows(priority, slots int) bool {
	return float64(b.inFlightUpTo(priority)) < max(1, float64(slots)-b.of(priority).reserve)
}

// inFlightUpTo counts a priority and all less urgent ones.
func (b *bands) inFlightUpTo(priority int) int {
	n := 0
	for _, x := range b.list {
		if x.priority <= priority {
			n += x.inFlight
		}
	}
	return n
}

// slotsFor is how many slots a priority can count on: those not reserved for
// more urgent bands and not held by less urgent ones.
func (b *bands) slotsFor(priority, slots int) float64 {
	x := b.of(priority)
	below := b.inFlightUpTo(priority) - x.inFlight
	return max(1, float64(slots)-x.reserve-float64(below))
}

// reserve works out how many slots each band leaves to more urgent ones: as
// many as these ask for, and half of what nobody asks for as a margin.
// An account's demand counts up to its share, so that an account which sends
// only urgent requests cannot keep out one that sends only long ones.
func (g *Gate) reserve(now time.Time) {
	if now.Sub(g.bands.reservedAt) < reserveEvery {
		return
	}
	g.bands.reservedAt = now
	weights := g.activeWeights(now)
	spare := max(0, float64(g.slots)-g.demand(now, math.MinInt, weights))
	most := float64(g.slots) * (1 - g.queue.ClassShare())
	for _, b := range g.bands.list {
		urgent := g.demand(now, b.priority+1, weights)
		b.reserve = min(most, urgent+min(math.Sqrt(urgent), spare/2))
	}
}

// idleBelow is the demand, in slots, below which an account counts as idle.
const idleBelow = 0.001

func (g *Gate) activeWeights(now time.Time) float64 {
	total := 0.0
	for _, c := range g.order {
		if c.demand(now, math.MinInt)*g.holds.perCost().Seconds() > idleBelow {
			total += c.weight
		}
	}
	return total
}

// demand is how many slots first tries of a priority or more urgent ones ask
// for, each account's part bounded by its share.
func (g *Gate) demand(now time.Time, priority int, weights float64) float64 {
	total := 0.0
	for _, c := range g.order {
		asked := c.demand(now, priority) * g.holds.perCost().Seconds()
		if weights > 0 {
			asked = min(asked, float64(g.slots)*c.weight/weights)
		}
		total += asked
	}
	return total
}

// demand is the cost a second of first tries of a priority or more urgent
// ones.
func (c *client) demand(now time.Time, priority int) float64 {
	total := 0.0
	for _, u := range c.uses {
		if u.priority >= priority {
			total += u.offered.rate(now)
		}
	}
	return total
}
