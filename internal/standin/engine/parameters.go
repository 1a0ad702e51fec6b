// Package engine is a stand-in for a model engine.
//
// Model is the engine as a deterministic state machine: it reads no clock,
// starts no goroutine and uses no random numbers, so that a discrete-event
// simulation can run many of them in virtual time. Engine runs one Model in real
// time and implements upstream.Engine.
package engine

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Parameters describe how an engine behaves. docs/design/engine-stand-in.md
// justifies the defaults.
type Parameters struct {
	// StepTokens is the token budget of one step: one token for each stream that
	// decodes, the rest for chunks of prefill.
	StepTokens int
	// StepBase is the duration of a step without any tokens.
	StepBase time.Duration
	// StepPerStream is what each stream that decodes adds to a step's duration.
	StepPerStream time.Duration
	// PrefillRate is the speed of prefill in tokens a second.
	PrefillRate float64
	// MaxRunning is the maximum number of streams in the batch.
	MaxRunning int
	// MemoryBlocks is the KV memory in blocks of prompt.BlockTokens, for
	// running streams and cached prefixes together.
	MemoryBlocks int
	// ReportLag is the age of the load in a report.
	ReportLag time.Duration
	// EventLag is the time after which cache events become readable.
	EventLag time.Duration
	// EventGapEvery is the mean number of runs of eventsPerGap cache events of
	// which one is lost; 0 loses none.
	EventGapEvery uint64
	// MaxKeptEvents is the number of newest cache events that are kept at least.
	MaxKeptEvents int
	// TransferRate is the bandwidth of KV export and import in tokens a
	// second.
	TransferRate float64
	// Slowdown is a factor on the duration of every step that reports don't show;
	// 0 means 1.
	Slowdown float64
	// StartDelay is the time from the start of an engine to its first request.
	StartDelay time.Duration
	// FailingStarts is the number of starts that fail before one succeeds.
	FailingStarts int
}

// DefaultParameters returns the parameters of one engine of the users' target
// system: 8 accelerators that generate about 2,200 tokens a second with 44 ms
// between tokens.
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

// StartResult returns how long a start of an engine takes and whether it succeeds;
// attempt counts the starts from 1.
func (p Parameters) StartResult(attempt int) (delay time.Duration, ok bool) {
	return p.StartDelay, attempt > p.FailingStarts
}

// TransferTime returns how long the export or import of the KV cache of so many
// tokens takes.
func (p Parameters) TransferTime(tokens int) time.Duration {
	return seconds(float64(tokens) / p.TransferRate)
}

func (p Parameters) slowdown() float64 {
	if p.Slowdown <= 0 {
		return 1
	}
	return p.Slowdown
}

// stepTime returns the duration of a step as the engine reports it, without
// Slowdown. decoding is the number of streams that decode, prefill the number of
// tokens that are prefilled.
func (p Parameters) stepTime(decoding, prefill int) time.Duration {
	d := p.StepBase + time.Duration(decoding)*p.StepPerStream
	return d + seconds(float64(prefill)/p.PrefillRate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Attempt is one attempt of a request at an engine.
type Attempt struct {
	ID ident.Request
	// Tag is returned with each token, for the use of the caller.
	Tag int
	// Priority orders the attempts; higher ones are served first.
	Priority int32
	// Blocks are the prefix blocks of the prompt.
	Blocks []uint64
	// ContextTokens is the number of tokens that must be in memory before the first
	// token is generated: the prompt and the tokens delivered already.
	ContextTokens int
	// OutputTokens is the number of tokens still to generate.
	OutputTokens int
}

// Token is one generated token.
type Token struct {
	// ID and Tag are those of the attempt.
	ID  ident.Request
	Tag int
	// Index counts the tokens of this attempt from 0.
	Index int
	// Done marks the last token of the attempt.
	Done bool
	// Prefilled is the number of context tokens that were computed for this
	// attempt. It is set on the first token only.
	Prefilled int
}

// ExportedCache is the KV cache of one stream.
type ExportedCache struct {
	// Blocks are the hashes of its prefix blocks.
	Blocks []uint64
	// Tokens is the number of context tokens that the cache covers.
	Tokens int
}
