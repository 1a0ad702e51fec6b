package calls

import (
	"context"
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// The counters of all committers: appends sent, the records in them, and
// appends that failed or whose answer was lost.
var (
	appendCount  = expvar.NewInt("goldcrestspool.calls.appends")
	recordCount  = expvar.NewInt("goldcrestspool.calls.appended_records")
	appendErrors = expvar.NewInt("goldcrestspool.calls.append_errors")
)

// maxBatchBytes is the size at which a batch takes no further record, so that
// many large answers do not add up to an append that the log refuses.
const maxBatchBytes = 1 << 20

// The pause after a failed append doubles from minBackoff up to maxBackoff.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// failuresUntilDown is how many answers of appends must be lost in a row before
// new calls are refused at once. A single lost answer is no outage, and waiting
// for the second append costs a caller less than a retry.
const failuresUntilDown = 2

// committer writes the records of one partition. It sends one append at a time,
// which carries all records that were queued meanwhile (group commit).
type committer struct {
	stream string
	c      *Coordinator
	wake   chan struct{}

	mu    sync.Mutex
	queue []*queuedRecord
	// inFlight is how many records the running append carries; 0 means that
	// no append is running. appendStarted is when the last append started.
	inFlight      int
	appendStarted time.Time
	// retryAt is when the next append is tried after a failure.
	retryAt time.Time
	backoff time.Duration
	// failures counts the lost answers since the last success. An append that
	// failed in another way or took longer than SlowAfter sets it to
	// failuresUntilDown.
	failures int
}

// queuedRecord is a record that waits for an append or is in the running one.
type queuedRecord struct {
	event journal.Event
	// claim is nil unless event is a claim.
	claim *claim
}

func newCommitter(stream string, c *Coordinator) *committer {
	return &committer{stream: stream, c: c, wake: make(chan struct{}, 1)}
}

// enqueue queues an event that is retried until it is in the log.
func (w *committer) enqueue(e journal.Event) {
	w.mu.Lock()
	w.queue = append(w.queue, &queuedRecord{event: e})
	w.mu.Unlock()
	w.signal()
}

// enqueueClaim queues a claim behind the events in before. It queues nothing and
// returns false when the queue is full.
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

// signal wakes waitForRecords.
func (w *committer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// mayHaveSent reports whether the claim's record may be in the log, or may get
// there later from an append that was already sent. When it returns false for a
// claim that is no longer waiting, the record is never sent.
func (w *committer) mayHaveSent(cl *claim) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return cl.sent
}

// logDown reports whether appends currently fail or hang, and the retry-after time
// for callers. All partitions are in one log, so a fault at one of them counts for
// all: otherwise each call would have to wait for an append to notice the fault.
func (c *Coordinator) logDown(now time.Time) (wait time.Duration, down bool) {
	for _, p := range c.partitions {
		w, d := p.writer.down(now)
		wait, down = max(wait, w), down || d
	}
	return wait, down
}

// down reports whether appends of this partition currently fail or hang, and the
// retry-after time for callers.
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

// commitLoop appends queued records until ctx ends.
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
			sleep.For(ctx, w.backoffLeft())
			continue
		}
		sleep.For(ctx, w.c.limits.AppendInterval-time.Since(began))
	}
}

// waitForRecords blocks until records may be queued or ctx ends.
func (w *committer) waitForRecords(ctx context.Context) {
	select {
	case <-w.wake:
	case <-ctx.Done():
	}
}

// nextBatch removes the next batch from the queue and returns its records and
// their encoded data. It drops claims that left waiting before they were ever
// sent.
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
			w.c.log.Error("cannot encode journal record", "error", err)
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

// append sends one append of at most AppendTimeout and counts it.
func (w *committer) append(ctx context.Context, data [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, w.c.limits.AppendTimeout)
	defer cancel()
	appendCount.Add(1)
	recordCount.Add(int64(len(data)))
	_, err := w.c.cfg.Log.Append(ctx, w.stream, data)
	if err != nil {
		appendErrors.Add(1)
		w.c.log.Warn("cannot append records to the journal", "stream", w.stream, "records", len(data), "error", err)
	}
	return err
}

// finishBatch handles the result of an append. After an error, records that may
// not be in the log are queued again: each record names its claim, so a second
// copy in the log changes nothing. Claims whose record is certainly not in the
// log are resolved as not appended, and claims that are no longer waiting are
// dropped.
func (w *committer) finishBatch(p *partition, batch []*queuedRecord, err error) {
	var retry []*queuedRecord
	var notAppended []*claim
	w.mu.Lock()
	for _, q := range batch {
		switch {
		case err == nil:
		case q.claim == nil:
			retry = append(retry, q)
		case errors.Is(err, platform.ErrUnavailable) && !q.claim.answerLost:
			q.claim.sent = false
			notAppended = append(notAppended, q.claim)
		case q.claim.phase.Load() == waiting:
			q.claim.answerLost = true
			retry = append(retry, q)
		default:
			q.claim.answerLost = true
		}
	}
	w.queue = append(retry, w.queue...)
	w.inFlight = 0
	w.updateBackoff(err)
	w.mu.Unlock()
	for _, cl := range notAppended {
		p.resolveNotAppended(cl)
	}
}

// updateBackoff sets the time of the next append. The caller holds w.mu.
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

// backoffLeft returns the time until the next append after a failure.
func (w *committer) backoffLeft() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.retryAt)
}

// flush waits until all records are in the log. It returns the error of ctx if
// that ends first.
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
		sleep.For(ctx, every)
	}
}

// resolveNotAppended resolves a claim whose record the log did not accept.
func (p *partition) resolveNotAppended(cl *claim) {
	p.mu.Lock()
	delete(p.unresolved, cl.record.ID)
	p.mu.Unlock()
	cl.resolve(resolution{notAppended: true})
}
