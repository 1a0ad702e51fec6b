package routing

import (
	"math/rand/v2"
	"time"
)

// Params tune a Router. Their defaults were measured with `make policy`; see
// docs/design/routing.md.
type Params struct {
	// StepTokens is the engines' token budget of a step.
	StepTokens float64
	// BatchLimit is how many requests are taken to run at once at an engine
	// until its queue shows that fewer do; Filled is the share of that which
	// gateways fill.
	BatchLimit, Filled float64
	// SlotRate is the weight of one view in what Slots returns.
	SlotRate float64
	// PrefillRate is assumed, in tokens a second, until a report tells it.
	PrefillRate float64
	// Step is assumed to be the time between tokens until a report tells it.
	Step time.Duration
	// Hop is the round trip to another failure domain.
	Hop time.Duration
	// Target is the time to the first token of classes without one.
	Target time.Duration
	// Comfort is the share of the target up to which waiting costs nothing.
	Comfort float64
	// RecomputeWeight and PriceWeight are what a second of prefill costs, and
	// what a second at the highest price costs, in seconds of lateness as a
	// share of the target.
	RecomputeWeight, PriceWeight float64
	// PriceUpTo is the mean fill from which on prices no longer count: the dear upstreams are needed then.
	PriceUpTo float64
	// PriceHome is how fast the dearest upstream loses its part in being home
	// to prefixes as there is more slack, down to LeastHome.
	PriceHome, LeastHome float64
	// LateWeight is what a whole target of lateness costs.
	LateWeight float64
	// FullBacklog is the backlog of prefill that counts like a full batch.
	FullBacklog time.Duration
	// Crowded is the fill from which on an upstream is avoided, Bound how far
	// above the mean of all upstreams it may be nevertheless, and CrowdWeight
	// what a fill of 1 beyond both costs.
	Crowded, Bound, CrowdWeight float64
	// BalanceWeight is what a fill of 1 costs in any case.
	BalanceWeight float64
	// HomeWeight is what an upstream costs that is no home of the prefix, and
	// HomeSpread how many homes a prefix has for each upstream that its share
	// of the work would fill.
	HomeWeight, HomeSpread float64
	// NearEqual is how much worse than the best, in seconds, a score may be
	// for its upstream to be drawn as well.
	NearEqual float64
	// Random returns random numbers; it must be safe for concurrent use.
	Random func() uint64
}

// DefaultParams returns the measured defaults.
func DefaultParams() Params {
	return Params{
		StepTokens:      384,
		BatchLimit:      96,
		Filled:          1,
		SlotRate:        0.1,
		PrefillRate:     20000,
		Step:            20 * time.Millisecond,
		Hop:             time.Millisecond,
		Target:          2 * time.Second,
		Comfort:         0.5,
		RecomputeWeight: 20,
		PriceWeight:     0.6,
		PriceUpTo:       0.65,
		PriceHome:       2,
		LeastHome:       0.05,
		LateWeight:      1,
		FullBacklog:     2 * time.Second,
		Crowded:         0.97,
		Bound:           1.2,
		CrowdWeight:     2,
		BalanceWeight:   0.1,
		HomeWeight:      0.25,
		HomeSpread:      1.5,
		NearEqual:       0.020,
		Random:          rand.Uint64,
	}
}
