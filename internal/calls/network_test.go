package calls

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// gatewayLog is the log as one gateway can reach it.
type gatewayLog struct{ g *gateway }

func (l gatewayLog) Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error) {
	if err := l.g.checkpoint(); err != nil {
		return 0, err
	}
	if l.g.cutOff.Load() {
		return 0, platform.ErrUnavailable
	}
	offset, err := l.g.cluster.log.Append(ctx, stream, records)
	if killed := l.g.checkpoint(); killed != nil {
		return 0, killed
	}
	return offset, err
}

func (l gatewayLog) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if err := l.g.checkpoint(); err != nil {
		return platform.Batch{}, err
	}
	if l.g.cutOff.Load() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	batch, err := l.g.cluster.log.Read(ctx, stream, from, limit, wait)
	if killed := l.g.checkpoint(); killed != nil {
		return platform.Batch{}, killed
	}
	return batch, err
}

// dispatcher reaches the upstreams in the gateway's part of a split network.
type dispatcher struct{ g *gateway }

func (d dispatcher) Pick(_ context.Context, _ Call, exclude []ident.Instance) (journal.Target, bool) {
	c := d.g.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.picks++
	for i := range c.upstreams {
		s := c.upstreams[(c.picks+i)%len(c.upstreams)]
		excluded := len(exclude) > 0 && exclude[0] == s.id
		if excluded || c.split && s.domain != d.g.domain {
			continue
		}
		return journal.Target{Instance: s.id, Incarnation: s.incarnation()}, true
	}
	return journal.Target{}, false
}

// serviceAt returns the incarnation that now serves a target's address.
func (c *cluster) serviceAt(target journal.Target) *plain.Service {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.upstreams, func(s *server) bool { return s.id == target.Instance })
	return c.upstreams[i].current()
}

// upstreamPayload adds the attempt to a payload, so that checks see which attempt
// ran.
func upstreamPayload(payload []byte, attempt uint32) []byte {
	return fmt.Appendf(nil, "%s#%d", payload, attempt)
}

// nextArrivalDelay removes and returns the next delay, or 0 if there is none.
func (c *cluster) nextArrivalDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.arrivalDelays) == 0 {
		return 0
	}
	late := c.arrivalDelays[0]
	c.arrivalDelays = c.arrivalDelays[1:]
	return late
}

// Invoke sends the call even if ctx ended while the gateway was frozen: a real
// process can be stopped after it has checked the deadline.
func (d dispatcher) Invoke(ctx context.Context, call Call, target journal.Target, fence ident.Fence) (upstream.Answer, error) {
	if d.g.freezeAtDispatch.CompareAndSwap(true, false) {
		d.g.freeze()
	}
	if err := d.g.checkpoint(); err != nil {
		return upstream.Answer{}, err
	}
	c := d.g.cluster
	late := c.nextArrivalDelay()
	req := upstream.InvokeRequest{
		Method:  call.Method,
		Key:     call.Key.String(),
		Fence:   fence,
		Payload: upstreamPayload(call.Payload, call.Attempt),
	}
	if c.trust.ChecksFencing {
		// Upstreams that check no fencing numbers do not check the incarnation
		// either.
		req.Incarnation = target.Incarnation
	}
	send := func(ctx context.Context) (upstream.Answer, error) {
		answer, err := c.serviceAt(target).Invoke(ctx, req)
		if upstream.MayHaveRun(err) {
			c.locked(func() { c.possiblyRun[call.Key]++ })
		}
		return answer, err
	}
	if late > 0 {
		c.locked(func() { c.possiblyRun[call.Key]++ })
		time.AfterFunc(late, func() { _, _ = send(context.Background()) })
		return upstream.Answer{}, plain.ErrConnectionLost
	}
	if ctx.Err() != nil {
		c.locked(func() { c.possiblyRun[call.Key]++ })
		_, _ = send(context.Background())
		return upstream.Answer{}, ctx.Err()
	}
	answer, err := send(ctx)
	if killed := d.g.checkpoint(); killed != nil {
		return upstream.Answer{}, killed
	}
	return answer, err
}

func (d dispatcher) Find(ctx context.Context, key ident.CallKey, target journal.Target, fence ident.Fence) (upstream.FindResult, error) {
	if err := d.g.checkpoint(); err != nil {
		return upstream.FindResult{}, err
	}
	found, err := d.g.cluster.serviceAt(target).Find(ctx, key.String(), fence)
	if found.Incarnation != target.Incarnation || !d.g.cluster.trust.FindsOutcomes {
		return upstream.FindResult{}, upstream.ErrRefused
	}
	return found, err
}

// peers lists the other gateways, those of the other failure domain first.
type peers struct{ g *gateway }

func (p peers) Candidates() []Peer {
	c := p.g.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	var near, far []Peer
	for _, other := range c.gateways {
		switch {
		case other == p.g || !other.alive():
		case other.domain == p.g.domain:
			near = append(near, peer{p.g, other})
		default:
			far = append(far, peer{p.g, other})
		}
	}
	return append(far, near...)
}

// peer is another gateway as one gateway can reach it.
type peer struct{ from, to *gateway }

func (p peer) ID() ident.Instance { return p.to.id }

// checkReachable returns an error when the peer cannot be reached at all.
func (p peer) checkReachable() error {
	if err := p.from.checkpoint(); err != nil {
		return err
	}
	p.from.cluster.mu.Lock()
	split := p.from.cluster.split && p.from.domain != p.to.domain
	p.from.cluster.mu.Unlock()
	if split || !p.to.alive() {
		return ErrNotHanded
	}
	return nil
}

func (p peer) PutOutcomes(_ context.Context, outcomes []KeyedOutcome) error {
	if err := p.checkReachable(); err != nil {
		return err
	}
	p.to.calls.PutOutcomes(outcomes)
	return nil
}

// FindOutcome gets no answer from a frozen peer.
func (p peer) FindOutcome(ctx context.Context, key ident.CallKey) (PeerAnswer, error) {
	if err := p.checkReachable(); err != nil {
		return PeerAnswer{}, err
	}
	if p.to.isFrozen() {
		<-ctx.Done()
		return PeerAnswer{}, ctx.Err()
	}
	return p.to.calls.FindLocal(key), nil
}

// HandOver reaches a frozen peer as soon as the peer is unfrozen, however late.
func (p peer) HandOver(ctx context.Context, h HandOver) ([]journal.ClaimID, error) {
	if err := p.checkReachable(); err != nil {
		return nil, err
	}
	if payloadBytes(h) > maxMessageBytes {
		return nil, errors.New("message too large")
	}
	answer := make(chan []journal.ClaimID, 1)
	go func() {
		if p.to.checkpoint() == nil {
			answer <- p.to.calls.AcceptHandOver(h)
		}
	}()
	select {
	case accepted := <-answer:
		if p.from.cluster.losesHandOverAnswers() {
			return nil, errors.New("answer of hand-over lost")
		}
		return accepted, p.from.checkpoint()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// maxMessageBytes is the largest message between gateways, as in package peer.
const maxMessageBytes = 8 << 20

func payloadBytes(h HandOver) (bytes int) {
	for _, call := range h.Calls {
		bytes += len(call.Payload)
	}
	for _, o := range h.Outcomes {
		bytes += len(o.Payload)
	}
	return bytes
}
