package testkit

import (
	"errors"
	"net"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Relay forwards TCP connections to a server, and can let the open ones go
// silent for good while new ones work, as when something between the two ends
// has lost track of them.
type Relay struct {
	target   string
	listener net.Listener
	group    sync.WaitGroup

	// delay is in nanoseconds; cut drops everything, hold keeps it for later.
	delay     atomic.Int64
	cut, hold atomic.Bool

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is one forwarded connection.
type relayedConn struct {
	relay          *Relay
	client, server net.Conn
	silent         atomic.Bool
}

// NewRelay starts a relay to the server at a base URL. It ends with the test.
func NewRelay(t testing.TB, baseURL string) *Relay {
	t.Helper()
	parsed, err := url.Parse(baseURL)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{target: parsed.Host, listener: listener}
	r.group.Go(r.accept)
	t.Cleanup(r.close)
	return r
}

// URL returns the base URL of the relay.
func (r *Relay) URL() string { return "http://" + r.listener.Addr().String() }

// Address returns host:port of the relay.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Delay holds each piece of bytes back for a time from now on; zero ends it.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Reset ends the open connections by a reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		for _, c := range []net.Conn{p.client, p.server} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a closed connection cannot be reset any more
			}
			_ = c.Close()
		}
	}
	r.conns = nil
}

// Cut drops all bytes of all connections, also of new ones, until it is undone.
func (r *Relay) Cut(cut bool) { r.cut.Store(cut) }

// Hold keeps all bytes until it is undone, and delivers them then, also those of
// connections that were closed meanwhile: as a cut link does, over which the sender's
// kernel goes on repeating them. Only a reset by the sender drops what is held.
func (r *Relay) Hold(hold bool) { r.hold.Store(hold) }

// Silence drops all further bytes of the open connections, closes included.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.conns {
		p.silent.Store(true)
	}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		p := &relayedConn{relay: r, client: near, server: far}
		r.mu.Lock()
		r.conns = append(r.conns, p)
		r.mu.Unlock()
		r.group.Go(func() { p.forward(near, far) })
		r.group.Go(func() { p.forward(far, near) })
	}
}

// forward copies until one end closes, and drops everything once silent.
func (p *relayedConn) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() || p.relay.cut.Load() {
			if err != nil {
				return
			}
			// Lost bytes are not sent later: the connection is of no use any more.
			p.silent.Store(true)
			continue
		}
		if delay := p.relay.delay.Load(); delay > 0 {
			<-time.After(time.Duration(delay))
		}
		piece := buffer[:n]
		if p.relay.hold.Load() {
			piece, err = p.receiveHeld(from, append([]byte(nil), piece...), err)
		}
		if _, failed := to.Write(piece); failed != nil {
			_ = from.Close()
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// receiveHeld gathers what comes while the relay holds, and returns it with how the reading
// ended, if it did. Of a connection that was reset nothing is left.
func (p *relayedConn) receiveHeld(from net.Conn, pending []byte, err error) ([]byte, error) {
	const look = 5 * time.Millisecond
	buffer := make([]byte, 4096)
	for p.relay.hold.Load() {
		if err != nil {
			<-time.After(look)
			continue
		}
		_ = from.SetReadDeadline(time.Now().Add(look)) // TCP connections all take deadlines
		var n int
		n, err = from.Read(buffer)
		pending = append(pending, buffer[:n]...)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			err = nil
		}
	}
	_ = from.SetReadDeadline(time.Time{})
	if errors.Is(err, syscall.ECONNRESET) {
		return nil, err
	}
	return pending, err
}

func (r *Relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, p := range r.conns {
		_ = p.client.Close()
		_ = p.server.Close()
	}
	r.mu.Unlock()
	r.group.Wait()
}
