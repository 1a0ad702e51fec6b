// Package answerbudget bounds what the answers that a process reads make it hold, all together.
//
// What an ordinary answer takes is counted and never waits. A longer one reserves room before it takes it. Where room is
// short, those get it first whose source holds least, each source's in their order, and those yield that do not progress.
// A part is kept for one answer at a time, so that answers that are read halfway don't wait for each other for good.
// docs/design/answers-memory.md compares the ways.
package answerbudget

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
)

// The errors of an answer that is not held.
var (
	// ErrNoRoom: others that progress hold the room, or it is less than the answer needs.
	ErrNoRoom = errors.New("there is no room in the memory for answers")
	// ErrStalled: the answer came, or was taken by its caller, too slowly while others waited for the room.
	ErrStalled = errors.New("the answer came too slowly while the memory for answers was short")
)

const (
	// ordinaryBytes is what each answer may hold without waiting: a head, buffers, and a body or an event of some KiB.
	ordinaryBytes = 16 << 10
	// keptShare is the part of the room that is kept for one answer at a time.
	keptShare = 0.2
	// readStall is how long an answer that is read makes no progress before it yields to others, and deliveryStall the
	// same for one that its caller takes. Upstreams are near, and what they ran can be repeated at times; callers may be
	// far away.
	readStall     = 500 * time.Millisecond
	deliveryStall = time.Second
	// waitTime is how long an answer waits for room.
	waitTime = 2 * time.Second
	// logInterval is the shortest time between two log lines of a kind.
	logInterval = time.Second
)

// Limits are the bounds of a Budget.
type Limits struct {
	// Bytes bounds what the answers hold.
	Bytes int64
	// Waiting bounds how many answers wait for room at a time: what comes of them meanwhile is held unread.
	Waiting int
}

// Config holds what a Budget uses. All fields are required.
type Config struct {
	Now boottime.Clock
	Log hclog.Logger
	Limits
}

// Budget holds what answers make a process hold, and its bound. Create it with New. It is safe for concurrent use. Of a
// nil Budget, shares have no bound.
type Budget struct {
	cfg Config

	mu   sync.Mutex
	held int64
	// yielding is the part of held that belongs to shares that had to yield and have not ended.
	yielding int64
	// large are the shares that hold more than an ordinary answer's, of which some may have to yield.
	large map[*Share]struct{}
	// preferred is the share that may use the part that is kept; nil if none does.
	preferred *Share
	// sources are those of which answers are read or held, and waiting is how many of these wait for room.
	sources  map[ident.Instance]*source
	waiting  int
	counters Counters
	yields   logthrottle.Throttle
	refusals logthrottle.Throttle
}

// source is whoever sends answers: an upstream, another gateway or a part of the platform.
type source struct {
	id     ident.Instance
	held   int64
	shares int
	// waiting are its answers that wait for room, in their order.
	waiting []*waiter
}

// waiter is a share that waits for room.
type waiter struct {
	share *Share
	// target is what the share holds once it has the room.
	target int64
	// done is closed when its wait has ended, with err if it got no room.
	done chan struct{}
	err  error
}

// New returns a Budget of which nothing is held.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg, large: make(map[*Share]struct{}), sources: make(map[ident.Instance]*source)}
}

// Counters counts what happened since the start.
type Counters struct {
	// Waited are the answers that waited for room, Refused those that got none, and Yielded those that had to yield.
	Waited, Refused, Yielded int64
}

// State is what answers make the process hold at a moment.
type State struct {
	Counters
	Bytes, Limit int64
	// Waiting is how many answers wait for room.
	Waiting int
}

// State returns the current state.
func (b *Budget) State() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return State{Counters: b.counters, Bytes: b.held, Limit: b.cfg.Bytes, Waiting: b.waiting}
}

// ceiling is up to where a share gets room. The caller holds b.mu.
func (b *Budget) ceiling(s *Share) int64 {
	if s == b.preferred {
		return b.cfg.Bytes
	}
	return int64((1 - keptShare) * float64(b.cfg.Bytes))
}

// fits reports whether a share can hold so much now. The caller holds b.mu.
func (b *Budget) fits(s *Share, target int64) bool { return b.held+target-s.held <= b.ceiling(s) }

// next returns who gets room first: the preferred one, or the first of the source that holds least. It returns nil if
// nobody waits. The caller holds b.mu.
func (b *Budget) next() *waiter {
	if b.waiting == 0 {
		return nil
	}
	if b.preferred != nil && b.preferred.waits != nil {
		return b.preferred.waits
	}
	var least *source
	for _, source := range b.sources {
		if len(source.waiting) > 0 && (least == nil || cmp.Or(cmp.Compare(source.held, least.held), cmp.Compare(source.id, least.id)) < 0) {
			least = source
		}
	}
	return least.waiting[0]
}

// grant gives room to those that wait. The caller holds b.mu.
func (b *Budget) grant() {
	for w := b.next(); w != nil; w = b.next() {
		if b.preferred == nil && !b.fits(w.share, w.target) {
			b.preferred = w.share
		}
		if !b.fits(w.share, w.target) {
			return
		}
		w.share.hold(w.target)
		w.end(nil)
	}
}

// end ends the wait of a waiter, and reports whether it was waiting. The caller holds budget.mu.
func (w *waiter) end(err error) bool {
	queue := &w.share.source.waiting
	at := slices.Index(*queue, w)
	if at < 0 {
		return false
	}
	*queue = slices.Delete(*queue, at, at+1)
	w.share.waits = nil
	w.share.budget.waiting--
	w.err = err
	close(w.done)
	return true
}

// last returns the last that waits of the source that holds most among those of which any wait. The caller holds b.mu, and
// somebody waits.
func (b *Budget) last() *waiter {
	var most *source
	for _, source := range b.sources {
		if len(source.waiting) > 0 && (most == nil || cmp.Or(cmp.Compare(source.held, most.held), cmp.Compare(len(source.waiting), len(most.waiting)), cmp.Compare(source.id, most.id)) > 0) {
			most = source
		}
	}
	return most.waiting[len(most.waiting)-1]
}

// makeRoom makes answers yield that do not progress, until there is room for the next that waits. Those yield first that
// held the most for the longest time.
func (b *Budget) makeRoom() {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.next()
	if w == nil {
		return
	}
	missing := b.held - b.yielding + w.target - w.share.held - b.ceiling(w.share)
	if missing <= 0 {
		return
	}
	now := b.cfg.Now()
	var stalled []*Share
	for s := range b.large {
		if s != w.share && s.stalls(now, w.share.source) {
			stalled = append(stalled, s)
		}
	}
	cost := func(s *Share) float64 { return float64(s.held) * now.Sub(s.since).Seconds() }
	slices.SortFunc(stalled, func(x, y *Share) int { return cmp.Compare(cost(y), cost(x)) })
	for _, s := range stalled {
		if missing <= 0 {
			break
		}
		missing -= s.held
		s.yield()
	}
}

// await waits until a waiter has its room, its time is over or ctx ends, and returns an error unless it has the room.
func (b *Budget) await(ctx context.Context, w *waiter) error {
	b.makeRoom()
	end, again := time.NewTimer(waitTime), time.NewTicker(readStall)
	defer end.Stop()
	defer again.Stop()
	for {
		select {
		case <-w.done:
			return w.err
		case <-again.C:
			b.makeRoom()
		case <-end.C:
			return b.giveUp(w, ErrNoRoom)
		case <-ctx.Done():
			return b.giveUp(w, context.Cause(ctx))
		}
	}
}

// giveUp ends a wait with an error, unless it has ended just now.
func (b *Budget) giveUp(w *waiter, err error) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.end(err) {
		b.refused(w.share, w.target)
		b.unprefer(w.share)
	}
	return w.err
}

// unprefer ends the preference of a share, if it has it. The caller holds b.mu.
func (b *Budget) unprefer(s *Share) {
	if b.preferred == s {
		b.preferred = nil
	}
	b.grant()
}

// refused records that an answer gets no room. The caller holds b.mu.
func (b *Budget) refused(s *Share, target int64) {
	b.counters.Refused++
	b.log(&b.refusals, "no memory for an answer", s, target)
}

// log writes one line of a kind per logInterval. The caller holds b.mu.
func (b *Budget) log(kind *logthrottle.Throttle, message string, s *Share, target int64) {
	now := b.cfg.Now()
	heldBack, ok := kind.Pass(now, logInterval)
	if !ok {
		return
	}
	b.cfg.Log.Info(message, "source", s.source.id, "held_bytes", s.held, "need_bytes", target, "delivering", s.delivering,
		"without_progress_ms", now.Sub(s.since).Milliseconds(), "answers_bytes", b.held, "answers_limit", b.cfg.Bytes, "yielding_bytes", b.yielding,
		"large", len(b.large), "waiting", b.waiting, "lines_held_back", heldBack)
}
