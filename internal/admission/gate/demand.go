package gate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reserveEvery is how often the reserves are worked out again.
	reserveEvery = 200 * time.Millisecond
	// idleDemand is a demand, in slots, that counts as none.
	idleDemand = 1e-3
	// lateFor is how long upstreams count as late after a refusal for it.
	lateFor = 2 * time.Second
	// inFlightMargin times what is in flight is divided then: demand is
	// measured, and a little more than is in flight is no overload.
	inFlightMargin = 1.15
)

// reserve works out the fair level and how many slots each band leaves to more
// urgent ones: as many as these ask for, and half of what nobody asks for as a
// margin. An account's demand counts up to its fair part, so that an account
// which sends only urgent requests cannot keep out one that sends long ones.
func (g *Gate) reserve(now time.Time) {
	if now.Sub(g.bands.reservedAt) < reserveEvery {
		return
	}
	g.bands.reservedAt = now
	g.measureDemand(now)
	g.level = fairLevel(g.order, float64(g.slots))
	g.part = math.Inf(1)
	if now.Sub(g.lateAt) < lateFor {
		answered := fairLevel(g.order, inFlightMargin*float64(max(g.inFlight, 1)))
		g.part = max(answered, meanDemand(g.order))
	}
	spare := max(0, float64(g.slots)-g.demandAbove(now, math.MinInt))
	for _, b := range g.bands.list {
		urgent := g.demandAbove(now, b.priority)
		b.reserve = urgent + min(math.Sqrt(urgent), spare/2)
	}
}

// measureDemand notes how many slots each account asks for.
func (g *Gate) measureDemand(now time.Time) {
	for _, c := range g.order {
		c.demand = c.demandFrom(now, math.MinInt) * g.holds.perCost().Seconds()
	}
}

// demandAbove is how many slots are asked for by more urgent requests than a
// priority. Each account counts up to its fair part, of which it leaves the
// class share to its own less urgent requests if it has any.
func (g *Gate) demandAbove(now time.Time, priority int) float64 {
	total := 0.0
	for _, c := range g.order {
		fair := g.fairSlots(c)
		asked := c.demand
		if priority != math.MinInt {
			asked = c.demandFrom(now, priority+1) * g.holds.perCost().Seconds()
			fair -= min(c.demand-asked, fair*g.queue.ClassShare())
		}
		total += min(asked, fair)
	}
	return total
}

// demandFrom is the cost a second that is asked for of a priority and more
// urgent ones. Returning requests count again, which matters only for an
// account that is beyond its fair part anyway.
func (c *client) demandFrom(now time.Time, priority int) float64 {
	total := 0.0
	for _, u := range c.uses {
		if u.priority >= priority {
			total += u.offered.rate(now) + u.returns.rate(now)
		}
	}
	return total
}

// fairLevel divides slots among accounts by weight, where no account gets more
// than it asks for. It returns the slots per unit of weight of those that ask
// for more; infinite if there are none.
func fairLevel(clients []*client, slots float64) float64 {
	asking := make([]*client, 0, len(clients))
	weights := 0.0
	for _, c := range clients {
		if c.demand > idleDemand {
			asking = append(asking, c)
			weights += c.weight
		}
	}
	slices.SortStableFunc(asking, func(a, b *client) int {
		return cmp.Compare(a.demand/a.weight, b.demand/b.weight)
	})
	for _, c := range asking {
		if c.demand/c.weight >= slots/weights {
			return slots / weights
		}
		slots -= c.demand
		weights -= c.weight
	}
	return math.Inf(1)
}

// beyondPart reports whether an account asks for more than its part while
// upstreams cannot answer all in time.
//
// Slots may be free then, so that nothing waits and the order of the queue
// divides nothing: without this, places would go to whoever asks most often.
func (g *Gate) beyondPart(c *client) bool { return c.demand > g.part*c.weight }

// meanDemand is the mean of what accounts ask for, per unit of weight. Whoever
// asks for less never counts as beyond its part: what is in flight falls when
// large accounts are refused, and with it what there seems to be to divide.
func meanDemand(clients []*client) float64 {
	demand, weights := 0.0, 0.0
	for _, c := range clients {
		if c.demand > idleDemand {
			demand += c.demand
			weights += c.weight
		}
	}
	return demand / max(weights, idleDemand)
}

// fairSlots is an account's part of the slots while all ask for what they ask
// for now.
func (g *Gate) fairSlots(c *client) float64 {
	return min(g.level*c.weight, float64(g.slots))
}
