package poison

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

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

// inDoubt returns the features that may crash upstreams by themselves, whatever else is convicted.
func (v *conviction) inDoubt(lead ident.Feature) []ident.Feature {
	if len(v.with) > 0 {
		return v.features(lead)
	}
	return v.doubted
}
