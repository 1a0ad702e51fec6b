package upstreamlimit

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxStoredLimits bounds the limits that are saved for a restart of all gateways.
	maxStoredLimits = 200
	// restoredExtraAge is added to the age of a restored limit. The record's own age is unknown,
	// and whatever a gateway has heard of the upstream meanwhile is newer.
	restoredExtraAge = 5 * time.Second
)

// storedLimit is a limit in the lease's record, which older builds read too.
type storedLimit struct {
	Upstream uint32  `json:"upstream"`
	Rate     float64 `json:"per_second"`
	// AgeMillis is the age when the record was written.
	AgeMillis int64 `json:"age_ms"`
}

// Snapshot returns the limits in force as JSON, for Restore. They must survive a restart of all
// gateways, because otherwise each gateway would send to an overloaded upstream until the
// upstream's own answers state the limit. It returns nil if there are none.
func (k *Limiter) Snapshot() json.RawMessage {
	if !k.anyLimited.Load() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	var saved []storedLimit
	for key, l := range k.limits {
		if l.limited {
			saved = append(saved, storedLimit{Upstream: key, Rate: l.rate, AgeMillis: max(0, now.Sub(l.statedAt).Milliseconds())})
		}
	}
	slices.SortFunc(saved, func(a, b storedLimit) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Upstream, b.Upstream))
	})
	data, err := json.Marshal(saved[:min(len(saved), maxStoredLimits)])
	if err != nil {
		k.cfg.Log.Error("limits cannot be encoded", "error", err)
		return nil
	}
	return data
}

// Restore merges the limits that an earlier holder of the lease saved. Limits that cannot be read
// are logged and ignored.
func (k *Limiter) Restore(data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var saved []storedLimit
	if err := json.Unmarshal(data, &saved); err != nil {
		k.cfg.Log.Error("saved limits not usable", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	for _, entry := range saved[:min(len(saved), maxStoredLimits)] {
		s := LimitedTo(entry.Rate)
		if s.Kind != Limited || entry.AgeMillis < 0 || entry.AgeMillis > time.Hour.Milliseconds() {
			k.cfg.Log.Error("saved limit not usable", "key", entry.Upstream, "per_second", entry.Rate, "age_ms", entry.AgeMillis)
			continue
		}
		at := now.Add(-time.Duration(entry.AgeMillis)*time.Millisecond - restoredExtraAge)
		k.merge(Announcement{Upstream: entry.Upstream, Limited: true, Rate: s.Rate}, at, now)
		if l := k.limits[entry.Upstream]; l != nil && l.statedAt.Equal(at) {
			l.changedAt = at // not announced as a recent change
		}
	}
}
