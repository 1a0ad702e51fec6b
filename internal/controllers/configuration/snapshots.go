package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// SnapshotPolicy says when the configuration is written to the log again.
// Without that, documents would vanish with the records that published them,
// which one would notice when a new instance finds none.
type SnapshotPolicy struct {
	// Interval since the newest snapshot. It has to be well below the time
	// that the log keeps records; a quarter of it leaves room for an outage.
	Interval time.Duration
	// MaxRecords since the newest snapshot, which bounds what a new process
	// reads.
	MaxRecords int
	// Spread is the time over which processes space themselves out, so that
	// usually the first one's snapshot spares the others theirs.
	Spread time.Duration
}

// DefaultSnapshotPolicy suits a log that keeps records for an hour or more.
var DefaultSnapshotPolicy = SnapshotPolicy{
	Interval:   10 * time.Minute,
	MaxRecords: 256,
	Spread:     time.Minute,
}

// Every returns the policy with another interval.
func (p SnapshotPolicy) Every(interval time.Duration) SnapshotPolicy {
	p.Interval = interval
	return p
}

// minSpread is the least delay, in which a snapshot just written is read back.
const minSpread = 5 * time.Second

// snapshotCheckInterval is the time between two checks whether one is due.
const snapshotCheckInterval = 5 * time.Second

// appendTimeout bounds the append of a snapshot.
const appendTimeout = 5 * time.Second

// seenSnapshot is the newest snapshot that was read from the log.
type seenSnapshot struct {
	covers ident.Offset
	// readAt is when this process read it, or started; monotonic.
	readAt time.Time
	// records read after it.
	records int
}

// progress is what other goroutines see of the controller.
type progress struct {
	state   document.State
	written seenSnapshot
	// first is the oldest offset that the log keeps.
	first ident.Offset
	// current: the state is that of the log's head.
	current bool
}

// needed reports whether the log lacks a snapshot.
func (p SnapshotPolicy) needed(now time.Time, at *progress) bool {
	if !at.current || at.state.Next() == 0 {
		return false
	}
	expiring := at.written.covers < at.first
	old := now.Sub(at.written.readAt) >= p.Interval
	many := at.written.records >= p.MaxRecords
	return expiring || old || many
}

// delay is how long an instance leaves the work to others.
func (p SnapshotPolicy) delay(instance ident.Instance) time.Duration {
	const steps = 1 << 16
	step := xxhash.Sum64String(string(instance)) % steps
	return minSpread + p.Spread*time.Duration(step)/steps
}

// snapshotWriter remembers since when a snapshot is needed.
type snapshotWriter struct {
	mu sync.Mutex
	// since is zero while none is needed.
	since time.Time
}

// WriteSnapshots writes a snapshot whenever one is due, until ctx ends. One
// process of an instance does it; that others do it too is harmless.
func (c *Controller) WriteSnapshots(ctx context.Context) error {
	ticker := time.NewTicker(snapshotCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if _, err := c.WriteSnapshotIfDue(ctx); err != nil {
			c.logger.Warn("no snapshot written", "error", err)
		}
	}
}

// WriteSnapshotIfDue appends a snapshot of the configuration to the log when
// the log needs one and no other process has written it meanwhile. Call it
// every few seconds; it may be called by any goroutine. A lost answer is
// harmless: the next round sees whether the snapshot is there.
func (c *Controller) WriteSnapshotIfDue(ctx context.Context) (bool, error) {
	at := c.progress.Load()
	if !c.snapshotDue(time.Now(), at) {
		return false, nil
	}
	record, err := document.EncodeSnapshot(at.state)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.options.Log.Append(ctx, document.StreamName, [][]byte{record}); err != nil {
		return false, err
	}
	metrics.snapshots.Add(1)
	c.logger.Info("snapshot written", "covers", at.state.Next(), "bytes", len(record))
	return true, nil
}

func (c *Controller) snapshotDue(now time.Time, at *progress) bool {
	w := &c.snapshot
	w.mu.Lock()
	defer w.mu.Unlock()
	if !c.options.Snapshots.needed(now, at) {
		w.since = time.Time{}
		return false
	}
	if w.since.IsZero() {
		w.since = now
	}
	if now.Sub(w.since) < c.options.Snapshots.delay(c.options.Instance) {
		return false
	}
	w.since = now
	return true
}
