package testkit

import (
	"net"
	"net/url"
	"sync"
	"sync/atomic"
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

	// delay is in nanoseconds; cut drops everything.
	delay atomic.Int64
	cut   atomic.Bool

	mu    sync.Mutex
	pairs []*pair
}

// pair is one forwarded connection.
type pair struct {
	relay     *Relay
	near, far net.Conn
	silent    atomic.Bool
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
	for _, p := range r.pairs {
		for _, c := range []net.Conn{p.near, p.far} {
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // a closed connection cannot be reset any more
			}
			_ = c.Close()
		}
	}
	r.pairs = nil
}

// Cut drops all bytes of all connections, also of new ones, until it is undone.
func (r *Relay) Cut(cut bool) { r.cut.Store(cut) }

// Silence drops all further bytes of the open connections, closes included.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
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
		p := &pair{relay: r, near: near, far: far}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		r.group.Go(func() { p.forward(near, far) })
		r.group.Go(func() { p.forward(far, near) })
	}
}

// forward copies until one end closes, and drops everything once silent.
func (p *pair) forward(from, to net.Conn) {
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
		if err != nil {
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}

func (r *Relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	for _, p := range r.pairs {
		_ = p.near.Close()
		_ = p.far.Close()
	}
	r.mu.Unlock()
	r.group.Wait()
}
