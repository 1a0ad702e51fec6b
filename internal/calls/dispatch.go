package calls

import (
	"context"
	"expvar"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// outcomeCount counts what callers were told, by kind.
var outcomeCount = expvar.NewMap("goldcrestspool.calls.outcomes")

func countOutcome(o outcome.Outcome) { outcomeCount.Add(o.Kind.String(), 1) }

// dispatchResult is how a dispatched call ended.
type dispatchResult struct {
	outcome outcome.Outcome
	// again: nothing ran, and another upstream may be tried.
	tryAnother bool
}

// spawn runs work that outlives its caller. It reports false when the
// Coordinator has stopped.
func (c *Coordinator) spawn(work func()) bool {
	c.workMu.Lock()
	defer c.workMu.Unlock()
	if c.workEnded {
		return false
	}
	c.work.Go(work)
	return true
}

// endWork cancels what spawn has started and waits for it.
func (c *Coordinator) endWork() {
	c.workMu.Lock()
	c.workEnded = true
	c.workMu.Unlock()
	c.cancelWork()
	c.work.Wait()
}

// detach returns a context that does not end with the caller's, but after
// timeout or with the Coordinator.
func (c *Coordinator) detach(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	stop := context.AfterFunc(c.workCtx, cancel)
	return detached, func() { stop(); cancel() }
}

// dispatch sends the call of a claim to its upstream, once. The claim stays
// active until that has ended, also when its caller has gone: otherwise Stop
// would not wait for it, and its outcome would be lost with this gateway.
func (c *Coordinator) dispatch(ctx context.Context, p *partition, cl *claim, fence ident.Fence) {
	spec := c.specOf(cl.call.Key.Service, cl.call.Method)
	ctx, cancel := c.detach(ctx, spec.timeout)
	defer cancel()
	p.dispatchStarted(cl)
	defer p.dispatchEnded(cl)
	answer, err := c.cfg.Dispatcher.Invoke(ctx, cl.call, cl.record.Target, fence)
	switch {
	case err == nil:
		cl.result.outcome = p.recordOutcome(cl.record.Head, answer)
	case !upstream.Ran(err):
		p.writer.enqueue(notRunEvent(cl, outcome.ReasonUpstreamRefused))
		// The error's text stays inside: it may name addresses and quote
		// the call.
		cl.result.outcome = outcome.NewNotRun(outcome.ReasonUpstreamRefused, "the upstream ran nothing", retrySoon)
		cl.result.tryAnother = true
	default:
		cl.result.outcome = c.resolveLostAnswer(p, cl, spec)
	}
	close(cl.done)
}

// recordOutcome records what an upstream answered, here, with peers and in the
// journal.
func (p *partition) recordOutcome(head journal.Head, answer upstream.Answer) outcome.Outcome {
	kind := outcome.Completed
	if answer.Failed {
		kind = outcome.Failed
	}
	known := KeyedOutcome{Head: head, Kind: kind, Payload: answer.Payload}
	p.storeCopy(known, true)
	p.writer.enqueue(p.outcomeEvent(known))
	p.c.spawn(func() { p.c.replicateOutcomes([]KeyedOutcome{known}) })
	return outcome.Outcome{Kind: kind, Reason: finalReason(kind), Payload: answer.Payload}
}

// resolveLostAnswer handles a call whose answer was lost: it asks the upstream
// once more what became of the key.
func (c *Coordinator) resolveLostAnswer(p *partition, cl *claim, spec callSpec) outcome.Outcome {
	if spec.findsOutcomes {
		found, err := c.findAtUpstream(c.workCtx, cl.record.Head, cl.record.Target, 0)
		if err == nil && found.State == upstream.Done {
			return p.recordOutcome(cl.record.Head, found.Answer)
		}
	}
	p.writer.enqueue(journal.Outcome{Head: cl.record.Head, Kind: outcome.Unknown, Reason: outcome.ReasonUpstreamLost})
	return outcome.NewUnknown(outcome.ReasonUpstreamLost, "the upstream's answer was lost; ask again by key", retryLater)
}

// findAtUpstream asks an upstream about a key. A fence of 0 fences nothing off.
func (c *Coordinator) findAtUpstream(ctx context.Context, head journal.Head, target journal.Target, fence ident.Fence) (upstream.FindResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.PeerTimeout)
	defer cancel()
	return c.cfg.Dispatcher.Find(ctx, head.Key, target, fence)
}

// awaitResult waits until the dispatched call ends or its caller does.
func (c *Coordinator) awaitResult(ctx context.Context, cl *claim) (outcome.Outcome, bool) {
	select {
	case <-cl.done:
		return cl.result.outcome, cl.result.tryAnother
	case <-ctx.Done():
		return outcome.NewUnknown(cancelReason(ctx), "the call was dispatched and still runs; ask again by key", retrySoon), false
	}
}

// callSpec is what a service's document says about its upstreams and a method.
type callSpec struct {
	checksFencing bool
	findsOutcomes bool
	timeout       time.Duration
}

// specOf returns what the document in force says. A service without a document
// is trusted with nothing.
func (c *Coordinator) specOf(service ident.Service, method ident.Method) callSpec {
	s := callSpec{timeout: c.limits.CallTimeout}
	d, ok := c.cfg.Documents.Value().Find(service)
	if !ok {
		return s
	}
	s.checksFencing = d.Upstream.ChecksFencing
	s.findsOutcomes = d.Upstream.FindsOutcomes
	if m, ok := d.FindMethod(method); ok && m.Timeout > 0 {
		s.timeout = m.Timeout
	}
	return s
}
