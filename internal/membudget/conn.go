package membudget

import (
	"net"
	"time"
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

	// The fields below are guarded by budget.mu. fixed is what the connection holds by itself.
	fixed, held int64
	// headBytes is the part of held that a head cost that has not been read whole, and windowBytes the part
	// that the kernel may hold because the receive buffer was made larger.
	headBytes, windowBytes int64
	head                   headMeter
	requests               map[*Request]struct{}
	// proven: a whole request came on this connection.
	proven bool
	// answered counts the requests that came whole and have not ended. unflushed: a whole request came, and
	// its answer may not have been written to its end; always false where requests share the connection.
	answered  int
	unflushed bool
	shared    bool
	// since is when the connection last made progress: it was accepted, a request on it made progress or
	// ended.
	since time.Time
	// yielded: the connection had to yield. Nothing more is read from it.
	yielded bool
	// lingers: the next Close waits for lingerTime, and lingering: it does.
	lingers, lingering bool
	closed             bool
}

// TCP returns the TCP connection, or nil if it is none.
func (c *Conn) TCP() *net.TCPConn { return c.tcp }

// Read implements net.Conn. It returns net.ErrClosed after the connection had to yield.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	switch c.budget.arrived(c, p[:n]) {
	case headRefused:
		c.LingerOnClose()
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
	more := int64(0)
	if b.cfg.MetersHeads && len(c.requests) == 0 {
		more = c.head.add(data)
	}
	if more == 0 {
		b.mu.Unlock()
		return mayBeUsed
	}
	now := b.cfg.Now()
	if c.headBytes == 0 {
		c.since = now
	}
	var yields []func()
	enough := true
	if missing := b.held + b.awaited + more - b.yielding - b.ceiling(c.headBytes+more); missing > 0 {
		yields, enough = b.evict(missing, nil, c, now)
	}
	if enough {
		c.setHead(c.headBytes + more)
	} else {
		b.counters.ConnectionsRefused++
		b.logConnection("head of a request refused", c, now)
	}
	b.mu.Unlock()
	for _, yield := range yields {
		yield()
	}
	if !enough {
		return headRefused
	}
	return mayBeUsed
}

// SetIdle records that no request is in progress on the connection, as net/http reports it.
func (c *Conn) SetIdle() {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	c.unflushed, c.head, c.since = false, headMeter{}, b.cfg.Now()
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
	if c != nil && c.tcp != nil {
		_ = c.tcp.SetReadBuffer(smallReceiveBuffer) // fails only if the connection is closed
	}
}

// Share records that requests share the connection, as those of HTTP/2 do, and reserves what the kernel and
// the streams' windows hold for it, at the cost of connections without progress. It does that once, and
// reports whether there was room.
func (c *Conn) Share(bytes int64) bool {
	b := c.budget
	b.mu.Lock()
	if c.shared || c.yielded || c.closed {
		shared := c.shared
		b.mu.Unlock()
		return shared
	}
	yields, enough := b.makeRoom(bytes, 0, c, b.cfg.Now())
	if enough {
		c.shared, c.unflushed = true, false
		c.fixed += bytes
		b.fixed += bytes
		c.hold(bytes)
	} else {
		b.counters.RequestsRefused++
	}
	b.mu.Unlock()
	for _, yield := range yields {
		yield()
	}
	return enough
}

// LingerOnClose makes the next Close wait, so that an answer is not lost because the caller still sends.
func (c *Conn) LingerOnClose() {
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
func (c *Conn) answering() bool { return c.answered > 0 || c.unflushed }

// headStalls reports whether a long head has begun on the connection and does not come to its end. The caller
// holds budget.mu.
func (c *Conn) headStalls(now time.Time) bool {
	return c.headBytes > 0 && !c.yielded && len(c.requests) == 0 && !c.answering() && now.Sub(c.since) >= stallTime
}
