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
	// BatchLimit is how many requests run at once at an engine.
	BatchLimit float64
	// PrefillRate is assumed, in tokens a second, until a report tells it.
	PrefillRate float64
	// Step is assumed to be the time between tokens until a report tells it.
	Step time.Duration
	// Hop is the round trip to another failure domain.
	Hop time.Duration
	// PriceWeight is how many seconds of waiting one second of engine time
	// at the highest price is worth.
	PriceWeight float64
	// NearEqual is how much worse than the best, in seconds, a score may be
	// for its upstream to be drawn as well.
	NearEqual float64
	// Random returns random numbers; it must be safe for concurrent use.
	Random func() uint64
}

// DefaultParams returns the measured defaults.
func DefaultParams() Params {
	return Params{
		StepTokens:  384,
		BatchLimit:  96,
		PrefillRate: 20000,
		Step:        20 * time.Millisecond,
		Hop:         time.Millisecond,
		PriceWeight: 0.5,
		NearEqual:   0.020,
		Random:      rand.Uint64,
	}
}
