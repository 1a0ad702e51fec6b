package upstreamlimit

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxStoredLimits bounds the limits that are stored for a restart of all gateways.
	maxStoredLimits = 200
	// restoredExtraAge is added to the age of a restored limit. The record's own age is unknown,
	// and whatever a gateway has learned of the upstream meanwhile is newer.
	restoredExtraAge = 5 * time.Second
)

// storedLimit is a limit in the lease's record, which older builds read too.
type storedLimit struct {
	Upstream uint32  `json:"upstream"`
	Rate     float64 `json:"per_second"`
	// AgeMillis is the age when the record was written.
	AgeMillis int64 `json:"age_ms"`
}

// Snapshot returns the limits in force as JSON, to be stored in the lease's record for Restore; nil
// if there are none. The limits must survive a restart of all gateways, because otherwise each
// gateway would send to an overloaded upstream until the upstream's own answers announce the limit.
func (lim *Limiter) Snapshot() json.RawMessage {
	if !lim.anyLimited.Load() {
		return nil
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.cfg.Now()
	var stored []storedLimit
	for key, l := range lim.limits {
		if l.limited {
			stored = append(stored, storedLimit{Upstream: key, Rate: l.rate, AgeMillis: max(0, now.Sub(l.announcedAt).Milliseconds())})
		}
	}
	slices.SortFunc(stored, func(a, b storedLimit) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Upstream, b.Upstream))
	})
	data, err := json.Marshal(stored[:min(len(stored), maxStoredLimits)])
	if err != nil {
		lim.cfg.Log.Error("cannot encode limits", "error", err)
		return nil
	}
	return data
}

// Restore merges the limits that an earlier holder of the lease stored. Limits that cannot be read
// are logged and ignored.
func (lim *Limiter) Restore(data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var stored []storedLimit
	if err := json.Unmarshal(data, &stored); err != nil {
		lim.cfg.Log.Error("stored limits not usable", "error", err)
		return
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.cfg.Now()
	for _, entry := range stored[:min(len(stored), maxStoredLimits)] {
		s := LimitedTo(entry.Rate)
		if s.Kind != Limited || entry.AgeMillis < 0 || entry.AgeMillis > time.Hour.Milliseconds() {
			lim.cfg.Log.Error("stored limit not usable", "key", entry.Upstream, "per_second", entry.Rate, "age_ms", entry.AgeMillis)
			continue
		}
		at := now.Add(-time.Duration(entry.AgeMillis)*time.Millisecond - restoredExtraAge)
		lim.merge(LimitReport{Upstream: entry.Upstream, Limited: true, Rate: s.Rate}, at, now)
		if l := lim.limits[entry.Upstream]; l != nil && l.announcedAt.Equal(at) {
			l.changedAt = at // not reported as a recent change
		}
	}
}
