package streaming

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// entry is one stream that a gateway keeps. Its fields are guarded by the
// registry's lock, but for those that say otherwise.
type entry struct {
	req Request
	// answer guards itself.
	answer *answer
	cancel context.CancelCauseFunc
	// done is closed when the run has ended. Reached and last are written
	// before, and may be read without the lock after.
	done chan struct{}
	// resumable is the request as the run left it, ready to be resumed.
	resumable Request
	final     outcome.Outcome
	// ended: the run has ended.
	ended bool
	// withheld: the callers are not told the end before the hand-over.
	finalWithheld bool
	// callers counts the callers that follow the answer.
	callers int
	// timer ends the entry's time without a caller; rests counts how many
	// such times are over.
	timer       *time.Timer
	idlePeriods uint64
}

// mayComplete reports whether following the entry leads to the whole answer, as far
// as is known.
func (e *entry) mayComplete() bool {
	return !e.ended || e.final.Kind == outcome.Completed
}

// tokens returns the answer so far.
func (e *entry) tokens() []string {
	tokens, _ := e.answer.snapshot()
	return tokens
}

// hasPrefix reports whether the entry's answer goes on from what a caller has.
func (e *entry) hasPrefix(delivered []string) bool {
	tokens := e.tokens()
	return len(delivered) <= len(tokens) && slices.Equal(delivered, tokens[:len(delivered)])
}

// serve runs the entry's request to its end. When the entry took the place of
// another one, it first waits for that one's run to end: two runs of one
// request at once would cost an engine twice and share attempt numbers.
func (e *entry) serve(ctx context.Context, runner *Runner, before *entry) {
	req := e.req
	if before != nil {
		<-before.done
		req.Attempt = before.resumable.Attempt
		req.Served = before.resumable.Served
	}
	if !req.Deadline.IsZero() {
		timed, cancel := context.WithDeadline(ctx, req.Deadline)
		defer cancel()
		ctx = timed
	}
	r := newRun(runner, req, e.answer)
	e.final = r.loop(ctx)
	e.resumable = r.resumableRequest()
	e.finalWithheld = errors.Is(context.Cause(ctx), errLeaving) && e.final.Kind != outcome.Completed
	close(e.done)
}

// resumableRequest returns the request as it stands, ready to be resumed.
func (r *run) resumableRequest() Request {
	req := r.req
	req.Delivered = r.assembler.Answer()
	req.Served = r.lastInstance
	req.Attempt = r.assembler.Attempt()
	return req
}
