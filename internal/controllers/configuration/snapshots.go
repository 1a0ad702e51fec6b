package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// SnapshotPolicy says when a snapshot of the configuration is appended to the
// log. Without snapshots, documents would be lost when the records that
// published them expire, and new instances would find none.
type SnapshotPolicy struct {
	// Interval is the age of the newest snapshot at which a new one is due.
	// It has to be well below the time that the log keeps records; a quarter
	// of it leaves room for an outage.
	Interval time.Duration
	// MaxRecords is the number of records since the newest snapshot at which
	// a new one is due. It bounds how many records a new process reads.
	MaxRecords int
	// Spread is the time over which the processes' attempts are spread once a
	// snapshot is due, so that usually one process writes it for all.
	Spread time.Duration
}

// DefaultSnapshotPolicy suits a log that keeps records for an hour or more.
var DefaultSnapshotPolicy = SnapshotPolicy{
	Interval:   10 * time.Minute,
	MaxRecords: 256,
	Spread:     time.Minute,
}

// WithInterval returns the policy with its Interval replaced.
func (p SnapshotPolicy) WithInterval(interval time.Duration) SnapshotPolicy {
	p.Interval = interval
	return p
}

// minSnapshotDelay is the least delay before a process writes a snapshot that
// is due. In that time it reads one that another process has just written.
const minSnapshotDelay = 5 * time.Second

// snapshotCheckInterval is the time between two checks whether a snapshot is
// due.
const snapshotCheckInterval = 5 * time.Second

// appendTimeout bounds the append of a snapshot.
const appendTimeout = 5 * time.Second

// seenSnapshot describes the newest snapshot that was read from the log.
type seenSnapshot struct {
	// covers is the first offset that the snapshot does not include.
	covers ident.Offset
	// readAt is when this process read it, or started; monotonic.
	readAt time.Time
	// records counts the records read since.
	records int
}

// progress is the part of the controller's state that other goroutines read.
type progress struct {
	state          document.State
	newestSnapshot seenSnapshot
	// firstKept is the oldest offset that the log keeps.
	firstKept ident.Offset
	// atHead is whether state includes all records up to the log's head.
	atHead bool
}

// needed reports whether the log needs a new snapshot: records that no snapshot
// covers have expired, or the newest snapshot is too old, or too many records
// follow it.
func (p SnapshotPolicy) needed(now time.Time, latest *progress) bool {
	if !latest.atHead || latest.state.Next() == 0 {
		return false
	}
	uncovered := latest.newestSnapshot.covers < latest.firstKept
	old := now.Sub(latest.newestSnapshot.readAt) >= p.Interval
	many := latest.newestSnapshot.records >= p.MaxRecords
	return uncovered || old || many
}

// delay returns how long an instance waits, once a snapshot is due, for another
// process to write it. It depends on the instance alone.
func (p SnapshotPolicy) delay(instance ident.Instance) time.Duration {
	const steps = 1 << 16
	step := xxhash.Sum64String(string(instance)) % steps
	return minSnapshotDelay + p.Spread*time.Duration(step)/steps
}

// snapshotWriter holds since when a snapshot is needed.
type snapshotWriter struct {
	mu sync.Mutex
	// neededSince is zero while none is needed. It restarts after each attempt.
	neededSince time.Time
}

// WriteSnapshots writes a snapshot whenever one is due, until ctx ends. One
// process of an instance has to run it; more do no harm.
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
			c.logger.Warn("cannot write configuration snapshot", "error", err)
		}
	}
}

// WriteSnapshotIfDue appends a snapshot of the configuration to the log when
// the log needs one and no other process has written it meanwhile. It returns
// whether it has appended one. Call it every few seconds; it may be called by
// any goroutine. A lost answer is harmless: a later call sees from the log
// whether the snapshot was appended.
func (c *Controller) WriteSnapshotIfDue(ctx context.Context) (bool, error) {
	latest := c.progress.Load()
	if !c.snapshotDue(time.Now(), latest) {
		return false, nil
	}
	record, err := document.EncodeSnapshot(latest.state)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	if _, err := c.options.Log.Append(ctx, document.StreamName, [][]byte{record}); err != nil {
		return false, err
	}
	metrics.snapshots.Add(1)
	c.logger.Info("configuration snapshot written", "covers", latest.state.Next(), "bytes", len(record))
	return true, nil
}

func (c *Controller) snapshotDue(now time.Time, latest *progress) bool {
	w := &c.snapshot
	w.mu.Lock()
	defer w.mu.Unlock()
	if !c.options.Snapshots.needed(now, latest) {
		w.neededSince = time.Time{}
		return false
	}
	if w.neededSince.IsZero() {
		w.neededSince = now
	}
	if now.Sub(w.neededSince) < c.options.Snapshots.delay(c.options.Instance) {
		return false
	}
	w.neededSince = now
	return true
}
