package gate

import (
	"math"
	"time"
)

const (
	// meterMemory is the time constant of a meter.
	meterMemory = 10 * time.Second
	// holdMemory is how many ended requests the holds remember.
	holdMemory = 50
)

// meter is an exponentially decaying rate a second. The zero value is 0.
type meter struct {
	value float64
	at    time.Time
	// full is how much of the memory has been filled, 0 to 1. Without it a
	// rush would count as a fraction of itself during its first seconds, and
	// too much would be let in.
	full float64
}

// leastFull keeps the first event from counting as an endless rate.
const leastFull = 0.1

func (m *meter) add(now time.Time, amount float64) {
	kept := m.kept(now)
	m.value = m.value*kept + amount/meterMemory.Seconds()
	if m.at.IsZero() {
		m.full = leastFull
	} else {
		m.full = 1 - (1-m.full)*kept
	}
	m.at = now
}

func (m *meter) rate(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	kept := m.kept(now)
	return m.value * kept / (1 - (1-m.full)*kept)
}

// kept is the part of the value that is left now.
func (m *meter) kept(now time.Time) float64 {
	if m.at.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(m.at).Seconds() / meterMemory.Seconds())
}

// holds measures how long a slot is held for one unit of cost. By Little's
// law, slots over that time is the drain rate, also while no queue exists.
type holds struct {
	// assumed stands in before the first request ended.
	assumed       time.Duration
	seconds, cost float64
}

func (h *holds) add(held time.Duration, cost float64) {
	const keep = 1 - 1.0/holdMemory
	h.seconds = h.seconds*keep + held.Seconds()
	h.cost = h.cost*keep + cost
}

// perCost is the slot time of one unit of cost, above 0.
func (h *holds) perCost() time.Duration {
	if h.cost == 0 {
		return h.assumed
	}
	return max(time.Duration(h.seconds/h.cost*float64(time.Second)), time.Microsecond)
}

// of is the expected slot time of a cost.
func (h *holds) of(cost float64) time.Duration {
	return time.Duration(cost * float64(h.perCost()))
}
