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

// storedVerdict is a convicted content in the lease's record.
type storedVerdict struct {
	Content ident.ContentHash `json:"content"`
	// AgeMillis and IdleMillis are measured at the time the record was written.
	AgeMillis  int64 `json:"age_ms"`
	IdleMillis int64 `json:"idle_ms"`
}

// Snapshot returns the convicted contents, to be stored in the lease's record, the most recently
// seen first, or nil if there are none. Without the record, after all gateways were killed, each
// such content would crash three more upstreams before it is convicted again.
func (t *Tracker) Snapshot() json.RawMessage {
	if t.empty.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var stored []storedVerdict
	for content, v := range t.verdicts {
		if t.isConvicted(content, now) {
			stored = append(stored, storedVerdict{Content: content, AgeMillis: now.Sub(v.at).Milliseconds(), IdleMillis: now.Sub(v.lastSeen).Milliseconds()})
		}
	}
	if len(stored) == 0 {
		return nil
	}
	slices.SortFunc(stored, func(a, b storedVerdict) int {
		return cmp.Or(cmp.Compare(a.IdleMillis, b.IdleMillis), cmp.Compare(a.Content, b.Content))
	})
	data, err := json.Marshal(stored[:min(len(stored), maxStoredVerdicts)])
	if err != nil {
		t.cfg.Log.Error("cannot encode poison verdicts for storage", "error", err)
		return nil
	}
	return data
}

// Restore merges the convicted contents that an earlier holder stored in the lease's record; see
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
	for _, v := range stored[:min(len(stored), maxStoredVerdicts)] {
		if v.Content == 0 || v.AgeMillis < 0 || v.IdleMillis < 0 {
			t.cfg.Log.Error("stored poison verdict is not valid", "content", v.Content, "age_ms", v.AgeMillis, "idle_ms", v.IdleMillis)
			continue
		}
		t.mergeVerdict(&Verdict{
			Content: v.Content, Age: time.Duration(v.AgeMillis) * time.Millisecond, Idle: time.Duration(v.IdleMillis) * time.Millisecond,
		}, now)
	}
	t.rebuildOutlines()
}
