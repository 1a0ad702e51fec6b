package ingress

import (
	"net"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
)

// Guards against a leaving gateway that forwards a request and closes its caller's
// connection without an answer: a connection must not count as idle after bytes of a
// request were read and before net/http, which waits for the whole header, reports the
// connection as active.
func TestAReadConnectionIsNotClosedAsIdle(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &callerConn{Conn: near}
	go far.Write([]byte("GET "))
	if _, err := c.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	if c.closeIfIdle(boottime.Now()) {
		t.Error("closed with a request arriving")
	}
	c.handlerStarted()
	if c.closeIfIdle(boottime.Now()) {
		t.Error("closed with a request being served")
	}
	c.handlerDone(boottime.Now())
	if c.closeIfIdle(boottime.Now().Add(-time.Second)) {
		t.Error("closed though it was idle for less than asked")
	}
	if !c.closeIfIdle(boottime.Now()) {
		t.Error("not closed though idle")
	}
}

// The opposite order of the test above: after a connection was closed as idle, bytes that
// were on their way must not be read.
func TestAClosedConnectionReadsNothing(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	c := &callerConn{Conn: lateReadConn{near}}
	c.closeIfIdle(boottime.Now())
	if n, err := c.Read(make([]byte, 4)); n != 0 || err == nil {
		t.Errorf("read %d bytes, error %v", n, err)
	}
}

// lateReadConn is a connection that still delivers bytes after it was closed.
type lateReadConn struct{ net.Conn }

func (lateReadConn) Read(p []byte) (int, error) { return copy(p, "GET "), nil }

// Guards against closing the connection of a caller that observes the idle limit: if the
// operators lower the limit while the connection is idle, the earlier limit must count.
func TestTheLongestIdleLimitInForceCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	conns := newCallerConns(func() time.Time { return now })
	near, far := net.Pipe()
	defer far.Close()
	c := &callerConn{Conn: near, idleSince: now}
	conns.conns[c] = true
	conns.sweep(15 * time.Second)
	now = now.Add(10 * time.Second)
	conns.sweep(5 * time.Second)
	if len(conns.conns) != 1 {
		t.Error("closed after 10 s under a limit of 15 s")
	}
	now = now.Add(7 * time.Second)
	conns.sweep(5 * time.Second)
	if len(conns.conns) != 0 {
		t.Error("still open after 17 s")
	}
}
