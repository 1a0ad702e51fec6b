package ingress

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
)

// idleConnections closes callers' connections that stay idle. net/http's own
// limit is fixed at the start, and the operators' changes with the
// configuration.
type idleConnections struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
	// limits are the idle times in force lately, with when each was last seen.
	limits map[time.Duration]time.Time
}

const (
	// idleSlack is how much longer than the limit a connection is kept, so that
	// it is never closed under a caller that keeps to the limit.
	idleSlack = time.Second
	// idleUnknown is the limit while no configuration is known.
	idleUnknown = 30 * time.Second
	// limitKept is how long a limit counts after it was replaced: connections
	// that went idle under it are gone by then.
	limitKept = time.Minute
)

func newIdleConnections() *idleConnections {
	return &idleConnections{since: make(map[net.Conn]time.Time), limits: make(map[time.Duration]time.Time)}
}

// note follows the state of a connection; it is net/http's hook.
func (i *idleConnections) note(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle || state == http.StateNew {
		i.since[c] = boottime.Now()
		return
	}
	delete(i.since, c)
}

// sweep closes what was idle too long.
func (i *idleConnections) sweep(now time.Time, limit time.Duration) {
	if limit <= 0 {
		limit = idleUnknown
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.limits[limit] = now
	for l, seen := range i.limits {
		if now.Sub(seen) > limitKept {
			delete(i.limits, l)
		} else {
			limit = max(limit, l)
		}
	}
	for c, since := range i.since {
		if now.Sub(since) > limit+idleSlack {
			delete(i.since, c)
			_ = c.Close() // nobody waits for an answer on it
		}
	}
}

// closeAll closes every idle connection. A request that crosses the close was
// not read, and its caller may send it again elsewhere.
func (i *idleConnections) closeAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	for c := range i.since {
		delete(i.since, c)
		_ = c.Close() // nobody waits for an answer on it
	}
}
