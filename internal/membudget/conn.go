package membudget

import (
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
)

const (
	// smallReceiveBuffer is the size that is set for each connection's receive buffer, in bytes, and
	// bulkReceiveBuffer the one while a long body arrives for which there is room.
	smallReceiveBuffer = 8 << 10
	bulkReceiveBuffer  = 64 << 10
	// lingerTime is how long a connection with an answer on its way stays open after the last write,
	// though the caller still sends: a close with unread bytes resets it, and the answer may be lost.
	lingerTime = 500 * time.Millisecond
)

// unreadBytes returns the most that the kernel holds unread at a connection whose receive buffer was set
// to a size: Linux doubles the size, and offers a window of three quarters of that.
func unreadBytes(receiveBuffer int64) int64 { return receiveBuffer * 3 / 2 }

// Conn is a caller's connection, with its share of a Budget.
type Conn struct {
	net.Conn
	budget *Budget
	// tcp is the same connection; nil if it is none of TCP.
	tcp *net.TCPConn

	// The fields below are guarded by budget.mu.
	held int64
	// headBytes is the part of held that a head cost that has not been read whole, and windowBytes the part
	// that the kernel may hold because the receive buffer was made larger.
	headBytes, windowBytes int64
	head                   headMeter
	requests               map[*Request]struct{}
	// proven: a whole request came on this connection.
	proven bool
	// since is when the connection last made progress: it was accepted, a request on it made progress or
	// ended.
	since time.Time
	// lingers: the next Close waits for lingerTime, and lingering: it does.
	lingers, lingering bool
	closed             bool
}

// TCP returns the TCP connection, or nil if it is none.
func (c *Conn) TCP() *net.TCPConn { return c.tcp }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.budget.arrived(c, p[:n]) {
		c.LingerOnClose()
		refuse(c)
		return 0, errNotRead
	}
	return n, err
}

// errNotRead ends a connection of which nothing more is read. net/http answers nothing after such an error.
var errNotRead = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// arrived records that bytes were read from a connection, and reports whether there is room for them.
func (b *Budget) arrived(c *Conn, data []byte) bool {
	b.mu.Lock()
	more := int64(0)
	if b.cfg.MetersHeads && len(c.requests) == 0 {
		more = c.head.add(data)
	}
	if more == 0 {
		b.mu.Unlock()
		return true
	}
	c.since = b.cfg.Now()
	var yields []func()
	enough := true
	if missing := more - (b.cfg.Bytes - b.held); missing > 0 {
		yields, enough = b.evict(missing, nil, c.since)
	}
	if enough {
		c.held, c.headBytes = c.held+more, c.headBytes+more
		b.add(more)
	} else {
		b.counters.ConnectionsRefused++
		b.logConnection("head of a request refused", c, c.since)
	}
	b.mu.Unlock()
	for _, yield := range yields {
		yield()
	}
	return enough
}

// SetIdle records that no request is in progress on the connection, as net/http reports it.
func (c *Conn) SetIdle() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.head, c.since = headMeter{}, b.cfg.Now()
	gone := c.headBytes + c.windowBytes
	c.held, c.headBytes, c.windowBytes = c.held-gone, 0, 0
	b.add(-gone)
}

// widen lets the kernel receive more at a time, if there is room for that. What is reserved for it stays so
// until the connection is idle or closed: up to then the kernel may hold it.
func (c *Conn) widen() {
	if c == nil || c.tcp == nil {
		return
	}
	b := c.budget
	more := unreadBytes(bulkReceiveBuffer) - unreadBytes(smallReceiveBuffer)
	b.mu.Lock()
	fits := c.windowBytes == 0 && b.held+b.awaited+more <= b.ceiling(bulkBytes+more)
	if fits {
		c.held, c.windowBytes = c.held+more, more
		b.add(more)
	}
	b.mu.Unlock()
	if fits {
		_ = c.tcp.SetReadBuffer(bulkReceiveBuffer) // fails only if the connection is closed
	}
}

// narrow undoes widen for what comes from now on.
func (c *Conn) narrow() {
	if c != nil && c.tcp != nil {
		_ = c.tcp.SetReadBuffer(smallReceiveBuffer) // fails only if the connection is closed
	}
}

// LingerOnClose makes the next Close wait, so that an answer is not lost because the caller still sends.
func (c *Conn) LingerOnClose() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.lingers = true
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	b := c.budget
	b.mu.Lock()
	linger := c.lingers && !c.lingering && !c.closed && c.tcp != nil
	c.lingering = c.lingering || linger
	b.mu.Unlock()
	if !linger {
		return c.closeNow()
	}
	_ = c.tcp.CloseWrite() // fails only if the caller has gone
	time.AfterFunc(lingerTime, func() { _ = c.closeNow() })
	return nil
}

// closeNow closes the connection and gives its share back.
func (c *Conn) closeNow() error {
	err := c.Conn.Close()
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.closed {
		return err
	}
	c.closed = true
	delete(b.conns, c)
	b.add(-c.held)
	c.held, c.headBytes, c.windowBytes = 0, 0, 0
	return err
}

// admit returns the share of a connection that was accepted, or nil if there is no room for it.
func (b *Budget) admit(accepted net.Conn) *Conn {
	now := b.cfg.Now()
	c := &Conn{Conn: accepted, budget: b, held: b.cfg.ConnectionBytes, requests: make(map[*Request]struct{}), since: now}
	c.tcp, _ = accepted.(*net.TCPConn)
	b.mu.Lock()
	yields, enough := b.makeRoom(c, now)
	if enough {
		b.conns[c] = struct{}{}
		b.add(c.held)
	} else {
		b.counters.ConnectionsRefused++
		b.logConnection("connection refused", c, now)
	}
	b.mu.Unlock()
	for _, yield := range yields {
		yield()
	}
	if !enough {
		return nil
	}
	return c
}

// makeRoom makes requests yield to a new connection, and reports whether there is room then. The caller holds
// b.mu and calls the returned functions without it.
func (b *Budget) makeRoom(c *Conn, now time.Time) (yields []func(), enough bool) {
	if len(b.conns) >= b.maxConnections() {
		return nil, false
	}
	missing := b.held + c.held - b.yielding - b.cfg.Bytes
	if missing <= 0 {
		return nil, true
	}
	return b.evict(missing, nil, now)
}

// throttles bound the log lines.
type throttles struct{ yields, refusals, connections lineThrottle }

// logYield logs that a request has to yield. The caller holds b.mu.
func (b *Budget) logYield(r *Request, now time.Time) {
	b.lines.yields.log(b.cfg.Log, now, "request has to yield its memory", append(b.fields(),
		"account", r.account, "held_bytes", r.held, "without_progress_ms", now.Sub(r.since).Milliseconds()))
}

// logRefusal logs that a request gets no room. The caller holds b.mu.
func (b *Budget) logRefusal(r *Request, need int64, now time.Time) {
	b.lines.refusals.log(b.cfg.Log, now, "no memory for a request", append(b.fields(),
		"account", r.account, "held_bytes", r.held, "need_bytes", need))
}

// logConnection logs that a connection or a head on it is refused, or had to yield. The caller holds b.mu.
func (b *Budget) logConnection(message string, c *Conn, now time.Time) {
	b.lines.connections.log(b.cfg.Log, now, message, append(b.fields(), "remote", c.RemoteAddr().String(), "proven", c.proven,
		"requests", len(c.requests), "without_progress_ms", now.Sub(c.since).Milliseconds(), "held_bytes", c.held))
}

// fields are those of all lines. The caller holds b.mu.
func (b *Budget) fields() []any {
	return []any{"callers_bytes", b.held, "callers_limit", b.cfg.Bytes, "yielding_bytes", b.yielding, "connections", len(b.conns), "max_connections", b.maxConnections()}
}

// lineThrottle writes one line per logInterval.
type lineThrottle struct{ throttle logThrottle }

func (t *lineThrottle) log(log hclog.Logger, now time.Time, message string, fields []any) {
	if held, ok := t.throttle.Pass(now, logInterval); ok {
		log.Info(message, append(fields, "lines_held_back", held)...)
	}
}
