package answerbudget

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Share is what one answer makes the process hold. Its methods may be called on a nil Share, which has no bound. One
// goroutine reserves; the others of its methods are safe for concurrent use.
type Share struct {
	budget *Budget
	// isLarge is whether the share is in budget.large, so that progress of ordinary answers costs no lock.
	isLarge atomic.Bool

	// The fields below are guarded by budget.mu.
	source *source
	held   int64
	// stop makes the reading, or the delivery, of the answer fail.
	stop func()
	// waits is set while it waits for room. settled: it is whole, and waits to be delivered. delivering: its caller takes
	// it.
	waits                               *waiter
	settled, delivering, yielded, ended bool
	// since is when the answer last made progress, or when its wait began.
	since time.Time
}

// Begin returns the share of an answer of a source that will be read; End gives it back. stop makes the reading fail if
// the answer has to yield. It is called from any goroutine, at the latest before End returns, and must not block.
func (b *Budget) Begin(from ident.Instance, stop func()) *Share {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	of := b.sources[from]
	if of == nil {
		of = &source{id: from}
		b.sources[from] = of
	}
	of.shares++
	return &Share{budget: b, source: of, stop: stop, since: b.cfg.Now()}
}

// Reserve reserves room before the answer holds so many bytes in all. If room is short it waits, ctx at the longest. The
// errors are ErrNoRoom, ErrStalled, or the cause of ctx's end.
func (s *Share) Reserve(ctx context.Context, bytes int64) error {
	if s == nil {
		return nil
	}
	b := s.budget
	b.mu.Lock()
	s.since = b.cfg.Now()
	switch {
	case s.yielded:
		b.mu.Unlock()
		return ErrStalled
	case bytes <= s.held:
		b.mu.Unlock()
		return nil
	case bytes <= ordinaryBytes || (b.waiting == 0 || s == b.preferred) && b.fits(s, bytes):
		s.hold(bytes)
		b.mu.Unlock()
		return nil
	case bytes > b.cfg.Bytes:
		b.refused(s, bytes)
		b.mu.Unlock()
		return ErrNoRoom
	}
	w := s.wait(bytes)
	b.mu.Unlock()
	err := b.await(ctx, w)
	s.Progress()
	return err
}

// wait adds the share to those that wait. The caller holds budget.mu.
func (s *Share) wait(target int64) *waiter {
	b := s.budget
	w := &waiter{share: s, target: target, done: make(chan struct{})}
	s.source.waiting = append(s.source.waiting, w)
	s.waits = w
	b.waiting++
	b.counters.Waited++
	b.grant() // others may wait only behind a source that holds more
	if b.waiting > b.cfg.Waiting {
		last := b.last()
		last.end(ErrNoRoom)
		b.refused(last.share, last.target)
		b.unprefer(last.share)
	}
	return w
}

// hold changes what the share holds. The caller holds budget.mu.
func (s *Share) hold(bytes int64) {
	b := s.budget
	less := bytes < s.held
	b.held += bytes - s.held
	s.source.held += bytes - s.held
	if s.yielded {
		b.yielding += bytes - s.held
	}
	s.held = bytes
	if isLarge := bytes > ordinaryBytes; isLarge != s.isLarge.Load() {
		s.isLarge.Store(isLarge)
		if isLarge {
			b.large[s] = struct{}{}
		} else {
			delete(b.large, s)
		}
	}
	if less {
		b.grant()
	}
}

// Progress records that a part of the answer came, or was taken by its caller.
func (s *Share) Progress() {
	if s == nil || !s.isLarge.Load() {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.since = s.budget.cfg.Now()
}

// Shrink gives back what the answer holds beyond so many bytes.
func (s *Share) Shrink(bytes int64) {
	if s == nil {
		return
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	s.shrink(bytes)
}

// shrink implements Shrink. The caller holds budget.mu.
func (s *Share) shrink(bytes int64) {
	if bytes < s.held {
		s.hold(bytes)
	}
	if bytes <= ordinaryBytes {
		s.budget.unprefer(s)
	}
}

// Settle records that the answer has come whole and holds so many bytes. It does not yield until it is delivered. The
// error is ErrStalled if it had to before.
func (s *Share) Settle(bytes int64) error {
	if s == nil {
		return nil
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	if s.yielded {
		return ErrStalled
	}
	s.settled = true
	s.shrink(bytes)
	s.budget.unprefer(s)
	return nil
}

// Deliver records that the answer's caller takes the answer, or a part of it, until delivered is called. stop makes that
// fail if the caller does not progress and the answer has to yield; it is like that of Begin.
func (s *Share) Deliver(stop func()) (delivered func()) {
	if s == nil || !s.isLarge.Load() {
		return func() {}
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	stopReading, settled := s.stop, s.settled
	s.stop, s.settled, s.delivering, s.since = stop, false, true, b.cfg.Now()
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		s.stop, s.settled, s.delivering, s.since = stopReading, settled, false, b.cfg.Now()
	}
}

// End gives all back. Further calls do nothing.
func (s *Share) End() {
	if s == nil {
		return
	}
	b := s.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.ended {
		return
	}
	s.ended = true
	s.shrink(0)
	s.source.shares--
	if s.source.shares == 0 {
		delete(b.sources, s.source.id)
	}
}

// stalls reports whether the answer has to yield to one of a source. Those that wait for room do so only if their own
// source holds more. The caller holds budget.mu.
func (s *Share) stalls(now time.Time, to *source) bool {
	allowed := readStall
	if s.delivering {
		allowed = deliveryStall
	}
	if s.settled || s.yielded || s.waits != nil && s.source.held <= to.held {
		return false
	}
	return now.Sub(s.since) >= allowed
}

// yield makes the answer yield. The caller holds budget.mu.
func (s *Share) yield() {
	b := s.budget
	s.yielded = true
	b.yielding += s.held
	b.counters.Yielded++
	b.log(&b.yields, "answer has to yield its memory", s, s.held)
	if s.waits != nil {
		s.waits.end(ErrStalled)
	}
	s.stop()
}

// Held returns how many bytes the answer holds.
func (s *Share) Held() int64 {
	if s == nil {
		return 0
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.held
}

// Yielded reports whether the answer had to yield.
func (s *Share) Yielded() bool {
	if s == nil {
		return false
	}
	s.budget.mu.Lock()
	defer s.budget.mu.Unlock()
	return s.yielded
}
