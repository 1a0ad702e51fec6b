package testkit

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// Framing is what marks the end of a RawAnswer's body.
type Framing string

// The framings.
const (
	ByLength Framing = "length"
	ByChunks Framing = "chunks"
	// UntilClose: neither a length nor chunks; the body ends with its connection.
	UntilClose Framing = "close"
)

// Framings lists all framings.
func Framings() []Framing { return []Framing{ByLength, ByChunks, UntilClose} }

// Frame returns a body as it is sent in the framing. Chunks have a few bytes each.
func (f Framing) Frame(body string) string {
	if f != ByChunks {
		return body
	}
	const chunkBytes = 7
	var framed strings.Builder
	for len(body) > 0 {
		n := min(chunkBytes, len(body))
		fmt.Fprintf(&framed, "%x\r\n%s\r\n", n, body[:n])
		body = body[n:]
	}
	return framed.String() + "0\r\n\r\n"
}

// HeaderLine returns the header line of a body with the framing.
func (f Framing) HeaderLine(body string) string {
	switch f {
	case ByLength:
		return "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	case ByChunks:
		return "Transfer-Encoding: chunked\r\n"
	}
	return "Connection: close\r\n"
}

// RawAnswer is an HTTP answer that may be broken off.
type RawAnswer struct {
	Status int
	// HeaderLines are further header lines, each of which ends with CRLF.
	HeaderLines string
	Framing     Framing
	Body        string
	// Cut is how many bytes of the framed body are sent; a negative one sends all.
	Cut int
	// Reset resets the connection after the last byte instead of closing it.
	Reset bool
	// After is how long after the last byte the connection is ended.
	After time.Duration
}

// RawServer answers each request with a RawAnswer and then ends the connection.
type RawServer struct {
	listener net.Listener
	// early: it answers before it reads the request's body. It ends a connection in an orderly way by ending its own
	// side first, and then reads the rest.
	early  bool
	mu     sync.Mutex
	answer func(*http.Request) RawAnswer
	conns  []net.Conn
}

// NewRawServer starts a server on loopback that is stopped at the end of the test.
func NewRawServer(t testing.TB) *RawServer {
	t.Helper()
	return startRawServer(t, false)
}

// NewEarlyServer starts a server like NewRawServer that answers before it reads the bodies of requests.
func NewEarlyServer(t testing.TB) *RawServer {
	t.Helper()
	return startRawServer(t, true)
}

func startRawServer(t testing.TB, early bool) *RawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &RawServer{listener: listener, early: early}
	var work sync.WaitGroup
	work.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			work.Go(func() { s.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close() // ends the loop above
		s.closeAll()
		work.Wait()
	})
	return s
}

// closeAll closes the connections, on some of which the client may send nothing.
func (s *RawServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		_ = c.Close() // most are closed already
	}
}

// Address returns the host:port on which the server listens.
func (s *RawServer) Address() string { return s.listener.Addr().String() }

// SetAnswer sets the answer to later requests.
func (s *RawServer) SetAnswer(answer func(*http.Request) RawAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// serve reads one request and answers it. A client that goes away before is none of its concern.
func (s *RawServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // closed already after a reset
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	if !s.early {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
	}
	s.mu.Lock()
	answer := s.answer(request)
	s.mu.Unlock()
	framed := answer.Framing.Frame(answer.Body)
	if answer.Cut >= 0 {
		framed = framed[:answer.Cut]
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 %03d X\r\n%s%s\r\n%s", answer.Status, answer.HeaderLines, answer.Framing.HeaderLine(answer.Body), framed)
	if answer.After > 0 {
		time.Sleep(answer.After)
	}
	tcp := c.(*net.TCPConn)
	switch {
	case answer.Reset:
		_ = tcp.SetLinger(0) // makes the close a reset
	case s.early:
		_ = tcp.CloseWrite()
		_, _ = io.Copy(io.Discard, c) // a close with unread bytes would be a reset
	}
}
