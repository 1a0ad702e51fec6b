package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Software is a hash of the service and the software version that an upstream runs.
type Software uint32

// UnknownSoftware is the software of a crash that a gateway of an older build reported, and that of a
// clearance that holds for all software.
const UnknownSoftware Software = 0

// SoftwareOf returns the hash of a service's software version.
func SoftwareOf(service ident.Service, version ident.SoftwareVersion) Software {
	return Software(max(1, uint32(xxhash.Sum64String(string(service)+"\x00"+string(version)))))
}

// covers reports whether what is known of requests that ran on one software holds for another.
func (s Software) covers(o Software) bool {
	return s == o || s == UnknownSoftware || o == UnknownSoftware
}

// maxWith bounds the features that are convicted together with another.
const maxWith = 8

// conviction bars requests that have a feature, its lead, together with all of some others.
type conviction struct {
	// at is the time of the newest crash that it rests on.
	at time.Time
	// lastSeen is when a barred request last arrived at any gateway.
	lastSeen time.Time
	// with are the features that were in the same requests as the lead in the crashes, so that each
	// of them may be the cause; sorted.
	with []ident.Feature
	// doubted are features that were convicted with the lead before it was convicted alone: they may crash
	// upstreams too.
	doubted []ident.Feature
	// software ran in all the crashes; UnknownSoftware if several did.
	software Software
}

func (v *conviction) expired(now time.Time) bool { return now.Sub(v.lastSeen) >= VerdictTTL }

// features returns the features that must be together.
func (v *conviction) features(lead ident.Feature) []ident.Feature {
	return append([]ident.Feature{lead}, v.with...)
}

// has reports whether a feature is one of those that must be together.
func (v *conviction) has(lead, f ident.Feature) bool { return f == lead || slices.Contains(v.with, f) }

// clearance says that a request with a feature was answered completely, or that an operator cleared
// it: crashes of that software up to then do not count against the feature.
type clearance struct {
	software Software
	at       time.Time
	// sharedAt is the latest clearance that is reported to the other gateways; zero if there is none.
	// Most features arrive at one gateway alone.
	sharedAt time.Time
}

// maxSoftwarePerFeature bounds the software on which one feature is known to be harmless.
const maxSoftwarePerFeature = 4

// Completion is a complete answer to a request.
type Completion struct {
	// Features are those of the request's features that are known or suspected.
	Features []ident.Feature
	// Software is what the upstream ran, and Sent when the request was sent to it. What began to be
	// answered before a crash shows nothing of the time after it.
	Software Software
	Sent     time.Time
	// Success: the answer was a success.
	Success bool
}

// Completed records that a request was answered completely.
func (t *Tracker) Completed(c *Completion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.rebuildSuspects(now)
	for _, f := range c.Features {
		if c.Success || rulesOf(f).anyAnswer {
			t.answered(f, c.Software, rulesOf(f).provenAt(c.Sent, now), now)
		}
	}
}

// answered clears a feature of crashes before an instant, if any count against it.
func (t *Tracker) answered(f ident.Feature, software Software, before, now time.Time) {
	barred, involved := t.isBarredAlone(f, now), t.isInConviction(f, now)
	if !involved && !t.countsBefore(f, software, before) {
		return
	}
	share := involved || t.countedElsewhere(f, software) >= shareFrom
	t.clear(f, software, share, before)
	if barred && !t.isBarredAlone(f, now) {
		t.cfg.Log.Warn("poison request cleared: it was answered completely", "feature", f)
	}
}

// countsBefore reports whether a crash of a software up to an instant may count against a feature.
func (t *Tracker) countsBefore(f ident.Feature, software Software, before time.Time) bool {
	if t.earlier[f].crashes > 0 {
		return true
	}
	s := t.suspects[f]
	return s != nil && slices.ContainsFunc(s.crashes, func(c *crash) bool { return software.covers(c.software) && !c.at.After(before) })
}

// countedElsewhere returns how many crashes other gateways may count against a feature: those since the
// last clearance that was reported to them.
func (t *Tracker) countedElsewhere(f ident.Feature, software Software) int {
	var shared time.Time
	for _, c := range t.clearances[f] {
		if c.software.covers(software) {
			shared = boottime.Later(shared, c.sharedAt)
		}
	}
	n := 0
	for _, c := range t.crashes {
		if software.covers(c.software) && c.at.After(shared) && len(c.marksOf(f)) > 0 {
			n++
		}
	}
	return n
}

// clear discounts all crashes of a software up to an instant for a feature, and lifts the convictions
// that rest on them. If share is set, the clearance is reported to the other gateways.
func (t *Tracker) clear(f ident.Feature, software Software, share bool, at time.Time) {
	if !rulesOf(f).bySoftware {
		software = UnknownSoftware
	}
	t.recordClearance(f, software, share, at)
	delete(t.earlier, f)
	for lead, v := range t.convictions {
		if v.has(lead, f) && v.software.covers(software) && !v.at.After(at.Add(ageTolerance)) {
			t.removeFrom(lead, v, f)
			t.dirty = true
		}
	}
	if s := t.suspects[f]; s != nil && !t.dirty {
		s.discount(software, at)
	}
}

// removeFrom takes a harmless feature out of a conviction; the cause is among the others.
func (t *Tracker) removeFrom(lead ident.Feature, v *conviction, f ident.Feature) {
	rest := slices.DeleteFunc(v.features(lead), func(o ident.Feature) bool { return o == f })
	delete(t.convictions, lead)
	if len(rest) > 0 {
		next := *v
		next.with = rest[1:]
		t.addConviction(rest[0], &next)
	}
}

func (t *Tracker) recordClearance(f ident.Feature, software Software, share bool, at time.Time) {
	list := t.clearances[f]
	i := slices.IndexFunc(list, func(c clearance) bool { return c.software == software })
	if i < 0 {
		if len(list) >= maxSoftwarePerFeature {
			list = slices.Delete(list, 0, 1)
		}
		list = append(list, clearance{software: software})
		i = len(list) - 1
	}
	list[i].at = boottime.Later(list[i].at, at)
	if share {
		list[i].sharedAt = boottime.Later(list[i].sharedAt, at)
	}
	t.clearances[f] = list
	t.limitClearances()
	t.empty.Store(false)
}

// clearedAt returns up to when crashes of a software do not count against a feature; zero for never.
func (t *Tracker) clearedAt(f ident.Feature, software Software) time.Time {
	var at time.Time
	for _, c := range t.clearances[f] {
		if c.software.covers(software) {
			at = boottime.Later(at, c.at)
		}
	}
	return at
}

// isBarredAlone reports whether each request with a feature is barred.
func (t *Tracker) isBarredAlone(f ident.Feature, now time.Time) bool {
	v := t.convictions[f]
	return v != nil && len(v.with) == 0 && !v.expired(now)
}

// isInConviction reports whether requests with a feature are barred, at least those that have some
// others too.
func (t *Tracker) isInConviction(f ident.Feature, now time.Time) bool {
	for lead, v := range t.convictions {
		if v.has(lead, f) && !v.expired(now) {
			return true
		}
	}
	return false
}

// Barred describes why a request must not run.
type Barred struct {
	// Features are convicted: upstreams crash under requests that have all of them.
	Features []ident.Feature
	// RetryAfter is how long the caller should wait before a retry.
	RetryAfter time.Duration
}

// Barred reports whether a request with these features must not run; nil if it may. It counts as
// an arrival of what is barred.
func (t *Tracker) Barred(features []ident.Feature) *Barred {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.barIfConvicted(features)
}

func (t *Tracker) barIfConvicted(features []ident.Feature) *Barred {
	now := t.cfg.Now()
	for _, f := range features {
		v := t.convictions[f]
		if v == nil || v.expired(now) {
			continue
		}
		if lacks := slices.ContainsFunc(v.with, func(o ident.Feature) bool { return !slices.Contains(features, o) }); lacks {
			continue
		}
		v.lastSeen = now
		t.counts.Barred++
		return &Barred{Features: v.features(f), RetryAfter: VerdictTTL}
	}
	return nil
}

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

func (t *Tracker) mergeConviction(reported *Verdict, at, lastSeen time.Time) {
	if known := t.convictions[reported.Feature]; known != nil {
		known.lastSeen = boottime.Later(known.lastSeen, lastSeen)
		if len(reported.With) >= len(known.with) {
			return
		}
	}
	v := &conviction{at: at, lastSeen: lastSeen, with: slices.Clone(reported.With), software: reported.Software}
	cleared := func(f ident.Feature) bool {
		for _, c := range t.clearances[f] {
			if c.software.covers(v.software) && c.at.After(at.Add(-ageTolerance)) {
				return true
			}
		}
		return false
	}
	if cleared(reported.Feature) || slices.ContainsFunc(v.with, cleared) {
		return
	}
	t.addConviction(reported.Feature, v)
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

// addConviction adds a conviction. One of a single feature replaces those of the feature together
// with others; one of several gets a lead of its own if it can.
func (t *Tracker) addConviction(lead ident.Feature, v *conviction) {
	if t.convictions[lead] != nil {
		lead = t.freeLead(lead, v)
	}
	if len(v.with) == 0 {
		for o, known := range t.convictions {
			if known.has(o, lead) {
				v.doubted = append(v.doubted, known.features(o)...)
				delete(t.convictions, o)
			}
		}
		v.doubted = slices.DeleteFunc(v.doubted, func(f ident.Feature) bool { return f == lead })
	}
	t.convictions[lead] = v
	t.dirty = true
	for len(t.convictions) > maxConvictions {
		oldest := lead
		for f, known := range t.convictions {
			if known.lastSeen.Before(t.convictions[oldest].lastSeen) {
				oldest = f
			}
		}
		delete(t.convictions, oldest)
	}
}

// freeLead makes one of the features the conviction's lead that leads no other yet.
func (t *Tracker) freeLead(lead ident.Feature, v *conviction) ident.Feature {
	for i, f := range v.with {
		if t.convictions[f] == nil {
			v.with[i] = lead
			slices.SortFunc(v.with, ident.Feature.Compare)
			return f
		}
	}
	return lead
}

// limitClearances drops the oldest clearances beyond maxClearances.
func (t *Tracker) limitClearances() {
	if len(t.clearances) <= maxClearances {
		return
	}
	type dated struct {
		f  ident.Feature
		at time.Time
	}
	var all []dated
	for f, list := range t.clearances {
		var newest time.Time
		for _, c := range list {
			newest = boottime.Later(newest, c.at)
		}
		all = append(all, dated{f, newest})
	}
	slices.SortFunc(all, func(a, b dated) int { return cmp.Or(a.at.Compare(b.at), a.f.Compare(b.f)) })
	// Some room is made at a time, because this takes longer than what it makes room for.
	for _, d := range all[:len(all)-maxClearances*7/8] {
		delete(t.clearances, d.f)
	}
	t.dirty = true
}

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
