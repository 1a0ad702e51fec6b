package routing

import (
	"math/rand/v2"
	"time"
)

// Params tune a Router. Their defaults were measured with `make policy`; see
// docs/design/routing.md.
type Params struct {
	EngineParams
	LimitParams
	Weights
	// Random returns random numbers; it must be safe for concurrent use.
	Random func() uint64
}

// EngineParams are what is taken to be true of engines until reports tell.
type EngineParams struct {
	// StepTokens is the token budget of a step.
	StepTokens float64
	// BatchLimit is how many requests run at once; see learnBatch.
	BatchLimit float64
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// StepTime is the time between two tokens.
	StepTime time.Duration
	// CrossDomainRTT is the round trip to another failure domain.
	CrossDomainRTT time.Duration
}

// LimitParams bound what gateways send to an upstream.
type LimitParams struct {
	// TargetFill is the share of a batch that gateways fill.
	TargetFill float64
	// SaturationBacklog is the backlog of prefill from which on an engine counts as
	// saturated.
	SaturationBacklog time.Duration
	// SlotSmoothing is the weight of one view in what Slots returns.
	SlotSmoothing float64
}

// Weights are the terms of a score. A score of 1 is a first token that comes
// a whole target too late.
type Weights struct {
	// RecomputeWeight is what a second of prefill costs.
	RecomputeWeight float64
	// PriceWeight is what the dearest upstream costs while all are idle. It
	// fades up to a mean fill of PriceUpTo: then the dear ones are needed.
	PriceWeight, PriceFadeFill float64
	// LatenessWeight is what a target of lateness costs. Lateness counts from
	// Comfort on, as a share of the target; Target is that of classes without.
	LatenessWeight, LatenessStart float64
	DefaultTarget                 time.Duration
	// CrowdedFill is the fill from which on an upstream is avoided, Bound how far
	// above the mean of all upstreams it may be nevertheless, and CrowdWeight
	// what a fill of 1 beyond both costs. A backlog of prefill of FullBacklog
	// is a fill of 1.
	CrowdedFill, CrowdedOverMean, CrowdWeight float64
	FullBacklog                               time.Duration
	// BalanceWeight is what a fill of 1 costs in any case.
	BalanceWeight float64
	// HomeWeight is what an upstream costs that is no home of the prefix, and
	// HomeSpread how many homes a prefix has for each upstream that its share
	// of the work would fill.
	HomeWeight, HomesPerUpstream float64
	// ScoreTolerance is how much worse than the best a score may be for its
	// upstream to be drawn as well.
	ScoreTolerance float64
}

// DefaultParams returns the measured defaults.
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
