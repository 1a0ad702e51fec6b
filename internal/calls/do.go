package calls

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// The retry-after times that callers are given.
const (
	retrySoon  = 250 * time.Millisecond
	retryLater = 2 * time.Second
)

// Do runs one attempt of a call and returns what its caller is told. It
// returns soon after ctx ends. A call that was dispatched by then goes on, and
// Find returns its outcome later.
//
// Do only returns NotRun when neither this attempt nor an earlier one with the
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

// refusal returns the outcome of a call that this attempt did not dispatch and
// whose claim is not proven to have owned the key. It is NotRun for the first
// attempt, and Unknown for a later one, because an earlier attempt may still
// run.
func refusal(call Call, reason outcome.Reason, message string, retryAfter time.Duration) outcome.Outcome {
	if call.isFirstAttempt() {
		return outcome.NewNotRun(reason, message, retryAfter)
	}
	return outcome.NewUnknown(reason, message+"; an earlier attempt may have run", retryAfter)
}

// knownOutcome returns the final outcome of a key if this gateway knows it. If
// digest is not nil, only the outcome of the request with this digest counts.
func (p *partition) knownOutcome(key ident.CallKey, digest *journal.Digest) (outcome.Outcome, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	view, inFold := p.fold.Get(key)
	stored, inCopies := p.copies[key]
	switch {
	case inCopies && (digest == nil || stored.Digest == *digest):
		return outcome.Outcome{Kind: stored.Kind, Reason: finalReason(stored.Kind), Payload: stored.Payload}, true
	case inFold && view.State == fold.Final && (digest == nil || view.Digest == *digest):
		return finalOutcome(view), true
	}
	return outcome.Outcome{}, false
}

// usedByOtherRequest reports whether the key is known to belong to a request with
// another digest.
func (p *partition) usedByOtherRequest(key ident.CallKey, digest journal.Digest) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	view, inFold := p.fold.Get(key)
	stored, inCopies := p.copies[key]
	return inFold && view.Digest != digest || inCopies && stored.Digest != digest
}

// keyReusedOutcome returns the answer for a key that belongs to another request.
// It reveals nothing of that request. NotRun is correct because the function is
// called only for keys whose records are all known here: then no earlier attempt
// of this request can have owned the key.
func keyReusedOutcome() outcome.Outcome {
	return outcome.NewNotRun(outcome.ReasonKeyReused, "the key was used for a different request", 0)
}

// finalOutcome returns the outcome of a key whose state is Final.
func finalOutcome(v fold.View) outcome.Outcome {
	if v.PayloadOmitted {
		// Completed without the payload would look like a complete, empty answer.
		return outcome.NewUnknown(reasonAnswerTooLarge, "the call ran, but its answer was too large to be kept", 0)
	}
	return outcome.Outcome{Kind: v.Kind, Reason: v.Reason, Payload: v.Payload}
}

// reasonAnswerTooLarge: the call ran, and only its first caller got its answer.
const reasonAnswerTooLarge outcome.Reason = "answer_too_large"

// finalReason returns the reason of a final outcome; Completed has none.
func finalReason(kind outcome.Kind) outcome.Reason {
	if kind == outcome.Failed {
		return outcome.ReasonApplication
	}
	return ""
}

// admit returns ok = true when the call may claim its key now, or else the
// outcome with which it is refused.
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

// reasonIssuedInFuture: the caller's clock is too far ahead of this gateway's.
const reasonIssuedInFuture outcome.Reason = "issued_in_future"

// refuseLogDown refuses a call while the log cannot be used. A later attempt is
// still told the final outcome if a peer knows it.
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

// claimAndDispatch claims the key and dispatches the call. It tries up to
// MaxTargets upstreams, the next one only when the previous one ran nothing.
// release, if not nil, is journaled before the first claim.
func (c *Coordinator) claimAndDispatch(ctx context.Context, p *partition, call Call, digest journal.Digest, release *journal.Release) outcome.Outcome {
	var exclude []ident.Instance
	var last outcome.Outcome
	for try := 1; ; try++ {
		target, picked := c.cfg.Dispatcher.Pick(ctx, call, exclude)
		if !picked && (try > 1 || call.isFirstAttempt() && release == nil) {
			return outcome.NewNotRun(outcome.ReasonNoUpstream, "no upstream can take the call", retryLater)
		}
		// Without an upstream, a later attempt still claims its key once: only
		// a claim that owned the key proves that no earlier attempt can run.
		cl := c.newClaim(call, digest, target, journal.ClaimID{})
		var before []journal.Event
		if release != nil && try == 1 {
			before = append(before, *release)
		}
		if reason := p.submit(cl, before...); reason != "" {
			if try > 1 {
				return last
			}
			return refusal(call, reason, "the call cannot be journaled here now", retryLater)
		}
		o, tryAnother := c.runClaim(ctx, p, cl, picked)
		last = o
		if cl.phase.Load() != dispatched {
			p.dropClaim(cl)
		}
		if !tryAnother || try >= c.limits.MaxTargets || ctx.Err() != nil {
			return o
		}
		exclude = append(exclude, target.Instance)
	}
}

// runClaim waits until the claim is resolved and dispatches its call if it won.
// tryAnother reports that the upstream ran nothing, so that another one may be
// tried.
func (c *Coordinator) runClaim(ctx context.Context, p *partition, cl *claim, picked bool) (o outcome.Outcome, tryAnother bool) {
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
		p.dropClaim(cl)
		p.writer.enqueue(notRunEvent(cl, outcome.ReasonLeaving))
		return outcome.NewNotRun(outcome.ReasonLeaving, "this gateway has stopped", retrySoon), false
	}
	return c.awaitResult(ctx, cl)
}

// reasonNotToDispatch returns why a call that owns its key must not be
// dispatched, or "" if it may be.
func (c *Coordinator) reasonNotToDispatch(ctx context.Context, picked bool) outcome.Reason {
	if !picked {
		return outcome.ReasonNoUpstream
	}
	if ctx.Err() != nil {
		return outcome.EndReason(ctx)
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

// awaitResolution waits until the claim is resolved, for ClaimWait at most. ok is
// false when the claim was abandoned or handed over instead; then o is the
// answer to the caller.
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
		reason = outcome.EndReason(ctx)
	case <-limit.C:
	}
	if !cl.leaveWaiting(abandoned) {
		return r, <-cl.handedOverOutcome, false
	}
	p.endClaim(cl, reason)
	return r, refusal(cl.call, reason, "given up before it was dispatched", retrySoon), false
}

// endClaim journals the end of an abandoned claim, unless its record can never be
// in the log. Otherwise the key could stay claimed by a holder that never
// dispatches the call, and every later attempt would end as unknown. A takeover
// is not ended, because the call that it asks about may still run.
func (p *partition) endClaim(cl *claim, reason outcome.Reason) {
	if p.writer.mayHaveSent(cl) && !cl.isTakeover() {
		p.writer.enqueue(notRunEvent(cl, reason))
	}
}

// notRunEvent returns the event that ends a claim whose call did not run.
func notRunEvent(cl *claim, reason outcome.Reason) journal.Outcome {
	return journal.Outcome{Head: cl.record.Head, Kind: outcome.NotRun, Reason: reason}
}

// lostClaimOutcome abandons a claim that does not own its key, or is not proven
// to own it, and returns the answer to its caller.
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
		// A second copy of the record could get another verdict.
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

// inProgressOutcome returns the answer for a key that another claim owns.
func inProgressOutcome(message string) outcome.Outcome {
	return outcome.Outcome{
		Kind:       outcome.InProgress,
		Reason:     outcome.ReasonClaimedElsewhere,
		Message:    message,
		RetryAfter: retrySoon,
	}
}

// reasonLaterAttempt: the log has a later attempt that owned the key.
const reasonLaterAttempt outcome.Reason = "later_attempt_seen"
