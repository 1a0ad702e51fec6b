// Package retry decides when a request may be attempted again: only within a budget that rules out
// retry storms, after a backoff, and only if a second attempt can do no harm. Hedges (a second
// attempt while the first still runs) are taken from the same retry budget. Callers pass the time
// in; nothing here waits.
package retry

import (
	"sync"
	"time"
)

// Defaults of BudgetConfig.
const (
	DefaultRatio     = 0.1
	DefaultFloor     = 0.2
	DefaultMaxStored = 10
)

// unitsPerAttempt is how many integer units the budget counts an attempt as. Integers keep rounding
// errors from adding up to an extra attempt.
const unitsPerAttempt = 1_000_000

// BudgetConfig sets how many extra attempts are allowed.
type BudgetConfig struct {
	// Ratio is the number of extra attempts that each first attempt allows.
	Ratio float64
	// Floor is the number of extra attempts per second that are allowed even without first
	// attempts, so that a service with few requests can retry at all.
	Floor float64
	// MaxStored bounds the extra attempts that add up in the budget while none are made.
	MaxStored float64
}

func (c BudgetConfig) withDefaults() BudgetConfig {
	if c.Ratio <= 0 {
		c.Ratio = DefaultRatio
	}
	if c.Floor <= 0 {
		c.Floor = DefaultFloor
	}
	if c.MaxStored <= 0 {
		c.MaxStored = DefaultMaxStored
	}
	return c
}

// Budget limits the retries and hedges of one service at one gateway.
//
// From the budget's creation on, after f first attempts and t seconds, there are at most Ratio*f +
// Floor*t + MaxStored extra attempts, whatever fails in whatever order. All attempts together are
// then at most (1+Ratio)*f + Floor*t + MaxStored. A Budget is safe for concurrent use.
type Budget struct {
	perFirstAttempt int64
	perSecond       int64
	maxStored       int64

	mu     sync.Mutex
	stored int64
	// floorPaidAt is the time up to which the floor was added.
	floorPaidAt time.Time
}

// NewBudget returns a budget that is filled to its maximum.
func NewBudget(config BudgetConfig, now time.Time) *Budget {
	config = config.withDefaults()
	maxStored := int64(config.MaxStored * unitsPerAttempt)
	return &Budget{
		perFirstAttempt: int64(config.Ratio * unitsPerAttempt),
		perSecond:       int64(config.Floor * unitsPerAttempt),
		maxStored:       maxStored,
		stored:          maxStored,
		floorPaidAt:     now,
	}
}

// RecordFirstAttempt records a request's first attempt, which allows Ratio extra attempts.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stored = min(b.stored+b.perFirstAttempt, b.maxStored)
}

// Spend takes one extra attempt from the budget. If the budget doesn't allow one, it returns false
// and takes nothing.
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

// payFloor adds the floor for the time since it was last added. If the clock went back, it adds
// nothing.
func (b *Budget) payFloor(now time.Time) {
	elapsed := now.Sub(b.floorPaidAt)
	if elapsed <= 0 {
		return
	}
	fullAfter := time.Duration(float64(b.maxStored)/float64(max(b.perSecond, 1))*float64(time.Second)) + time.Second
	if elapsed >= fullAfter {
		b.stored, b.floorPaidAt = b.maxStored, now
		return
	}
	paid := int64(float64(b.perSecond) * elapsed.Seconds())
	if paid == 0 {
		// The time is too short for a whole unit. floorPaidAt stays, so that short times add up.
		return
	}
	b.stored = min(b.stored+paid, b.maxStored)
	b.floorPaidAt = now
}
