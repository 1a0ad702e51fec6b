package httpconn

import (
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
)

// closedTogether is how long apart two connections can be closed by one cause, as by the end of
// the upstream's process. The kernel says to some milliseconds when a connection was closed.
const closedTogether = 10 * time.Millisecond

// WorthAsking reports whether it is worth asking by a new connection (Pool.Refuses) whether the
// upstream's process has ended: it closed or reset another connection of this pool at nearly the
// same time as now, none was begun and made since, and few enough were made because of a doubt. It
// sends nothing.
func (a *Answer) WorthAsking() bool {
	if a.Relayed != nil {
		_, worthAsking := a.Relayed.Ended(a.response.Trailer)
		return worthAsking
	}
	others, since, closed := a.conn.others()
	if closed || len(others) == 0 {
		return closed
	}
	now := a.conn.pool.now()
	return slices.ContainsFunc(others, func(c *conn) bool {
		age, closed := c.closedByUpstream()
		return closed && now.Add(-age).After(since)
	})
}

// others returns the other connections to the same upstream, and since when the end of one of them
// counts; none if too many connections were made because of a doubt. It reports whether the upstream has closed
// one whose exchange is over.
func (c *conn) others() (others []*conn, since time.Time, closed bool) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	h := c.host
	if h.askCredit < dialsPerAsk {
		return nil, since, false
	}
	since = boottime.Later(h.lastAlive, c.pool.now().Add(-closedTogether))
	if h.lastClosed.After(since) {
		return nil, since, true
	}
	for other := range h.conns {
		if other != c {
			others = append(others, other)
		}
	}
	return others, since, false
}

// noteClosed records when the upstream closed or reset the connection of an exchange that is over.
func (c *conn) noteClosed(at time.Time) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.host.lastClosed = boottime.Later(c.host.lastClosed, at)
}

// closedByUpstream reports whether the other side has closed or reset the connection, and how long
// ago its last packet came. Bytes that were not read yet do not hide it.
func (c *conn) closedByUpstream() (age time.Duration, closed bool) {
	sc, ok := c.net.NetConn().(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, false
	}
	var info *unix.TCPInfo
	var failed error
	err = raw.Control(func(fd uintptr) {
		info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil || failed != nil {
		return 0, false // this side has closed it
	}
	closed = info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE
	return time.Duration(info.Last_ack_recv) * time.Millisecond, closed
}
