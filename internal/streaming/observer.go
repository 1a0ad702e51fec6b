package streaming

import (
	"expvar"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// AttemptReport describes one attempt that has ended.
type AttemptReport struct {
	Key      Key
	Attempt  uint32
	Instance ident.Instance
	// Cause is why the attempt was opened.
	Cause Cause
	// NextCause is the cause of the attempt that follows, or "" if the answer
	// is complete or the run was stopped.
	NextCause Cause
	// Fault is set if NextCause is CauseFault.
	Fault Fault
	// Err is the error of the engine or of the connection to it, or nil.
	Err error
	// Recomputed is the number of tokens that the engine had to prefill
	// although an earlier attempt may have computed them.
	Recomputed int
	// Imported is the number of tokens that came with a moved KV cache.
	Imported int
	// Tokens is the number of new tokens that the attempt produced.
	Tokens int
	// Took is the time from opening to the end.
	Took time.Duration
}

// Observer is notified of the end of every attempt.
type Observer interface {
	// AttemptEnded must not block. It may be called concurrently.
	AttemptEnded(AttemptReport)
}

// The metrics of all token streams of this process. faultsVar is keyed by Fault,
// the other maps by Cause. streamsVar is the number of streams that the process
// keeps now; notHandedOverVar counts the streams that no peer accepted.
var (
	attemptsVar      = expvar.NewMap("goldcrestspool.streaming.attempts")
	recomputedVar    = expvar.NewMap("goldcrestspool.streaming.tokens_recomputed")
	importedVar      = expvar.NewInt("goldcrestspool.streaming.tokens_imported")
	assembledVar     = expvar.NewInt("goldcrestspool.streaming.tokens_assembled")
	silentVar        = expvar.NewInt("goldcrestspool.streaming.connections_silent")
	faultsVar        = expvar.NewMap("goldcrestspool.streaming.faults")
	streamsVar       = expvar.NewInt("goldcrestspool.streaming.streams")
	handedOverVar    = expvar.NewInt("goldcrestspool.streaming.streams_handed_over")
	notHandedOverVar = expvar.NewInt("goldcrestspool.streaming.streams_left")
)

// recordMetrics adds an attempt to the process's metrics.
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
