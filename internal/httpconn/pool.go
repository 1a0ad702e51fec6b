package httpconn

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/connend"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// ErrNoFreeConnection: this gateway already uses all connections that it may
// open to the upstream.
var ErrNoFreeConnection = errors.New("all connections to the upstream are in use")

// ErrNoKeptConnection: no kept connection to the upstream can be used.
var ErrNoKeptConnection = errors.New("no kept connection to the upstream can be used")

// dialTimeout bounds one connection attempt. Round trips between failure
// domains take milliseconds; an upstream that has not answered within this time
// is down, unreachable, or drops connection attempts because its accept queue
// is full, and another upstream serves the request sooner.
const dialTimeout = 350 * time.Millisecond

// Counters count the events of a pool since its start. Reuses are requests sent
// over an idle connection, Discards are closed connections, and ClosedUnmatched
// are closed connections that had received answers to other requests.
type Counters struct {
	Dials, DialFailures, Reuses, Discards, ClosedUnmatched int64
}

// Pool keeps connections to upstreams, by instance ID. A restarted upstream has
// another ID, so it never gets a connection that belonged to its previous
// incarnation. A Pool is safe for concurrent use.
type Pool struct {
	now boottime.Clock
	// dialContext opens a connection; it is that of a net.Dialer.
	dialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// forCallers and forGateway bound what answers make the process hold; nil for no bound.
	forCallers, forGateway *answerbudget.Budget

	// suspicions counts the calls of Suspect.
	suspicions atomic.Uint64

	mu       sync.Mutex
	hosts    map[ident.Instance]*host
	counters Counters
}

// host holds the connections to one upstream. Pool.mu guards it.
type host struct {
	// open counts all connections to the upstream, in use or idle, and those
	// being dialed.
	open int
	// idle connections, the most recently used one last.
	idle []*conn
	// conns are all connections, in use or idle.
	conns map[*conn]struct{}
	// lastAlive is when the last connection was begun that was made, and lastClosed when the
	// upstream last closed a connection of which the exchange is over.
	lastAlive, lastClosed time.Time
	// askCredit is how many connections may still be made only because of a doubt, in parts of which
	// dialsPerAsk are one connection. It can be negative: doubts that come together are not merged
	// here.
	askCredit int
	// forgotten: the upstream has left, so its connections are closed after
	// use.
	forgotten bool
	// suspected is the number of the last suspicion of this upstream.
	suspected uint64
	// verified is the number of the newest suspicion after which an exchange or a connection was
	// begun to which the upstream answered, and answers counts the answers.
	verified, answers atomic.Uint64
}

const (
	// dialsPerAsk is how many connections for requests allow one that is made only because of a doubt
	// and that no request uses later: under 2 in 100.
	dialsPerAsk = 64
	// maxAskCredit bounds how many such connections to one upstream are saved up.
	maxAskCredit = 4 * dialsPerAsk
)

// addAskCredit adds parts of a connection to the credit. The caller holds Pool.mu.
func (h *host) addAskCredit(parts int) {
	h.askCredit = min(h.askCredit+parts, maxAskCredit)
}

// conn is one connection. At most one exchange uses it at a time.
type conn struct {
	pool   *Pool
	id     ident.Instance
	host   *host
	net    *connend.Conn
	reader *bufio.Reader
	header *headerReader
	// unmatched counts the received answers to other requests.
	unmatched int
	// inDoubt: it was made only because of a doubt, and no request has used it yet.
	inDoubt bool
	// reuseUntil is the time after which the connection must not be reused.
	reuseUntil time.Time
	// defaultIdle is how long the connection is kept idle if the upstream does
	// not say.
	defaultIdle time.Duration

	closeOnce sync.Once
}

// NewPool returns an empty pool.
func NewPool(now boottime.Clock) *Pool {
	dialer := &net.Dialer{KeepAlive: -1, Control: connend.BoundUnread}
	return &Pool{now: now, dialContext: dialer.DialContext, hosts: make(map[ident.Instance]*host)}
}

// DialWith makes the pool open its connections by another function, such as one that simulates
// faults of the network. Call it before the pool is used.
func (p *Pool) DialWith(dial func(ctx context.Context, network, address string) (net.Conn, error)) {
	p.dialContext = dial
}

// BoundAnswers bounds what answers make the process hold: those for callers, and those for the gateway itself. Call it
// before the pool is used.
func (p *Pool) BoundAnswers(forCallers, forGateway *answerbudget.Budget) {
	p.forCallers, p.forGateway = forCallers, forGateway
}

// budget returns the bound of the answer to a request.
func (p *Pool) budget(req *Request) *answerbudget.Budget {
	if req.ForGateway {
		return p.forGateway
	}
	return p.forCallers
}

// Target is the upstream that a request is sent to.
type Target struct {
	ID      ident.Instance
	Address string
	// MaxConnections bounds this gateway's connections to the upstream; 0 means
	// no bound.
	MaxConnections int
	// DefaultIdleTime is how long a connection is kept idle if the upstream does not
	// say; at least and by default 400 ms.
	DefaultIdleTime time.Duration
	// DialTimeout bounds a connection attempt; 0 means dialTimeout.
	DialTimeout time.Duration
	// KeptOnly: no connection is opened for the request.
	KeptOnly bool
}

// Send sends a request at most once and returns when the answer's header has
// been received. If ctx ends before the answer is closed, the connection is
// reset at once, so that the upstream stops working on the request.
func (p *Pool) Send(ctx context.Context, target Target, req *Request) (*Answer, *Failure) {
	c, err := p.acquire(ctx, target)
	if err != nil {
		return nil, &Failure{Stage: StageConnect, Err: err}
	}
	if req.BeforeSend != nil {
		if err := req.BeforeSend(); err != nil {
			c.discard()
			return nil, &Failure{Stage: StageConnect, Err: err}
		}
	}
	c.defaultIdle = max(target.DefaultIdleTime, defaultIdleTimeout)
	return c.exchange(ctx, req)
}

// acquire returns a usable idle connection, or opens a new one.
func (p *Pool) acquire(ctx context.Context, target Target) (*conn, error) {
	h, c, err := p.reserve(target)
	if c != nil || err != nil {
		return c, err
	}
	c, err = p.dial(ctx, target, h)
	if err == nil {
		p.mu.Lock()
		h.addAskCredit(1)
		p.mu.Unlock()
	}
	return c, err
}

// dial opens a connection that is already counted in h.open.
func (p *Pool) dial(ctx context.Context, target Target, h *host) (*conn, error) {
	begun, suspicions := p.now(), p.suspicions.Load()
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(target.DialTimeout, dialTimeout))
	defer cancel()
	raw, err := p.dialContext(ctx, "tcp", target.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counters.Dials++
	if err != nil {
		p.counters.DialFailures++
		h.open--
		return nil, err
	}
	h.verify(suspicions)
	wrapped := connend.New(raw)
	reader, header := newReader(wrapped)
	c := &conn{pool: p, id: target.ID, host: h, net: wrapped, reader: reader, header: header}
	h.lastAlive = boottime.Later(h.lastAlive, begun)
	h.conns[c] = struct{}{}
	return c, nil
}

// Refuses reports whether the upstream's address refuses a new connection:
// nothing listens there, as after the end of the upstream's process. It returns
// false if a connection is made, which is then kept for reuse. It also returns
// false if the attempt fails in another way or does not end before ctx, because
// that does not show that the process has ended.
func (p *Pool) Refuses(ctx context.Context, target Target, inDoubt bool) bool {
	return errors.Is(p.Connect(ctx, target, inDoubt), syscall.ECONNREFUSED)
}

// Connect opens a connection and keeps it for reuse. It returns the error of the attempt. inDoubt:
// nothing has failed, and the connection counts against the bound that Answer.WorthAsking keeps.
func (p *Pool) Connect(ctx context.Context, target Target, inDoubt bool) error {
	p.mu.Lock()
	h := p.host(target.ID)
	h.open++
	p.mu.Unlock()
	c, err := p.dial(ctx, target, h)
	if err != nil {
		return err
	}
	if inDoubt {
		c.chargeDoubt()
	}
	c.putIdle(defaultIdleTimeout)
	return nil
}

// Suspect makes the kept connections to some upstreams doubtful: they are used only once the
// upstream has answered to something that was begun later. A path that is cut takes what is sent on
// an open connection without an error.
func (p *Pool) Suspect(upstreams ...ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	number := p.suspicions.Add(1)
	for _, id := range upstreams {
		p.host(id).suspected = number
	}
}

// Doubtful reports whether the upstream has answered to nothing that was begun after it was
// suspected.
func (p *Pool) Doubtful(id ident.Instance) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[id]
	return h != nil && h.doubtful()
}

// doubtful implements Pool.Doubtful. The caller holds Pool.mu.
func (h *host) doubtful() bool { return h.verified.Load() < h.suspected }

// Answers returns how many answers of the upstream have begun so far.
func (p *Pool) Answers(id ident.Instance) uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		return h.answers.Load()
	}
	return 0
}

// verify records that the upstream answered to something that was begun after a number of suspicions.
func (h *host) verify(suspicions uint64) {
	for {
		before := h.verified.Load()
		if before >= suspicions || h.verified.CompareAndSwap(before, suspicions) {
			return
		}
	}
}

// chargeDoubt records that the connection was made only because of a doubt.
func (c *conn) chargeDoubt() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.inDoubt = true
	c.host.addAskCredit(-dialsPerAsk)
}

// host returns the connections to an upstream. The caller holds p.mu.
func (p *Pool) host(id ident.Instance) *host {
	h := p.hosts[id]
	if h == nil {
		h = &host{conns: make(map[*conn]struct{}), askCredit: dialsPerAsk}
		p.hosts[id] = h
	}
	return h
}

// reserve returns an idle connection, or a nil connection if the caller may
// dial a new one, which is then already counted.
func (p *Pool) reserve(target Target) (*host, *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(target.ID)
	now := p.now()
	for len(h.idle) > 0 && !h.doubtful() {
		// The most recently used connection is the least likely to have become
		// unusable.
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if now.Before(c.reuseUntil) && c.nothingReceived() {
			p.counters.Reuses++
			if c.inDoubt {
				c.inDoubt = false
				h.addAskCredit(dialsPerAsk) // a request would have needed a connection all the same
			}
			return h, c, nil
		}
		p.close(c)
	}
	if target.KeptOnly {
		return h, nil, ErrNoKeptConnection
	}
	if target.MaxConnections > 0 && h.open >= target.MaxConnections {
		return h, nil, ErrNoFreeConnection
	}
	h.open++
	return h, nil, nil
}

// nothingReceived reports whether nothing has arrived on an idle connection:
// neither its end nor bytes that belong to no request.
func (c *conn) nothingReceived() bool {
	sc, ok := c.net.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && empty
}

// reset closes the connection with a TCP reset, so that nothing of its exchange
// can arrive later. Unlike the other methods it may also be called while an
// exchange uses the connection.
//
// After an orderly close, the kernel keeps retransmitting data that the other
// side has not acknowledged, for minutes. A request or an order that was
// abandoned while a link was cut would then arrive once the link works again
// (seen 5.6 s late), after its caller was answered or after the orders of a
// later holder of the lease. The cost of a reset: the other side may lose data that it
// has received and not read, which is of no use to anyone, and a reset that is
// lost on the way is not repeated until the other side writes.
func (c *conn) reset() {
	if tcp, ok := c.net.NetConn().(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = c.net.Close() // the connection is not used again, whatever the error
}

// stopReading makes all reads fail. It may be called while an exchange uses the connection.
func (c *conn) stopReading() {
	_ = c.net.SetReadDeadline(longPast) // fails only if the connection is closed
}

// longPast is a deadline that has passed.
var longPast = time.Unix(1, 0)

// resetAndDiscard resets the connection and frees its place in the pool.
func (c *conn) resetAndDiscard() {
	c.reset()
	c.discard()
}

// discard closes a connection whose exchange has ended and frees its place in
// the pool.
func (c *conn) discard() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.close(c)
}

// close closes a connection and frees its place, once. The caller holds p.mu.
func (p *Pool) close(c *conn) {
	c.closeOnce.Do(func() {
		_ = c.net.Close() // the connection is not used again, whatever the error
		c.host.open--
		delete(c.host.conns, c)
		p.counters.Discards++
		if c.unmatched > 0 {
			p.counters.ClosedUnmatched++
		}
	})
}

// putIdle returns the connection to the pool. It may be reused within the given
// time.
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

// Forget closes the idle connections to an upstream that has left. Connections
// in use are closed after their exchange.
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

// CloseIdle closes the idle connections to an upstream on which another
// connection went silent: the same fault may have silenced them too.
func (p *Pool) CloseIdle(id ident.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[id]; h != nil {
		p.closeIdle(h)
	}
}

// closeIdle closes a host's idle connections. The caller holds p.mu.
func (p *Pool) closeIdle(h *host) {
	for _, c := range h.idle {
		p.close(c)
	}
	h.idle = nil
}

// Sweep closes idle connections that must not be reused any more. Call it from
// time to time: an expired connection is otherwise closed only when a request
// would use it.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for _, h := range p.hosts {
		reusable := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.reuseUntil) {
				reusable = append(reusable, c)
			} else {
				p.close(c)
			}
		}
		h.idle = reusable
	}
}

// Counters returns the counts so far.
func (p *Pool) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}
