package testkit

import (
	"io"
	"net"
	"testing"
	"time"
)

// RequestEnd is how a caller breaks a request off.
type RequestEnd string

// The ends.
const (
	Close RequestEnd = "close"
	Reset RequestEnd = "reset"
	// HalfClose: the caller closes its direction only, and reads the answer.
	HalfClose RequestEnd = "half-close"
)

// RequestEnds lists all ends.
func RequestEnds() []RequestEnd { return []RequestEnd{Close, Reset, HalfClose} }

// RawRequest is an HTTP request with a body that may be broken off.
type RawRequest struct {
	// Head is the request line and header lines, each of which ends with CRLF, without the lines
	// that frame the body.
	Head    string
	Framing Framing
	Body    string
	// Cut is how many bytes of the framed body are sent; a negative one sends all.
	Cut int
	// Raw, if it is not empty, is sent instead of all above.
	Raw string
	End RequestEnd
}

// text returns the bytes to send.
func (r RawRequest) text() string {
	if r.Raw != "" {
		return r.Raw
	}
	framed := r.Framing.Frame(r.Body)
	if r.Cut >= 0 {
		framed = framed[:r.Cut]
	}
	return r.Head + r.Framing.HeaderLine(r.Body) + "\r\n" + framed
}

// Send sends the request on a new connection and ends it. With HalfClose it returns what the server
// sent until it closed the connection, for which it waits 10 s at most.
func (r RawRequest) Send(t testing.TB, address string) string {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }() // closed already, or nothing is owed to the server
	if _, err := io.WriteString(c, r.text()); err != nil {
		t.Fatal(err)
	}
	tcp, ok := c.(*net.TCPConn)
	switch {
	case !ok:
		t.Fatalf("%T is no TCP connection", c)
	case r.End == Reset:
		err = tcp.SetLinger(0)
	case r.End == HalfClose:
		err = tcp.CloseWrite()
	}
	if err != nil {
		t.Fatal(err)
	}
	if r.End != HalfClose {
		return ""
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Logf("after a half-close: %v", err)
	}
	return string(answer)
}
