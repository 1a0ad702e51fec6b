package membudget

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
)

// throttles bound the log lines, one for each kind.
type throttles struct{ yields, refusals, connections logthrottle.Throttle }

// logYield logs that a request has to yield. The caller holds b.mu.
func (b *Budget) logYield(r *Request, now time.Time) {
	b.log(&b.lines.yields, now, "request has to yield its memory", func() []any {
		return []any{"account", r.account, "held_bytes", r.held, "without_progress_ms", now.Sub(r.since).Milliseconds()}
	})
}

// logRefusal logs that a request gets no room. The caller holds b.mu.
func (b *Budget) logRefusal(r *Request, need int64, now time.Time) {
	b.log(&b.lines.refusals, now, "no memory for a request", func() []any {
		return []any{"account", r.account, "held_bytes", r.held, "need_bytes", need}
	})
}

// logConnection logs that a connection or a head on it is refused, or had to yield. The caller holds b.mu.
func (b *Budget) logConnection(message string, c *Conn, now time.Time) {
	b.log(&b.lines.connections, now, message, func() []any {
		return []any{"remote", c.RemoteAddr().String(), "proven", c.proven, "requests", len(c.requests),
			"without_progress_ms", now.Sub(c.since).Milliseconds(), "held_bytes", c.held}
	})
}

// log writes one line of a kind per logInterval. The caller holds b.mu.
func (b *Budget) log(kind *logthrottle.Throttle, now time.Time, message string, fields func() []any) {
	held, ok := kind.Pass(now, logInterval)
	if !ok {
		return
	}
	b.cfg.Log.Info(message, append(fields(), "callers_bytes", b.held, "callers_limit", b.cfg.Bytes, "yielding_bytes", b.yielding,
		"connections", len(b.conns), "max_connections", b.maxConnections(), "lines_held_back", held)...)
}
