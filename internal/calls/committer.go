package calls

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// The committer's counters: appends tried, records in them, appends that
// failed or whose answer was lost.
var (
	appendCount  = expvar.NewInt("goldcrestspool.calls.appends")
	recordCount  = expvar.NewInt("goldcrestspool.calls.appended_records")
	appendErrors = expvar.NewInt("goldcrestspool.calls.append_errors")
)

// maxBatchBytes bounds the data of one append, so that many large answers do
// not make one that the log refuses.
const maxBatchBytes = 1 << 20

// The pause after a failed append grows from the first to the second.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// failuresUntilDown is how many answers of appends have to be lost in a row until new
// calls are refused at once: one is no outage, and waiting for the second try
// costs a caller less than coming back.
const failuresUntilDown = 2

// committer writes the records of one partition: one append at a time, with
// all that has come meanwhile (group commit).
type committer struct {
	stream string
	c      *Coordinator
	wake   chan struct{}

	mu    sync.Mutex
	queue []*queuedRecord
	// inFlight is how many records the running append carries; began is
	// when it began.
	inFlight      int
	appendStarted time.Time
	// retryAt is when the next append is tried after a failure.
	retryAt time.Time
	backoff time.Duration
	// failures counts the answers lost since the last success. An outage or
	// a hanging append counts for failuresDown.
	failures int
}

// queuedRecord is one record on its way to the log.
type queuedRecord struct {
	event journal.Event
	// claim is set for claims.
	claim *claim
}

func newCommitter(stream string, c *Coordinator) *committer {
	return &committer{stream: stream, c: c, wake: make(chan struct{}, 1)}
}

// enqueue queues an event that must reach the log sooner or later.
func (w *committer) enqueue(e journal.Event) {
	w.mu.Lock()
	w.queue = append(w.queue, &queuedRecord{event: e})
	w.mu.Unlock()
	w.signal()
}

// enqueueClaim queues a claim, with events that go before it in the same append.
// It reports false when too much is queued.
func (w *committer) enqueueClaim(cl *claim, before ...journal.Event) bool {
	w.mu.Lock()
	if len(w.queue) >= w.c.limits.MaxQueue {
		w.mu.Unlock()
		return false
	}
	for _, e := range before {
		w.queue = append(w.queue, &queuedRecord{event: e})
	}
	w.queue = append(w.queue, &queuedRecord{event: cl.record, claim: cl})
	w.mu.Unlock()
	w.signal()
	return true
}

func (w *committer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// mayHaveSent reports whether the log may hold the claim's record, now or
// later. Once it has reported false for a claim that is not waiting any more,
// the record is never sent.
func (w *committer) mayHaveSent(cl *claim) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return cl.sent
}

// logDown reports whether appends fail or hang now, and when to come back. All
// partitions are in one log, so that the trouble of one is taken for that of
// all: a call would only wait to find out by itself.
func (c *Coordinator) logDown(now time.Time) (wait time.Duration, down bool) {
	for _, p := range c.partitions {
		w, d := p.writer.down(now)
		wait, down = max(wait, w), down || d
	}
	return wait, down
}

// down reports whether appends fail or hang now, and when to come back.
func (w *committer) down(now time.Time) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inFlight > 0 && now.Sub(w.appendStarted) >= w.c.limits.SlowAfter {
		return w.c.limits.AppendTimeout, true
	}
	if w.failures >= failuresUntilDown && now.Before(w.retryAt) {
		return w.retryAt.Sub(now), true
	}
	return 0, false
}

// commitLoop appends until ctx ends.
func (p *partition) commitLoop(ctx context.Context) {
	w := p.writer
	for ctx.Err() == nil {
		batch, data := w.nextBatch()
		if len(batch) == 0 {
			w.waitForRecords(ctx)
			continue
		}
		began := time.Now()
		err := w.append(ctx, data)
		w.finishBatch(p, batch, err)
		if err != nil {
			pause.For(ctx, w.backoffLeft())
			continue
		}
		pause.For(ctx, w.c.limits.AppendInterval-time.Since(began))
	}
}

// waitForRecords blocks until something may be queued.
func (w *committer) waitForRecords(ctx context.Context) {
	select {
	case <-w.wake:
	case <-ctx.Done():
	}
}

// nextBatch removes the next batch from the queue. Claims that were given up before
// they were ever sent are left out.
func (w *committer) nextBatch() ([]*queuedRecord, [][]byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch []*queuedRecord
	var data [][]byte
	n, size := 0, 0
	for n < len(w.queue) && len(batch) < w.c.limits.MaxBatch && size < maxBatchBytes {
		q := w.queue[n]
		n++
		if q.claim != nil && !q.claim.sent && q.claim.phase.Load() != waiting {
			continue
		}
		bytes, err := journal.Encode(q.event)
		if err != nil {
			w.c.log.Error("journal record not encoded", "error", err)
			if q.claim != nil {
				q.claim.resolve(resolution{notAppended: true})
			}
			continue
		}
		if q.claim != nil {
			q.claim.sent = true
		}
		batch = append(batch, q)
		data = append(data, bytes)
		size += len(bytes)
	}
	w.queue = append([]*queuedRecord(nil), w.queue[n:]...)
	w.inFlight, w.appendStarted = len(batch), time.Now()
	return batch, data
}

func (w *committer) append(ctx context.Context, data [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, w.c.limits.AppendTimeout)
	defer cancel()
	appendCount.Add(1)
	recordCount.Add(int64(len(data)))
	_, err := w.c.cfg.Log.Append(ctx, w.stream, data)
	if err != nil {
		appendErrors.Add(1)
		w.c.log.Warn("append failed", "stream", w.stream, "records", len(data), "error", err)
	}
	return err
}

// finishBatch decides what becomes of a batch. Records whose fate is not known are
// appended again: every record names its claim, so a second copy changes
// nothing.
func (w *committer) finishBatch(p *partition, batch []*queuedRecord, err error) {
	var again []*queuedRecord
	var refused []*claim
	w.mu.Lock()
	for _, q := range batch {
		switch {
		case err == nil:
		case q.claim == nil:
			again = append(again, q)
		case errors.Is(err, platform.ErrUnavailable) && !q.claim.answerLost:
			q.claim.sent = false
			refused = append(refused, q.claim)
		case q.claim.phase.Load() == waiting:
			q.claim.answerLost = true
			again = append(again, q)
		default:
			q.claim.answerLost = true
		}
	}
	w.queue = append(again, w.queue...)
	w.inFlight = 0
	w.updateBackoff(err)
	w.mu.Unlock()
	for _, cl := range refused {
		p.resolveNotAppended(cl)
	}
}

// updateBackoff sets when the next append is tried. The caller holds mu.
func (w *committer) updateBackoff(err error) {
	if err == nil {
		w.failures, w.backoff, w.retryAt = 0, 0, time.Time{}
		return
	}
	hung := time.Since(w.appendStarted) >= w.c.limits.SlowAfter
	if errors.Is(err, platform.ErrAnswerLost) && !hung {
		w.failures++
	} else {
		w.failures = failuresUntilDown
	}
	w.backoff = min(max(2*w.backoff, minBackoff), maxBackoff)
	w.retryAt = time.Now().Add(w.backoff)
}

func (w *committer) backoffLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.retryAt)
}

// flush waits until nothing is queued or ctx ends.
func (w *committer) flush(ctx context.Context) error {
	const every = 10 * time.Millisecond
	for {
		w.mu.Lock()
		empty := len(w.queue) == 0 && w.inFlight == 0
		w.mu.Unlock()
		if empty {
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		pause.For(ctx, every)
	}
}

// resolveNotAppended tells a claim that the log did not take it.
func (p *partition) resolveNotAppended(cl *claim) {
	p.mu.Lock()
	delete(p.unresolved, cl.record.ID)
	p.mu.Unlock()
	cl.resolve(resolution{notAppended: true})
}
