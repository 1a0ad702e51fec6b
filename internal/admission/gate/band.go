package gate

import (
	"slices"
	"time"
)

// costSmoothing is the weight of one request in a band's mean cost.
const costSmoothing = 0.05

// band is the slots that one priority uses.
type band struct {
	priority int
	inFlight int
	costAverage     float64
	// reservedSlots is how many slots are kept free for more urgent bands.
	reservedSlots float64
	// retries is the cost a second of returning requests.
	retries rateMeter
	// bookedUntil is when the last turn told to anyone begins.
	bookedUntil time.Time
	lateness
}

func (b *band) recordCost(cost float64) {
	if b.costAverage == 0 {
		b.costAverage = cost
	}
	b.costAverage += costSmoothing * (cost - b.costAverage)
}

func (b *band) meanCost() float64 {
	if b.costAverage == 0 {
		return 1
	}
	return b.costAverage
}

// bands are the priorities in use, by falling priority.
//
// A slot that a long request holds is not free for seconds. Without reserves
// long requests, whose deadlines let them wait for any slot, would fill all of
// them, and short ones would be refused although they go first in the queue.
type bands struct {
	byPriority []*band
	// reservesUpdatedAt is when the reserves were last worked out.
	reservesUpdatedAt time.Time
}

// forPriority finds or creates the band of a priority.
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

// allows reports whether a slot may go to a priority. One slot always may, so
// that no class starves.
func (b *bands) allows(priority, slots int) bool {
	x := b.forPriority(priority)
	if x.inFlight >= x.limit.Value() && x.firstTokensReported {
		return false
	}
	return float64(b.inFlightUpTo(priority)) < max(1, float64(slots)-x.reservedSlots)
}

// inFlightUpTo counts a priority and all less urgent ones.
func (b *bands) inFlightUpTo(priority int) int {
	n := 0
	for _, x := range b.byPriority {
		if x.priority <= priority {
			n += x.inFlight
		}
	}
	return n
}

// availableSlots is how many slots a priority can count on: those not reserved for
// more urgent bands and not held by less urgent ones, up to its own limit.
func (b *bands) availableSlots(priority, slots int) float64 {
	x := b.forPriority(priority)
	below := b.inFlightUpTo(priority) - x.inFlight
	room := max(1, float64(slots)-x.reservedSlots-float64(below))
	if x.firstTokensReported {
		room = min(room, float64(x.limit.Value()))
	}
	return room
}
