// Package retry decides when a request may be tried again: from a budget that
// makes a retry storm impossible, after a backoff, and only where a second
// attempt can do no harm. Hedges (a second attempt while the first still runs)
// pay from the same budget. Time is passed in; nothing here waits.
package retry

import (
	"sync"
	"time"
)

// Defaults of BudgetConfig.
const (
	DefaultRatio      = 0.1
	DefaultFloor      = 0.2
	DefaultMostStored = 10
)

// unitsPerAttempt is one attempt in the budget's integer arithmetic, so that no rounding
// can add up to an attempt too many.
const unitsPerAttempt = 1_000_000

// BudgetConfig sets how many extra attempts are allowed.
type BudgetConfig struct {
	// Ratio of extra attempts to first tries.
	Ratio float64
	// Floor is extra attempts a second that are allowed even without first
	// tries, so that a quiet service can retry at all.
	Floor float64
	// MostStored bounds the attempts saved up in quiet times.
	MostStored float64
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Ratio <= 0 {
		c.Ratio = DefaultRatio
	}
	if c.Floor <= 0 {
		c.Floor = DefaultFloor
	}
	if c.MostStored <= 0 {
		c.MostStored = DefaultMostStored
	}
	return c
}

// Budget is shared by all retries and hedges of one service at one gateway.
//
// Bound: from the budget's creation on, after f first tries and t seconds, the
// extra attempts are at most Ratio*f + Floor*t + MostStored, whatever fails
// and in whatever order. The attempts sent are then at most (1+Ratio)*f +
// Floor*t + MostStored. It is safe for concurrent use.
type Budget struct {
	perFirstTry int64
	perSecond   int64
	maxStored   int64

	mu     sync.Mutex
	stored int64
	// floorPaidAt is up to when the floor was paid in.
	floorPaidAt time.Time
}

// NewBudget returns a budget that holds MostStored attempts.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	config = config.withDefaults()
	most := int64(config.MostStored * unitsPerAttempt)
	return &Budget{
		perFirstTry: int64(config.Ratio * unitsPerAttempt),
		perSecond:   int64(config.Floor * unitsPerAttempt),
		maxStored:   most,
		stored:      most,
		floorPaidAt: now,
	}
}

// FirstTry pays in for a request's first attempt.
func (b *Budget) FirstTry() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stored = min(b.stored+b.perFirstTry, b.maxStored)
}

// Spend takes one extra attempt out of the budget. It reports false, and takes
// nothing, when the budget does not allow one.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.payFloor(now)
	if b.stored < unitsPerAttempt {
		return false
	}
	b.stored -= unitsPerAttempt
	return true
}

// payFloor pays in the floor. Times that run backwards pay nothing.
func (b *Budget) payFloor(now time.Time) {
	elapsed := now.Sub(b.floorPaidAt)
	if elapsed <= 0 {
		return
	}
	longest := time.Duration(float64(b.maxStored)/float64(max(b.perSecond, 1))*float64(time.Second)) + time.Second
	if elapsed >= longest {
		b.stored, b.floorPaidAt = b.maxStored, now
		return
	}
	paid := int64(float64(b.perSecond) * elapsed.Seconds())
	if paid == 0 {
		// Too short to pay a whole unit: let the time add up.
		return
	}
	b.stored = min(b.stored+paid, b.maxStored)
	b.floorPaidAt = now
}
