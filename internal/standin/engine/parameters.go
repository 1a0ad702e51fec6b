// Package engine is a stand-in for a model engine.
//
// Model is the engine as a deterministic state machine: it reads no clock,
// starts no goroutine and draws no random numbers, so that a discrete-event
// loop can drive many of them in virtual time. Engine runs one Model in real
// time and implements upstream.Engine.
package engine

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Parameters describe how an engine behaves. docs/design/engine-stand-in.md
// justifies the defaults.
type Parameters struct {
	// StepTokens is the token budget of one step: one for each stream that
	// decodes, the rest for chunks of prefill.
	StepTokens int
	// StepBase is the duration of a step apart from its contents.
	StepBase time.Duration
	// StepPerStream is added for each stream that decodes in a step.
	StepPerStream time.Duration
	// PrefillRate is in tokens a second.
	PrefillRate float64
	// MaxRunning bounds the streams in the batch.
	MaxRunning int
	// MemoryBlocks is the KV memory in blocks of prompt.BlockTokens, for
	// running streams and cached prefixes together.
	MemoryBlocks int
	// ReportLag is how old the figures of a load report are.
	ReportLag time.Duration
	// EventLag is how late cache events become readable.
	EventLag time.Duration
	// EventGapEvery loses one run of cache events in so many; 0 loses none.
	EventGapEvery uint64
	// MaxKeptEvents is how many cache events are kept for readers.
	MaxKeptEvents int
	// TransferRate is the bandwidth of KV export and import in tokens a
	// second.
	TransferRate float64
	// Slowdown multiplies the duration of every step without showing in
	// reports. 0 counts as 1.
	Slowdown float64
	// StartDelay is the time from a start to the first request served.
	StartDelay time.Duration
	// FailingStarts is how many starts fail before one succeeds.
	FailingStarts int
}

// DefaultParameters describe one runner of the users' target: 8 accelerators
// that generate some 2,200 tokens a second at 44 ms between tokens.
func DefaultParameters() Parameters {
	return Parameters{
		StepTokens:    384,
		StepBase:      10 * time.Millisecond,
		StepPerStream: 200 * time.Microsecond,
		PrefillRate:   20000,
		MaxRunning:    96,
		MemoryBlocks:  6144,
		ReportLag:     250 * time.Millisecond,
		EventLag:      500 * time.Millisecond,
		MaxKeptEvents: 1 << 14,
		TransferRate:  50000,
		StartDelay:    30 * time.Second,
	}
}

// StartResult tells how long the attempt-th start (from 1) of an engine takes
// and whether it succeeds.
func (p Parameters) StartResult(attempt int) (delay time.Duration, ok bool) {
	return p.StartDelay, attempt > p.FailingStarts
}

// TransferTime is how long export or import of so many tokens takes.
func (p Parameters) TransferTime(tokens int) time.Duration {
	return seconds(float64(tokens) / p.TransferRate)
}

func (p Parameters) slowdown() float64 {
	if p.Slowdown <= 0 {
		return 1
	}
	return p.Slowdown
}

// stepTime is the duration of a step as the engine itself reports it.
func (p Parameters) stepTime(decoding, prefill int) time.Duration {
	d := p.StepBase + time.Duration(decoding)*p.StepPerStream
	return d + seconds(float64(prefill)/p.PrefillRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Work is one attempt of a request at an engine.
type Work struct {
	ID ident.Request
	// Tag is echoed with each token, for the owner's use.
	Tag int
	// Priority: higher is served first.
	Priority int32
	// Blocks are the prefix blocks of the prompt.
	Blocks []uint64
	// Context is the number of tokens to hold in cache before the first
	// token: the prompt and what was delivered already.
	Context int
	// Output is the number of tokens still to generate.
	Output int
}

// Token is one generated token.
type Token struct {
	ID  ident.Request
	Tag int
	// Index counts the tokens of this attempt from 0.
	Index int
	Done  bool
	// Prefilled is set on the first token: how many tokens of the context
	// this attempt had to compute.
	Prefilled int
}

// Exported is the KV cache of one stream.
type Exported struct {
	Blocks []uint64
	// Tokens of the context that the cache covers.
	Tokens int
}
