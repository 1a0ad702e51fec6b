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

// outcomeCount counts the outcomes that Do returned, by kind.
var outcomeCount = expvar.NewMap("goldcrestspool.calls.outcomes")

func countOutcome(o outcome.Outcome) { outcomeCount.Add(o.Kind.String(), 1) }

// dispatchResult is how a dispatched call ended.
type dispatchResult struct {
	outcome outcome.Outcome
	// tryAnother reports that the upstream ran nothing, so that another one
	// may be tried.
	tryAnother bool
}

// spawn runs work in a goroutine that may outlive its caller. It returns false
// and runs nothing when Run has ended.
func (c *Coordinator) spawn(work func()) bool {
	c.workMu.Lock()
	defer c.workMu.Unlock()
	if c.workEnded {
		return false
	}
	c.work.Go(work)
	return true
}

// endWork cancels all work that spawn has started and waits for its end.
func (c *Coordinator) endWork() {
	c.workMu.Lock()
	c.workEnded = true
	c.workMu.Unlock()
	c.cancelWork()
	c.work.Wait()
}

// detach returns a context with the values of ctx that ends after timeout or
// with workCtx, but not with ctx.
func (c *Coordinator) detach(ctx context.Context, timeout time.Duration) (context.Context, context.CancelFunc) {
	detached, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	stop := context.AfterFunc(c.workCtx, cancel)
	return detached, func() { stop(); cancel() }
}

// dispatch sends the call of a claim to its upstream once. The claim stays
// active until the call has ended, even after its caller has gone: otherwise
// Stop would not wait for it, and its outcome would be lost with this gateway.
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
	case !upstream.MayHaveRun(err):
		p.writer.enqueue(notRunEvent(cl, outcome.ReasonUpstreamRefused))
		// Callers are not told the error's text: it may contain addresses
		// and parts of the call.
		cl.result.outcome = outcome.NewNotRun(outcome.ReasonUpstreamRefused, "the upstream ran nothing", retrySoon)
		cl.result.tryAnother = true
	default:
		cl.result.outcome = c.resolveLostAnswer(p, cl, spec)
	}
	close(cl.done)
}

// recordOutcome stores an upstream's answer in this gateway, in the journal and
// at peers, and returns it as an outcome.
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

// resolveLostAnswer handles a call whose answer was lost. It asks the upstream
// once for the call's outcome, and records the outcome as unknown if the
// upstream cannot tell.
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

// findAtUpstream asks the target for the state of a key's call. With a fence of
// 0 the target rejects no fencing numbers.
func (c *Coordinator) findAtUpstream(ctx context.Context, head journal.Head, target journal.Target, fence ident.Fence) (upstream.FindResult, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.PeerTimeout)
	defer cancel()
	return c.cfg.Dispatcher.Find(ctx, head.Key, target, fence)
}

// awaitResult waits until the dispatched call or ctx has ended. tryAnother reports
// that the upstream ran nothing, so that another one may be tried.
func (c *Coordinator) awaitResult(ctx context.Context, cl *claim) (outcome.Outcome, bool) {
	select {
	case <-cl.done:
		return cl.result.outcome, cl.result.tryAnother
	case <-ctx.Done():
		return outcome.NewUnknown(outcome.EndReason(ctx), "the call was dispatched and still runs; ask again by key", retrySoon), false
	}
}

// callSpec holds the values of a service's document that matter for a call.
type callSpec struct {
	checksFencing bool
	findsOutcomes bool
	timeout       time.Duration
}

// specOf returns the values of the document in force. Upstreams of a service
// without a document are taken to check no fencing numbers and to find no
// outcomes.
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
