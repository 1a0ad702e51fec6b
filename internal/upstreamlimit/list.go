package upstreamlimit

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Entry is one upstream's limit, for operators.
type Entry struct {
	Upstream ident.Instance
	// Rate is in requests per second.
	Rate float64
	// Age is the time since an answer last announced the limit, to any gateway. Answers is the number
	// of answers that this gateway received from the upstream since it has known the limit.
	Age     time.Duration
	Answers int
}

// List returns the limits in force, sorted by upstream.
func (lim *Limiter) List() []Entry {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.cfg.Now()
	var out []Entry
	for _, l := range lim.limits {
		if l.limited {
			out = append(out, Entry{Upstream: l.upstream, Rate: l.rate, Age: now.Sub(l.announcedAt), Answers: l.answers})
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return out
}
