package streaming

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// entry is one stream that a gateway keeps. The registry's lock guards its
// fields unless stated otherwise.
type entry struct {
	req Request
	// answer has its own lock.
	answer *answer
	cancel context.CancelCauseFunc
	// done is closed when the run has ended. The fields resumable, final and
	// finalWithheld are written only before that, so that they may be read
	// without the lock once done is closed.
	done chan struct{}
	// resumable is the request with everything that the run achieved, ready to
	// be resumed.
	resumable Request
	// final is the run's outcome.
	final outcome.Outcome
	// ended: the run has ended.
	ended bool
	// finalWithheld: the callers are told the outcome only after the hand-over.
	finalWithheld bool
	// callers is the number of callers that follow the answer.
	callers int
	// timer ends the current period without a caller; nil while there is a
	// caller. idlePeriods counts the periods that have ended.
	timer       *time.Timer
	idlePeriods uint64
}

// mayComplete reports whether following the entry can still give the complete
// answer: the run goes on, or has completed.
func (e *entry) mayComplete() bool {
	return !e.ended || e.final.Kind == outcome.Completed
}

// tokens returns the answer so far.
func (e *entry) tokens() []string {
	tokens, _ := e.answer.snapshot()
	return tokens
}

// hasPrefix reports whether the entry's answer begins with the tokens delivered
// to a caller.
func (e *entry) hasPrefix(delivered []string) bool {
	tokens := e.tokens()
	return len(delivered) <= len(tokens) && slices.Equal(delivered, tokens[:len(delivered)])
}

// serve runs the entry's request to its end. If replaced is not nil, it first
// waits for the run of the replaced entry to end: two runs of one request at the
// same time would cost engines twice and share attempt numbers.
func (e *entry) serve(ctx context.Context, runner *Runner, replaced *entry) {
	req := e.req
	if replaced != nil {
		<-replaced.done
		req.LastAttempt = replaced.resumable.LastAttempt
		req.LastInstance = replaced.resumable.LastInstance
	}
	if !req.Deadline.IsZero() {
		deadlineCtx, cancel := context.WithDeadline(ctx, req.Deadline)
		defer cancel()
		ctx = deadlineCtx
	}
	r := newRun(runner, req, e.answer)
	e.final = r.loop(ctx)
	e.resumable = r.resumableRequest()
	e.finalWithheld = errors.Is(context.Cause(ctx), errLeaving) && e.final.Kind != outcome.Completed
	close(e.done)
}

// resumableRequest returns the request with everything that the run has
// achieved so far.
func (r *run) resumableRequest() Request {
	req := r.req
	req.Delivered = r.assembler.Answer()
	req.LastInstance = r.lastInstance
	req.LastAttempt = r.assembler.Attempt()
	return req
}
