package gate

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reserveInterval is how often the reserves are recomputed.
	reserveInterval = 200 * time.Millisecond
	// negligibleDemand is a demand, in slots, up to which an account counts
	// as idle.
	negligibleDemand = 1e-3
	// latePeriod is how long upstreams count as late after a request was
	// refused because it couldn't start in time.
	latePeriod = 2 * time.Second
	// inFlightMargin multiplies the requests in flight to give the slots that
	// are divided while upstreams are late. Demand is an estimate, and a
	// demand slightly above what is in flight is no overload.
	inFlightMargin = 1.15
)

// updateReserves recomputes the accounts' fair shares and how many slots each
// band leaves to more urgent ones: as many as these ask for, plus the square
// root of that as a margin, but no more than half of the slots that nobody asks
// for. An account's demand counts only up to its fair share, so that an account
// that sends only urgent requests can't keep out one that sends long requests.
func (g *Gate) updateReserves(now time.Time) {
	if now.Sub(g.bands.reservesUpdatedAt) < reserveInterval {
		return
	}
	g.bands.reservesUpdatedAt = now
	g.measureDemand(now)
	g.slotsPerWeight = maxMinSlotsPerWeight(g.clientList, float64(g.slots))
	g.timelySlotsPerWeight = math.Inf(1)
	if now.Sub(g.lastLateRefusal) < latePeriod {
		timely := maxMinSlotsPerWeight(g.clientList, inFlightMargin*float64(max(g.inFlight, 1)))
		g.timelySlotsPerWeight = max(timely, meanDemandPerWeight(g.clientList))
	}
	spare := max(0, float64(g.slots)-g.fairDemandAbove(now, math.MinInt))
	for _, b := range g.bands.byPriority {
		urgent := g.fairDemandAbove(now, b.priority)
		b.reservedSlots = urgent + min(math.Sqrt(urgent), spare/2)
	}
}

// measureDemand updates the number of slots that each account asks for.
func (g *Gate) measureDemand(now time.Time) {
	for _, c := range g.clientList {
		c.demand = c.costRateFrom(now, math.MinInt) * g.holdTimes.perCost().Seconds()
	}
}

// fairDemandAbove returns how many slots are asked for by requests that are more
// urgent than the priority; math.MinInt counts all requests. Each account counts
// up to its fair share, less the class share of it that goes to the account's
// own less urgent requests, if it has any.
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

// costRateFrom returns the cost per second that the account asks for in requests
// of the priority and more urgent ones. Retries count again, which matters only
// for an account that is beyond its fair share anyway.
func (c *client) costRateFrom(now time.Time, priority int) float64 {
	total := 0.0
	for _, u := range c.usages {
		if u.priority >= priority {
			total += u.firstAttempts.rate(now) + u.retries.rate(now)
		}
	}
	return total
}

// maxMinSlotsPerWeight divides slots among accounts by weighted max-min
// fairness: no account gets more than it asks for, and what it leaves goes to
// the others by weight. It returns the slots per unit of weight of the accounts
// that ask for more than they get; infinite if there are none.
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

// exceedsTimelyShare reports whether an account asks for more than its fair
// share while upstreams can't answer all requests in time.
//
// Slots may be free at such times. Then nothing waits and the queue's order has
// no effect: without this check, slots would go to the accounts that ask most often.
func (g *Gate) exceedsTimelyShare(c *client) bool { return c.demand > g.timelySlotsPerWeight*c.weight }

// meanDemandPerWeight returns the mean demand of the accounts per unit of
// weight, in slots. An account that asks for less never counts as beyond its
// share: refusing large accounts lowers the number in flight, and with it the
// number of slots that there seem to be to divide.
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

// fairSlots returns an account's fair share of the slots at the present demand.
func (g *Gate) fairSlots(c *client) float64 {
	return min(g.slotsPerWeight*c.weight, float64(g.slots))
}
