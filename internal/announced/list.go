package announced

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Entry is what one upstream announced apart from its limit, for operators.
type Entry struct {
	Upstream ident.Instance
	// Leaving is set if the upstream announced that it leaves, LeavingFor ago.
	Leaving    bool
	LeavingFor time.Duration
	// PauseLeft is how much longer this gateway sends nothing, as the upstream asked; 0 if it
	// may send.
	PauseLeft time.Duration
}

// List returns the upstreams that leave or asked for a pause that is not over, sorted by ID.
func (r *Registry) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var out []Entry
	for upstream, rec := range r.records {
		e := Entry{Upstream: upstream}
		if rec.paused(now) {
			e.PauseLeft = rec.pause.Until.Sub(now)
		}
		if rec.leaves() {
			e.Leaving, e.LeavingFor = true, now.Sub(rec.leavingAt)
		}
		if e.Leaving || e.PauseLeft > 0 {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}
