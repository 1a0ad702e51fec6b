package gate

import (
	"slices"
	"time"
)

// costSmoothing is the weight of one request in a band's average cost.
const costSmoothing = 0.05

// band is the state of one priority.
type band struct {
	priority int
	// inFlight is how many requests of the band hold a slot.
	inFlight int
	// costAverage is the moving average of the cost of ended requests; 0 until
	// the first has ended.
	costAverage float64
	// reservedSlots is how many slots the band leaves to more urgent ones.
	reservedSlots float64
	// retries measures the cost per second of retries.
	retries rateMeter
	// bookedUntil is the latest time at which a refused caller is due to retry,
	// by its retry-after time.
	bookedUntil time.Time
	lateness
}

func (b *band) recordCost(cost float64) {
	if b.costAverage == 0 {
		b.costAverage = cost
	}
	b.costAverage += costSmoothing * (cost - b.costAverage)
}

// meanCost returns the average cost of the band's requests; 1 until one has
// ended.
func (b *band) meanCost() float64 {
	if b.costAverage == 0 {
		return 1
	}
	return b.costAverage
}

// bands are the bands of all priorities in use.
//
// A long request holds its slot for seconds. Without reserves, long requests,
// whose deadlines let them wait for any slot, would fill all slots, and short
// requests would be refused although they go first in the queue.
type bands struct {
	// byPriority lists the bands, the most urgent first.
	byPriority []*band
	// reservesUpdatedAt is when the reserves were last computed.
	reservesUpdatedAt time.Time
}

// forPriority returns the band of a priority and creates it if there is none.
func (b *bands) forPriority(priority int) *band {
	for _, x := range b.byPriority {
		if x.priority == priority {
			return x
		}
	}
	x := &band{priority: priority, lateness: newLateness()}
	b.byPriority = append(b.byPriority, x)
	slices.SortFunc(b.byPriority, func(x, y *band) int { return y.priority - x.priority })
	return x
}

// allows reports whether a slot may be granted to a priority: the band's own
// limit isn't reached, and the slots reserved for more urgent bands stay free.
// The reserve always leaves one slot, so that no class starves.
func (b *bands) allows(priority, slots int) bool {
	x := b.forPriority(priority)
	if x.inFlight >= x.limit.Value() && x.firstTokensReported {
		return false
	}
	return float64(b.inFlightUpTo(priority)) < max(1, float64(slots)-x.reservedSlots)
}

// inFlightUpTo returns how many requests of a priority and all less urgent ones
// hold a slot.
func (b *bands) inFlightUpTo(priority int) int {
	n := 0
	for _, x := range b.byPriority {
		if x.priority <= priority {
			n += x.inFlight
		}
	}
	return n
}

// availableSlots returns how many slots a priority can count on: those that are
// neither reserved for more urgent bands nor held by less urgent ones, up to the
// band's own limit.
func (b *bands) availableSlots(priority, slots int) float64 {
	x := b.forPriority(priority)
	below := b.inFlightUpTo(priority) - x.inFlight
	available := max(1, float64(slots)-x.reservedSlots-float64(below))
	if x.firstTokensReported {
		available = min(available, float64(x.limit.Value()))
	}
	return available
}
