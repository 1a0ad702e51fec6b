package gate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reserveInterval is how often the reserves are worked out again.
	reserveInterval = 200 * time.Millisecond
	// negligibleDemand is a demand, in slots, that counts as none.
	negligibleDemand = 1e-3
	// latePeriod is how long upstreams count as late after a refusal for it.
	latePeriod = 2 * time.Second
	// inFlightMargin times what is in flight is divided then: demand is
	// measured, and a little more than is in flight is no overload.
	inFlightMargin = 1.15
)

// updateReserves works out the fair level and how many slots each band leaves to more
// urgent ones: as many as these ask for, and half of what nobody asks for as a
// margin. An account's demand counts up to its fair part, so that an account
// which sends only urgent requests cannot keep out one that sends long ones.
func (g *Gate) updateReserves(now time.Time) {
	if now.Sub(g.bands.reservesUpdatedAt) < reserveInterval {
		return
	}
	g.bands.reservesUpdatedAt = now
	g.measureDemand(now)
	g.slotsPerWeight = maxMinSlotsPerWeight(g.clientList, float64(g.slots))
	g.timelySlotsPerWeight = math.Inf(1)
	if now.Sub(g.lastLateRefusal) < latePeriod {
		answered := maxMinSlotsPerWeight(g.clientList, inFlightMargin*float64(max(g.inFlight, 1)))
		g.timelySlotsPerWeight = max(answered, meanDemandPerWeight(g.clientList))
	}
	spare := max(0, float64(g.slots)-g.fairDemandAbove(now, math.MinInt))
	for _, b := range g.bands.byPriority {
		urgent := g.fairDemandAbove(now, b.priority)
		b.reservedSlots = urgent + min(math.Sqrt(urgent), spare/2)
	}
}

// measureDemand notes how many slots each account asks for.
func (g *Gate) measureDemand(now time.Time) {
	for _, c := range g.clientList {
		c.demand = c.costRateFrom(now, math.MinInt) * g.holdTimes.perCost().Seconds()
	}
}

// fairDemandAbove is how many slots are asked for by more urgent requests than a
// priority. Each account counts up to its fair part, of which it leaves the
// class share to its own less urgent requests if it has any.
func (g *Gate) fairDemandAbove(now time.Time, priority int) float64 {
	total := 0.0
	for _, c := range g.clientList {
		fair := g.fairSlots(c)
		asked := c.demand
		if priority != math.MinInt {
			asked = c.costRateFrom(now, priority+1) * g.holdTimes.perCost().Seconds()
			fair -= min(c.demand-asked, fair*g.queue.ClassShare())
		}
		total += min(asked, fair)
	}
	return total
}

// costRateFrom is the cost a second that is asked for of a priority and more
// urgent ones. Returning requests count again, which matters only for an
// account that is beyond its fair part anyway.
func (c *client) costRateFrom(now time.Time, priority int) float64 {
	total := 0.0
	for _, u := range c.usages {
		if u.priority >= priority {
			total += u.firstAttempts.rate(now) + u.retries.rate(now)
		}
	}
	return total
}

// maxMinSlotsPerWeight divides slots among accounts by weight, where no account gets more
// than it asks for. It returns the slots per unit of weight of those that ask
// for more; infinite if there are none.
func maxMinSlotsPerWeight(clients []*client, slots float64) float64 {
	asking := make([]*client, 0, len(clients))
	weights := 0.0
	for _, c := range clients {
		if c.demand > negligibleDemand {
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

// exceedsTimelyShare reports whether an account asks for more than its part while
// upstreams cannot answer all in time.
//
// Slots may be free then, so that nothing waits and the order of the queue
// divides nothing: without this, places would go to whoever asks most often.
func (g *Gate) exceedsTimelyShare(c *client) bool { return c.demand > g.timelySlotsPerWeight*c.weight }

// meanDemandPerWeight is the mean of what accounts ask for, per unit of weight. Whoever
// asks for less never counts as beyond its part: what is in flight falls when
// large accounts are refused, and with it what there seems to be to divide.
func meanDemandPerWeight(clients []*client) float64 {
	demand, weights := 0.0, 0.0
	for _, c := range clients {
		if c.demand > negligibleDemand {
			demand += c.demand
			weights += c.weight
		}
	}
	return demand / max(weights, negligibleDemand)
}

// fairSlots is an account's part of the slots while all ask for what they ask
// for now.
func (g *Gate) fairSlots(c *client) float64 {
	return min(g.slotsPerWeight*c.weight, float64(g.slots))
}
