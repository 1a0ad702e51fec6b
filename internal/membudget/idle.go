package membudget

import "time"

// CloseIdle closes the connections that have been idle at least since the given time, and returns how many are
// left. A request that arrives on one as it is closed is not read, so that its caller may safely send it again.
func (b *Budget) CloseIdle(since time.Time) (left int) {
	b.mu.Lock()
	var closing []*Conn
	for c := range b.conns {
		switch {
		case c.yielded || c.lingering:
		case c.idle() && !c.since.After(since):
			c.retire()
			closing = append(closing, c)
		default:
			left++
		}
	}
	b.mu.Unlock()
	for _, c := range closing {
		_ = c.closeNow() // no answer is pending on an idle connection
	}
	return left
}

// idle reports whether no request is in progress on the connection. The caller holds budget.mu.
func (c *Conn) idle() bool { return !c.arriving && !c.serving && len(c.requests) == 0 }

// retire records that the connection will be closed: nothing more is read from it. The caller holds budget.mu.
func (c *Conn) retire() {
	b := c.budget
	c.yielded, c.lingers = true, false
	b.closing++
	b.closingFixed += c.fixed
	b.yielding += c.held
}
