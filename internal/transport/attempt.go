package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
)

// errSealed is what a late write to a sealed connection gets.
var errSealed = errors.New("connection sealed after a failed request")

// trackedConn counts its writes and can be sealed against further ones.
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

// seal forbids further writes and reports true if no write began since the
// count. Without the seal a request that was given up on could still be
// written a moment after its caller was told that it was not sent.
func (c *trackedConn) seal(since uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return false
	}
	c.sealed = true
	return true
}

// Attempt observes one request of a client made by NewClient.
type Attempt struct {
	mu    sync.Mutex
	conns []usedConn
}

// usedConn is a connection that the request got, with its writes before.
type usedConn struct {
	conn         *trackedConn
	writesBefore uint64
}

// Observe returns a context for one request, and its Attempt.
func Observe(ctx context.Context) (context.Context, *Attempt) {
	attempt := &Attempt{}
	trace := &httptrace.ClientTrace{GotConn: attempt.gotConn}
	return httptrace.WithClientTrace(ctx, trace), attempt
}

// NotSent reports whether it is certain that no byte of the request left this
// process and none will. Ask once the request has failed.
func (a *Attempt) NotSent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range a.conns {
		if t.conn == nil || !t.conn.seal(t.writesBefore) {
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

// trackedConnOf returns the counted connection below c, or nil if there is none.
func trackedConnOf(c net.Conn) *trackedConn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	counted, _ := c.(*trackedConn)
	return counted
}
