package gate

import (
	"math"
	"time"
)

const (
	// meterTimeConstant is the time after which a rateMeter's value has decayed
	// to 1/e.
	meterTimeConstant = 10 * time.Second
	// holdTimeWindow is over how many ended requests a holdTimeMeter averages.
	holdTimeWindow = 50
)

// rateMeter measures a rate per second with exponential decay. The zero value
// is a rate of 0.
type rateMeter struct {
	value     float64
	updatedAt time.Time
	// filled is how much of the averaging window has been filled, 0 to 1; the
	// rate is scaled up by it. Otherwise a load spike would count as a fraction
	// of its rate during its first seconds, and too much would be admitted.
	filled float64
}

// minFilled is the initial value of rateMeter.filled. It keeps the first event
// from counting as an infinite rate.
const minFilled = 0.1

func (m *rateMeter) add(now time.Time, amount float64) {
	decay := m.decay(now)
	m.value = m.value*decay + amount/meterTimeConstant.Seconds()
	if m.updatedAt.IsZero() {
		m.filled = minFilled
	} else {
		m.filled = 1 - (1-m.filled)*decay
	}
	m.updatedAt = now
}

func (m *rateMeter) rate(now time.Time) float64 {
	if m.value == 0 {
		return 0
	}
	decay := m.decay(now)
	return m.value * decay / (1 - (1-m.filled)*decay)
}

// decay returns the factor by which the value has decayed since the last add.
func (m *rateMeter) decay(now time.Time) float64 {
	if m.updatedAt.IsZero() {
		return 0
	}
	return math.Exp(-now.Sub(m.updatedAt).Seconds() / meterTimeConstant.Seconds())
}

// holdTimeMeter measures how long a slot is held for one unit of cost. By
// Little's law, the number of slots divided by that time is the drain rate, even
// while nothing waits.
type holdTimeMeter struct {
	// initial is the time per unit of cost until the first request has ended.
	initial time.Duration
	// heldSeconds and servedCost are decaying sums over ended requests.
	heldSeconds, servedCost float64
}

func (h *holdTimeMeter) add(held time.Duration, cost float64) {
	const decay = 1 - 1.0/holdTimeWindow
	h.heldSeconds = h.heldSeconds*decay + held.Seconds()
	h.servedCost = h.servedCost*decay + cost
}

// perCost returns the time for which one unit of cost holds a slot, at least one
// microsecond.
func (h *holdTimeMeter) perCost() time.Duration {
	if h.servedCost == 0 {
		return h.initial
	}
	return max(time.Duration(h.heldSeconds/h.servedCost*float64(time.Second)), time.Microsecond)
}

// expected returns the time for which a request of the given cost is expected to
// hold a slot.
func (h *holdTimeMeter) expected(cost float64) time.Duration {
	return time.Duration(cost * float64(h.perCost()))
}
