package ingress

import (
	"sync"
	"time"
)

const (
	// idleSlack is how much longer than the limit a connection is kept, so that a caller
	// that observes the limit never has its connection closed while sending.
	idleSlack = time.Second
	// defaultIdleLimit is the idle limit while no configuration sets one.
	defaultIdleLimit = 30 * time.Second
	// limitRetention is how long a limit counts after it was replaced: connections that
	// became idle while it was in force have been closed by then.
	limitRetention = time.Minute
)

// idleLimits knows the idle limits that were in force lately. It is safe for concurrent use.
type idleLimits struct {
	mu sync.Mutex
	// recent maps each limit to when it was last in force.
	recent map[time.Duration]time.Time
}

func newIdleLimits() *idleLimits { return &idleLimits{recent: make(map[time.Duration]time.Time)} }

// longest records that a limit is in force, and returns the longest one of the last minute. A limit of 0 or less
// means defaultIdleLimit.
func (l *idleLimits) longest(limit time.Duration, now time.Time) time.Duration {
	if limit <= 0 {
		limit = defaultIdleLimit
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent[limit] = now
	for each, seen := range l.recent {
		if now.Sub(seen) > limitRetention {
			delete(l.recent, each)
		} else {
			limit = max(limit, each)
		}
	}
	return limit
}
