package membudget

import (
	"cmp"
	"net"
	"time"
)

// rank tells in which order connections yield their places; lower ones yield first. The caller holds
// budget.mu.
func (c *Conn) rank(now time.Time) int {
	const lingers, stalls, idles = 0, 1, 2
	switch {
	case c.lingering:
		return lingers
	case (!c.proven || len(c.requests) > 0) && now.Sub(c.since) >= stallTime:
		return stalls
	}
	return idles
}

// yieldsBefore reports whether the connection yields its place before another one. The caller holds budget.mu.
func (c *Conn) yieldsBefore(other *Conn, now time.Time) bool {
	return cmp.Or(cmp.Compare(c.rank(now), other.rank(now)), c.since.Compare(other.since)) < 0
}

// admit returns the share of a connection that was accepted, or nil if there is no room for it. Where all
// places are taken, one that makes no progress yields its own.
func (b *Budget) admit(accepted net.Conn) *Conn {
	now := b.cfg.Now()
	c := &Conn{Conn: accepted, budget: b, fixed: b.cfg.ConnectionBytes, held: b.cfg.ConnectionBytes, requests: make(map[*Request]struct{}), since: now}
	c.tcp, _ = accepted.(*net.TCPConn)
	b.mu.Lock()
	yields, enough := b.makeRoom(c.fixed, 1, nil, now)
	if enough {
		b.conns[c] = struct{}{}
		b.fixed += c.fixed
		b.add(c.held)
	} else {
		b.counters.ConnectionsRefused++
		b.logConnection("connection refused", c, now)
	}
	b.unlock(yields)
	if !enough {
		return nil
	}
	return c
}

// makeRoom makes requests and connections yield until there is room for so many bytes and places more in what
// connections hold by themselves, and reports whether there is. asking does not yield its place. The caller
// holds b.mu and calls the returned functions without it.
func (b *Budget) makeRoom(bytes int64, places int, asking *Conn, now time.Time) (yields []func(), enough bool) {
	if missing := b.missing(bytes); missing > 0 {
		yields, _ = b.evict(missing, nil, asking, now)
	}
	for b.missing(bytes) > 0 || b.fixed-b.closingFixed+bytes > b.fixedLimit() || len(b.conns)-b.closing+places > b.maxConnections() {
		victim := b.longestWithoutProgress(asking, now)
		if victim == nil {
			return yields, false
		}
		yields = append(yields, b.evictConn(victim, now))
	}
	return yields, true
}

// missing is how much is too little for so many bytes more, once all that yields has ended. The caller holds
// b.mu.
func (b *Budget) missing(bytes int64) int64 {
	return b.held + b.awaited + bytes - b.yielding - b.cfg.Bytes
}

// longestWithoutProgress returns the connection that yields its place, or nil if requests are being answered
// on all but the asking one. Of many it is the one among sampleSize that Go's maps give in any order. The caller
// holds b.mu.
func (b *Budget) longestWithoutProgress(asking *Conn, now time.Time) *Conn {
	var victim *Conn
	seen := 0
	for c := range b.conns {
		if c == asking || c.yielded || c.answering() {
			continue
		}
		if seen++; seen > sampleSize {
			break
		}
		if victim == nil || c.yieldsBefore(victim, now) {
			victim = c
		}
	}
	return victim
}

// evictConn makes a connection yield its place. Requests that arrive on it are told so, if there are not too
// many that are being told. The caller holds b.mu and calls the returned function without it.
func (b *Budget) evictConn(c *Conn, now time.Time) (yield func()) {
	b.counters.ConnectionsYielded++
	b.logConnection("connection closed for another", c, now)
	c.retire()
	var tells []func()
	for r := range c.requests {
		if !r.yielded {
			r.markYielded()
			tells = append(tells, r.stopReading)
		}
	}
	if len(tells) == 0 || b.closing > max(1, b.maxConnections()/8) {
		return func() { _ = c.closeNow() }
	}
	return func() {
		for _, tell := range tells {
			tell()
		}
		time.AfterFunc(yieldTime, func() { _ = c.closeNow() })
	}
}
