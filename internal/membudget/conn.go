package membudget

import (
	"net"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/headcost"
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
//
// It knows more than net/http of whether a request is in progress: net/http reports a connection as idle
// until it has read a whole header. If connections were closed by that state, one could be closed after the
// first bytes of a request had been read; the request would then be forwarded, and its answer could not be
// delivered. Therefore a Conn counts as busy from the first byte that is read, and what is read is admitted
// under the lock under which connections are chosen to be closed.
type Conn struct {
	net.Conn
	budget *Budget
	// tcp is the same connection; nil if it is none of TCP.
	tcp *net.TCPConn

	// The fields below are guarded by budget.mu. fixed is what the connection holds by itself.
	fixed, held int64
	// headBytes is the part of held that a head cost that has not been read whole, and windowBytes the part
	// that the kernel may hold because the receive buffer was made larger.
	headBytes, windowBytes int64
	head                   headcost.Meter
	requests               map[*Request]struct{}
	// arriving: bytes were read that belong to no request that came whole or was refused. serving: one did,
	// and its answer may not have been written to its end; always false where requests share the connection.
	arriving, serving bool
	// multiplexed: requests share the connection.
	multiplexed bool
	// proven: a whole request came on this connection. answered counts those that have not ended.
	proven   bool
	answered int
	// since is when the connection last made progress: it was accepted, a request on it made progress or
	// ended, or it became idle.
	since time.Time
	// yielded: the connection had to yield, or was closed as idle. Nothing more is read from it.
	yielded bool
	// lingers: the next Close waits for lingerTime, and lingering: it does.
	lingers, lingering bool
	closed             bool
}

// TCP returns the TCP connection, or nil if it is none.
func (c *Conn) TCP() *net.TCPConn { return c.tcp }

// Read implements net.Conn. After the connection was chosen to be closed it returns errNotRead.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.budget.arrived(c, p[:n]) {
	case headRefused:
		c.lingerOnClose()
		refuse(c)
		return 0, errNotRead
	case mustYield:
		return 0, errNotRead
	}
	return n, err
}

// errNotRead ends a connection of which nothing more is read. net/http answers nothing after such an error.
var errNotRead = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// arrival tells what becomes of bytes that were read.
type arrival int

const (
	mayBeUsed arrival = iota
	// mustYield: the connection had to yield its place, or was closed.
	mustYield
	// headRefused: there is no room for a long head.
	headRefused
)

// arrived records that bytes were read from a connection, and tells what becomes of them.
func (b *Budget) arrived(c *Conn, data []byte) arrival {
	b.mu.Lock()
	if c.closed || c.yielded && len(c.requests) == 0 {
		b.mu.Unlock()
		return mustYield
	}
	c.arriving = true
	more := int64(0)
	if b.cfg.MetersHeads && len(c.requests) == 0 {
		more = c.head.Add(data)
	}
	if more == 0 {
		b.mu.Unlock()
		return mayBeUsed
	}
	yields, enough := b.growHead(c, more)
	b.unlock(yields)
	if !enough {
		return headRefused
	}
	return mayBeUsed
}

// growHead reserves so many bytes more for a long head, and reports whether there was room. The caller holds
// b.mu and calls the returned functions without it.
func (b *Budget) growHead(c *Conn, more int64) (yields []func(), enough bool) {
	now := b.cfg.Now()
	if c.headBytes == 0 {
		c.since = now
	}
	enough = true
	if missing := b.held + b.awaited + more - b.yielding - b.ceiling(c.headBytes+more); missing > 0 {
		yields, enough = b.evict(missing, nil, c, now)
	}
	if enough {
		c.setHead(c.headBytes + more)
	} else {
		b.counters.ConnectionsRefused++
		b.logConnection("head of a request refused", c, now)
	}
	return yields, enough
}

// serve records that a request on the connection came whole or was refused. The caller holds budget.mu.
func (c *Conn) serve() {
	if !c.multiplexed {
		c.arriving, c.serving = false, true
	}
}

// setIdle records that no request is in progress on the connection, as net/http reports it.
func (c *Conn) setIdle() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.serving, c.head, c.since = false, headcost.Meter{}, b.cfg.Now()
	c.setHead(0)
	c.hold(-c.windowBytes)
	c.windowBytes = 0
}

// setHead changes what a head costs that has not been read whole. The caller holds budget.mu.
func (c *Conn) setHead(bytes int64) {
	c.hold(bytes - c.headBytes)
	c.headBytes = bytes
	if bytes > 0 {
		c.budget.heads[c] = struct{}{}
	} else {
		delete(c.budget.heads, c)
	}
}

// takeHead moves what the head costs from the connection, which has not yielded, to a request. The caller holds
// budget.mu.
func (c *Conn) takeHead() (bytes int64) {
	bytes = c.headBytes
	c.held -= bytes
	c.headBytes = 0
	delete(c.budget.heads, c)
	return bytes
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
	fits := c.windowBytes == 0 && !c.yielded && !c.closed && b.held+b.awaited+more <= b.ceiling(bulkBytes+more)
	if fits {
		c.windowBytes = more
		c.hold(more)
	}
	b.mu.Unlock()
	if fits {
		_ = c.tcp.SetReadBuffer(bulkReceiveBuffer) // fails only if the connection is closed
	}
}

// narrow undoes widen for what comes from now on.
func (c *Conn) narrow() {
	if c == nil || c.tcp == nil {
		return
	}
	c.budget.mu.Lock()
	wide := c.windowBytes > 0
	c.budget.mu.Unlock()
	if wide {
		_ = c.tcp.SetReadBuffer(smallReceiveBuffer) // fails only if the connection is closed
	}
}

// Multiplex records that requests share the connection, as those of HTTP/2 do, and reserves what the kernel and
// the streams' windows hold for it, at the cost of connections without progress. It does that once, and
// reports whether there was room.
func (c *Conn) Multiplex(bytes int64) bool {
	b := c.budget
	b.mu.Lock()
	if c.multiplexed || c.yielded || c.closed {
		multiplexed := c.multiplexed
		b.mu.Unlock()
		return multiplexed
	}
	yields, enough := b.makeRoom(bytes, 0, c, b.cfg.Now())
	if enough {
		c.multiplexed, c.serving = true, false
		c.fixed += bytes
		b.fixed += bytes
		c.hold(bytes)
	} else {
		b.counters.RequestsRefused++
	}
	b.unlock(yields)
	return enough
}

// lingerOnClose makes the next Close wait, so that an answer is not lost because the caller still sends.
func (c *Conn) lingerOnClose() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.lingers = !c.yielded
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
	if c.yielded {
		b.closing--
		b.closingFixed -= c.fixed
	}
	b.fixed -= c.fixed
	c.setHead(0)
	c.hold(-c.held)
	c.fixed, c.windowBytes = 0, 0
	return err
}

// hold changes what the connection holds. The caller holds budget.mu.
func (c *Conn) hold(n int64) {
	c.held += n
	if c.yielded {
		c.budget.yielding += n
	}
	c.budget.add(n)
}

// answering reports whether a request on the connection is being answered. The caller holds budget.mu.
func (c *Conn) answering() bool { return (c.answered > 0 || c.serving) && !c.lingering }

// headStalls reports whether a long head has begun on the connection and does not come to its end. The caller
// holds budget.mu.
func (c *Conn) headStalls(now time.Time) bool {
	return c.headBytes > 0 && !c.yielded && len(c.requests) == 0 && !c.answering() && now.Sub(c.since) >= stallTime
}
