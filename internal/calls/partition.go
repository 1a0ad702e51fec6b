package calls

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/fold"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

// The limits of the reader: the largest number of records of one read, how long a
// read waits for a first record, the timeout of a read, and the pause after a
// failed one.
const (
	maxReadRecords = 2000
	readWait       = time.Second
	readTimeout    = 3 * time.Second
	readBackoff    = 250 * time.Millisecond
)

// partition is this gateway's state of one journal partition.
type partition struct {
	c      *Coordinator
	stream string
	writer *committer

	mu   sync.Mutex
	fold *fold.Fold
	// next is the offset of the next record to read.
	next ident.Offset
	// ready reports that the reader has reached the log's head since fold was
	// created.
	ready bool
	// readable reports that the last read succeeded.
	readable bool
	// lastRecord is when the last record was read or the last mark was queued,
	// by this process's clock.
	lastRecord time.Time
	// closedToClaims reports that the waiting claims were handed over; no new
	// claim is accepted.
	closedToClaims bool
	// unresolved holds the claims of this gateway whose records have not been
	// read yet.
	unresolved map[journal.ClaimID]*claim
	// active holds the claims of this gateway that wait for their resolution or
	// whose calls are dispatched.
	active map[*claim]struct{}
	// running counts the dispatched calls of each key.
	running map[ident.CallKey]int
	// copies holds final outcomes that the journal may not have yet.
	copies map[ident.CallKey]*outcomeCopy
}

// outcomeCopy is a final outcome that this gateway got from an upstream or a peer.
type outcomeCopy struct {
	KeyedOutcome
	// since is when the copy was stored.
	since time.Time
	// queued reports that this gateway has queued the outcome for the journal.
	queued bool
}

func newPartition(index int, c *Coordinator) *partition {
	p := &partition{
		c:          c,
		stream:     journal.Stream(index),
		fold:       fold.New(false),
		unresolved: map[journal.ClaimID]*claim{},
		active:     map[*claim]struct{}{},
		running:    map[ident.CallKey]int{},
		copies:     map[ident.CallKey]*outcomeCopy{},
	}
	p.writer = newCommitter(p.stream, c)
	return p
}

// readLoop reads the partition's stream until ctx ends.
func (p *partition) readLoop(ctx context.Context) {
	p.mu.Lock()
	p.lastRecord = time.Now()
	p.mu.Unlock()
	for ctx.Err() == nil {
		batch, err := p.readBatch(ctx)
		switch {
		case errors.Is(err, platform.ErrExpired):
			p.restart(batch.First)
		case err != nil:
			p.setReadable(false)
			sleep.For(ctx, readBackoff)
		default:
			p.applyBatch(batch)
		}
	}
}

// readBatch reads the records from offset next on.
func (p *partition) readBatch(ctx context.Context) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.c.cfg.Log.Read(ctx, p.stream, p.next, maxReadRecords, p.readWait())
}

// readWait returns how long a read waits for a first record. It is 0 until the
// reader has reached the log's head, because waiting would only delay that.
func (p *partition) readWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready || !p.readable {
		return 0
	}
	return readWait
}

// restart replaces the fold by a new one that begins at offset first, because the
// records before it expired before they were read. The verdicts on claims of
// this gateway may be among them, so the unresolved claims are resolved as
// unreadable.
func (p *partition) restart(first ident.Offset) {
	p.c.log.Warn("journal records expired before they were read", "stream", p.stream, "next", p.next, "first", first)
	p.startOver(first)
}

// restartShortened is restart for a log that came back from an older copy and now ends at head. Claims that
// were decided may be lost, and their keys could be claimed again: only keys that are issued later are decided
// here, all others are refused.
func (p *partition) restartShortened(head ident.Offset) {
	p.c.log.Error("the journal lost records that were read, earlier keys are refused", "stream", p.stream, "read_up_to", p.next, "head", head)
	p.startOver(head)
}

// startOver replaces the fold by a partial one that begins at an offset.
func (p *partition) startOver(first ident.Offset) {
	p.mu.Lock()
	p.fold = fold.New(true)
	p.next = first
	p.ready = false
	for id, cl := range p.unresolved {
		cl.resolve(resolution{unreadable: true})
		delete(p.unresolved, id)
	}
	p.mu.Unlock()
	p.c.publishHealth()
}

// applyBatch applies the records of a successful read.
func (p *partition) applyBatch(batch platform.Batch) {
	if len(batch.Records) == 0 && batch.Head < p.next {
		p.restartShortened(batch.Head)
		return
	}
	p.mu.Lock()
	if len(batch.Records) > 0 && batch.Records[0].Offset > p.next {
		// A log may skip expired records without an error. The fold must not
		// count as complete then.
		p.mu.Unlock()
		p.restart(batch.Records[0].Offset)
		p.mu.Lock()
	}
	now := time.Now()
	for _, r := range batch.Records {
		p.applyRecord(r, now)
	}
	changed := !p.readable || !p.ready
	p.ready = p.ready || p.next >= batch.Head
	p.readable = true
	p.mu.Unlock()
	if changed || len(batch.Records) > 0 {
		p.c.publishHealth()
	}
}

// applyRecord applies a record and resolves the claim that waits for it. The
// caller holds p.mu.
func (p *partition) applyRecord(r platform.Record, now time.Time) {
	p.next = r.Offset + 1
	p.lastRecord = now
	event, err := journal.Decode(r.Data)
	if err != nil {
		p.c.log.Error("ignored invalid journal record", "stream", p.stream, "offset", r.Offset, "error", err)
		return
	}
	decision, ok := p.fold.Apply(r.Offset, r.AppendedAt, now, event)
	if !ok {
		return
	}
	cl, ours := p.unresolved[decision.Claim]
	if !ours {
		return
	}
	delete(p.unresolved, decision.Claim)
	if !p.fold.CompleteFor(cl.call.IssuedAt) {
		decision.Verdict = fold.LostOutsideWindow
	}
	cl.resolve(resolution{Decision: decision})
}

// completeFor reports whether this gateway has read all valid records of keys
// issued at issuedAt, as far as the log has been read.
func (p *partition) completeFor(issuedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.CompleteFor(issuedAt)
}

// untilComplete returns how long callers must wait before they issue a key, so
// that this gateway will have read all records of that key.
func (p *partition) untilComplete(now time.Time) time.Duration {
	_, _, since := p.health()
	return max(0, since.Sub(now))
}

// setReadable sets readable and publishes a change of it.
func (p *partition) setReadable(readable bool) {
	p.mu.Lock()
	changed := p.readable != readable
	p.readable = readable
	p.mu.Unlock()
	if changed {
		p.c.publishHealth()
	}
}

// submit queues a claim for the journal, behind the events in before. It returns
// "", or the reason why it queued nothing. It refuses a call that was
// admitted just before the gateway began to leave: the hand-over would miss the
// call, and the end of the process would cut it off.
func (p *partition) submit(cl *claim, before ...journal.Event) outcome.Reason {
	p.mu.Lock()
	if p.closedToClaims {
		p.mu.Unlock()
		return outcome.ReasonLeaving
	}
	p.unresolved[cl.record.ID] = cl
	p.active[cl] = struct{}{}
	p.mu.Unlock()
	if p.writer.enqueueClaim(cl, before...) {
		return ""
	}
	p.dropClaim(cl)
	return outcome.ReasonOverloaded
}

// dropClaim removes a claim that no longer waits and whose call does not run.
func (p *partition) dropClaim(cl *claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unresolved, cl.record.ID)
	delete(p.active, cl)
}

// dispatchStarted counts the call of a claim as running.
func (p *partition) dispatchStarted(cl *claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[cl.call.Key]++
}

// dispatchEnded removes a claim whose dispatched call has ended, and no longer
// counts the call as running.
func (p *partition) dispatchEnded(cl *claim) {
	p.dropClaim(cl)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[cl.call.Key]--
	if p.running[cl.call.Key] == 0 {
		delete(p.running, cl.call.Key)
	}
}

// lookup returns what the fold knows about a key.
func (p *partition) lookup(key ident.CallKey) (fold.View, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Get(key)
}

// maintainLoop appends marks and sweeps copies until ctx ends.
func (p *partition) maintainLoop(ctx context.Context) {
	const every = 5 * time.Second
	for ctx.Err() == nil {
		sleep.For(ctx, every)
		p.appendMarkIfDue()
		p.sweepCopies(time.Now())
	}
}

// appendMarkIfDue appends a mark when the stream had no new record for MarkEvery,
// or when all its records have expired, because then no time is known from which
// on the fold is complete.
func (p *partition) appendMarkIfDue() {
	p.mu.Lock()
	_, known := p.fold.CompleteSince()
	silent := time.Since(p.lastRecord) >= p.c.limits.MarkEvery
	due := p.readable && p.ready && (silent || !known)
	if due {
		p.lastRecord = time.Now()
	}
	p.mu.Unlock()
	if due {
		p.writer.enqueue(journal.Mark{})
	}
}

// publishHealth publishes the combined state of all partitions if it has changed.
func (c *Coordinator) publishHealth() {
	c.healthMu.Lock()
	defer c.healthMu.Unlock()
	health := blackboard.JournalHealth{Ready: true, LogReachable: true}
	for _, p := range c.partitions {
		ready, readable, since := p.health()
		health.Ready = health.Ready && ready
		health.LogReachable = health.LogReachable && readable
		if since.After(health.WindowStart) {
			health.WindowStart = since
		}
	}
	if c.cfg.Health.Value() != health {
		c.cfg.Health.Publish(health)
	}
}

// health reports whether the partition has been read up to the log's head and
// whether its last read succeeded. All valid records of keys issued after since
// are known.
func (p *partition) health() (ready, readable bool, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.fold.CompleteSince()
	return p.ready && ok, p.readable, since
}
