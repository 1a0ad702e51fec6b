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

// Relay forwards TCP connections to a server and simulates faults of the network between
// the two. Among others it can make the open connections silent for ever while new ones
// work, as when a device on the way has lost their state. It is safe for concurrent use.
type Relay struct {
	listener net.Listener
	group    sync.WaitGroup

	// delay is in nanoseconds. While cut is set, all bytes are dropped, while cutReplies is set,
	// those from the server; while hold is set, they are kept for later.
	delay                 atomic.Int64
	cut, cutReplies, hold atomic.Bool

	mu     sync.Mutex
	target string
	conns  []*relayedConn
	closed bool
}

// relayedConn is one forwarded connection. Once silent is set, all its bytes are dropped.
type relayedConn struct {
	relay          *Relay
	client, server net.Conn
	silent         atomic.Bool
}

// NewRelay starts a Relay to the server at a base URL. It stops when the test ends.
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

// URL returns the relay's base URL.
func (r *Relay) URL() string { return "http://" + r.listener.Addr().String() }

// Address returns the relay's address, as host:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Redirect makes the relay forward to another server, host:port, and resets the open connections.
func (r *Relay) Redirect(server string) {
	r.mu.Lock()
	r.target = server
	r.mu.Unlock()
	r.Reset()
}

// currentTarget returns the server to which new connections go.
func (r *Relay) currentTarget() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.target
}

// Delay delays the bytes of each read from now on. Zero ends the delay.
func (r *Relay) Delay(d time.Duration) { r.delay.Store(int64(d)) }

// Reset ends all open connections with a TCP reset.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		for _, end := range []net.Conn{c.client, c.server} {
			if tcp, ok := end.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0) // fails only if the connection is closed already
			}
			_ = end.Close()
		}
	}
	r.conns = nil
}

// Cut starts, or with false stops, dropping all bytes of all connections, also of new
// ones. A connection that has lost bytes stays silent for ever.
func (r *Relay) Cut(cut bool) { r.cut.Store(cut) }

// CutReplies is like Cut for the bytes from the server alone.
func (r *Relay) CutReplies(cut bool) { r.cutReplies.Store(cut) }

// Hold starts to keep all bytes, and with false delivers them, also those of connections
// that were closed meanwhile. It simulates a link that is broken for a time, over which
// the sender's kernel goes on retransmitting them. Only a reset by the sender drops the
// held bytes.
func (r *Relay) Hold(hold bool) { r.hold.Store(hold) }

// Silence drops all further bytes of the open connections, and hides from each end that
// the other one closed.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.silent.Store(true)
	}
}

func (r *Relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.currentTarget())
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &relayedConn{relay: r, client: client, server: server}
		r.add(c)
		r.group.Go(func() { c.forward(client, server) })
		r.group.Go(func() { c.forward(server, client) })
	}
}

// add records a connection, and closes it if the relay was closed while it was made.
func (r *Relay) add(c *relayedConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.close()
		return
	}
	r.conns = append(r.conns, c)
}

func (c *relayedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}

// forward copies bytes until one end closes. Once the connection is silent, it drops them.
func (c *relayedConn) forward(from, to net.Conn) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() || c.relay.cut.Load() || from == c.server && c.relay.cutReplies.Load() {
			if err != nil {
				return
			}
			// Bytes are missing in the connection, so nothing after them may pass.
			c.silent.Store(true)
			continue
		}
		if delay := c.relay.delay.Load(); delay > 0 {
			<-time.After(time.Duration(delay))
		}
		piece := buffer[:n]
		if c.relay.hold.Load() {
			piece, err = c.receiveHeld(from, append([]byte(nil), piece...), err)
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

// receiveHeld reads bytes while the relay holds them, and returns pending with these
// appended, and the error that ended the reading, if any. If from was reset, it returns no
// bytes.
func (c *relayedConn) receiveHeld(from net.Conn, pending []byte, err error) ([]byte, error) {
	const pollInterval = 5 * time.Millisecond
	buffer := make([]byte, 4096)
	// The last read is made after the end of the hold, so that a reset before it is seen.
	for last := false; !last; {
		last = !c.relay.hold.Load()
		if err != nil {
			<-time.After(pollInterval)
			continue
		}
		_ = from.SetReadDeadline(time.Now().Add(pollInterval)) // every TCP connection supports deadlines
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
	r.closed = true
	for _, c := range r.conns {
		c.close()
	}
	r.mu.Unlock()
	r.group.Wait()
}
