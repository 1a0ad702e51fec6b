package transport

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSealed is the error of a write to a sealed connection.
var errSealed = errors.New("connection sealed after a failed request")

// trackedConn is a connection that counts its writes and can be sealed: it then rejects
// further ones.
type trackedConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn.
func (c *trackedConn) Write(data []byte) (int, error) {
	if err := c.beginWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// beginWrite counts a write, or returns errSealed.
func (c *trackedConn) beginWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	c.writes++
	return nil
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal rejects further writes and returns true if no write has begun since writeCount
// returned writesBefore; else it returns false. Without the seal, a request that was
// given up could still be written just after its caller was told that it was not sent.
func (c *trackedConn) seal(writesBefore uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != writesBefore {
		return false
	}
	c.sealed = true
	return true
}

// Attempt observes one request of a client that NewClient returned. It is safe for
// concurrent use.
type Attempt struct {
	mu    sync.Mutex
	conns []usedConn
}

// usedConn is a connection that the request got, with the number of writes on it before
// the request. conn is nil if the connection's writes are not tracked.
type usedConn struct {
	conn         *trackedConn
	writesBefore uint64
}

// Observe returns a context for one request and the Attempt that observes it.
func Observe(ctx context.Context) (context.Context, *Attempt) {
	attempt := &Attempt{}
	trace := &httptrace.ClientTrace{GotConn: attempt.gotConn}
	return httptrace.WithClientTrace(ctx, trace), attempt
}

// NotSent reports whether it is certain that no byte of the request has left this
// process or ever will. Call it after the request has failed: it seals the connections
// that the request got.
func (a *Attempt) NotSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, used := range a.conns {
		if used.conn == nil || !used.conn.seal(used.writesBefore) {
			return false
		}
	}
	return true
}

func (a *Attempt) gotConn(info httptrace.GotConnInfo) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := trackedConnOf(info.Conn)
	if c == nil {
		a.conns = append(a.conns, usedConn{})
		return
	}
	a.conns = append(a.conns, usedConn{conn: c, writesBefore: c.writeCount()})
}

// trackedConnOf returns the trackedConn that c is or wraps, or nil if there is none.
func trackedConnOf(c net.Conn) *trackedConn {
	if metered, ok := c.(*answerConn); ok {
		return metered.tracked
	}
	tracked, _ := c.(*trackedConn)
	return tracked
}
