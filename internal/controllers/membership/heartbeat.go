package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// sendHeartbeats sends a round of heartbeats every Interval. A peer that does
// not answer doesn't delay the heartbeats to others.
func (c *Controller) sendHeartbeats(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for {
		for _, peer := range c.nextTargets() {
			exchanges.Go(func() {
				if _, err := c.exchange(ctx, peer); err != nil && ctx.Err() == nil {
					c.deps.Log.Debug("cannot exchange heartbeats with peer", "peer", peer.id, "address", peer.address, "error", err)
				}
			})
		}
		select {
		case <-time.After(c.nextInterval()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// nextInterval returns the time until the next round of heartbeats: Interval
// plus or minus up to a tenth. It varies between processes and turns, so that
// processes that started at the same time don't keep sending at the same time.
func (c *Controller) nextInterval() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	// stride and steps have no common factor, so that every step occurs.
	const steps, stride = 100, 37
	step := (c.rotationStart + c.turn*stride) % steps
	tenth := c.config.Interval / 10
	return c.config.Interval - tenth + 2*tenth*time.Duration(step)/steps
}

// nextTargets returns the receivers of the next round of heartbeats. It also
// does what is due once an interval, such as publishing: an instance becomes
// suspect by the passing of time alone, and nothing else would publish that.
func (c *Controller) nextTargets() []target {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.publish(now)
	c.advanceRecent(now)
	c.dropSessions()
	peers := peersByDomain(c.table, c.config.Self.ID)
	chosen := chooseTargets(c.reachable(peers), c.config, rotation{start: c.rotationStart, turn: c.turn})
	c.turn++
	if len(peers) == 0 {
		return c.seedTargets()
	}
	return c.addUncontacted(chosen, peers)
}

// addUncontacted adds up to IntroductionFanout peers with which this process
// has had no contact yet.
func (c *Controller) addUncontacted(chosen []target, peers map[ident.FailureDomain][]target) []target {
	added := 0
	for _, list := range peers {
		for _, peer := range list {
			known := c.session(peer.id).contact != noContact
			if known || slices.ContainsFunc(chosen, func(t target) bool { return t.id == peer.id }) {
				continue
			}
			if added++; added > c.config.IntroductionFanout {
				return chosen
			}
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// seedTargets returns the next seeds to contact.
func (c *Controller) seedTargets() []target {
	var out []target
	for _, address := range c.config.Seeds {
		if address != c.config.Self.PeerAddress {
			out = append(out, target{address: address})
		}
	}
	return takeRotated(out, c.turn, seedFanout)
}

// seedFanout is how many seeds get a heartbeat in one turn.
const seedFanout = 3

// reachable leaves out peers that do not answer, so that the ring of
// chooseTargets links the peers on either side of a dead one. In each turn it
// keeps one peer per domain regardless, to find those that answer again.
func (c *Controller) reachable(peers map[ident.FailureDomain][]target) map[ident.FailureDomain][]target {
	out := map[ident.FailureDomain][]target{}
	for domain, list := range peers {
		retried := list[c.turn%len(list)].id
		for _, peer := range list {
			if peer.id == retried || c.session(peer.id).failures < c.config.PeerFailures {
				out[domain] = append(out[domain], peer)
			}
		}
	}
	return out
}

// advanceRecent keeps recent at a change number from one to two windows ago.
func (c *Controller) advanceRecent(now time.Time) {
	if now.Sub(c.nextRecent.at) < recentWindow {
		return
	}
	c.recent = c.nextRecent
	c.nextRecent = mark{sequence: c.table.Sequence(), at: now}
}

// dropSessions removes the sessions with instances that the table has removed.
func (c *Controller) dropSessions() {
	for id := range c.sessions {
		if _, ok := c.table.Find(id); !ok {
			delete(c.sessions, id)
		}
	}
}

// checkOwnDeparture calls OnOwnDeparture if the own instance is among the
// departed ones and this process is not stopping yet.
func (c *Controller) checkOwnDeparture(departed []ident.Instance) {
	for _, id := range departed {
		if id == c.config.Self.ID && !c.deps.Board.Stopping.Value() {
			c.notifyOwnDeparture()
		}
	}
}
