// Package connend tells a reset of a connection from its orderly end, for clients that read while they write.
//
// The kernel gives a socket's error to the first call that meets it. If a write takes the error of a reset, a later
// read finds no error left and returns the orderly end of the stream, and a body that ends with its connection looks
// complete though it was broken off.
package connend

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the peer ended its side in an orderly way. It suits protocols
// in which nothing that is written after the peer's end is of use: io.EOF also ends a write that is in progress.
type Conn struct {
	net.Conn
	// mu is held while bytes are written. It guards failed.
	mu sync.Mutex
	// failed is the connection's error that a write has taken; nil if none has.
	failed error
}

// New returns a Conn over an open connection.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// WriteBuffers writes several buffers, with one system call where the connection allows it.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := buffers.WriteTo(c.Conn)
	c.record(err)
	return n, err
}

// record keeps a write's error if the kernel gave out the connection's by it. EPIPE is none: either the peer had ended
// its side in an orderly way before it reset the connection, or the error was given out before. The caller holds c.mu.
func (c *Conn) record(err error) {
	own := errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
	if err != nil && c.failed == nil && !own && !errors.Is(err, syscall.EPIPE) {
		c.failed = err
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if failed := c.writeFailure(); failed != nil {
			return n, failed
		}
	}
	return n, err
}

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// writeFailure ends a write that is in progress, and returns the connection's error if a write has taken it.
func (c *Conn) writeFailure() error {
	_ = c.Conn.SetWriteDeadline(longPast) // fails only if the connection is closed, and with it all writes
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failed
}
