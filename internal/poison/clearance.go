package poison

import (
	"cmp"
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
	if t.doubtsAbout(f) > 0 {
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
	return n + t.doubtsAbout(f)
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
