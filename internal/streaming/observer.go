package streaming

import (
	"expvar"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// AttemptReport is what one attempt did, told when it has ended.
type AttemptReport struct {
	Key      Key
	Attempt  uint32
	Instance ident.Instance
	// Cause of this attempt.
	Cause Cause
	// NextCause is the cause of the attempt that follows; "" when the answer is
	// whole or the request was given up on.
	NextCause Cause
	// Fault is set when Next is CauseFault.
	Fault Fault
	// Err is what the engine or its connection failed with, or nil.
	Err error
	// Recomputed is how many tokens the engine had to prefill although an
	// earlier attempt may have computed them.
	Recomputed int
	// Imported is how many tokens came with a moved KV cache.
	Imported int
	// Tokens is how many new tokens the attempt brought.
	Tokens int
	// Took is the time from opening to the end.
	Took time.Duration
}

// Observer hears of every attempt's end. It must not block.
type Observer interface {
	AttemptEnded(AttemptReport)
}

// The figures of all token streams of this process. The maps are keyed by
// Cause, that of faults by Fault. Streams is how many are kept now.
var (
	attemptsVar   = expvar.NewMap("goldcrestspool.streaming.attempts")
	recomputedVar = expvar.NewMap("goldcrestspool.streaming.tokens_recomputed")
	importedVar   = expvar.NewInt("goldcrestspool.streaming.tokens_imported")
	assembledVar  = expvar.NewInt("goldcrestspool.streaming.tokens_assembled")
	silentVar     = expvar.NewInt("goldcrestspool.streaming.connections_silent")
	faultsVar     = expvar.NewMap("goldcrestspool.streaming.faults")
	streamsVar    = expvar.NewInt("goldcrestspool.streaming.streams")
	handedOverVar = expvar.NewInt("goldcrestspool.streaming.streams_handed_over")
	leftVar       = expvar.NewInt("goldcrestspool.streaming.streams_left")
)

// recordMetrics adds a report to the process's figures.
func recordMetrics(r AttemptReport) {
	attemptsVar.Add(string(r.Cause), 1)
	assembledVar.Add(int64(r.Tokens))
	importedVar.Add(int64(r.Imported))
	if r.Recomputed > 0 {
		recomputedVar.Add(string(r.Cause), int64(r.Recomputed))
	}
	if r.NextCause == CauseSilent {
		silentVar.Add(1)
	}
	if r.Fault != "" {
		faultsVar.Add(string(r.Fault), 1)
	}
}
