package membudget

import (
	"io"
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// ReadDeadliner sets the deadline for reading a request's body; an http.ResponseController is one.
type ReadDeadliner interface {
	SetReadDeadline(time.Time) error
}

// longPast is a deadline that ends all reads at once.
var longPast = time.Unix(1, 0)

// Request is what one request makes the process hold beside its connection. Its body arrives until Whole is
// called; until then it has to yield if it makes no progress and room is short.
type Request struct {
	budget *Budget
	conn   *Conn
	reader ReadDeadliner
	// unrecorded is how many bytes came since progress was recorded. Only the body's reader uses it.
	unrecorded int

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
// what a long head cost. If the request has to yield while it arrives, reader ends the reading of its body. c is
// the request's connection; nil for one that no budget knows. The error is ErrNoRoom, or ErrYielded if the
// connection had to yield, and is closed.
func (b *Budget) Begin(c *Conn, bytes int64, reader ReadDeadliner) (*Request, error) {
	r := &Request{budget: b, conn: c, reader: reader, arriving: true, since: b.cfg.Now()}
	b.mu.Lock()
	if c != nil && c.yielded {
		b.mu.Unlock()
		return nil, ErrYielded
	}
	b.requests[r] = struct{}{}
	if c != nil {
		r.held = c.takeHead()
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
		var yields []func()
		enough := now.Before(deadline)
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
		b.unlock(yields)
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
		c.proven = true
		c.answered++
		c.serve()
	}
	r.arriving = false
	return nil
}

const (
	// drainedBytes is the longest rest of a refused request's body that is read, within drainTime, so that
	// its connection can be used again.
	drainedBytes = 16 << 10
	drainTime    = 100 * time.Millisecond
)

// Refused records that a request of HTTP/1 is refused, and ends what its unread body costs: of a long one
// nothing more is read, and the connection is closed after the answer. Without that, net/http would read on for as
// long as the body's deadline. It has to be called before the answer's header is written. length is the body's
// length; negative if it is not known.
func (r *Request) Refused(header http.Header, length int64) {
	b := r.budget
	b.mu.Lock()
	unread := r.arriving && length != 0
	if r.conn != nil {
		r.conn.serve()
	}
	b.mu.Unlock()
	switch {
	case !unread:
	case length > 0 && length <= drainedBytes:
		_ = r.reader.SetReadDeadline(time.Now().Add(drainTime)) // all connections of net/http support deadlines
	default:
		header.Set("Connection", "close")
		r.stopReading()
		if r.conn != nil {
			r.conn.lingerOnClose()
		}
	}
}

// stopReading makes all reads of the body fail.
func (r *Request) stopReading() {
	_ = r.reader.SetReadDeadline(longPast) // all connections of net/http support deadlines
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

// progressBytes is how much of a body has to come to count as progress.
const progressBytes = 16 << 10

// read reads a part of the body and records progress. The error is ErrYielded once the request had to yield.
func (r *Request) read(from io.Reader, p []byte) (int, error) {
	n, err := from.Read(p)
	r.unrecorded += n
	if err == nil && r.unrecorded < progressBytes {
		return n, nil
	}
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.yielded {
		return 0, ErrYielded
	}
	if r.unrecorded >= progressBytes {
		r.unrecorded = 0
		r.progress(b.cfg.Now())
	}
	return n, err
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

// markYielded records that the request has to yield. The caller holds budget.mu and calls stopReading without it.
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
