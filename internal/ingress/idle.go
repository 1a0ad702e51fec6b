package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
)

// callerConn is a caller's connection that knows whether a request is on its way.
//
// What goes wrong without it: net/http calls a connection idle until it has read
// a whole header. One that is closed by that word, because the process leaves or
// the connection was idle for long, may have a request in the process's hands
// already, which is then forwarded, and its answer has nowhere to go. Here bytes
// count from the instant at which they were read, and a close and a read exclude
// each other.
type callerConn struct {
	net.Conn

	mu sync.Mutex
	// arriving: bytes of a request were read that no handler has taken over.
	arriving bool
	// serving: a handler works on a request.
	serving bool
	// closed while idle: bytes that come after it are not looked at.
	closed bool
	// since is when nothing was in progress for the last time.
	since time.Time
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.closed {
			return 0, net.ErrClosed
		}
		c.arriving = true
	}
	return n, err
}

// taken notes that a handler has all of the request that arrived.
func (c *callerConn) taken() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriving, c.serving = false, true
}

// idle notes that the handler's work is over.
func (c *callerConn) idle(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.since = false, now
}

// closeIfIdle closes the connection if nothing is in progress, and nothing was
// since an instant. It reports whether the connection is closed.
func (c *callerConn) closeIfIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arriving || c.serving || c.since.After(since) {
		return c.closed
	}
	c.closed = true
	_ = c.Conn.Close() // nobody waits for an answer on it
	return true
}

// callerConns are all callers' connections.
type callerConns struct {
	now boottime.Clock

	mu    sync.Mutex
	conns map[*callerConn]bool
	// limits are the idle times in force lately, with when each was last seen.
	limits map[time.Duration]time.Time
}

const (
	// idleSlack is how much longer than the limit a connection is kept, so that
	// it is never closed under a caller that keeps to the limit.
	idleSlack = time.Second
	// idleUnknown is the limit while no configuration is known.
	idleUnknown = 30 * time.Second
	// limitKept is how long a limit counts after it was replaced: connections
	// that went idle under it are gone by then.
	limitKept = time.Minute
)

func newCallerConns(now boottime.Clock) *callerConns {
	return &callerConns{now: now, conns: make(map[*callerConn]bool), limits: make(map[time.Duration]time.Time)}
}

// connKey finds a request's connection in its context.
type connKey struct{}

// connOf returns the connection of a request; nil outside a Server.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// listener wraps the connections that are accepted.
type listener struct {
	net.Listener
	conns *callerConns
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	wrapped := &callerConn{Conn: c, since: l.conns.now()}
	l.conns.mu.Lock()
	l.conns.conns[wrapped] = true
	l.conns.mu.Unlock()
	return wrapped, nil
}

// note follows the state of a connection; it is net/http's hook.
func (i *callerConns) note(c net.Conn, state http.ConnState) {
	wrapped, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		wrapped.idle(i.now())
	case http.StateClosed, http.StateHijacked:
		i.mu.Lock()
		delete(i.conns, wrapped)
		i.mu.Unlock()
	}
}

// sweep closes what was idle for longer than a limit, or than any that was in
// force while it was idle.
func (i *callerConns) sweep(limit time.Duration) {
	if limit <= 0 {
		limit = idleUnknown
	}
	now := i.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limits[limit] = now
	for l, seen := range i.limits {
		if now.Sub(seen) > limitKept {
			delete(i.limits, l)
		} else {
			limit = max(limit, l)
		}
	}
	i.closeIdleSince(now.Add(-limit - idleSlack))
}

// closeAll closes every idle connection. A request that crosses the close was
// not read, and its caller may send it again elsewhere. It returns how many are
// left.
func (i *callerConns) closeAll() (left int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.closeIdleSince(i.now())
	return len(i.conns)
}

// closeIdleSince closes what is idle since an instant; i.mu is held.
func (i *callerConns) closeIdleSince(since time.Time) {
	for c := range i.conns {
		if c.closeIfIdle(since) {
			delete(i.conns, c)
		}
	}
}
