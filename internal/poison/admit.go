package poison

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Step says what to do with a request before it is sent to an upstream.
type Step int

// The steps.
const (
	// Send means that the request may be sent now.
	Send Step = iota + 1
	// Wait means to ask again shortly: more evidence about the request's features is on its way.
	Wait
	// Bar means that the request must not run.
	Bar
)

// Decision is the result of Admit.
type Decision struct {
	Step Step
	// Avoid lists the upstreams where a request with another suspected feature is in progress.
	// If the two never run at the same upstream, a crash shows which of them caused it.
	Avoid []ident.Instance
	// Barred says why the request is barred; nil unless it is.
	Barred *Barred
}

// Admit decides whether a request may be sent now, after it has waited for the given time.
//
// A request waits if it has a feature with enough crashes to be convicted, until all gateways have
// reported what they had running in them. With one crash fewer it is sent, but not while another
// request with the feature is in progress at this gateway, because the end of that request may
// decide whether the feature is the cause. It waits too while it is open whether upstreams crashed under it (see
// held), and is barred for now if that stays open. No request waits longer than settleTime.
func (t *Tracker) Admit(features []ident.Feature, waited time.Duration) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if barred := t.barIfConvicted(features); barred != nil {
		return Decision{Step: Bar, Barred: barred}
	}
	acted := t.actedOn(features, now)
	isHeld := func(f ident.Feature) bool { return t.held(f, now) }
	held := slices.IndexFunc(features, isHeld)
	if len(acted) == 0 && held < 0 {
		return Decision{Step: Send}
	}
	if waited < settleTime && (held >= 0 || slices.ContainsFunc(acted, func(s *suspect) bool { return t.undecided(s, now) })) {
		if waited == 0 {
			t.counts.Waited++
		}
		return Decision{Step: Wait}
	}
	if held >= 0 {
		t.counts.Held++
		f := features[held]
		t.cfg.Log.Info("request held back", "feature", f, "ends", t.crashesAgainst(f, now), "open_ends", t.doubtsAbout(f), "alone", t.cfg.Alone())
		return Decision{Step: Bar, Barred: &Barred{Features: []ident.Feature{f}, RetryAfter: holdRetryAfter}}
	}
	return Decision{Step: Send, Avoid: t.upstreamsOfOtherSuspects(features)}
}

// undecided reports whether evidence about a suspect is on its way.
func (t *Tracker) undecided(s *suspect, now time.Time) bool {
	least := rulesOf(s.feature).minCrashes
	return s.count() >= least-1 && len(t.inFlight[s.feature]) > 0 || s.count() >= least && now.Sub(s.newestSettledFrom()) < settleTime
}

// actedOn returns those of the features against which so many crashes count that it is acted on.
func (t *Tracker) actedOn(features []ident.Feature, now time.Time) []*suspect {
	t.rebuildSuspects(now)
	var out []*suspect
	for _, f := range features {
		if s := t.suspects[f]; s.count() >= rulesOf(f).actFrom() {
			out = append(out, s)
		}
	}
	return out
}

// MayResend reports whether a request that a crash interrupted may be sent to another upstream.
// It may not if one of its features already has enough crashes to be convicted: then only another
// arrival can tell whether it is their cause.
func (t *Tracker) MayResend(features []ident.Feature) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for _, s := range t.actedOn(features, now) {
		if s.count() >= rulesOf(s.feature).minCrashes {
			return false
		}
	}
	if slices.ContainsFunc(features, func(f ident.Feature) bool { return t.held(f, now) }) {
		return false
	}
	return t.barIfConvicted(features) == nil
}

// crashesAgainst returns how many crashes count against a feature.
func (t *Tracker) crashesAgainst(f ident.Feature, now time.Time) int {
	t.rebuildSuspects(now)
	return t.suspects[f].count()
}

// upstreamsOfOtherSuspects returns the upstreams where a request with another suspected feature
// is in progress.
func (t *Tracker) upstreamsOfOtherSuspects(features []ident.Feature) []ident.Instance {
	var out []ident.Instance
	for other, upstreams := range t.inFlight {
		if slices.Contains(features, other) {
			continue
		}
		for upstream := range upstreams {
			out = append(out, upstream)
		}
	}
	return out
}

// Started records that a request was sent to an upstream, if a feature of it is acted on. The
// caller must call ended when the request has ended there.
func (t *Tracker) Started(upstream ident.Instance, features []ident.Feature) (ended func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	acted := t.actedOn(features, t.cfg.Now())
	if len(acted) == 0 {
		return func() {}
	}
	started := make([]ident.Feature, 0, len(acted))
	for _, s := range acted {
		started = append(started, s.feature)
		if t.inFlight[s.feature] == nil {
			t.inFlight[s.feature] = make(map[ident.Instance]int)
		}
		t.inFlight[s.feature][upstream]++
	}
	return func() { t.finished(upstream, started) }
}

func (t *Tracker) finished(upstream ident.Instance, features []ident.Feature) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range features {
		upstreams := t.inFlight[f]
		if upstreams[upstream]--; upstreams[upstream] <= 0 {
			delete(upstreams, upstream)
		}
		if len(upstreams) == 0 {
			delete(t.inFlight, f)
		}
	}
}
