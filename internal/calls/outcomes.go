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
	// outcomeReplicas is how many peers each new outcome is sent to.
	outcomeReplicas = 2
	// maxPeersAsked is how many peers are asked about one key.
	maxPeersAsked = 3
	// adoptAfter is how long an outcome from a peer may be missing in the
	// journal before this gateway journals it, because the peer may have died.
	adoptAfter = 5 * time.Second
)

// PutOutcomes stores copies of outcomes that a peer sent.
func (c *Coordinator) PutOutcomes(outcomes []KeyedOutcome) {
	for _, o := range outcomes {
		c.partition(o.Key).storeCopy(o, false)
	}
}

// FindLocal returns what this gateway knows about a key without asking others.
func (c *Coordinator) FindLocal(key ident.CallKey) PeerAnswer {
	p := c.partition(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := PeerAnswer{Running: p.running[key] > 0}
	view, inFold := p.fold.Get(key)
	if stored, ok := p.copies[key]; ok {
		known := stored.KeyedOutcome
		answer.Outcome = &known
	} else if inFold && view.State == fold.Final && !view.PayloadOmitted {
		head := journal.Head{Key: key, ID: view.Claim, Digest: view.Digest, IssuedAt: view.IssuedAt}
		answer.Outcome = &KeyedOutcome{Head: head, Kind: view.Kind, Payload: view.Payload}
	}
	return answer
}

// storeCopy stores a final outcome until the journal has it. queued reports that
// this gateway has queued it for the journal. Only the first copy for a key is
// stored, and an outcome is dropped if the key is known to belong to another
// request.
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

// outcomeEvent returns the event that journals an outcome, without a payload that
// is larger than MaxPayload.
func (p *partition) outcomeEvent(o KeyedOutcome) journal.Outcome {
	e := journal.Outcome{Head: o.Head, Kind: o.Kind, Reason: finalReason(o.Kind), Payload: o.Payload}
	if len(o.Payload) > p.c.limits.MaxPayload {
		e.Payload, e.PayloadOmitted = nil, true
	}
	return e
}

// sweepCopies drops copies that the journal has or whose keys have expired, and
// journals outcomes that peers have not journaled within adoptAfter.
func (p *partition) sweepCopies(now time.Time) {
	p.mu.Lock()
	var adopt []journal.Outcome
	for key, stored := range p.copies {
		view, ok := p.fold.Get(key)
		switch {
		case ok && view.State == fold.Final && !view.PayloadOmitted:
			delete(p.copies, key)
		case journal.Expired(stored.IssuedAt, now):
			delete(p.copies, key)
		case !stored.queued && now.Sub(stored.since) >= adoptAfter:
			stored.queued = true
			adopt = append(adopt, p.outcomeEvent(stored.KeyedOutcome))
		}
	}
	p.mu.Unlock()
	for _, e := range adopt {
		p.writer.enqueue(e)
	}
}

// replicateOutcomes sends outcomes to some peers, so that they are not lost if
// this gateway ends before the journal has them.
func (c *Coordinator) replicateOutcomes(outcomes []KeyedOutcome) {
	peers := c.cfg.Peers.Candidates()
	c.forEachPeer(c.workCtx, peers[:min(len(peers), outcomeReplicas)], func(ctx context.Context, peer Peer) (enough bool) {
		if err := peer.PutOutcomes(ctx, outcomes); err != nil {
			c.log.Debug("cannot store outcomes at peer", "peer", peer.ID(), "error", err)
		}
		return false
	})
}

// askPeers asks peers about a key, the holder first if it is among them, and
// stores a copy of a final outcome that one of them knows. running reports that
// a peer waits for the upstream's answer to the call.
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

// holderFirst returns the peers in their order, but with the holder at the front.
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

// forEachPeer calls ask for all peers at the same time and waits for the calls to
// return. Their ctx ends after PeerTimeout or when one of them returns true.
func (c *Coordinator) forEachPeer(ctx context.Context, peers []Peer, ask func(context.Context, Peer) (enough bool)) {
	ctx, cancel := context.WithTimeout(ctx, c.limits.PeerTimeout)
	defer cancel()
	var all sync.WaitGroup
	for _, peer := range peers {
		all.Go(func() {
			if ask(ctx, peer) {
				cancel()
			}
		})
	}
	all.Wait()
}
