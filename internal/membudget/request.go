package membudget

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Request is what one request makes the process hold beside its connection. Its body arrives until Whole is
// called; until then it has to yield if it makes no progress and room is short.
type Request struct {
	budget *Budget
	conn   *Conn
	// yield makes the request's reader fail. It must not block.
	yield func()

	// The fields below are guarded by budget.mu.
	held     int64
	arriving bool
	// waiting: it waits for the room of others.
	waiting bool
	// since is when the request last made progress.
	since   time.Time
	yielded bool
	account ident.ClientAccount
}

// Begin returns the share of a request whose head has been read. Of it, so many bytes are reserved beside
// what a long head cost. yield is called, without blocking, if the request has to yield while it arrives: it
// must make the reading of the body fail. c is the request's connection; nil for one that no budget knows.
func (b *Budget) Begin(c *Conn, bytes int64, yield func()) (*Request, error) {
	r := &Request{budget: b, conn: c, yield: yield, arriving: true, since: b.cfg.Now()}
	b.mu.Lock()
	if c != nil && c.yielded {
		b.mu.Unlock()
		return nil, ErrYielded
	}
	b.requests[r] = struct{}{}
	if c != nil {
		r.held = c.headBytes
		b.held += r.held // setHead takes it back
		c.setHead(0)
		c.requests[r], c.since = struct{}{}, r.since
	}
	b.mu.Unlock()
	if bytes == 0 {
		return r, nil
	}
	if err := r.Grow(bytes); err != nil {
		r.End()
		return nil, err
	}
	return r, nil
}

// SetAccount records the client account to which the request belongs.
func (r *Request) SetAccount(name ident.ClientAccount) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.account = name
}

// Grow reserves so many bytes more, before they are held. It counts as progress. If room is short, it waits
// for those that have to yield to this request. The error is ErrNoRoom or ErrYielded.
func (r *Request) Grow(n int64) error {
	b := r.budget
	now := b.cfg.Now()
	deadline := now.Add(waitTime)
	b.mu.Lock()
	for ; ; now = b.cfg.Now() {
		if r.yielded {
			b.mu.Unlock()
			return ErrYielded
		}
		r.progress(now)
		free := b.ceiling(r.held+n) - b.held
		if n <= free {
			r.held += n
			b.add(n)
			b.mu.Unlock()
			return nil
		}
		yields, enough := []func(){}, now.Before(deadline)
		if missing := n - free + b.awaited - b.yielding; enough && missing > 0 {
			yields, enough = b.evict(missing, r, nil, now)
		}
		if !enough {
			b.counters.RequestsRefused++
			b.logRefusal(r, n, now)
			b.mu.Unlock()
			return ErrNoRoom
		}
		b.awaited += n - free
		b.waiting++
		r.waiting = true
		released := b.released
		b.mu.Unlock()
		for _, yield := range yields {
			yield()
		}
		await(released, deadline.Sub(now))
		b.mu.Lock()
		b.waiting--
		b.awaited -= n - free
		r.waiting = false
	}
}

// Shrink gives so many bytes back.
func (r *Request) Shrink(n int64) {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	r.give(n)
}

// give gives so many bytes back. The caller holds budget.mu.
func (r *Request) give(n int64) {
	r.held -= n
	if r.yielded {
		r.budget.yielding -= n
	}
	r.budget.add(-n)
}

// Whole records that the body has been read whole. From here on the request does not yield. The error is
// ErrYielded if it had to before.
func (r *Request) Whole() error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.yielded {
		return ErrYielded
	}
	if c := r.conn; c != nil && r.arriving {
		c.proven, c.unflushed = true, !c.shared
		c.answered++
	}
	r.arriving = false
	return nil
}

// End gives all back that the request holds. Further calls do nothing.
func (r *Request) End() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, open := b.requests[r]; !open {
		return
	}
	delete(b.requests, r)
	r.give(r.held)
	if c := r.conn; c != nil {
		delete(c.requests, r)
		c.since = b.cfg.Now()
		if !r.arriving {
			c.answered--
		}
	}
}

// Arriving reports whether the body has not been read whole.
func (r *Request) Arriving() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.arriving
}

// Progress records that bytes of the body came.
func (r *Request) Progress() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.progress(r.budget.cfg.Now())
}

// progress records that the request makes progress. The caller holds budget.mu.
func (r *Request) progress(now time.Time) {
	r.since = now
	if r.conn != nil {
		r.conn.since = now
	}
}

// stalled reports whether the request has to yield to others. The caller holds budget.mu.
func (r *Request) stalled(now time.Time) bool {
	return r.arriving && !r.yielded && !r.waiting && r.held > 0 && now.Sub(r.since) >= stallTime
}

// markYielded records that the request has to yield. The caller holds budget.mu.
func (r *Request) markYielded() {
	r.yielded = true
	r.budget.yielding += r.held
}

// await waits until a channel is closed, for at most within.
func await(closed <-chan struct{}, within time.Duration) {
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	}
}
