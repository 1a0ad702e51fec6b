// Package logthrottle bounds how often a log line is written about something that may happen at any
// rate.
package logthrottle

import "time"

// Throttle lets one log line pass per interval and counts the ones that it holds back. The zero value
// lets the next line pass. It is not safe for concurrent use.
type Throttle struct {
	passedAt time.Time
	held     int
}

// Pass reports whether a line may be written now. If so, held is how many were held back since the last
// one.
func (t *Throttle) Pass(now time.Time, interval time.Duration) (held int, ok bool) {
	if t.Used() && now.Sub(t.passedAt) < interval {
		t.held++
		return 0, false
	}
	held = t.held
	t.passedAt, t.held = now, 0
	return held, true
}

// Used reports whether a line has passed.
func (t *Throttle) Used() bool { return !t.passedAt.IsZero() }
