package quota

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Tolerance is the amount by which an account may exceed its limit in a window before that counts
// as a violation.
type Tolerance struct {
	Window time.Duration
	// Overage is a fraction of what the limit allows in a window. Slack is an amount on top of
	// that, in the account's unit (requests or tokens).
	Overage, Slack float64
}

// What may be admitted in a window beyond the account's rate (its burst and the tolerance) is divided
// into these shares. They add up to 1, so that the limit holds whatever each gateway does before it
// hears from the others again. docs/design/quota.md lists the terms.
const (
	// extraRateShare is spread over the window, on top of the rate.
	extraRateShare = 0.25
	// poolShare is the capacity of the pool, from which gateways borrow.
	poolShare = 0.45
	// partsShare is the capacity of all gateways' own parts together.
	partsShare = 0.15
	// The rest covers what two pools create while gateways learn that another gateway keeps the
	// pool, and loans that are still on their way.
)

// partsRateShare is the fraction of the rate that refills the gateways' own parts. The rest refills
// the pool.
const partsRateShare = 0.02

// allotment is an account's limit, divided between the pool and the gateways' own parts.
type allotment struct {
	// poolRate and poolSize are the refill per second and the capacity of the pool. partsRate and
	// partsSize are those of all gateways' own parts together.
	poolRate, poolSize, partsRate, partsSize float64
}

// allot divides an account's limit.
func (t Tolerance) allot(limit *routetable.Account) allotment {
	window := t.Window.Seconds()
	beyondRate := limit.Burst + t.Overage*(limit.Rate*window+limit.Burst) + t.Slack
	rate := limit.Rate + extraRateShare*beyondRate/window
	return allotment{
		poolRate: (1 - partsRateShare) * rate, poolSize: poolShare * beyondRate,
		partsRate: partsRateShare * rate, partsSize: partsShare * beyondRate,
	}
}

// scaled returns the part of the allotment for a fraction of the gateways.
func (a allotment) scaled(share float64) allotment {
	return allotment{poolRate: share * a.poolRate, poolSize: share * a.poolSize, partsRate: share * a.partsRate, partsSize: share * a.partsSize}
}
