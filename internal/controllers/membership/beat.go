package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// beat sends the heartbeats. A peer that does not answer delays no other.
func (c *Controller) beat(ctx context.Context) error {
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	for {
		for _, peer := range c.nextTargets() {
			exchanges.Go(func() {
				if _, err := c.exchange(ctx, peer); err != nil && ctx.Err() == nil {
					c.deps.Log.Debug("heartbeat failed", "peer", peer.id, "address", peer.address, "error", err)
				}
			})
		}
		select {
		case <-time.After(c.pause()):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pause returns the time to the next heartbeat. It differs by a tenth at most
// between processes and turns, so that those that started together drift apart.
func (c *Controller) pause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	// stride has no factor in common with steps, so that all steps come up.
	const steps, stride = 100, 37
	step := (c.start + c.turn*stride) % steps
	tenth := c.config.Interval / 10
	return c.config.Interval - tenth + 2*tenth*time.Duration(step)/steps
}

// nextTargets also does what is due once an interval: suspicion depends on time
// alone, and nothing else would publish it.
func (c *Controller) nextTargets() []target {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.publish(now)
	c.advanceRecent(now)
	c.dropSessions()
	peers := peersByDomain(c.table, c.config.Self.ID)
	chosen := chooseTargets(c.reachable(peers), c.config, turns{start: c.start, turn: c.turn})
	c.turn++
	if len(peers) == 0 {
		return c.seedTargets()
	}
	return c.addUnheard(chosen, peers)
}

// addUnheard adds peers that this process has had no contact with yet.
func (c *Controller) addUnheard(chosen []target, peers map[ident.FailureDomain][]target) []target {
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

func (c *Controller) seedTargets() []target {
	var out []target
	for _, address := range c.config.Seeds {
		if address != c.config.Self.PeerAddress {
			out = append(out, target{address: address})
		}
	}
	return take(out, c.turn, seedFanout)
}

// seedFanout is how many seeds are asked in one turn.
const seedFanout = 3

// reachable leaves out peers that do not answer, but for one in a turn, so that
// a ring closes around the dead, and those that are back are found.
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

// advanceRecent keeps recent at a number from one to two windows ago.
func (c *Controller) advanceRecent(now time.Time) {
	if now.Sub(c.nextRecent.at) < recentWindow {
		return
	}
	c.recent = c.nextRecent
	c.nextRecent = mark{sequence: c.table.Sequence(), at: now}
}

// dropSessions forgets the sessions with instances that the table forgot.
func (c *Controller) dropSessions() {
	for id := range c.sessions {
		if _, ok := c.table.Find(id); !ok {
			delete(c.sessions, id)
		}
	}
}

// checkOwnDeparture looks for the own instance among departed ones.
func (c *Controller) checkOwnDeparture(departed []ident.Instance) {
	for _, id := range departed {
		if id == c.config.Self.ID && !c.deps.Board.Stopping.Value() {
			c.tellOwner()
		}
	}
}
