package calls

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// outcomeReplicas is how many peers get each outcome at once.
	outcomeReplicas = 2
	// maxPeersAsked is how many peers are asked about one key.
	maxPeersAsked = 3
	// adoptAfter is how long a peer's outcome may be missing from the journal
	// before this gateway journals it, because the peer may have died.
	adoptAfter = 5 * time.Second
)

// PutOutcomes takes outcomes that a peer sends.
func (c *Coordinator) PutOutcomes(outcomes []KeyedOutcome) {
	for _, o := range outcomes {
		c.partition(o.Key).storeCopy(o, false)
	}
}

// FindLocal returns what this gateway itself knows of a key.
func (c *Coordinator) FindLocal(key ident.CallKey) PeerAnswer {
	p := c.partition(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := PeerAnswer{Running: p.running[key] > 0}
	view, inFold := p.fold.Get(key)
	if held, ok := p.copies[key]; ok {
		known := held.KeyedOutcome
		answer.Outcome = &known
	} else if inFold && view.State == fold.Final && !view.PayloadOmitted {
		head := journal.Head{Key: key, ID: view.Claim, Digest: view.Digest, IssuedAt: view.IssuedAt}
		answer.Outcome = &KeyedOutcome{Head: head, Kind: view.Kind, Payload: view.Payload}
	}
	return answer
}

// storeCopy remembers a final outcome until the journal has it. queued tells
// that this gateway journals it already. The first one of a key stays.
func (p *partition) storeCopy(o KeyedOutcome, queued bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if view, ok := p.fold.Get(o.Key); ok && view.Digest != o.Digest {
		return
	}
	if _, ok := p.copies[o.Key]; !ok {
		p.copies[o.Key] = &outcomeCopy{KeyedOutcome: o, since: time.Now(), queued: queued}
	}
}

// outcomeEvent returns the journal's record of an outcome.
func (p *partition) outcomeEvent(o KeyedOutcome) journal.Outcome {
	e := journal.Outcome{Head: o.Head, Kind: o.Kind, Reason: finalReason(o.Kind), Payload: o.Payload}
	if len(o.Payload) > p.c.limits.MaxPayload {
		e.Payload, e.PayloadOmitted = nil, true
	}
	return e
}

// sweepCopies drops the copies that the journal has, and journals those of
// peers that did not get to it.
func (p *partition) sweepCopies(now time.Time) {
	p.mu.Lock()
	var adopt []journal.Outcome
	for key, held := range p.copies {
		view, ok := p.fold.Get(key)
		switch {
		case ok && view.State == fold.Final && !view.PayloadOmitted:
			delete(p.copies, key)
		case journal.Expired(held.IssuedAt, now):
			delete(p.copies, key)
		case !held.queued && now.Sub(held.since) >= adoptAfter:
			held.queued = true
			adopt = append(adopt, p.outcomeEvent(held.KeyedOutcome))
		}
	}
	p.mu.Unlock()
	for _, e := range adopt {
		p.writer.enqueue(e)
	}
}

// replicateOutcomes gives outcomes to peers, at once, so that they outlive this
// gateway even before the journal has them.
func (c *Coordinator) replicateOutcomes(outcomes []KeyedOutcome) {
	peers := c.cfg.Peers.Candidates()
	c.forEachPeer(c.workCtx, peers[:min(len(peers), outcomeReplicas)], func(ctx context.Context, peer Peer) (enough bool) {
		if err := peer.PutOutcomes(ctx, outcomes); err != nil {
			c.log.Debug("outcomes not stored with peer", "peer", peer.ID(), "error", err)
		}
		return false
	})
}

// askPeers asks peers about a key, holder first if it is among them, and keeps
// an outcome that one of them knows. It reports whether a peer runs the call.
func (c *Coordinator) askPeers(ctx context.Context, p *partition, key ident.CallKey, holder ident.Instance) (running bool) {
	peers := holderFirst(c.cfg.Peers.Candidates(), holder)
	var mu sync.Mutex
	c.forEachPeer(ctx, peers[:min(len(peers), maxPeersAsked)], func(ctx context.Context, peer Peer) (enough bool) {
		answer, err := peer.FindOutcome(ctx, key)
		if err != nil {
			return false
		}
		mu.Lock()
		running = running || answer.Running
		mu.Unlock()
		if answer.Outcome == nil || answer.Outcome.Key != key {
			return answer.Running
		}
		p.storeCopy(*answer.Outcome, false)
		return true
	})
	return running
}

// holderFirst returns the peers with the holder moved to the front.
func holderFirst(peers []Peer, holder ident.Instance) []Peer {
	sorted := make([]Peer, 0, len(peers))
	for _, peer := range peers {
		if peer.ID() == holder {
			sorted = append(sorted, peer)
		}
	}
	for _, peer := range peers {
		if peer.ID() != holder {
			sorted = append(sorted, peer)
		}
	}
	return sorted
}

// forEachPeer talks to peers at the same time and waits for all, PeerTimeout at
// most, or until one talk says that it was enough.
func (c *Coordinator) forEachPeer(ctx context.Context, peers []Peer, talk func(context.Context, Peer) (enough bool)) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.PeerTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, peer := range peers {
		all.Go(func() {
			if talk(ctx, peer) {
				cancel()
			}
		})
	}
	all.Wait()
}
