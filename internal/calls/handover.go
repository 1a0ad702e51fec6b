package calls

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// ErrNotHanded reports that a hand-over had no effect: the peer accepted nothing
// of it and never will.
var ErrNotHanded = errors.New("nothing was handed over")

// Stop prepares the end of this gateway. It refuses new calls, hands calls that
// are not yet dispatched over to peers, waits for the dispatched calls to end, and
// waits until the journal has all records. It returns the error of ctx if that ends first. Run
// must keep running until Stop has returned.
func (c *Coordinator) Stop(ctx context.Context) error {
	c.stopping.Store(true)
	c.handOverCalls(ctx)
	finished := c.awaitDispatched(ctx)
	c.handOverOutcomes(ctx)
	for _, p := range c.partitions {
		if err := p.writer.flush(ctx); err != nil {
			return err
		}
	}
	return finished
}

// handOverCalls moves all waiting claims to handedOver and offers their calls to
// peers.
func (c *Coordinator) handOverCalls(ctx context.Context) {
	unaccepted := map[journal.ClaimID]*claim{}
	var h HandOver
	for _, cl := range c.markWaitingHandedOver() {
		unaccepted[cl.record.ID] = cl
		h.Calls = append(h.Calls, HandedCall{
			Call:      cl.call,
			Claim:     cl.record.ID,
			Digest:    cl.record.Digest,
			Remaining: c.limits.ClaimWait,
		})
	}
	for _, batch := range h.batches() {
		c.offerCalls(ctx, batch.Calls, unaccepted)
	}
}

// offerCalls offers calls to one peer after the other until all are accepted, and
// ends their claims. unaccepted holds the claims of the calls that no peer has
// accepted; offerCalls deletes a claim when a peer accepts its call.
func (c *Coordinator) offerCalls(ctx context.Context, calls []HandedCall, unaccepted map[journal.ClaimID]*claim) {
	maybeAccepted := false
	for _, peer := range c.cfg.Peers.Candidates() {
		if len(calls) == 0 {
			return
		}
		accepted, err := c.sendHandOver(ctx, peer, HandOver{Calls: calls})
		maybeAccepted = maybeAccepted || err != nil && !errors.Is(err, ErrNotHanded)
		for _, id := range accepted {
			if cl, ok := unaccepted[id]; ok {
				c.endHandedOverClaim(cl)
				delete(unaccepted, id)
			}
		}
		calls = unacceptedCalls(calls, unaccepted)
	}
	for _, call := range calls {
		c.endUnacceptedClaim(unaccepted[call.Claim], maybeAccepted)
	}
}

const (
	// maxHandOverBytes is the largest hand-over message, well below the size
	// that a peer accepts. The sender cannot distinguish a message that was
	// rejected for its size from one whose answer was lost: callers would be
	// told that the message's calls are in progress, and no gateway would run
	// them.
	maxHandOverBytes = 4 << 20
	// overheadBytes is the size of a call or an outcome without its payload
	// and key, rounded up.
	overheadBytes = 512
)

// batches splits a hand-over into messages of at most maxHandOverBytes. A larger
// call or outcome gets a message of its own.
func (h HandOver) batches() []HandOver {
	var all []HandOver
	var next HandOver
	size := 0
	reserve := func(key ident.CallKey, payload []byte) {
		bytes := overheadBytes + len(key.String()) + len(payload)
		if size > 0 && size+bytes > maxHandOverBytes {
			all = append(all, next)
			next, size = HandOver{}, 0
		}
		size += bytes
	}
	for _, call := range h.Calls {
		reserve(call.Key, call.Payload)
		next.Calls = append(next.Calls, call)
	}
	for _, o := range h.Outcomes {
		reserve(o.Key, o.Payload)
		next.Outcomes = append(next.Outcomes, o)
	}
	if size == 0 {
		return nil
	}
	return append(all, next)
}

// markWaitingHandedOver moves all waiting claims to handedOver and returns them.
// This gateway will never dispatch their calls, and accepts no new claims.
func (c *Coordinator) markWaitingHandedOver() []*claim {
	var marked []*claim
	for _, p := range c.partitions {
		p.mu.Lock()
		p.closedToClaims = true
		for cl := range p.active {
			if !cl.isTakeover() && cl.leaveWaiting(handedOver) {
				marked = append(marked, cl)
			}
		}
		p.mu.Unlock()
	}
	return marked
}

// sendHandOver sends h to a peer and returns the claims of the calls that the peer
// accepted. Its errors are those of Peer.HandOver.
func (c *Coordinator) sendHandOver(ctx context.Context, peer Peer, h HandOver) ([]journal.ClaimID, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.PeerTimeout)
	defer cancel()
	accepted, err := peer.HandOver(ctx, h)
	if err != nil {
		c.log.Warn("cannot hand over calls to peer", "peer", peer.ID(), "calls", len(h.Calls), "error", err)
	}
	return accepted, err
}

// unacceptedCalls returns the calls whose claims are in unaccepted.
func unacceptedCalls(calls []HandedCall, unaccepted map[journal.ClaimID]*claim) []HandedCall {
	var left []HandedCall
	for _, call := range calls {
		if _, ok := unaccepted[call.Claim]; ok {
			left = append(left, call)
		}
	}
	return left
}

// endHandedOverClaim releases the claim of a call that a peer has accepted, and
// answers its caller.
func (c *Coordinator) endHandedOverClaim(cl *claim) {
	p := c.partition(cl.call.Key)
	p.writer.enqueue(journal.Release{Head: cl.record.Head})
	cl.handedOverOutcome <- inProgressOutcome("this gateway is leaving; another one runs the call, ask again by key")
}

// endUnacceptedClaim ends the claim of a call that no peer is known to have accepted,
// and answers its caller. maybeAccepted reports that a peer may have accepted the
// call, because its answer was lost; the claim is then released instead of
// recorded as not run.
func (c *Coordinator) endUnacceptedClaim(cl *claim, maybeAccepted bool) {
	if maybeAccepted {
		c.endHandedOverClaim(cl)
		return
	}
	c.partition(cl.call.Key).endClaim(cl, outcome.ReasonLeaving)
	cl.handedOverOutcome <- refusal(cl.call, outcome.ReasonLeaving, "this gateway is leaving", retrySoon)
}

// awaitDispatched waits until all dispatched calls or ctx have ended.
func (c *Coordinator) awaitDispatched(ctx context.Context) error {
	for _, cl := range c.dispatchedClaims() {
		select {
		case <-cl.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// dispatchedClaims returns the claims whose calls are dispatched and still run.
func (c *Coordinator) dispatchedClaims() []*claim {
	var running []*claim
	for _, p := range c.partitions {
		p.mu.Lock()
		for cl := range p.active {
			if !cl.isTakeover() && cl.phase.Load() == dispatched {
				running = append(running, cl)
			}
		}
		p.mu.Unlock()
	}
	return running
}

// handOverOutcomes offers the outcomes that the journal may not have to peers.
func (c *Coordinator) handOverOutcomes(ctx context.Context) {
	var h HandOver
	for _, p := range c.partitions {
		p.mu.Lock()
		for _, stored := range p.copies {
			h.Outcomes = append(h.Outcomes, stored.KeyedOutcome)
		}
		p.mu.Unlock()
	}
	for _, batch := range h.batches() {
		c.offerOutcomes(ctx, batch)
	}
}

// offerOutcomes sends outcomes to the first peer that accepts them.
func (c *Coordinator) offerOutcomes(ctx context.Context, h HandOver) {
	for _, peer := range c.cfg.Peers.Candidates() {
		if _, err := c.sendHandOver(ctx, peer, h); err == nil {
			return
		}
	}
}

// AcceptHandOver accepts a hand-over of a leaving peer. It stores the outcomes, starts
// to run the calls that can be claimed here, and returns the peer's claims of
// those calls. It does not wait for the calls to end.
func (c *Coordinator) AcceptHandOver(h HandOver) []journal.ClaimID {
	c.PutOutcomes(h.Outcomes)
	var accepted []journal.ClaimID
	for _, handed := range h.Calls {
		if c.acceptCall(handed) {
			accepted = append(accepted, handed.Claim)
		}
	}
	return accepted
}

// acceptCall starts to run a call that a leaving peer handed over, and reports
// whether it does. The hand-over proves that the peer never dispatches the call,
// so this gateway journals the release of the peer's claim before its own claim:
// the peer may die before it has journaled the release itself.
func (c *Coordinator) acceptCall(handed HandedCall) bool {
	call := handed.Call
	digest := journal.NewDigest(call.Key, call.Method, call.IssuedAt, call.Payload)
	p := c.partition(call.Key)
	if digest != handed.Digest || c.stopping.Load() || !p.canClaim(call.IssuedAt, time.Now()) {
		return false
	}
	release := journal.Release{Head: journal.Head{Key: call.Key, ID: handed.Claim, Digest: digest, IssuedAt: call.IssuedAt}}
	return c.spawn(func() {
		ctx, cancel := context.WithTimeout(c.workCtx, handed.Remaining)
		defer cancel()
		o := c.claimAndDispatch(ctx, p, call, digest, &release)
		c.log.Info("handed-over call ended", "key", call.Key.String(), "kind", o.Kind.String(), "reason", o.Reason)
	})
}

// canClaim reports whether a call issued at issuedAt can be claimed here now.
func (p *partition) canClaim(issuedAt, now time.Time) bool {
	_, down := p.c.logDown(now)
	ready, readable, _ := p.health()
	return ready && readable && !down && p.completeFor(issuedAt)
}
