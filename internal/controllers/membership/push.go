package membership

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// audience says to whom a departure is pushed.
type audience int

const (
	// ownDomain means all peers of the own failure domain.
	ownDomain audience = iota
	// everyone means all peers of the own failure domain and a few of each
	// other failure domain, which push it to theirs.
	everyone
)

// pushDelay is the wait before a round of pushes, so that the departures of
// instances that are reclaimed together are sent together.
const pushDelay = 20 * time.Millisecond

// push is the state of sending departures to one peer of the own failure
// domain, or to any peer of another.
type push struct {
	// remote is whether the receiver is in another failure domain.
	remote  bool
	running bool
	// informedThrough is the change number up to which the receiver has all
	// facts.
	informedThrough uint64
	// failed counts the failed attempts in a row since wanted changed to
	// failedFor.
	failed    int
	failedFor uint64
}

// pushDepartures starts pushes when there are departures, until ctx ends.
func (c *Controller) pushDepartures(ctx context.Context) error {
	var pushes sync.WaitGroup
	defer pushes.Wait()
	for {
		select {
		case <-c.pushWake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !sleep.For(ctx, pushDelay) {
			return ctx.Err()
		}
		c.startPushes(ctx, &pushes)
	}
}

func (c *Controller) startPushes(ctx context.Context, pushes *sync.WaitGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pushRounds++
	current := map[string]bool{}
	for domain, peers := range peersByDomain(c.table, c.config.Self.ID) {
		for key, candidates := range c.receivers(domain, peers) {
			current[key] = true
			c.startPush(ctx, pushes, key, candidates, domain != c.config.Self.FailureDomain)
		}
	}
	for key, p := range c.pushes {
		if !current[key] && !p.running {
			delete(c.pushes, key)
		}
	}
}

// receivers returns the pushes needed for a failure domain: the peers to try,
// by the push's key. In the own domain each peer gets a push of its own.
// Another domain gets RemotePerDomain pushes; each tries all its peers, from a
// different one on.
func (c *Controller) receivers(domain ident.FailureDomain, peers []target) map[string][]target {
	out := map[string][]target{}
	if domain == c.config.Self.FailureDomain {
		for _, peer := range peers {
			out[string(peer.id)] = []target{peer}
		}
		return out
	}
	for slot := range min(c.config.RemotePerDomain, len(peers)) {
		key := string(domain) + "#" + strconv.Itoa(slot)
		out[key] = takeRotated(peers, c.rotationStart+c.pushRounds+slot, len(peers))
	}
	return out
}

// startPush starts a push unless one to the same receiver is running, which
// then sends the new departures as well. The caller holds mu.
func (c *Controller) startPush(ctx context.Context, pushes *sync.WaitGroup, key string, candidates []target, remote bool) {
	p, ok := c.pushes[key]
	if !ok {
		p = &push{remote: remote}
		c.pushes[key] = p
	}
	if p.running || p.informedThrough >= c.wanted(p) {
		return
	}
	p.running = true
	p.failed = 0
	pushes.Go(func() { c.runPush(ctx, p, candidates) })
}

// wanted returns the change number up to which a push's receiver has to know
// all facts. The caller holds mu.
func (c *Controller) wanted(p *push) uint64 {
	if p.remote {
		return c.pushRemote
	}
	return c.pushLocal
}

// runPush sends until the receiver knows all departures or PushAttempts
// attempts in a row have failed. The next heartbeats carry what is left.
func (c *Controller) runPush(ctx context.Context, p *push, candidates []target) {
	for attempt := 0; ; attempt++ {
		start := time.Now()
		informed, err := c.exchange(ctx, candidates[attempt%len(candidates)])
		if c.finishAttempt(p, informed, err) {
			return
		}
		// A refused connection fails at once. Waiting out the rest of
		// Timeout gives the peer time to answer again before the last
		// attempt.
		if err != nil && !sleep.For(ctx, c.config.Timeout-time.Since(start)) {
			return
		}
	}
}

// finishAttempt records the result of an attempt and reports whether the push
// is over. It decides that and clears running under one lock, so that startPush
// can't leave a new departure to a push that has just ended.
func (c *Controller) finishAttempt(p *push, informed uint64, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := c.wanted(p)
	if p.failedFor != wanted {
		p.failedFor = wanted
		p.failed = 0
	}
	if err == nil {
		p.informedThrough = max(p.informedThrough, informed)
		p.failed = 0
	} else {
		p.failed++
	}
	if p.informedThrough < wanted && p.failed < c.config.PushAttempts {
		return false
	}
	p.running = false
	return true
}
