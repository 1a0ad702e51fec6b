package httpconn

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// ErrConnections: this gateway's part of the upstream's connections is in use.
var ErrNoFreeConnection = errors.New("all connections to the upstream are in use")

// dialTimeout bounds one connection attempt. Domains are milliseconds
// apart; an upstream that has not answered by then is down, cut off, or drops
// openings because its queue is full, and another one serves sooner.
const dialTimeout = 350 * time.Millisecond

// Counters count what a pool does. Load them for metrics.
type Counters struct {
	Dials, DialFailures, Reuses, Discards, Strays int64
}

// Pool keeps connections by upstream. An upstream's next incarnation has
// another ID, so that no connection is ever taken for one to it.
type Pool struct {
	now    boottime.Clock
	dialer *net.Dialer

	mu       sync.Mutex
	hosts    map[ident.Instance]*host
	counters Counters
}

// host is one upstream's connections.
type host struct {
	open int
	idle []*conn
	// gone: the upstream left, its connections are not kept.
	forgotten bool
}

// conn is one connection. Only one exchange uses it at a time.
type conn struct {
	pool   *Pool
	id     ident.Instance
	host   *host
	net    net.Conn
	reader *bufio.Reader
	header *headerReader
	// unmatched counts answers to other requests.
	unmatched int
	// reuseUntil is when it must not be reused any more, and unsaid for how long it
	// is kept where the server says nothing.
	reuseUntil  time.Time
	defaultIdle time.Duration

	closeOnce sync.Once
}

// NewPool returns a pool without connections.
func NewPool(now boottime.Clock) *Pool {
	return &Pool{now: now, dialer: &net.Dialer{KeepAlive: -1, Timeout: dialTimeout}, hosts: make(map[ident.Instance]*host)}
}

// Target says where a request goes.
type Target struct {
	ID      ident.Instance
	Address string
	// MaxConnections bounds this gateway's connections to the upstream.
	MaxConnections int
	// IdleFor is for how long a connection is kept idle where the server says
	// nothing of it; 0 for the default.
	IdleFor time.Duration
}

// Send sends a request once. It returns when the answer's header is there. When
// ctx ends, the connection is closed at once, so that the upstream stops.
func (p *Pool) Send(ctx context.Context, target Target, req *Request) (*Answer, *Failure) {
	c, err := p.acquire(ctx, target)
	if err != nil {
		return nil, &Failure{Stage: StageConnect, Err: err}
	}
	if req.Before != nil {
		if err := req.Before(); err != nil {
			c.discard()
			return nil, &Failure{Stage: StageConnect, Err: err}
		}
	}
	c.defaultIdle = max(target.IdleFor, defaultIdleTimeout)
	return c.exchange(ctx, req)
}

// acquire returns a connection that is idle and sound, or a new one.
func (p *Pool) acquire(ctx context.Context, target Target) (*conn, error) {
	h, c, err := p.reserve(target)
	if c != nil || err != nil {
		return c, err
	}
	return p.dial(ctx, target, h)
}

// dial opens a connection for which there is room.
func (p *Pool) dial(ctx context.Context, target Target, h *host) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", target.Address)
	p.mu.Lock()
	p.counters.Dials++
	if err != nil {
		p.counters.DialFailures++
		h.open--
		p.mu.Unlock()
		return nil, err
	}
	p.mu.Unlock()
	reader, limit := newReader(raw)
	return &conn{pool: p, id: target.ID, host: h, net: raw, reader: reader, header: limit}, nil
}

// Refuses reports whether the upstream's address turns a new connection away: nothing
// listens there, as after the end of its process. A connection that comes about is kept
// for reuse; an attempt that fails in another way, or takes longer than ctx, says nothing.
func (p *Pool) Refuses(ctx context.Context, target Target) bool {
	p.mu.Lock()
	h := p.host(target.ID)
	h.open++
	p.mu.Unlock()
	c, err := p.dial(ctx, target, h)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	c.putIdle(defaultIdleTimeout)
	return false
}

// host returns an upstream's connections; p.mu is held.
func (p *Pool) host(id ident.Instance) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{}
		p.hosts[id] = h
	}
	return h
}

// reserve takes an idle connection, or room for a new one.
func (p *Pool) reserve(target Target) (*host, *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(target.ID)
	now := p.now()
	for len(h.idle) > 0 {
		// The one used last is the one least likely to have gone silent.
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(c.reuseUntil) && c.nothingReceived() {
			p.counters.Reuses++
			return h, c, nil
		}
		p.close(c)
	}
	if target.MaxConnections > 0 && h.open >= target.MaxConnections {
		return h, nil, ErrNoFreeConnection
	}
	h.open++
	return h, nil, nil
}

// nothingReceived reports whether nothing came on an idle connection: neither its end,
// nor bytes that belong to no request.
func (c *conn) nothingReceived() bool {
	sc, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && quiet
}

// reset closes the connection, also from outside of its exchange, so that nothing of its exchange can arrive any more. What
// goes wrong with an orderly close: what the other side has not acknowledged stays with
// the kernel, which goes on repeating it for minutes; a request or an order that was given
// up while a link was cut then arrives once the link heals, after its caller was answered
// or after a later holder's orders (seen 5.6 s late). The price: the other side may lose
// what it has received and not read, which is of no use to anyone, and a reset that gets
// lost on the way is not repeated until the other side writes.
func (c *conn) reset() {
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that was closed before
	}
	_ = c.net.Close() // nothing is owed on it any more
}

// resetAndDiscard resets the connection and gives its place back.
func (c *conn) resetAndDiscard() {
	c.reset()
	c.discard()
}

// discard closes a connection whose exchange has ended, and gives its place back.
func (c *conn) discard() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.close(c)
}

// close ends a connection; p.mu is held.
func (p *Pool) close(c *conn) {
	c.closeOnce.Do(func() {
		_ = c.net.Close() // nothing is owed on it any more
		c.host.open--
		p.counters.Discards++
		if c.unmatched > 0 {
			p.counters.Strays++
		}
	})
}

// putIdle returns the connection for reuse within a time.
func (c *conn) putIdle(within time.Duration) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.host.forgotten {
		p.close(c)
		return
	}
	c.reuseUntil = p.now().Add(within)
	c.host.idle = append(c.host.idle, c)
}

// Forget closes an upstream's idle connections, because it left.
func (p *Pool) Forget(id ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	if h == nil {
		return
	}
	h.forgotten = true
	p.closeIdle(h)
	delete(p.hosts, id)
}

// Distrust closes an upstream's idle connections, because one of them went
// silent: what silenced it may have silenced the others.
func (p *Pool) Distrust(id ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		p.closeIdle(h)
	}
}

func (p *Pool) closeIdle(h *host) {
	for _, c := range h.idle {
		p.close(c)
	}
	h.idle = nil
}

// Sweep closes idle connections whose time is over.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.reuseUntil) {
				kept = append(kept, c)
			} else {
				p.close(c)
			}
		}
		h.idle = kept
	}
}

// Counters returns what was counted so far.
func (p *Pool) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}
