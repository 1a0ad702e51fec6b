package membudget

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/logthrottle"
)

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
type lineThrottle struct{ throttle logthrottle.Throttle }

func (t *lineThrottle) log(log hclog.Logger, now time.Time, message string, fields []any) {
	if held, ok := t.throttle.Pass(now, logInterval); ok {
		log.Info(message, append(fields, "lines_held_back", held)...)
	}
}
