package gate

import (
	"slices"
	"time"
)

// costMemory is the weight of one request in a band's mean cost.
const costMemory = 0.05

// band is the slots that one priority uses.
type band struct {
	priority int
	inFlight int
	mean     float64
	// reserve is how many slots are kept free for more urgent bands.
	reserve float64
	// returns is the cost a second of returning requests.
	returns meter
	// bookedUntil is when the last turn told to anyone begins.
	bookedUntil time.Time
	lateness
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
	x := &band{priority: priority, lateness: newLateness()}
	b.list = append(b.list, x)
	slices.SortFunc(b.list, func(x, y *band) int { return y.priority - x.priority })
	return x
}

// allows reports whether a slot may go to a priority. One slot always may, so
// that no class starves.
func (b *bands) allows(priority, slots int) bool {
	x := b.of(priority)
	if x.inFlight >= x.limit.Value() && x.heard {
		return false
	}
	return float64(b.inFlightUpTo(priority)) < max(1, float64(slots)-x.reserve)
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
// more urgent bands and not held by less urgent ones, up to its own limit.
func (b *bands) slotsFor(priority, slots int) float64 {
	x := b.of(priority)
	below := b.inFlightUpTo(priority) - x.inFlight
	room := max(1, float64(slots)-x.reserve-float64(below))
	if x.heard {
		room = min(room, float64(x.limit.Value()))
	}
	return room
}
