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
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// The reader's figures.
const (
	maxReadRecords = 2000
	readWait       = time.Second
	readTimeout    = 3 * time.Second
	readBackoff    = 250 * time.Millisecond
)

// partition is this gateway's view of one journal partition.
type partition struct {
	c      *Coordinator
	stream string
	writer *committer

	mu   sync.Mutex
	fold *fold.Fold
	// next is the offset of the next record to read.
	next ident.Offset
	// ready: the reader was at the log's head since the fold began.
	ready bool
	// readable: the last read succeeded.
	readable bool
	// lastRecord is when the last record came, by this process's clock.
	lastRecord time.Time
	// left: the waiting claims were handed over, and no new one may begin.
	closedToClaims bool
	// unresolved are claims of this gateway that the reader has not met.
	unresolved map[journal.ClaimID]*claim
	// active are claims of this gateway that wait or are dispatched.
	active map[*claim]struct{}
	// running counts the dispatched calls of a key.
	running map[ident.CallKey]int
	// copies are final outcomes that the journal may not have yet.
	copies map[ident.CallKey]*outcomeCopy
}

// outcomeCopy is a final outcome that was found here or sent by a peer.
type outcomeCopy struct {
	KeyedOutcome
	since time.Time
	// queued: this gateway has given it to the journal itself.
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

// readLoop follows the partition's stream until ctx ends.
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
			pause.For(ctx, readBackoff)
		default:
			p.applyBatch(batch)
		}
	}
}

func (p *partition) readBatch(ctx context.Context) (platform.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return p.c.cfg.Log.Read(ctx, p.stream, p.next, maxReadRecords, p.readWait())
}

// readWait returns how long a read waits for a first record: not at all until
// the log's head was met, since that would only delay the news.
func (p *partition) readWait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.ready || !p.readable {
		return 0
	}
	return readWait
}

// restart begins a new fold at first, because the records before it expired
// unread. Verdicts on this gateway's claims may be among them, so the calls
// that wait for one are told that it cannot be known.
func (p *partition) restart(first ident.Offset) {
	p.mu.Lock()
	p.c.log.Warn("journal records expired unread", "stream", p.stream, "next", p.next, "first", first)
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

// applyBatch applies a batch.
func (p *partition) applyBatch(batch platform.Batch) {
	p.mu.Lock()
	if len(batch.Records) > 0 && batch.Records[0].Offset > p.next {
		// A log that skips expired records silently must not look complete.
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

// applyRecord takes one record and tells the claim that waits for it.
func (p *partition) applyRecord(r platform.Record, now time.Time) {
	p.next = r.Offset + 1
	p.lastRecord = now
	event, err := journal.Decode(r.Data)
	if err != nil {
		p.c.log.Error("void journal record", "stream", p.stream, "offset", r.Offset, "error", err)
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

// completeFor reports whether all that the log has said of a key issued at issuedAt
// is known here.
func (p *partition) completeFor(issuedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.CompleteFor(issuedAt)
}

// untilComplete returns how long it takes until keys issued then are certain.
func (p *partition) untilComplete(now time.Time) time.Duration {
	_, _, since := p.health()
	return max(0, since.Sub(now))
}

func (p *partition) setReadable(readable bool) {
	p.mu.Lock()
	changed := p.readable != readable
	p.readable = readable
	p.mu.Unlock()
	if changed {
		p.c.publishHealth()
	}
}

// submit queues a claim for the journal, with events that go before it. It
// returns why it did not, or "". A call that was admitted just before the
// gateway began to leave is stopped here: otherwise it would be missed by the
// hand-over and be cut off by the end of the process.
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
	p.forget(cl)
	return outcome.ReasonOverloaded
}

// forget drops a claim that waits no longer.
func (p *partition) forget(cl *claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unresolved, cl.record.ID)
	delete(p.active, cl)
}

// dispatchStarted notes that the call of a claim is being dispatched.
func (p *partition) dispatchStarted(cl *claim) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[cl.call.Key]++
}

// dispatchEnded notes that the dispatched call of a claim has ended.
func (p *partition) dispatchEnded(cl *claim) {
	p.forget(cl)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running[cl.call.Key]--
	if p.running[cl.call.Key] == 0 {
		delete(p.running, cl.call.Key)
	}
}

// lookup returns what the fold knows of a key.
func (p *partition) lookup(key ident.CallKey) (fold.View, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fold.Get(key)
}

// maintainLoop keeps the partition in order until ctx ends.
func (p *partition) maintainLoop(ctx context.Context) {
	const every = 5 * time.Second
	for ctx.Err() == nil {
		pause.For(ctx, every)
		p.appendMarkIfDue()
		p.sweepCopies(time.Now())
	}
}

// appendMarkIfDue appends a mark when the stream has been silent, or when all its records
// have expired, so that it cannot be told since when everything is known.
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

// publishHealth writes the journal's section of the blackboard.
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

// health returns whether the partition is read whole and reachable, and since
// when keys are known for certain.
func (p *partition) health() (ready, readable bool, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.fold.CompleteSince()
	return p.ready && ok, p.readable, since
}
