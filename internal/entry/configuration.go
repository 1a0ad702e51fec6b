package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

const (
	// waitingReaders is how many gateways, the first in line, always have a read waiting
	// at the store for the next configuration; the others hear of it from them.
	// Two, so that one that is turned away by the store leaves one: a waiting read at
	// each gateway would be half of the store's calls.
	waitingReaders = 2
	// readWaitShare of the time within which a change is due is how long such a read
	// waits: a connection to the store that went silent is noticed after it.
	readWaitShare = 0.4
	// peerConfirmationShare of the same time is how old a gateway's word that its configuration
	// is the newest may become before the others ask the store themselves: longer
	// than two readers' words usually become on their way, and short enough to be
	// in time where all readers have lost the store.
	peerConfirmationShare = 0.6
	// storeHeadStart is for how long a gateway leaves it to the store to bring a
	// configuration that others have: a waiting read brings 300 KB within it on a
	// link of 10 Mbit/s, and a change is due 2 s after it is acknowledged.
	storeHeadStart = 400 * time.Millisecond
	// peerHeadStart is for how long a gateway that hears of a newer configuration leaves it
	// to the other gateways to bring it: a small one comes with their next answer.
	peerHeadStart = 300 * time.Millisecond
	// minReadInterval is the time between two reads by a gateway that hears of a newer
	// configuration which the store does not show it yet.
	minReadInterval = 250 * time.Millisecond
)

// configFollower follows the operators' configuration and publishes it. It is the
// only writer of board.table. Revisions never go back, wherever they come from.
type configFollower struct {
	ports Ports
	board *board
	// rollouts takes the orders that stand in the same topic.
	rollouts *rollout.Tracker
	now      boottime.Clock
	log      hclog.Logger
	// rank is this gateway's place in line for asking the store.
	rank func() int
	// due is within which time a change must be in force.
	due    time.Duration
	health storeHealth

	// next is the offset up to which the store's records were read, once listed, and
	// asked is when it was asked last.
	next   ident.Offset
	listed bool
	// loggedUnreadable are the records that were told of; run alone uses it.
	loggedUnreadable onceByKey
	lastReadAt       time.Time

	mu      sync.Mutex
	current gossip.ConfigRecord
	// confirmed is when the store, or a peer by its word, confirmed that no newer
	// configuration exists.
	confirmed time.Time
	// behindSince is since when others are heard to have a newer one; zero if not.
	behindSince time.Time
	// afterUnusable is the offset after that of the newest record that could not be used,
	// so that it is logged once; 0 if there is none.
	afterUnusable ident.Offset
}

func newConfigFollower(ports Ports, b *board, rollouts *rollout.Tracker, now boottime.Clock, rank func() int, due time.Duration, log hclog.Logger) *configFollower {
	return &configFollower{ports: ports, board: b, rollouts: rollouts, now: now, rank: rank, due: due, log: log, health: storeHealth{log: log, topic: ports.ConfigTopic}}
}

// run follows the store until ctx ends.
func (c *configFollower) run(ctx context.Context) {
	c.health.follow(ctx, func(ctx context.Context) (time.Duration, error) {
		wait, idle := c.nextRead()
		if idle > 0 {
			return idle, nil
		}
		return 0, c.read(ctx, wait)
	})
}

// nextRead returns after how long a read of the store is due, 0 for now, and then for how
// long it waits for the next configuration.
func (c *configFollower) nextRead() (wait, idle time.Duration) {
	if !c.listed {
		return 0, 0
	}
	if c.rank() < waitingReaders {
		return shareOf(c.due, readWaitShare), 0
	}
	_, age := c.state()
	idle = shareOf(c.due, peerConfirmationShare) + rand.N(viewJitter) - age
	if behind, is := c.behindFor(); is {
		idle = min(idle, max(peerHeadStart-behind, minReadInterval-c.now().Sub(c.lastReadAt)))
	}
	return 0, max(0, idle)
}

// read reads the newest records once, and what follows from then on.
func (c *configFollower) read(ctx context.Context, wait time.Duration) error {
	asked := c.now()
	c.lastReadAt = asked
	var batch platform.KeyedBatch
	var err error
	if c.listed {
		batch, err = c.ports.Store.Follow(ctx, c.ports.ConfigTopic, c.next, wait)
	} else {
		batch, err = c.ports.Store.Newest(ctx, c.ports.ConfigTopic, nil)
	}
	if errors.Is(err, platform.ErrExpired) {
		c.listed = false
		return nil
	}
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		if record.Unreadable != nil && c.loggedUnreadable.firstTime(record.Key) {
			c.log.Error("record not readable", "topic", c.ports.ConfigTopic, "key", record.Key, "offset", record.Offset, "error", record.Unreadable)
		}
		if record.Key == c.ports.ConfigKey && record.Value != nil {
			c.apply(record.Offset, record.Value, "store")
		}
		c.applyRollout(record)
		c.next = max(c.next, record.Offset+1)
	}
	if !c.listed {
		c.listed, c.next = true, max(c.next, batch.End)
	}
	if batch.End > c.next {
		return nil
	}
	if len(batch.Records) == 0 && c.now().Sub(asked) >= wait {
		// The store waited for so long, and there was nothing newer.
		asked = asked.Add(wait)
	}
	c.confirm(asked)
	return nil
}

// applyRollout takes an operator's order to change a service's version. One that cannot be
// read changes nothing but that no other version of the service gets work.
func (c *configFollower) applyRollout(record platform.KeyedRecord) {
	if record.Value == nil || record.Unreadable != nil || c.ports.DecodeRollout == nil {
		return
	}
	order, is, findings := c.ports.DecodeRollout(c.ports.ConfigTopic, record.Key, record.Value, record.Offset)
	if !is {
		return
	}
	if err := findings.Err(); err != nil {
		c.log.Error("rollout not usable, no other version gets work", "service", order.Service, "offset", record.Offset, "findings", err)
		c.rollouts.Unreadable(order.Service)
		return
	}
	c.rollouts.Order(order, 0, "store")
}

// confirmedAt is as of when all of the operators' records are known.
func (c *configFollower) confirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// apply publishes a configuration if it is newer than the one in force.
func (c *configFollower) apply(offset ident.Offset, data []byte, from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.afterUnusable == offset+1 || offset < c.current.Offset || offset == c.current.Offset && c.current.Revision > 0 {
		return
	}
	table, findings := c.ports.DecodeConfig(c.ports.ConfigTopic+"/"+c.ports.ConfigKey, data)
	if err := findings.Err(); err != nil {
		c.afterUnusable = offset + 1
		c.log.Error("configuration not usable, the last one stays", "offset", offset, "from", from, "findings", err)
		return
	}
	if table.Revision() <= c.current.Revision {
		return
	}
	c.current = gossip.ConfigRecord{Revision: table.Revision(), Offset: offset, Data: data}
	c.behindSince = time.Time{}
	c.board.table.Publish(table)
	c.log.Info("configuration in force", "revision", table.Revision(), "offset", offset, "from", from, "bytes", len(data))
}

// newerThan returns the configuration in force if it is newer than a revision.
func (c *configFollower) newerThan(than ident.Revision) *gossip.ConfigRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Revision <= than {
		return nil
	}
	record := c.current
	return &record
}

// confirm notes that no newer configuration than the one in force existed at an
// instant.
func (c *configFollower) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// confirmFromPeer takes another gateway's word that a revision was the newest at an
// instant. Of a newer one than is in force it is the first news.
func (c *configFollower) confirmFromPeer(revision ident.Revision, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case revision <= c.current.Revision:
		if c.current.Revision > 0 && at.After(c.confirmed) {
			c.confirmed = at
		}
	case c.behindSince.IsZero():
		c.behindSince = c.now()
	}
}

// behindFor reports whether others are heard to have a newer configuration, and for how long.
func (c *configFollower) behindFor() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.behindSince), !c.behindSince.IsZero()
}

// state returns the revision in force, and how long ago it was confirmed to be the
// newest.
func (c *configFollower) state() (ident.Revision, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Revision, ageOf(c.confirmed, c.now())
}

// needsFetch reports whether another gateway should be asked for the configuration: only if
// the store does not bring it.
func (c *configFollower) needsFetch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Revision == 0 {
		return true
	}
	return !c.behindSince.IsZero() && (c.health.failing() || c.now().Sub(c.behindSince) >= peerHeadStart+storeHeadStart)
}
