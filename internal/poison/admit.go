package poison

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Step says what to do with a request before it is sent to an upstream.
type Step int

// The steps.
const (
	// Send means that the request may be sent now.
	Send Step = iota + 1
	// Wait means to ask again shortly: more evidence about the content is on its way.
	Wait
	// Bar means that the request must not run.
	Bar
)

// Decision is the result of Admit.
type Decision struct {
	Step Step
	// Avoid lists the upstreams where a request with another suspected content is in progress.
	// If the two contents never run at the same upstream, a crash shows which of them caused it.
	Avoid []ident.Instance
	// RetryAfter is how long the caller of a barred request should wait before a retry.
	RetryAfter time.Duration
}

// Admit decides whether a request may be sent now, after it has waited for the given time.
//
// A content with minCrashes crashes waits until all gateways have reported what they had
// running in them. A content with one crash fewer is sent, but not while another request with
// the same content is in progress at this gateway, because the end of that request may decide
// whether the content is the cause. No request waits longer than settleTime.
func (t *Tracker) Admit(content ident.ContentHash, waited time.Duration) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if after, barred := t.barIfConvicted(content); barred {
		return Decision{Step: Bar, RetryAfter: after}
	}
	crashes, newest := t.crashesAgainst(content, now)
	if crashes == 0 {
		return Decision{Step: Send}
	}
	undecided := crashes >= minCrashes-1 && len(t.inFlight[content]) > 0 || crashes >= minCrashes && now.Sub(newest) < settleTime
	if undecided && waited < settleTime {
		return Decision{Step: Wait}
	}
	return Decision{Step: Send, Avoid: t.upstreamsOfOtherSuspects(content)}
}

// MayResend reports whether a request that a crash interrupted may be sent to another upstream.
// It may not if its content already has minCrashes crashes: then only another arrival of the
// content can tell whether it is their cause.
func (t *Tracker) MayResend(content ident.ContentHash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	crashes, _ := t.crashesAgainst(content, now)
	return crashes < minCrashes && !t.isConvicted(content, now)
}

// crashesAgainst returns how many crashes count against a content, and when the newest was.
func (t *Tracker) crashesAgainst(content ident.ContentHash, now time.Time) (n int, newest time.Time) {
	t.rebuildSuspects(now)
	s := t.suspects[content]
	if s == nil {
		return 0, newest
	}
	for _, c := range s.unexplained {
		newest = boottime.Later(newest, c.at)
	}
	return len(s.unexplained), newest
}

// upstreamsOfOtherSuspects returns the upstreams where a request with another suspected content
// is in progress.
func (t *Tracker) upstreamsOfOtherSuspects(content ident.ContentHash) []ident.Instance {
	var out []ident.Instance
	for other, upstreams := range t.inFlight {
		if other == content {
			continue
		}
		for upstream := range upstreams {
			out = append(out, upstream)
		}
	}
	return out
}

// Started records that a request was sent to an upstream, if its content is suspected. The
// caller must call ended when the request has ended there.
func (t *Tracker) Started(upstream ident.Instance, content ident.ContentHash) (ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if crashes, _ := t.crashesAgainst(content, t.cfg.Now()); crashes == 0 {
		return func() {}
	}
	if t.inFlight[content] == nil {
		t.inFlight[content] = make(map[ident.Instance]int)
	}
	t.inFlight[content][upstream]++
	return func() { t.finished(upstream, content) }
}

func (t *Tracker) finished(upstream ident.Instance, content ident.ContentHash) {
	t.mu.Lock()
	defer t.mu.Unlock()
	upstreams := t.inFlight[content]
	if upstreams[upstream]--; upstreams[upstream] <= 0 {
		delete(upstreams, upstream)
	}
	if len(upstreams) == 0 {
		delete(t.inFlight, content)
	}
}
