package poison

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Step is what to do with a request before it is sent to an upstream.
type Step int

// The steps.
const (
	// Send it.
	Send Step = iota + 1
	// Wait: what is known of it will soon be more.
	Wait
	// Bar: it must not run.
	Bar
)

// Decision is a step with what belongs to it.
type Decision struct {
	Step Step
	// Avoid are the upstreams where another suspected request is in progress: if one of
	// the two ends an upstream, it shows which.
	Avoid []ident.Instance
	// After is when a barred request may come back.
	After time.Duration
}

// Admit decides about a request that is to be sent now and has waited for so long.
//
// A content that was at enough ends waits until all gateways have told what they had
// there. One that was at one fewer is sent, but not while another request with the same
// content is in progress here, which may show more.
func (t *Tracker) Admit(content ident.Content, waited time.Duration) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if after, barred := t.barIfConvicted(content); barred {
		return Decision{Step: Bar, After: after}
	}
	ends, newest := t.crashesAgainst(content, now)
	if ends == 0 {
		return Decision{Step: Send}
	}
	open := ends >= minCrashes-1 && len(t.inFlight[content]) > 0 || ends >= minCrashes && now.Sub(newest) < settleTime
	if open && waited < settleTime {
		return Decision{Step: Wait}
	}
	return Decision{Step: Send, Avoid: t.upstreamsOfOtherSuspects(content)}
}

// Resend reports whether a request that an end broke off may be sent to a further
// upstream: not where its content was at enough ends already, and only another arrival of
// it can tell whether it is their cause.
func (t *Tracker) Resend(content ident.Content) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	ends, _ := t.crashesAgainst(content, now)
	return ends < minCrashes && !t.isConvicted(content, now)
}

// crashesAgainst returns how many ends count against a content, and when the newest was.
func (t *Tracker) crashesAgainst(content ident.Content, now time.Time) (n int, newest time.Time) {
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

// upstreamsOfOtherSuspects returns the upstreams where a request with another suspected content is in
// progress.
func (t *Tracker) upstreamsOfOtherSuspects(content ident.Content) []ident.Instance {
	var out []ident.Instance
	for other, at := range t.inFlight {
		if other == content {
			continue
		}
		for upstream := range at {
			out = append(out, upstream)
		}
	}
	return out
}

// Started notes that a request whose content is suspected was sent to an upstream, and
// returns what to call when it has ended there.
func (t *Tracker) Started(upstream ident.Instance, content ident.Content) (ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if ends, _ := t.crashesAgainst(content, t.cfg.Now()); ends == 0 {
		return func() {}
	}
	if t.inFlight[content] == nil {
		t.inFlight[content] = make(map[ident.Instance]int)
	}
	t.inFlight[content][upstream]++
	return func() { t.finished(upstream, content) }
}

func (t *Tracker) finished(upstream ident.Instance, content ident.Content) {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := t.inFlight[content]
	if at[upstream]--; at[upstream] <= 0 {
		delete(at, upstream)
	}
	if len(at) == 0 {
		delete(t.inFlight, content)
	}
}
