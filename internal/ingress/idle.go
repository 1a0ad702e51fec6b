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
	// idleSince is when nothing was in progress for the last time.
	idleSince time.Time
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

// handlerStarted notes that a handler has all of the request that arrived.
func (c *callerConn) handlerStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriving, c.serving = false, true
}

// handlerDone notes that the handler's work is over.
func (c *callerConn) handlerDone(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.idleSince = false, now
}

// closeIfIdle closes the connection if nothing is in progress, and nothing was
// since an instant. It reports whether the connection is closed.
func (c *callerConn) closeIfIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arriving || c.serving || c.idleSince.After(since) {
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
	// recentLimits are the idle times in force lately, with when each was last seen.
	recentLimits map[time.Duration]time.Time
}

const (
	// idleSlack is how much longer than the limit a connection is kept, so that
	// it is never closed under a caller that keeps to the limit.
	idleSlack = time.Second
	// defaultIdleLimit is the limit while no configuration is known.
	defaultIdleLimit = 30 * time.Second
	// limitRetention is how long a limit counts after it was replaced: connections
	// that went idle under it are gone by then.
	limitRetention = time.Minute
)

func newCallerConns(now boottime.Clock) *callerConns {
	return &callerConns{now: now, conns: make(map[*callerConn]bool), recentLimits: make(map[time.Duration]time.Time)}
}

// connContextKey finds a request's connection in its context.
type connContextKey struct{}

// connOf returns the connection of a request; nil outside a Server.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connContextKey{}).(*callerConn)
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
	wrapped := &callerConn{Conn: c, idleSince: l.conns.now()}
	l.conns.mu.Lock()
	l.conns.conns[wrapped] = true
	l.conns.mu.Unlock()
	return wrapped, nil
}

// trackState follows the state of a connection; it is net/http's hook.
func (i *callerConns) trackState(c net.Conn, state http.ConnState) {
	wrapped, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		wrapped.handlerDone(i.now())
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
		limit = defaultIdleLimit
	}
	now := i.now()
	i.mu.Lock()
	defer i.mu.Unlock()
	i.recentLimits[limit] = now
	for l, seen := range i.recentLimits {
		if now.Sub(seen) > limitRetention {
			delete(i.recentLimits, l)
		} else {
			limit = max(limit, l)
		}
	}
	i.closeIdleSince(now.Add(-limit - idleSlack))
}

// closeAllIdle closes every idle connection. A request that crosses the close was
// not read, and its caller may send it again elsewhere. It returns how many are
// left.
func (i *callerConns) closeAllIdle() (left int) {
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
