package upstreamlimit

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const (
	// mostKept bounds the limits that outlive all gateways.
	mostKept = 200
	// keptAge is added to the age of a kept limit: nobody knows how old the record is, and
	// whatever a gateway heard of the upstream meanwhile is newer.
	keptAge = 5 * time.Second
)

// keptLimit is a limit in a record of the platform's store.
type keptLimit struct {
	Upstream uint32  `json:"upstream"`
	Rate     float64 `json:"per_second"`
	// AgeMillis is as of the record's writing.
	AgeMillis int64 `json:"age_ms"`
}

// Keep returns the limits in force, which must outlive all gateways: each one that starts
// would else send to an upstream in need until its own answers tell it. It returns nil for
// none.
func (k *Keeper) Keep() json.RawMessage {
	if !k.some.Load() {
		return nil
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	var kept []keptLimit
	for key, l := range k.limits {
		if l.limited {
			kept = append(kept, keptLimit{Upstream: key, Rate: l.rate, AgeMillis: max(0, now.Sub(l.saidAt).Milliseconds())})
		}
	}
	slices.SortFunc(kept, func(a, b keptLimit) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Upstream, b.Upstream))
	})
	data, err := json.Marshal(kept[:min(len(kept), mostKept)])
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
	var kept []keptLimit
	if err := json.Unmarshal(data, &kept); err != nil {
		k.cfg.Log.Error("kept limits not usable", "error", err)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Now()
	for _, each := range kept[:min(len(kept), mostKept)] {
		s := RateOf(each.Rate)
		if s.Kind != Limited || each.AgeMillis < 0 || each.AgeMillis > time.Hour.Milliseconds() {
			k.cfg.Log.Error("a kept limit is not usable", "key", each.Upstream, "per_second", each.Rate, "age_ms", each.AgeMillis)
			continue
		}
		at := now.Add(-time.Duration(each.AgeMillis)*time.Millisecond - keptAge)
		k.learn(Said{Upstream: each.Upstream, Limited: true, Rate: s.Rate}, at, now)
		if l := k.limits[each.Upstream]; l != nil && l.saidAt.Equal(at) {
			l.changedAt = at // no news to the others
		}
	}
}
