package entry

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

const (
	// waitingReaders is how many gateways, those with the lowest ranks, always have a read
	// waiting at the store for the next configuration; the others learn of it from
	// reports. If every gateway had such a read, these reads would be half of the store's
	// calls. Two gateways have one, so that one is left if the store refuses the other.
	waitingReaders = 2
	// readWaitShare is how long such a read waits, as a share of the time within which a
	// change must be in force. A connection to the store that went silent is noticed only
	// when this wait is over.
	readWaitShare = 0.4
	// peerConfirmationShare is how old another gateway's confirmation that the
	// configuration is the newest may become before a gateway asks the store itself, as a
	// share of the same time. It is longer than the age that the confirmations of two
	// readers usually reach in transit, and short enough to be in time where all readers
	// have lost the store.
	peerConfirmationShare = 0.6
	// storeHeadStart is how long, after peerHeadStart, a gateway waits for the store to
	// deliver a configuration that other gateways have before it requests the
	// configuration from them. In that time, a waiting read delivers 300 KB over a link of
	// 10 Mbit/s. A change must be in force 2 s after it was acknowledged.
	storeHeadStart = 400 * time.Millisecond
	// peerHeadStart is how long a gateway that learns of a newer configuration waits for
	// the other gateways to send it before it asks the store: a small configuration comes
	// with their next answer.
	peerHeadStart = 300 * time.Millisecond
	// minReadInterval is the shortest time between two reads by a gateway that knows of a
	// newer configuration which the store does not deliver yet.
	minReadInterval = 250 * time.Millisecond
)

// configFollower follows the operators' configuration and publishes it. It is the only
// writer of board.table. The published revision never decreases, whether the configuration
// comes from the store or from another gateway.
type configFollower struct {
	ports Ports
	board *board
	// rollouts receives the rollout orders, which operators write to the same topic.
	rollouts *rollout.Tracker
	now      boottime.Clock
	log      hclog.Logger
	// rank returns this gateway's rank among those that may ask the store; 0 is first.
	rank func() int
	// due is the time within which a change must be in force.
	due    time.Duration
	health storeHealth

	// Only run uses the fields up to lastReadAt.

	// next is the position of the first record that was not read yet, once listed is true.
	next ident.Position
	// listed: the newest records of the topic were read, and those that follow up to next.
	listed bool
	// refused: the last read from next was refused, as its records are not kept.
	refused bool
	// loggedUnreadable holds the keys of the unreadable records that were logged.
	loggedUnreadable onceByKey
	// lastReadAt is when the store was last asked.
	lastReadAt time.Time

	mu sync.Mutex
	// current is the configuration in force; its revision is 0 if there is none.
	current gossip.ConfigRecord
	// confirmed is the last time at which, as the store or another gateway confirmed, no
	// newer configuration existed.
	confirmed time.Time
	// behindSince is since when another gateway is known to have a newer configuration;
	// zero if none is.
	behindSince time.Time
	// unusable is the hash of the last configuration that could not be used, so that its
	// findings are logged once.
	unusable uint64
}

func newConfigFollower(ports Ports, b *board, rollouts *rollout.Tracker, now boottime.Clock, rank func() int, due time.Duration, log hclog.Logger) *configFollower {
	return &configFollower{ports: ports, board: b, rollouts: rollouts, now: now, rank: rank, due: due, log: log, health: newStoreHealth(ports, ports.ConfigTopic, rank, log)}
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

// nextRead returns the time until the next read of the store is due, as idle, which is 0
// for now, and for how long that read waits for the next configuration.
func (c *configFollower) nextRead() (wait, idle time.Duration) {
	if wait := c.health.waitInNewEra(c.next, c.now()); wait > 0 {
		return 0, wait
	}
	if c.mustList() && (c.next.IsZero() || c.rank() < waitingReaders) {
		return 0, 0
	}
	if c.rank() < waitingReaders {
		return shareOf(c.due, readWaitShare), 0
	}
	_, age := c.state()
	idle = shareOf(c.due, peerConfirmationShare) + c.health.draw(viewJitter) - age
	if behind, isBehind := c.behindFor(); isBehind {
		idle = min(idle, max(peerHeadStart-behind, minReadInterval-c.now().Sub(c.lastReadAt)))
	}
	return 0, max(0, idle)
}

// mustList reports whether the newest record of each key has to be read: the records from c.next on do not tell what
// has changed.
func (c *configFollower) mustList() bool { return !c.listed || c.ports.Eras.Newest() > c.next.Era() }

// read reads the newest record of each key the first time and in each new era of the store, and the records
// that follow in later calls.
func (c *configFollower) read(ctx context.Context, wait time.Duration) error {
	asOf := c.now()
	c.lastReadAt = asOf
	if c.mustList() {
		return c.list(ctx, asOf)
	}
	batch, err := c.ports.Store.Follow(ctx, c.ports.ConfigTopic, c.next, wait)
	switch {
	case errors.Is(err, platform.ErrEraChanged):
		return nil // the next read lists
	case errors.Is(err, platform.ErrExpired):
		c.log.Info("records not kept, listing again", "topic", c.ports.ConfigTopic, "from", c.next, "first", batch.First)
		c.listed = false
		if c.refused {
			return err // not for the first time: with a pause
		}
		c.refused = true
		return nil
	case err != nil:
		return err
	}
	c.refused = false
	c.applyRecords(batch.Records)
	if n := len(batch.Records); n > 0 {
		c.next = batch.Records[n-1].At.Next()
	}
	if batch.End.Before(c.next) {
		c.listed = false
		return errors.Wrapf(errWentBack, "topic %s ends at %v, read up to %v", c.ports.ConfigTopic, batch.End, c.next)
	}
	if batch.End.After(c.next) {
		return nil
	}
	if len(batch.Records) == 0 && c.now().Sub(asOf) >= wait {
		// The store waited for the whole time, and nothing newer was written meanwhile.
		asOf = asOf.Add(wait)
	}
	c.confirm(asOf)
	return nil
}

// list reads the newest record of each key.
func (c *configFollower) list(ctx context.Context, asOf time.Time) error {
	batch, err := c.ports.Store.Newest(ctx, c.ports.ConfigTopic, nil)
	if err != nil {
		return err
	}
	revision, _ := c.state()
	c.applyRecords(batch.Records)
	if batch.End.InNewEra(c.next) {
		now, _ := c.state()
		c.log.Info("operators' records listed in a new era", "end", batch.End, "known", c.next, "revision_before", revision, "revision", now)
	}
	c.listed, c.next = true, batch.End
	c.confirm(asOf)
	return nil
}

// applyRecords applies records of the operators' topic.
func (c *configFollower) applyRecords(records []platform.KeyedRecord) {
	for _, record := range records {
		if record.Unreadable != nil && c.loggedUnreadable.firstTime(record.Key) {
			c.log.Error("cannot read record", "topic", c.ports.ConfigTopic, "key", record.Key, "position", record.At, "error", record.Unreadable)
		}
		if record.Key == c.ports.ConfigKey && record.Value != nil {
			c.apply(record.At, record.Value, "store")
		}
		c.applyRollout(record)
	}
}

// applyRollout applies a rollout order. An order that cannot be read has one effect: no
// other version of the service gets work.
func (c *configFollower) applyRollout(record platform.KeyedRecord) {
	if record.Value == nil || record.Unreadable != nil || c.ports.DecodeRollout == nil {
		return
	}
	order, isOrder, findings := c.ports.DecodeRollout(c.ports.ConfigTopic, record.Key, record.Value, record.At)
	if !isOrder {
		return
	}
	if err := findings.Err(); err != nil {
		c.log.Error("rollout not usable, no other version gets work", "service", order.Service, "position", record.At, "findings", err)
		c.rollouts.ApplyUnreadableOrder(order.Service)
		return
	}
	c.rollouts.ApplyOrder(order, 0, "store")
}

// confirmedAt returns the last time at which all of the operators' records then written were
// known here, as the store or another gateway confirmed.
func (c *configFollower) confirmedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// apply publishes a configuration if its revision is higher than that of the one in force. Where it is
// recorded says nothing: the store may come back from an older copy. from is its source, for the log.
func (c *configFollower) apply(at ident.Position, data []byte, from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Revision > 0 && bytes.Equal(data, c.current.Data) {
		return
	}
	hash := xxhash.Sum64(data)
	if hash == c.unusable {
		return
	}
	table, findings := c.ports.DecodeConfig(c.ports.ConfigTopic+"/"+c.ports.ConfigKey, data)
	if err := findings.Err(); err != nil {
		c.unusable = hash
		c.log.Error("configuration not usable, the last one stays", "position", at, "from", from, "findings", err)
		return
	}
	if table.Revision() <= c.current.Revision {
		c.log.Info("configuration not used, a later one is in force", "revision", table.Revision(), "position", at, "from", from, "in_force", c.current.Revision)
		return
	}
	c.current = gossip.ConfigRecord{Revision: table.Revision(), At: at, Data: data}
	c.behindSince = time.Time{}
	c.board.table.Publish(table)
	c.log.Info("configuration in force", "revision", table.Revision(), "position", at, "from", from, "bytes", len(data))
}

// newerThan returns the configuration in force if it is newer than the revision, and nil
// otherwise.
func (c *configFollower) newerThan(revision ident.Revision) *gossip.ConfigRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Revision <= revision {
		return nil
	}
	record := c.current
	return &record
}

// confirm records that at the given time the configuration in force was the newest.
func (c *configFollower) confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// confirmFromPeer records another gateway's report that a revision was the newest at the
// given time. If that revision is newer than the one in force, this gateway is behind.
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

// behindFor reports whether another gateway is known to have a newer configuration, and for
// how long that has been known.
func (c *configFollower) behindFor() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now().Sub(c.behindSince), !c.behindSince.IsZero()
}

// state returns the revision in force, and how long ago it was confirmed to be the
// newest; see ageOf.
func (c *configFollower) state() (ident.Revision, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current.Revision, ageOf(c.confirmed, c.now())
}

// needsFetch reports whether the configuration should be requested from another gateway.
// That is so if none is in force, or if this gateway is behind and the store fails or does
// not deliver the newer one in time.
func (c *configFollower) needsFetch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Revision == 0 {
		return true
	}
	return !c.behindSince.IsZero() && (c.health.failing() || c.now().Sub(c.behindSince) >= peerHeadStart+storeHeadStart)
}
