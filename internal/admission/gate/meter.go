package gate

import (
	"math"
	"time"
)

const (
	// meterTimeConstant is the time constant of a meter.
	meterTimeConstant = 10 * time.Second
	// holdTimeWindow is how many ended requests the holds remember.
	holdTimeWindow = 50
)

// rateMeter is an exponentially decaying rate a second. The zero value is 0.
type rateMeter struct {
	value float64
	updatedAt    time.Time
	// filled is how much of the memory has been filled, 0 to 1. Without it a
	// rush would count as a fraction of itself during its first seconds, and
	// too much would be let in.
	filled float64
}

// minFilled keeps the first event from counting as an endless rate.
const minFilled = 0.1

func (m *rateMeter) add(now time.Time, amount float64) {
	kept := m.decay(now)
	m.value = m.value*kept + amount/meterTimeConstant.Seconds()
	if m.updatedAt.IsZero() {
		m.filled = minFilled
	} else {
		m.filled = 1 - (1-m.filled)*kept
	}
	m.updatedAt = now
}

func (m *rateMeter) rate(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	kept := m.decay(now)
	return m.value * kept / (1 - (1-m.filled)*kept)
}

// decay is the part of the value that is left now.
func (m *rateMeter) decay(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(m.updatedAt).Seconds() / meterTimeConstant.Seconds())
}

// holdTimeMeter measures how long a slot is held for one unit of cost. By Little's
// law, slots over that time is the drain rate, also while no queue exists.
type holdTimeMeter struct {
	// initial stands in before the first request ended.
	initial       time.Duration
	heldSeconds, servedCost float64
}

func (h *holdTimeMeter) add(held time.Duration, cost float64) {
	const keep = 1 - 1.0/holdTimeWindow
	h.heldSeconds = h.heldSeconds*keep + held.Seconds()
	h.servedCost = h.servedCost*keep + cost
}

// perCost is the slot time of one unit of cost, above 0.
func (h *holdTimeMeter) perCost() time.Duration {
	if h.servedCost == 0 {
		return h.initial
	}
	return max(time.Duration(h.heldSeconds/h.servedCost*float64(time.Second)), time.Microsecond)
}

// expected is the expected slot time of a cost.
func (h *holdTimeMeter) expected(cost float64) time.Duration {
	return time.Duration(cost * float64(h.perCost()))
}
