package membership

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
)

// audience says who has to hear of a departure at once.
type audience int

const (
	// ownDomain: all peers of the own failure domain.
	ownDomain audience = iota
	// everyone: these, and a few peers of each other failure domain, which
	// tell theirs.
	everyone
)

// pushDelay lets the departures of one reclaim wave travel together.
const pushDelay = 20 * time.Millisecond

// push is the sending of departures to one peer, or to any peer of another
// failure domain.
type push struct {
	remote  bool
	running bool
	// informed is the number of the table up to which the receiver has all
	// facts.
	informed uint64
	// failed counts the attempts in a row that failed since wanted rose to
	// tried.
	failed int
	tried  uint64
}

// spread pushes departures without waiting for the next heartbeat.
func (c *Controller) spread(ctx context.Context) error {
	var pushes sync.WaitGroup
	defer pushes.Wait()
	for {
		select {
		case <-c.departures:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !pause.For(ctx, pushDelay) {
			return ctx.Err()
		}
		c.startPushes(ctx, &pushes)
	}
}

func (c *Controller) startPushes(ctx context.Context, pushes *sync.WaitGroup) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rounds++
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

// receivers returns the peers of a domain that a push tries, by the push's key:
// each peer of the own domain by itself; of another domain a few, each with the
// others as substitutes.
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
		out[key] = take(peers, c.start+c.rounds+slot, len(peers))
	}
	return out
}

// startPush starts a push unless one to the same receiver is running, which
// then sends the new departures as well. The lock is held.
func (c *Controller) startPush(ctx context.Context, pushes *sync.WaitGroup, key string, candidates []target, remote bool) {
	p, ok := c.pushes[key]
	if !ok {
		p = &push{remote: remote}
		c.pushes[key] = p
	}
	if p.running || p.informed >= c.wanted(p) {
		return
	}
	p.running = true
	p.failed = 0
	pushes.Go(func() { c.runPush(ctx, p, candidates) })
}

// wanted returns the number of the last departure that a receiver has to know.
func (c *Controller) wanted(p *push) uint64 {
	if p.remote {
		return c.pushRemote
	}
	return c.pushLocal
}

// runPush sends until the receiver knows all departures, or PushAttempts in a
// row have failed. What is left goes with the next heartbeats.
func (c *Controller) runPush(ctx context.Context, p *push, candidates []target) {
	for attempt := 0; ; attempt++ {
		start := time.Now()
		informed, err := c.exchange(ctx, candidates[attempt%len(candidates)])
		if c.settlePush(p, informed, err) {
			return
		}
		// A refused connection fails at once; the attempts are meant to
		// last until the peer may be back.
		if err != nil && !pause.For(ctx, c.config.Timeout-time.Since(start)) {
			return
		}
	}
}

// settlePush notes the end of an attempt and reports whether the push is over.
// Deciding that and clearing running are one step, so that a departure that
// comes in between is not left to a push that has just ended.
func (c *Controller) settlePush(p *push, informed uint64, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wanted := c.wanted(p)
	if p.tried != wanted {
		p.tried = wanted
		p.failed = 0
	}
	if err == nil {
		p.informed = max(p.informed, informed)
		p.failed = 0
	} else {
		p.failed++
	}
	if p.informed < wanted && p.failed < c.config.PushAttempts {
		return false
	}
	p.running = false
	return true
}
