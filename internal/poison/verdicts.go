package poison

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Clear clears a feature on an operator's behalf; it reports whether requests with it were barred.
func (t *Tracker) Clear(f ident.Feature) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	if !t.isInConviction(f, now) {
		return false
	}
	t.clear(f, UnknownSoftware, true, now)
	t.cfg.Log.Warn("poison request cleared by an operator", "feature", f)
	return true
}

// mergeVerdict applies another gateway's verdict if it supersedes what is known.
func (t *Tracker) mergeVerdict(reported *Verdict, now time.Time) {
	at := now.Add(-reported.Age)
	switch {
	case reported.Ruling == Served:
		t.mergeServed(reported.Feature)
	case reported.Ruling == Cleared:
		t.mergeClearance(reported, at, now)
	case reported.Idle < VerdictTTL:
		t.mergeConviction(reported, at, now.Add(-reported.Idle))
	}
}

func (t *Tracker) mergeServed(f ident.Feature) {
	if f.Kind != ident.PartFeature || t.served.has(f) {
		return
	}
	t.served.add([]ident.Feature{f})
	t.dirty = true
}

func (t *Tracker) mergeClearance(reported *Verdict, at, now time.Time) {
	if reported.Age >= crashTTL {
		return
	}
	for _, c := range t.clearances[reported.Feature] {
		if c.software == reported.Software && !at.After(c.sharedAt.Add(ageTolerance)) {
			return
		}
	}
	wasConvicted := t.isInConviction(reported.Feature, now)
	t.clear(reported.Feature, reported.Software, true, at)
	t.dirty = true
	if wasConvicted && !t.isInConviction(reported.Feature, now) {
		t.logReceived(reported)
	}
}

// mergeConviction applies a conviction as far as its features were not answered since.
func (t *Tracker) mergeConviction(reported *Verdict, at, lastSeen time.Time) {
	answered := func(f ident.Feature) bool {
		return t.clearedAt(f, reported.Software).After(at.Add(-ageTolerance))
	}
	features := slices.DeleteFunc(slices.Concat([]ident.Feature{reported.Feature}, reported.With), answered)
	if len(features) == 0 {
		return
	}
	lead, with := features[0], features[1:]
	if known := t.convictions[lead]; known != nil {
		known.lastSeen = boottime.Later(known.lastSeen, lastSeen)
		if len(with) >= len(known.with) {
			return
		}
	}
	t.addConviction(lead, &conviction{at: at, lastSeen: lastSeen, with: with, software: reported.Software})
	t.logReceived(reported)
}

func (t *Tracker) logReceived(v *Verdict) {
	t.cfg.Log.Info("received a poison verdict", "feature", v.Feature, "with", v.With, "cleared", v.Ruling == Cleared,
		"age_ms", v.Age.Milliseconds(), "idle_ms", v.Idle.Milliseconds())
}

// ageTolerance is the error of ages that were relayed by other gateways. Of a conviction and a
// clearance at about the same time the clearance prevails: a complete answer proves more than
// crashes do, and if the feature is harmful, further crashes will convict it again.
const ageTolerance = 100 * time.Millisecond

// expireVerdicts drops old clearances, and convictions of features that have not arrived for long.
func (t *Tracker) expireVerdicts(now time.Time) {
	maps.DeleteFunc(t.convictions, func(_ ident.Feature, v *conviction) bool { return v.expired(now) })
	for f, list := range t.clearances {
		list = slices.DeleteFunc(list, func(c clearance) bool { return now.Sub(c.at) >= crashTTL })
		if t.clearances[f] = list; len(list) == 0 {
			delete(t.clearances, f)
		}
	}
}
