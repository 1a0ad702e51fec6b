package routing

import (
	"math/rand/v2"
	"time"
)

// Params tune a Router. The defaults come from runs of `make policy`; see
// docs/design/routing.md.
type Params struct {
	EngineParams
	LimitParams
	Weights
	// Random returns random numbers; it must be safe for concurrent use.
	Random func() uint64
}

// EngineParams are assumed of engines where their reports give no value.
type EngineParams struct {
	// StepTokens is the token budget of an engine step.
	StepTokens float64
	// BatchLimit is how many requests run at once, until learnBatch lowers it.
	BatchLimit float64
	// PrefillRate is in tokens per second.
	PrefillRate float64
	// StepTime is the time between two tokens of a stream.
	StepTime time.Duration
	// CrossDomainRTT is the round-trip time to another failure domain.
	CrossDomainRTT time.Duration
}

// LimitParams bound how many requests the gateways send to an upstream.
type LimitParams struct {
	// TargetFill is the share of an engine's batch that all gateways together
	// fill.
	TargetFill float64
	// SaturationBacklog is the backlog of prefill above which an engine counts
	// as saturated.
	SaturationBacklog time.Duration
	// SlotSmoothing is the weight of the newest view in the moving average that
	// Slots returns.
	SlotSmoothing float64
}

// Weights are the weights and thresholds of a score's terms. With
// LatenessWeight 1, a score of 1 is a first token that is late by its whole
// target. Fill is how full an upstream is; see engineState.fill.
type Weights struct {
	// RecomputeWeight is added for each second of prefill.
	RecomputeWeight float64
	// PriceWeight is added for the most expensive upstream while all are idle.
	// It falls linearly to 0 at a mean fill of PriceFadeFill, because above that
	// the expensive upstreams are needed too.
	PriceWeight, PriceFadeFill float64
	// LatenessWeight is added for a lateness of one target. Lateness counts
	// from LatenessStart on, as a share of the target. DefaultTarget is the
	// target of classes that have none.
	LatenessWeight, LatenessStart float64
	DefaultTarget                 time.Duration
	// CrowdWeight is added for each unit of fill above a threshold: the larger
	// of CrowdedFill and CrowdedOverMean times the mean fill of all upstreams.
	CrowdedFill, CrowdedOverMean, CrowdWeight float64
	// FullBacklog is the backlog of prefill that counts as a fill of 1.
	FullBacklog time.Duration
	// BalanceWeight is added for each unit of fill, whatever the threshold.
	BalanceWeight float64
	// HomeWeight is added for an upstream that is not a home of the prefix.
	// HomesPerUpstream is how many homes a prefix gets for each upstream that
	// its share of the work would fill.
	HomeWeight, HomesPerUpstream float64
	// ScoreTolerance is how much worse than the best score the score of an
	// upstream may be for the upstream to take part in the random draw.
	ScoreTolerance float64
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{
		EngineParams: EngineParams{
			StepTokens:     384,
			BatchLimit:     96,
			PrefillRate:    20000,
			StepTime:       20 * time.Millisecond,
			CrossDomainRTT: time.Millisecond,
		},
		LimitParams: LimitParams{
			TargetFill:        0.9,
			SaturationBacklog: 2 * time.Second,
			SlotSmoothing:     0.1,
		},
		Weights: Weights{
			RecomputeWeight:  20,
			PriceWeight:      0.25,
			PriceFadeFill:    0.65,
			LatenessWeight:   1,
			LatenessStart:    0.5,
			DefaultTarget:    2 * time.Second,
			CrowdedFill:      0.97,
			CrowdedOverMean:  1.2,
			CrowdWeight:      2,
			FullBacklog:      8 * time.Second,
			BalanceWeight:    0.1,
			HomeWeight:       0.25,
			HomesPerUpstream: 1.5,
			ScoreTolerance:   0.020,
		},
		Random: rand.Uint64,
	}
}
