package poison

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// maxStoredVerdicts bounds the verdicts that outlive all gateways.
const maxStoredVerdicts = 32

// storedVerdict is a verdict in a record of the platform's store.
type storedVerdict struct {
	Content ident.Content `json:"content"`
	// AgeMillis and IdleMillis are as of the record's writing.
	AgeMillis  int64 `json:"age_ms"`
	IdleMillis int64 `json:"idle_ms"`
}

// Keep returns what must outlive all gateways: the contents that were found, those that
// came last first. What goes wrong without it: after all gateways were killed, each such
// content ends three more upstreams before it is found again. It returns nil for none.
func (t *Tracker) Keep() json.RawMessage {
	if t.empty.Load() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var kept []storedVerdict
	for content, v := range t.verdicts {
		if t.isConvicted(content, now) {
			kept = append(kept, storedVerdict{Content: content, AgeMillis: now.Sub(v.at).Milliseconds(), IdleMillis: now.Sub(v.lastSeen).Milliseconds()})
		}
	}
	if len(kept) == 0 {
		return nil
	}
	slices.SortFunc(kept, func(a, b storedVerdict) int {
		return cmp.Or(cmp.Compare(a.IdleMillis, b.IdleMillis), cmp.Compare(a.Content, b.Content))
	})
	data, err := json.Marshal(kept[:min(len(kept), maxStoredVerdicts)])
	if err != nil {
		t.cfg.Log.Error("found contents not encoded", "error", err)
		return nil
	}
	return data
}

// Learn takes in what an earlier holder of the lease kept. What cannot be read changes
// nothing.
func (t *Tracker) Learn(data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	var kept []storedVerdict
	if err := json.Unmarshal(data, &kept); err != nil {
		t.cfg.Log.Error("kept contents not usable", "error", err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	for _, k := range kept[:min(len(kept), maxStoredVerdicts)] {
		if k.Content == 0 || k.AgeMillis < 0 || k.IdleMillis < 0 {
			t.cfg.Log.Error("a kept content is not usable", "content", k.Content, "age_ms", k.AgeMillis, "idle_ms", k.IdleMillis)
			continue
		}
		t.mergeVerdict(&Verdict{
			Content: k.Content, Age: time.Duration(k.AgeMillis) * time.Millisecond, Idle: time.Duration(k.IdleMillis) * time.Millisecond,
		}, now)
	}
	t.rebuildOutlines()
}
