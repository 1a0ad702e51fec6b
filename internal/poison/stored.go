package poison

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// maxStoredVerdicts bounds the verdicts in the lease's record.
const maxStoredVerdicts = 32

// minStoredCrashes is how many crashes must count against a feature for its suspicion to be stored.
const minStoredCrashes = 2

// earlierCrashes is what counted against a feature when all gateways restarted.
type earlierCrashes struct {
	crashes int
	newest  time.Time
}

// storedVerdict is a conviction in the lease's record or, with a number of crashes, a suspicion. An
// older build reads only those with a content.
type storedVerdict struct {
	Content uint64 `json:"content,omitempty"`
	// Part is used if Content is 0, and With are the parts that are convicted together with it.
	Part     uint64   `json:"part,omitempty"`
	With     []uint64 `json:"with,omitempty"`
	Software Software `json:"software,omitempty"`
	// Crashes is set for a part that is only suspected: so many crashes count against it.
	Crashes int `json:"crashes,omitempty"`
	// AgeMillis and IdleMillis are measured at the time the record was written.
	AgeMillis  int64 `json:"age_ms"`
	IdleMillis int64 `json:"idle_ms"`
}

func toStored(f ident.Feature, v *conviction, now time.Time) storedVerdict {
	out := storedVerdict{Software: v.software, AgeMillis: now.Sub(v.at).Milliseconds(), IdleMillis: now.Sub(v.lastSeen).Milliseconds()}
	if f.Kind == ident.ContentFeature {
		out.Content = f.Value
	} else {
		out.Part = f.Value
	}
	for _, o := range v.with {
		out.With = append(out.With, o.Value)
	}
	return out
}

func (v *storedVerdict) verdict() Verdict {
	out := Verdict{
		Feature: ident.Feature{Kind: ident.PartFeature, Value: v.Part}, Ruling: Convicted, Software: v.Software,
		Age: time.Duration(v.AgeMillis) * time.Millisecond, Idle: time.Duration(v.IdleMillis) * time.Millisecond,
	}
	if v.Content != 0 {
		out.Feature = ident.Feature{Kind: ident.ContentFeature, Value: v.Content}
	}
	for _, part := range v.With {
		out.With = append(out.With, ident.Feature{Kind: ident.PartFeature, Value: part})
	}
	return out
}

// valid reports whether the entry can be used. A part whose ID is 0 is not stored.
func (v *storedVerdict) valid() bool {
	return (v.Content != 0) != (v.Part != 0) && (v.Content == 0 || v.Crashes == 0) &&
		v.Crashes >= 0 && v.Crashes <= maxCrashes && v.AgeMillis >= 0 && v.IdleMillis >= 0 && v.verdict().Feature.Valid() && len(v.With) <= maxWith
}

// Snapshot returns the convictions, the most recently seen first, and the strongest suspicions, to be
// stored in the lease's record, or nil if there are none. Without the record, after all gateways were killed, the requests
// would crash as many more upstreams before they are convicted again.
func (t *Tracker) Snapshot() json.RawMessage {
	if t.empty.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var stored []storedVerdict
	for f, v := range t.convictions {
		if f.Value != 0 && !v.expired(now) {
			stored = append(stored, toStored(f, v, now))
		}
	}
	slices.SortFunc(stored, func(a, b storedVerdict) int {
		return cmp.Or(cmp.Compare(a.IdleMillis, b.IdleMillis), cmp.Compare(a.Content, b.Content), cmp.Compare(a.Part, b.Part))
	})
	stored = append(stored, t.suspicionsToStore(now)...)
	if len(stored) == 0 {
		return nil
	}
	data, err := json.Marshal(stored[:min(len(stored), maxStoredVerdicts)])
	if err != nil {
		t.cfg.Log.Error("cannot encode poison verdicts for storage", "error", err)
		return nil
	}
	return data
}

// suspicionsToStore returns the prompt parts that were never answered and against which crashes count,
// those with the most first. Without them, gateways that are all killed before a conviction would begin
// to count anew.
func (t *Tracker) suspicionsToStore(now time.Time) []storedVerdict {
	t.rebuildSuspects(now)
	var out []storedVerdict
	for f, s := range t.suspects {
		if f.Kind != ident.PartFeature || f.Value == 0 || s.proven || s.tally.arrivals < 2 || s.count() < minStoredCrashes {
			continue
		}
		age := now.Sub(s.unexplained[len(s.unexplained)-1].at).Milliseconds()
		out = append(out, storedVerdict{Part: f.Value, Crashes: min(s.count(), rulesOf(f).minCrashes-1), AgeMillis: age, IdleMillis: age})
	}
	slices.SortFunc(out, func(a, b storedVerdict) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(a.Part, b.Part))
	})
	return out[:min(len(out), maxStoredSuspicions)]
}

// maxStoredSuspicions bounds the suspicions in the lease's record.
const maxStoredSuspicions = 8

// restoreSuspicion adds what counted against a part, unless the part was answered since.
func (t *Tracker) restoreSuspicion(v *storedVerdict, now time.Time) {
	f := ident.Feature{Kind: ident.PartFeature, Value: v.Part}
	newest := now.Add(-time.Duration(v.AgeMillis) * time.Millisecond)
	if t.clearedAt(f, UnknownSoftware).After(newest) {
		return
	}
	t.earlier[f] = earlierCrashes{crashes: v.Crashes, newest: newest}
	t.dirty = true
}

// Restore merges the convictions and suspicions that an earlier holder stored in the lease's record; see
// Snapshot. Entries that cannot be used are logged and skipped.
func (t *Tracker) Restore(data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var stored []storedVerdict
	if err := json.Unmarshal(data, &stored); err != nil {
		t.cfg.Log.Error("cannot decode stored poison verdicts", "error", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for i := range stored[:min(len(stored), maxStoredVerdicts)] {
		v := &stored[i]
		if !v.valid() {
			t.cfg.Log.Error("stored poison verdict is not valid", "content", v.Content, "part", v.Part, "age_ms", v.AgeMillis, "idle_ms", v.IdleMillis)
			continue
		}
		if v.Crashes > 0 {
			t.restoreSuspicion(v, now)
			continue
		}
		verdict := v.verdict()
		t.mergeVerdict(&verdict, now)
	}
	t.rebuildKnown()
}
