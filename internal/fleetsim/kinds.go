// Package fleetsim simulates the decisions of entry gateways (placement, number of
// upstreams, refusals and retry-after times) with models of engines of any kind, in virtual
// time and without a network. Hundreds of gateways know each other's load with the delay of
// their exchange of reports. The simulation shows which requests wait, which are refused,
// where they are sent and what the upstreams cost, also for kinds of engines and sizes that
// no deployment has yet.
//
// The decisions are made by the product's own packages (routing/placement, scaling,
// enginemodel); only engines, callers, the delay of reports and the cloud are models.
package fleetsim

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

// EngineKind is a kind of engine.
type EngineKind struct {
	Name string
	// TokensPerMS is how many prompt tokens the engine reads per millisecond.
	TokensPerMS float64
	// Step is the duration of a step, and StepPerStream the time that each stream adds.
	Step, StepPerStream time.Duration
	// Slots is how many requests the engine runs at a time.
	Slots int
	// FirstEventDelay is the time that events take in addition to the engine's steps.
	FirstEventDelay time.Duration
	// Slowdown is the factor by which every third engine is slower; 1 if none is.
	Slowdown float64
}

// EngineKinds returns the users' three kinds of engines and two more extreme ones. They span
// the ranges of reading rate, step and slots for which the policies must work.
func EngineKinds() []EngineKind {
	return []EngineKind{
		{Name: "12 slots", TokensPerMS: 92, Step: 3030 * time.Microsecond, StepPerStream: 121 * time.Microsecond, Slots: 12, FirstEventDelay: 60 * time.Millisecond, Slowdown: 1.3},
		{Name: "64 slots", TokensPerMS: 92, Step: 3030 * time.Microsecond, StepPerStream: 121 * time.Microsecond, Slots: 64, FirstEventDelay: 60 * time.Millisecond, Slowdown: 1},
		{Name: "slow, 16 slots", TokensPerMS: 31, Step: 6170 * time.Microsecond, StepPerStream: 200 * time.Microsecond, Slots: 16, FirstEventDelay: 60 * time.Millisecond, Slowdown: 1},
		{Name: "tiny, 6 slots", TokensPerMS: 10, Step: 12 * time.Millisecond, StepPerStream: 500 * time.Microsecond, Slots: 6, FirstEventDelay: 20 * time.Millisecond, Slowdown: 1},
		{Name: "huge, 256 slots", TokensPerMS: 200, Step: 3 * time.Millisecond, StepPerStream: 40 * time.Microsecond, Slots: 256, FirstEventDelay: 30 * time.Millisecond, Slowdown: 1.3},
	}
}

// prefillTokensPerStep is how many prompt tokens an engine reads in a step in addition to the
// tokens that it generates.
const prefillTokensPerStep = 1024

// memoryBlocks is the size of an engine's memory in blocks of prompt tokens. It is that of
// the users' engines with 12 slots.
const memoryBlocks = 430_000 / prompt.BlockTokens

func (k EngineKind) parameters(slowdown float64) engine.Parameters {
	p := engine.DefaultParameters()
	p.StepTokens, p.StepBase, p.StepPerStream = prefillTokensPerStep, k.Step, k.StepPerStream
	p.PrefillRate, p.MaxRunning, p.MemoryBlocks, p.Slowdown = k.TokensPerMS*1000, k.Slots, memoryBlocks, slowdown
	return p
}

// FleetSize is the number of gateways and failure domains, and the mean age of what the
// gateways know of each other's load.
type FleetSize struct {
	Gateways, Domains int
	ReportAge         time.Duration
}

// FleetSizes returns the simulated sizes. Their ages are those that the exchange between
// gateways reaches in its own test.
func FleetSizes() []FleetSize {
	return []FleetSize{
		{Gateways: 8, Domains: 4, ReportAge: 85 * time.Millisecond},
		{Gateways: 78, Domains: 3, ReportAge: 310 * time.Millisecond},
		{Gateways: 195, Domains: 6, ReportAge: 330 * time.Millisecond},
		{Gateways: 330, Domains: 10, ReportAge: 320 * time.Millisecond},
	}
}

// RequestKind is a kind of request.
type RequestKind struct {
	Name string
	// Share is the fraction of all requests.
	Share float64
	// OwnTokens is the mean length of the part of the prompt that only this request has.
	// It is log-normal; Spread is the standard deviation of the logarithm. SharedTokens is
	// the length of the part before it, which is one of SharedPrompts texts.
	OwnTokens, Spread float64
	SharedTokens      int
	SharedPrompts     int
	// OutputTokens is the mean number of generated tokens.
	OutputTokens float64
	Objective    time.Duration
	Deadline     time.Duration
	Worth        float64
	Priority     int
}

// requestKinds returns the users' three kinds of requests: long drafts, short notices, and
// tags. Sizes and objectives are for engines that read 92 tokens per millisecond. For other
// engines sizes are multiplied, and objectives divided, by the square root of the relative
// speed, as the users' are.
func requestKinds() []RequestKind {
	return []RequestKind{
		{Name: "draft", Share: 0.24, OwnTokens: 6610, Spread: 1.0, SharedTokens: 5376, SharedPrompts: 300, OutputTokens: 380, Objective: time.Second, Deadline: 12 * time.Second, Worth: 3.9, Priority: 1},
		{Name: "notice", Share: 0.23, OwnTokens: 628, Spread: 0.8, SharedTokens: 192, SharedPrompts: 300, OutputTokens: 290, Objective: 400 * time.Millisecond, Deadline: 10 * time.Second, Worth: 2.6},
		{Name: "tag", Share: 0.53, OwnTokens: 1800, Spread: 0.9, SharedTokens: 576, SharedPrompts: 400, OutputTokens: 24, Objective: 500 * time.Millisecond, Deadline: 2500 * time.Millisecond, Worth: 0.3, Priority: 2},
	}
}

// Load is the course of the traffic and the reclaims in a run.
type Load struct {
	Name string
	// Burst multiplies the traffic from BurstFrom to BurstTo.
	Burst              float64
	BurstFrom, BurstTo time.Duration
	// HotKeyShare is the fraction of requests that additionally have the same shared part.
	HotKeyShare float64
	// Reclaims are the times at which the reclaimable engines of a failure domain are
	// reclaimed, of one domain after the other. The cloud starts no reclaimable engines
	// until UnavailableFor after these have ended.
	Reclaims       []time.Duration
	UnavailableFor time.Duration
}

// Loads returns a calm load and the heaviest ones that occur in the users' days.
func Loads() []Load {
	at := func(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
	return []Load{
		{Name: "calm", Burst: 1},
		{Name: "burst", Burst: 1.7, BurstFrom: at(18), BurstTo: at(23)},
		{Name: "hot key", Burst: 1, HotKeyShare: 0.3},
		{Name: "reclaims", Burst: 1, Reclaims: []time.Duration{at(15), at(21), at(27)}, UnavailableFor: at(3)},
		{Name: "reclaims and burst", Burst: 1.7, BurstFrom: at(19), BurstTo: at(23), Reclaims: []time.Duration{at(15), at(19), at(32)}, UnavailableFor: at(4)},
	}
}

const (
	// arrivalsEnd is the time until which requests arrive. Those before warmUp do not
	// count, so that the policies know the engines and the traffic by then.
	arrivalsEnd = 40 * time.Second
	warmUp      = 8 * time.Second
	// requestsPerArrival is how many requests arrive together: the users' traffic is that
	// uneven.
	requestsPerArrival = 3
)
