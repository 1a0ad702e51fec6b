package ingress

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
)

// callerConn is a caller's connection that tracks whether a request is being received or
// handled.
//
// net/http reports a connection as idle until it has read a whole header. If connections
// were closed by that state, because the process is leaving or because they were idle for
// too long, one could be closed after the first bytes of a request had been read. The
// request would then be forwarded, and its answer could not be delivered. Therefore a
// callerConn counts as busy from the first byte that is read, and a lock keeps a close
// from happening during a read.
type callerConn struct {
	net.Conn
	// share is the same connection as the memory budget knows it; nil in tests without one.
	share *membudget.Conn

	mu sync.Mutex
	// arriving: bytes of a request were read that no handler has read completely yet.
	arriving bool
	// serving: a handler is answering a request.
	serving bool
	// closed: the connection was closed while idle. Bytes that are read afterwards are
	// dropped.
	closed bool
	// idleSince is when the last request ended, or when the connection was accepted.
	idleSince time.Time
}

// Read implements net.Conn. It returns net.ErrClosed after the connection was closed as idle.
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

// handlerStarted records that a handler has read the whole request.
func (c *callerConn) handlerStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arriving, c.serving = false, true
}

// handlerDone records that the handler has answered the request.
func (c *callerConn) handlerDone(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving, c.idleSince = false, now
}

// closeIfIdle closes the connection if it has been idle at least since the given time. It
// reports whether the connection is closed now.
func (c *callerConn) closeIfIdle(since time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.arriving || c.serving || c.idleSince.After(since) {
		return c.closed
	}
	c.closed = true
	_ = c.Conn.Close() // the error doesn't matter: no answer is pending on an idle connection
	return true
}

// resetOnClose sets whether the close of the connection is a reset. To a caller of HTTP/1.0 an
// orderly close completes an answer that has no length.
func (c *callerConn) resetOnClose(reset bool) {
	if c.share == nil || c.share.TCP() == nil {
		return
	}
	const atOnce, orderly = 0, -1
	seconds := orderly
	if reset {
		seconds = atOnce
	}
	_ = c.share.TCP().SetLinger(seconds) // fails only if the connection is closed already
}

// callerConns tracks all callers' connections. It is safe for concurrent use.
type callerConns struct {
	now boottime.Clock

	mu    sync.Mutex
	conns map[*callerConn]bool
	// recentLimits maps each idle limit that was in force lately to when it was last so.
	recentLimits map[time.Duration]time.Time
}

const (
	// idleSlack is how much longer than the limit a connection is kept, so that a caller
	// that observes the limit never has its connection closed while sending.
	idleSlack = time.Second
	// defaultIdleLimit is the idle limit while no configuration sets one.
	defaultIdleLimit = 30 * time.Second
	// limitRetention is how long a limit counts after it was replaced: connections that
	// became idle while it was in force have been closed by then.
	limitRetention = time.Minute
)

func newCallerConns(now boottime.Clock) *callerConns {
	return &callerConns{now: now, conns: make(map[*callerConn]bool), recentLimits: make(map[time.Duration]time.Time)}
}

// connContextKey is the context key under which a request's connection is stored.
type connContextKey struct{}

// connOf returns the connection of the request with this context, or nil if the request
// doesn't come from a Server's listener.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connContextKey{}).(*callerConn)
	return c
}

// memoryShare returns the connection as the memory budget knows it, or nil.
func (c *callerConn) memoryShare() *membudget.Conn {
	if c == nil {
		return nil
	}
	return c.share
}

// listener wraps the connections of a memory budget's listener as callerConns and tracks them.
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
	share, _ := c.(*membudget.Conn)
	wrapped := &callerConn{Conn: c, share: share, idleSince: l.conns.now()}
	l.conns.mu.Lock()
	l.conns.conns[wrapped] = true
	l.conns.mu.Unlock()
	return wrapped, nil
}

// trackState records the state changes of a connection; it is net/http's ConnState hook.
func (cs *callerConns) trackState(c net.Conn, state http.ConnState) {
	wrapped, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		wrapped.handlerDone(cs.now())
		if wrapped.share != nil {
			wrapped.share.SetIdle()
		}
	case http.StateClosed, http.StateHijacked:
		cs.mu.Lock()
		delete(cs.conns, wrapped)
		cs.mu.Unlock()
	}
}

// sweep closes the connections that were idle for longer than the limit and than every
// other limit of the last minute. A limit of 0 or less means defaultIdleLimit.
func (cs *callerConns) sweep(limit time.Duration) {
	if limit <= 0 {
		limit = defaultIdleLimit
	}
	now := cs.now()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.recentLimits[limit] = now
	for l, seen := range cs.recentLimits {
		if now.Sub(seen) > limitRetention {
			delete(cs.recentLimits, l)
		} else {
			limit = max(limit, l)
		}
	}
	cs.closeIdleSince(now.Add(-limit - idleSlack))
}

// closeAllIdle closes every idle connection and returns how many connections are left. A
// request that arrives on a connection as it is closed is not read, so that its caller may
// safely send it to another gateway.
func (cs *callerConns) closeAllIdle() (left int) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	cs.closeIdleSince(cs.now())
	return len(cs.conns)
}

// closeIdleSince closes the connections that have been idle at least since the given time.
// cs.mu must be held.
func (cs *callerConns) closeIdleSince(since time.Time) {
	for c := range cs.conns {
		if c.closeIfIdle(since) {
			delete(cs.conns, c)
		}
	}
}
