package membudget

import (
	"io"
	"net/http"
	"testing"
	"time"
)

// Guards against a leaving gateway that forwards a request and closes its caller's
// connection without an answer: a connection must not count as idle after bytes of a
// request were read and before net/http, which waits for the whole header, reports the
// connection as active.
func TestAReadConnectionIsNotClosedAsIdle(t *testing.T) {
	b := newTestBudget(1<<20, 1)
	c := connect(b)
	defer c.leave()
	go func() { _, _ = io.WriteString(c.far, "GET ") }() // the test reads it
	if _, err := c.conn.Read(make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	if b.CloseIdle(time.Now()) == 0 {
		t.Error("closed with a request arriving")
	}
	r, _ := begin(t, b, c.conn)
	if b.CloseIdle(time.Now()) == 0 {
		t.Error("closed with a request that has begun")
	}
	if err := r.Whole(); err != nil {
		t.Fatal(err)
	}
	r.End()
	if b.CloseIdle(time.Now()) == 0 {
		t.Error("closed with a request being served")
	}
	c.conn.setIdle()
	if b.CloseIdle(time.Now().Add(-time.Second)) == 0 {
		t.Error("closed though it was idle for less than asked")
	}
	if b.CloseIdle(time.Now()) != 0 {
		t.Error("not closed though idle")
	}
}

// Guards against a refusal that is cut off because its connection counts as idle before it has been written.
func TestAConnectionWithARefusalOnItsWayIsNotClosedAsIdle(t *testing.T) {
	b := newTestBudget(1<<20, 1)
	c := connect(b)
	defer c.leave()
	r, _ := begin(t, b, c.conn)
	r.Refused(make(http.Header), 0)
	r.End()
	if b.CloseIdle(time.Now()) == 0 {
		t.Error("closed with a refusal on its way")
	}
	c.conn.setIdle()
	if b.CloseIdle(time.Now()) != 0 {
		t.Error("not closed though idle")
	}
}

// The opposite order of the first test: after a connection was closed as idle, bytes that
// were on their way must not be read.
func TestAClosedConnectionReadsNothing(t *testing.T) {
	b := newTestBudget(1<<20, 1)
	late := newLateConn()
	c := b.admit(late)
	late.readAsItCloses(t, c)
	b.CloseIdle(time.Now())
	if n, err := c.Read(make([]byte, 4)); n != 0 || err == nil {
		t.Errorf("read %d bytes, error %v", n, err)
	}
}
