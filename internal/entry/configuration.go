package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
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

	mu      sync.Mutex
	current gossip.ConfigRecord
	// faulty are offsets whose record could not be used, so that it is logged
	// once.
	faulty map[ident.Offset]bool
}

func newConfiguration(ports Ports, b *board, log hclog.Logger) *configuration {
	return &configuration{ports: ports, board: b, log: log, faulty: make(map[ident.Offset]bool)}
}

// run follows the store until ctx ends.
func (c *configuration) run(ctx context.Context) {
	reader := &follower{
		store: c.ports.Store, topic: c.ports.ConfigTopic, log: c.log,
		wait: configWait, apply: c.applyRecord,
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
	if c.faulty[offset] || offset < c.current.Offset || offset == c.current.Offset && c.current.Revision > 0 {
		return
	}
	table, findings := c.ports.DecodeConfig(c.ports.ConfigTopic+"/"+c.ports.ConfigKey, data)
	if err := findings.Err(); err != nil {
		c.faulty[offset] = true
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

// follower reads a keyed topic: its newest records first, then what follows.
type follower struct {
	store platform.KeyedLog
	topic string
	log   hclog.Logger
	wait  time.Duration
	// apply takes one record.
	apply func(platform.KeyedRecord)

	next  ident.Offset
	known bool
}

func (f *follower) run(ctx context.Context) {
	health := storeHealth{log: f.log, topic: f.topic}
	for ctx.Err() == nil {
		err := f.step(ctx)
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
