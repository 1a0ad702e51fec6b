package calls

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// When callers are told to ask again.
const (
	retrySoon  = 250 * time.Millisecond
	retryLater = 2 * time.Second
)

// Do runs one attempt of a call and returns what its caller is told. It
// returns soon after ctx ends; a call that was dispatched by then goes on, and
// its outcome can be asked for by key.
//
// NotRun is only returned when neither this attempt nor an earlier one of the
// same key has run or ever will.
func (c *Coordinator) Do(ctx context.Context, call Call) outcome.Outcome {
	o := c.do(ctx, call)
	countOutcome(o)
	return o
}

func (c *Coordinator) do(ctx context.Context, call Call) outcome.Outcome {
	digest := journal.NewDigest(call.Key, call.Method, call.IssuedAt, call.Payload)
	p := c.partition(call.Key)
	if o, ok := p.knownOutcome(call.Key, &digest); ok {
		return o
	}
	if o, ok := c.admit(ctx, p, call); !ok {
		return o
	}
	if p.usedByOtherRequest(call.Key, digest) {
		return keyReusedOutcome()
	}
	if o, ok := c.settleOwner(ctx, p, call.Key, &digest); !ok {
		return o
	}
	return c.claimAndDispatch(ctx, p, call, digest, nil)
}

// refusal is the truthful answer for a call that this attempt did not dispatch
// and whose claim cannot be shown to have owned the key: an earlier attempt may
// still run.
func refusal(call Call, reason outcome.Reason, message string, retryAfter time.Duration) outcome.Outcome {
	if call.isFirstAttempt() {
		return outcome.NewNotRun(reason, message, retryAfter)
	}
	return outcome.NewUnknown(reason, message+"; an earlier attempt may have run", retryAfter)
}

// knownOutcome returns the final outcome of a key if it is known here. digest, if not
// nil, is that of the request which may hear it.
func (p *partition) knownOutcome(key ident.CallKey, digest *journal.Digest) (outcome.Outcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view, inFold := p.fold.Get(key)
	held, inCopies := p.copies[key]
	switch {
	case inCopies && (digest == nil || held.Digest == *digest):
		return outcome.Outcome{Kind: held.Kind, Reason: finalReason(held.Kind), Payload: held.Payload}, true
	case inFold && view.State == fold.Final && (digest == nil || view.Digest == *digest):
		return finalOutcome(view), true
	}
	return outcome.Outcome{}, false
}

// usedByOtherRequest reports whether the key belongs to a request with another digest.
func (p *partition) usedByOtherRequest(key ident.CallKey, digest journal.Digest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	view, inFold := p.fold.Get(key)
	held, inCopies := p.copies[key]
	return inFold && view.Digest != digest || inCopies && held.Digest != digest
}

// keyReusedOutcome says nothing of the other request. It is only told of a key that is
// certain: then no earlier attempt of this request can have owned it.
func keyReusedOutcome() outcome.Outcome {
	return outcome.NewNotRun(outcome.ReasonKeyReused, "the key was used for a different request", 0)
}

func finalOutcome(v fold.View) outcome.Outcome {
	if v.PayloadOmitted {
		// Telling Completed without the answer would pass off a part as
		// the whole.
		return outcome.NewUnknown(reasonAnswerTooLarge, "the call ran, but its answer was too large to be kept", 0)
	}
	return outcome.Outcome{Kind: v.Kind, Reason: v.Reason, Payload: v.Payload}
}

// reasonTooLarge: the call ran, and its answer is known to its first caller.
const reasonAnswerTooLarge outcome.Reason = "answer_too_large"

func finalReason(kind outcome.Kind) outcome.Reason {
	if kind == outcome.Failed {
		return outcome.ReasonApplication
	}
	return ""
}

// admit refuses what cannot be served now. ok is true when the call may go on.
func (c *Coordinator) admit(ctx context.Context, p *partition, call Call) (outcome.Outcome, bool) {
	if c.stopping.Load() {
		return refusal(call, outcome.ReasonLeaving, "this gateway is leaving", retrySoon), false
	}
	now := time.Now()
	ready, readable, _ := p.health()
	if !readable {
		return c.refuseLogDown(ctx, p, call, retryLater), false
	}
	if !ready {
		return refusal(call, outcome.ReasonCatchingUp, "this gateway is still reading the journal", retryLater), false
	}
	if wait, down := c.logDown(now); down {
		return c.refuseLogDown(ctx, p, call, wait), false
	}
	if !p.completeFor(call.IssuedAt) || journal.Expired(call.IssuedAt, now) {
		return refusal(call, outcome.ReasonExpired, "the key was issued too long ago to be known", p.untilComplete(now)), false
	}
	if journal.IssuedInFuture(call.IssuedAt, now) {
		return refusal(call, reasonIssuedInFuture, "issued_at is in the future", journal.MaxSkew), false
	}
	return outcome.Outcome{}, true
}

// reasonClock: the caller's clock is too far ahead of the system's.
const reasonIssuedInFuture outcome.Reason = "issued_in_future"

// refuseLogDown refuses a call while the log cannot be used. A repeat may
// still hear its outcome from a peer.
func (c *Coordinator) refuseLogDown(ctx context.Context, p *partition, call Call, retryAfter time.Duration) outcome.Outcome {
	if !call.isFirstAttempt() {
		digest := journal.NewDigest(call.Key, call.Method, call.IssuedAt, call.Payload)
		c.askPeers(ctx, p, call.Key, "")
		if o, ok := p.knownOutcome(call.Key, &digest); ok {
			return o
		}
	}
	return refusal(call, outcome.ReasonLogUnavailable, "the platform's log is not available", retryAfter)
}

// claimAndDispatch tries to own the key and to dispatch the call, at one upstream after the
// other as long as each says that nothing ran. releases, if not nil, is
// journaled before the first claim.
func (c *Coordinator) claimAndDispatch(ctx context.Context, p *partition, call Call, digest journal.Digest, releases *journal.Release) outcome.Outcome {
	var exclude []ident.Instance
	var last outcome.Outcome
	for try := 1; ; try++ {
		target, picked := c.cfg.Dispatcher.Pick(ctx, call, exclude)
		if !picked && (try > 1 || call.isFirstAttempt() && releases == nil) {
			return outcome.NewNotRun(outcome.ReasonNoUpstream, "no upstream can take the call", retryLater)
		}
		// Without an upstream a repeat still claims its key once: only a
		// claim that has owned it proves that no earlier attempt can run.
		cl := c.newClaim(call, digest, target, journal.ClaimID{})
		var before []journal.Event
		if releases != nil && try == 1 {
			before = append(before, *releases)
		}
		if reason := p.submit(cl, before...); reason != "" {
			if try > 1 {
				return last
			}
			return refusal(call, reason, "the call cannot be journaled here now", retryLater)
		}
		o, again := c.runClaim(ctx, p, cl, picked)
		last = o
		if cl.phase.Load() != dispatched {
			p.forget(cl)
		}
		if !again || try >= c.limits.MaxTargets || ctx.Err() != nil {
			return o
		}
		exclude = append(exclude, target.Instance)
	}
}

// runClaim waits for the verdict on a claim and dispatches its call if it won.
// again tells that the upstream ran nothing and another one may be tried.
func (c *Coordinator) runClaim(ctx context.Context, p *partition, cl *claim, picked bool) (o outcome.Outcome, again bool) {
	r, o, ok := c.awaitResolution(ctx, p, cl)
	if !ok {
		return o, false
	}
	if !r.won() {
		return c.lostClaimOutcome(p, cl, r), false
	}
	if reason := c.reasonNotToDispatch(ctx, picked); reason != "" {
		return c.abandonWon(p, cl, reason), false
	}
	if !cl.leaveWaiting(dispatched) {
		return <-cl.handedOverOutcome, false
	}
	if !c.spawn(func() { c.dispatch(ctx, p, cl, r.Fence) }) {
		p.forget(cl)
		p.writer.enqueue(notRunEvent(cl, outcome.ReasonLeaving))
		return outcome.NewNotRun(outcome.ReasonLeaving, "this gateway has stopped", retrySoon), false
	}
	return c.awaitResult(ctx, cl)
}

// reasonNotToDispatch returns why a call that owns its key is not dispatched,
// or "".
func (c *Coordinator) reasonNotToDispatch(ctx context.Context, picked bool) outcome.Reason {
	if !picked {
		return outcome.ReasonNoUpstream
	}
	if ctx.Err() != nil {
		return cancelReason(ctx)
	}
	return ""
}

// abandonWon ends a claim that owns its key and will not be dispatched.
func (c *Coordinator) abandonWon(p *partition, cl *claim, reason outcome.Reason) outcome.Outcome {
	if !cl.leaveWaiting(abandoned) {
		return <-cl.handedOverOutcome
	}
	p.writer.enqueue(notRunEvent(cl, reason))
	return outcome.NewNotRun(reason, "given up before it was dispatched", retrySoon)
}

// awaitResolution waits until the log's verdict is known. ok is false when the
// claim was given up or handed over instead; then o is the answer.
func (c *Coordinator) awaitResolution(ctx context.Context, p *partition, cl *claim) (r resolution, o outcome.Outcome, ok bool) {
	ctx, end := startJournalSpan(ctx)
	defer end()
	limit := time.NewTimer(c.limits.ClaimWait)
	defer limit.Stop()
	reason := outcome.ReasonLogUnavailable
	select {
	case r = <-cl.resolved:
		return r, o, true
	case o = <-cl.handedOverOutcome:
		return r, o, false
	case <-ctx.Done():
		reason = cancelReason(ctx)
	case <-limit.C:
	}
	if !cl.leaveWaiting(abandoned) {
		return r, <-cl.handedOverOutcome, false
	}
	p.endClaim(cl, reason)
	return r, refusal(cl.call, reason, "given up before it was dispatched", retrySoon), false
}

// endClaim makes sure that a claim that was given up without a verdict does
// not hold the key, should its record be in the log or come there later. What
// would go wrong otherwise: the key stays claimed by a holder that will never
// dispatch, and every repeat ends as unknown.
func (p *partition) endClaim(cl *claim, reason outcome.Reason) {
	if p.writer.mayHaveSent(cl) && !cl.isTakeover() {
		p.writer.enqueue(notRunEvent(cl, reason))
	}
}

func notRunEvent(cl *claim, reason outcome.Reason) journal.Outcome {
	return journal.Outcome{Head: cl.record.Head, Kind: outcome.NotRun, Reason: reason}
}

func cancelReason(ctx context.Context) outcome.Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}

// lostClaimOutcome is the answer to a call whose claim does not own its key, or
// cannot be shown to own it.
func (c *Coordinator) lostClaimOutcome(p *partition, cl *claim, r resolution) outcome.Outcome {
	if !cl.leaveWaiting(abandoned) {
		return <-cl.handedOverOutcome
	}
	call := cl.call
	switch {
	case r.notAppended:
		return refusal(call, outcome.ReasonLogUnavailable, "the platform's log is not available", retryLater)
	case r.unreadable:
		p.endClaim(cl, outcome.ReasonCatchingUp)
		return refusal(call, outcome.ReasonCatchingUp, "the journal could not be read whole", retryLater)
	case r.Verdict == fold.LostOutsideWindow:
		// A second copy of the record could still be judged otherwise.
		p.endClaim(cl, outcome.ReasonExpired)
		return refusal(call, outcome.ReasonExpired, "the key was issued outside the window", 0)
	case r.Verdict == fold.LostKeyReused:
		p.endClaim(cl, outcome.ReasonKeyReused)
		return keyReusedOutcome()
	case r.Verdict == fold.LostToLaterAttempt:
		p.endClaim(cl, reasonLaterAttempt)
		return outcome.NewUnknown(reasonLaterAttempt, "a later attempt was seen; ask again with a higher one", retrySoon)
	}
	if o, ok := p.knownOutcome(call.Key, &cl.record.Digest); ok {
		return o
	}
	p.endClaim(cl, outcome.ReasonClaimedElsewhere)
	return inProgressOutcome("another attempt with this key owns it")
}

func inProgressOutcome(message string) outcome.Outcome {
	return outcome.Outcome{
		Kind:       outcome.InProgress,
		Reason:     outcome.ReasonClaimedElsewhere,
		Message:    message,
		RetryAfter: retrySoon,
	}
}

// reasonLaterAttempt: the attempt came after a later one.
const reasonLaterAttempt outcome.Reason = "later_attempt_seen"
