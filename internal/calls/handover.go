package calls

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// ErrNotHanded says that a hand-over reached nobody: the peer took nothing and
// never will.
var ErrNotHanded = errors.New("nothing was handed over")

// Stop makes the gateway leave: it accepts no new calls, hands those that are
// not dispatched to peers, waits for those that are, and writes everything to
// the journal. It returns the error of ctx if that ends first. Run must go on
// until Stop has returned.
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

// handOverCalls gives up all claims that wait and offers their calls to peers.
func (c *Coordinator) handOverCalls(ctx context.Context) {
	given := map[journal.ClaimID]*claim{}
	var h HandOver
	for _, cl := range c.markWaitingHandedOver() {
		given[cl.record.ID] = cl
		h.Calls = append(h.Calls, HandedCall{
			Call:      cl.call,
			Claim:     cl.record.ID,
			Digest:    cl.record.Digest,
			Remaining: c.limits.ClaimWait,
		})
	}
	for _, batch := range h.batches() {
		c.offerCalls(ctx, batch.Calls, given)
	}
}

// offerCalls offers calls to one peer after the other until all are taken, and
// ends their claims. given holds those of all calls that nobody took.
func (c *Coordinator) offerCalls(ctx context.Context, calls []HandedCall, given map[journal.ClaimID]*claim) {
	doubtful := false
	for _, peer := range c.cfg.Peers.Candidates() {
		if len(calls) == 0 {
			return
		}
		accepted, err := c.sendHandOver(ctx, peer, HandOver{Calls: calls})
		doubtful = doubtful || err != nil && !errors.Is(err, ErrNotHanded)
		for _, id := range accepted {
			if cl, ok := given[id]; ok {
				c.endHandedOverClaim(cl)
				delete(given, id)
			}
		}
		calls = untakenCalls(calls, given)
	}
	for _, call := range calls {
		c.endUntakenClaim(given[call.Claim], doubtful)
	}
}

const (
	// maxHandOverBytes keeps a message of a hand-over well below what a peer
	// accepts. One that is refused for its size cannot be told from one whose
	// answer was lost: its calls would be told as in progress, and run nowhere.
	maxHandOverBytes = 4 << 20
	// overheadBytes is what a call or an outcome takes besides its payload and
	// its key, rounded up.
	overheadBytes = 512
)

// batches cuts a hand-over into messages of at most maxHandOverBytes. What is
// larger by itself goes alone.
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

// markWaitingHandedOver moves all waiting claims to handed: from here on this gateway
// will never dispatch them.
func (c *Coordinator) markWaitingHandedOver() []*claim {
	var given []*claim
	for _, p := range c.partitions {
		p.mu.Lock()
		p.closedToClaims = true
		for cl := range p.active {
			if !cl.isTakeover() && cl.leaveWaiting(handedOver) {
				given = append(given, cl)
			}
		}
		p.mu.Unlock()
	}
	return given
}

func (c *Coordinator) sendHandOver(ctx context.Context, peer Peer, h HandOver) ([]journal.ClaimID, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.PeerTimeout)
	defer cancel()
	accepted, err := peer.HandOver(ctx, h)
	if err != nil {
		c.log.Warn("hand-over failed", "peer", peer.ID(), "calls", len(h.Calls), "error", err)
	}
	return accepted, err
}

// untakenCalls returns the calls whose claims are in given.
func untakenCalls(calls []HandedCall, given map[journal.ClaimID]*claim) []HandedCall {
	var left []HandedCall
	for _, call := range calls {
		if _, ok := given[call.Claim]; ok {
			left = append(left, call)
		}
	}
	return left
}

// endHandedOverClaim ends a claim whose call a peer has taken.
func (c *Coordinator) endHandedOverClaim(cl *claim) {
	p := c.partition(cl.call.Key)
	p.writer.enqueue(journal.Release{Head: cl.record.Head})
	cl.handedOverOutcome <- inProgressOutcome("this gateway is leaving; another one runs the call, ask again by key")
}

// endUntakenClaim ends a claim whose call no peer has taken for certain.
// After a lost answer one may have, so that the claim is released rather than
// not run.
func (c *Coordinator) endUntakenClaim(cl *claim, doubtful bool) {
	if doubtful {
		c.endHandedOverClaim(cl)
		return
	}
	c.partition(cl.call.Key).endClaim(cl, outcome.ReasonLeaving)
	cl.handedOverOutcome <- refusal(cl.call, outcome.ReasonLeaving, "this gateway is leaving", retrySoon)
}

// awaitDispatched waits for the calls that upstreams are running.
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

// handOverOutcomes gives the outcomes that the journal may not have to a peer.
func (c *Coordinator) handOverOutcomes(ctx context.Context) {
	var h HandOver
	for _, p := range c.partitions {
		p.mu.Lock()
		for _, held := range p.copies {
			h.Outcomes = append(h.Outcomes, held.KeyedOutcome)
		}
		p.mu.Unlock()
	}
	for _, batch := range h.batches() {
		c.offerOutcomes(ctx, batch)
	}
}

// offerOutcomes gives outcomes to the first peer that takes them.
func (c *Coordinator) offerOutcomes(ctx context.Context, h HandOver) {
	for _, peer := range c.cfg.Peers.Candidates() {
		if _, err := c.sendHandOver(ctx, peer, h); err == nil {
			return
		}
	}
}

// TakeOver takes what a leaving peer hands over and returns the claims whose
// calls this gateway will try to run. It does not wait for them.
func (c *Coordinator) TakeOver(h HandOver) []journal.ClaimID {
	c.PutOutcomes(h.Outcomes)
	var accepted []journal.ClaimID
	for _, given := range h.Calls {
		if c.acceptCall(given) {
			accepted = append(accepted, given.Claim)
		}
	}
	return accepted
}

// acceptCall begins to run a handed call. The message itself proves that the
// former holder never dispatches it, so that this gateway journals the release
// together with its own claim: the former holder may die before it can.
func (c *Coordinator) acceptCall(given HandedCall) bool {
	call := given.Call
	digest := journal.NewDigest(call.Key, call.Method, call.IssuedAt, call.Payload)
	p := c.partition(call.Key)
	if digest != given.Digest || c.stopping.Load() || !p.canClaim(call.IssuedAt, time.Now()) {
		return false
	}
	release := journal.Release{Head: journal.Head{Key: call.Key, ID: given.Claim, Digest: digest, IssuedAt: call.IssuedAt}}
	return c.spawn(func() {
		ctx, cancel := context.WithTimeout(c.workCtx, given.Remaining)
		defer cancel()
		o := c.claimAndDispatch(ctx, p, call, digest, &release)
		c.log.Info("handed call ended", "key", call.Key.String(), "kind", o.Kind.String(), "reason", o.Reason)
	})
}

// canClaim reports whether calls issued at issuedAt can be claimed now.
func (p *partition) canClaim(issuedAt, now time.Time) bool {
	_, down := p.c.logDown(now)
	ready, readable, _ := p.health()
	return ready && readable && !down && p.completeFor(issuedAt)
}
