package upstreamlimit

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxSavedLimits bounds the limits that outlive all gateways.
	maxSavedLimits = 200
	// restoredExtraAge is added to the age of a kept limit: nobody knows how old the record is, and
	// whatever a gateway heard of the upstream meanwhile is newer.
	restoredExtraAge = 5 * time.Second
)

// savedLimit is a limit in a record of the platform's store.
type savedLimit struct {
	Upstream uint32  `json:"upstream"`
	Rate     float64 `json:"per_second"`
	// AgeMillis is as of the record's writing.
	AgeMillis int64 `json:"age_ms"`
}

// Keep returns the limits in force, which must outlive all gateways: each one that starts
// would else send to an upstream in need until its own answers tell it. It returns nil for
// none.
func (k *Keeper) Keep() json.RawMessage {
	if !k.anyLimited.Load() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	var kept []savedLimit
	for key, l := range k.limits {
		if l.limited {
			kept = append(kept, savedLimit{Upstream: key, Rate: l.rate, AgeMillis: max(0, now.Sub(l.statedAt).Milliseconds())})
		}
	}
	slices.SortFunc(kept, func(a, b savedLimit) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Upstream, b.Upstream))
	})
	data, err := json.Marshal(kept[:min(len(kept), maxSavedLimits)])
	if err != nil {
		k.cfg.Log.Error("limits not encoded", "error", err)
		return nil
	}
	return data
}

// Restore takes in what an earlier holder of the lease kept. What cannot be read changes
// nothing.
func (k *Keeper) Restore(data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var kept []savedLimit
	if err := json.Unmarshal(data, &kept); err != nil {
		k.cfg.Log.Error("kept limits not usable", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	for _, each := range kept[:min(len(kept), maxSavedLimits)] {
		s := RateOf(each.Rate)
		if s.Kind != Limited || each.AgeMillis < 0 || each.AgeMillis > time.Hour.Milliseconds() {
			k.cfg.Log.Error("a kept limit is not usable", "key", each.Upstream, "per_second", each.Rate, "age_ms", each.AgeMillis)
			continue
		}
		at := now.Add(-time.Duration(each.AgeMillis)*time.Millisecond - restoredExtraAge)
		k.merge(Said{Upstream: each.Upstream, Limited: true, Rate: s.Rate}, at, now)
		if l := k.limits[each.Upstream]; l != nil && l.statedAt.Equal(at) {
			l.changedAt = at // no news to the others
		}
	}
}
