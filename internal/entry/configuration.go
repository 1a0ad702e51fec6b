package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

const (
	// configWait is how long a read waits for the next configuration. A
	// connection to the store that went silent is noticed after it, and a change
	// is due within 2 s of the three that the platform allows for a reset.
	configWait = 2500 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call; the pause is
	// drawn between half of it and the whole, so that gateways that lost the
	// store together do not come back together.
	retryLeast = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
	// storeFirst is for how long a gateway leaves it to the store to bring a
	// configuration that others have: a waiting read brings 300 KB within it on a
	// link of 10 Mbit/s, and a change is due 2 s after it is acknowledged.
	storeFirst = 400 * time.Millisecond
)

// retryPause returns the pause after a number of failures in a row.
func retryPause(failures int) time.Duration {
	pause := min(retryLeast<<min(failures, 5), retryMost)
	return pause/2 + rand.N(pause/2+1)
}

// configuration follows the operators' configuration and publishes it. It is the
// only writer of board.table. Revisions never go back, wherever they come from.
type configuration struct {
	ports Ports
	board *board
	log   hclog.Logger

	// failing: the store does not answer.
	failing atomic.Bool

	mu      sync.Mutex
	current gossip.ConfigRecord
	// behind is since when others are heard to have a newer one; zero if not.
	behind time.Time
	// faulty is the offset after that of the newest record that could not be used,
	// so that it is logged once; 0 if there is none.
	faulty ident.Offset
}

func newConfiguration(ports Ports, b *board, log hclog.Logger) *configuration {
	return &configuration{ports: ports, board: b, log: log}
}

// run follows the store until ctx ends.
func (c *configuration) run(ctx context.Context) {
	reader := &follower{
		store: c.ports.Store, topic: c.ports.ConfigTopic, log: c.log,
		wait: configWait, apply: c.applyRecord, failing: &c.failing,
	}
	reader.run(ctx)
}

func (c *configuration) applyRecord(record platform.KeyedRecord) {
	if record.Key == c.ports.ConfigKey && record.Value != nil {
		c.take(record.Offset, record.Value, "store")
	}
}

// take publishes a configuration if it is newer than the one in force.
func (c *configuration) take(offset ident.Offset, data []byte, from string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faulty == offset+1 || offset < c.current.Offset || offset == c.current.Offset && c.current.Revision > 0 {
		return
	}
	table, findings := c.ports.DecodeConfig(c.ports.ConfigTopic+"/"+c.ports.ConfigKey, data)
	if err := findings.Err(); err != nil {
		c.faulty = offset + 1
		c.log.Error("configuration not usable, the last one stays", "offset", offset, "from", from, "findings", err)
		return
	}
	if table.Revision() <= c.current.Revision {
		return
	}
	c.current = gossip.ConfigRecord{Revision: table.Revision(), Offset: offset, Data: data}
	c.board.table.Publish(table)
	c.log.Info("configuration in force", "revision", table.Revision(), "offset", offset, "from", from, "bytes", len(data))
}

// record returns the configuration in force if it is newer than a revision.
func (c *configuration) record(than ident.Revision) *gossip.ConfigRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Revision <= than {
		return nil
	}
	record := c.current
	return &record
}

// lacks reports whether another gateway should be asked for the configuration, where
// others are heard to have a revision: only if the store does not bring it.
func (c *configuration) lacks(heard ident.Revision, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.current.Revision == 0:
		return true
	case heard <= c.current.Revision:
		c.behind = time.Time{}
		return false
	case c.behind.IsZero():
		c.behind = now
	}
	return c.failing.Load() || now.Sub(c.behind) >= storeFirst
}

// follower reads a keyed topic: its newest records first, then what follows.
type follower struct {
	store platform.KeyedLog
	topic string
	log   hclog.Logger
	wait  time.Duration
	// apply takes one record.
	apply func(platform.KeyedRecord)
	// failing is set while the store does not answer.
	failing *atomic.Bool

	next  ident.Offset
	known bool
}

func (f *follower) run(ctx context.Context) {
	health := storeHealth{log: f.log, topic: f.topic}
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.failing.Store(err != nil && !errors.Is(err, platform.ErrExpired))
		switch {
		case err == nil:
			health.answered()
		case errors.Is(err, platform.ErrExpired):
			f.known = false
		default:
			health.failed(ctx, err)
		}
	}
}

// storeHealth tells when the store stops to answer and when it is back, once each.
type storeHealth struct {
	log   hclog.Logger
	topic string
	// failures in a row.
	failures int
}

// answered notes a call that the store answered.
func (h *storeHealth) answered() {
	if h.failures > 0 {
		h.log.Info("store answers again", "topic", h.topic, "failures", h.failures)
	}
	h.failures = 0
}

// failed notes a call that failed, and waits until the next one is due or ctx has
// ended.
func (h *storeHealth) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if h.failures == 0 {
		h.log.Warn("store does not answer", "topic", h.topic, "error", err)
	}
	h.failures++
	pause.For(ctx, retryPause(h.failures))
}

func (f *follower) step(ctx context.Context) error {
	if !f.known {
		batch, err := f.store.Newest(ctx, f.topic)
		if err != nil {
			return err
		}
		f.known, f.next = true, max(f.next, batch.End)
		for _, record := range batch.Records {
			f.apply(record)
		}
		return nil
	}
	batch, err := f.store.Follow(ctx, f.topic, f.next, f.wait)
	if err != nil {
		return err
	}
	for _, record := range batch.Records {
		f.apply(record)
		f.next = record.Offset + 1
	}
	return nil
}
