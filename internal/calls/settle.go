package calls

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Find returns the outcome of the call with an idempotency key. It never returns
// NotRun, because
// the caller may have sent an attempt that no gateway has journaled yet. It is
// always safe to send the call again with the same key and a higher attempt.
func (c *Coordinator) Find(ctx context.Context, key ident.CallKey) outcome.Outcome {
	p := c.partition(key)
	if o, ok := p.knownOutcome(key, nil); ok {
		return o
	}
	if o, ok := c.settleOwner(ctx, p, key, nil); !ok {
		return o
	}
	view, ok := p.lookup(key)
	switch {
	case ok && view.State == fold.Released:
		return inProgressOutcome("the gateway that had the call left; another one will run it")
	case ok && view.State != fold.Open:
		return outcome.NewUnknown(outcome.ReasonNotSeen, "the last attempt seen did not run; it may be sent again", retrySoon)
	}
	c.askPeers(ctx, p, key, "")
	if o, ok := p.knownOutcome(key, nil); ok {
		return o
	}
	return outcome.NewUnknown(outcome.ReasonNotSeen, "no attempt with this key was seen; it may be sent again", retrySoon)
}

// settleOwner tries to find out the outcome of the claim that owns the key. ok is
// true when no claim owns the key, so that the caller may claim it; otherwise o
// is the answer. digest is that of the caller's request, or nil if the caller has
// only the key.
func (c *Coordinator) settleOwner(ctx context.Context, p *partition, key ident.CallKey, digest *journal.Digest) (o outcome.Outcome, ok bool) {
	view, exists := p.lookup(key)
	if !exists || view.State != fold.Claimed && view.State != fold.Unknown {
		return o, true
	}
	if view.Target.Instance == "" {
		return c.settleUntargeted(p, key, view), false
	}
	running := c.FindLocal(key).Running || c.askPeers(ctx, p, key, view.Holder)
	if o, known := p.knownOutcome(key, digest); known {
		return o, false
	}
	young := view.State == fold.Claimed && time.Since(view.SeenAt) < c.limits.SettleAfter
	if running || young {
		return inProgressOutcome("another attempt with this key is running"), false
	}
	return c.settleAtUpstream(ctx, p, key, view)
}

// settleUntargeted ends a claim that names no upstream. The claim's holder never
// dispatches its call, so any gateway may end it.
func (c *Coordinator) settleUntargeted(p *partition, key ident.CallKey, view fold.View) outcome.Outcome {
	p.writer.enqueue(journal.Outcome{Head: headOf(key, view), Kind: outcome.NotRun, Reason: outcome.ReasonNoUpstream})
	return inProgressOutcome("an attempt without an upstream is being ended")
}

// settleAtUpstream asks the one upstream to which the owner may have sent the call
// for the call's state. Its results are those of settleOwner.
func (c *Coordinator) settleAtUpstream(ctx context.Context, p *partition, key ident.CallKey, view fold.View) (outcome.Outcome, bool) {
	unknown := outcome.NewUnknown(outcome.ReasonClaimedElsewhere, "an attempt with this key may have run; ask again by key", retryLater)
	// The method is not part of the key, and its timeout is not needed here.
	spec := c.specOf(key.Service, "")
	if !spec.findsOutcomes {
		return unknown, false
	}
	head := headOf(key, view)
	found, err := c.findAtUpstream(ctx, head, view.Target, 0)
	switch {
	case err != nil:
		return unknown, false
	case found.State == upstream.Done:
		return p.recordOutcome(head, found.Answer), false
	case found.State == upstream.Running:
		return inProgressOutcome("the upstream is running the call"), false
	case !spec.checksFencing:
		// The call may still reach the upstream, and nothing would stop it.
		return unknown, false
	}
	return c.takeOverClaim(ctx, p, key, view)
}

// takeOverClaim claims the key with a higher fencing number, not to run the call
// but to find out its outcome. Once the upstream has seen the higher number, it
// rejects a call that the former owner may still send. No other upstream can get the
// call, since a claim names its one upstream before the call is dispatched. If
// the upstream has not seen the call by then, it never ran and the key is open.
// The results are those of settleOwner.
func (c *Coordinator) takeOverClaim(ctx context.Context, p *partition, key ident.CallKey, view fold.View) (outcome.Outcome, bool) {
	unknown := outcome.NewUnknown(outcome.ReasonClaimedElsewhere, "an attempt with this key may have run; ask again by key", retryLater)
	call := Call{Key: key, IssuedAt: view.IssuedAt, Attempt: view.Attempt}
	cl := c.newClaim(call, view.Digest, view.Target, view.Claim)
	if p.submit(cl) != "" {
		return unknown, false
	}
	defer p.dropClaim(cl)
	r, _, ok := c.awaitResolution(ctx, p, cl)
	if !ok || !r.won() {
		return unknown, false
	}
	found, err := c.findAtUpstream(ctx, cl.record.Head, view.Target, r.Fence)
	switch {
	case err != nil:
		return unknown, false
	case found.State == upstream.Done:
		return p.recordOutcome(cl.record.Head, found.Answer), false
	case found.State == upstream.Running:
		return inProgressOutcome("the upstream is running the call"), false
	case !found.Fenced:
		return unknown, false
	}
	p.writer.enqueue(notRunEvent(cl, outcome.ReasonUpstreamLost))
	// Other gateways claim the key only after they have read this record. A
	// claim that this gateway queues now comes after it in the log.
	return outcome.Outcome{}, true
}

// headOf returns the head for an event about the owner of a key.
func headOf(key ident.CallKey, view fold.View) journal.Head {
	return journal.Head{Key: key, ID: view.Claim, Digest: view.Digest, IssuedAt: view.IssuedAt}
}
