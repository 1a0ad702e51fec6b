package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Listed describes a conviction to operators.
type Listed struct {
	// Feature and With are convicted together: requests that have all of them are barred.
	Feature ident.Feature
	With    []ident.Feature
	// Age is the time since the conviction, Idle the time since a barred request last arrived at any
	// gateway.
	Age, Idle time.Duration
	// Crashes counts the unexpired crashes in which the feature was.
	Crashes int
}

// List returns the convictions, the most recent first.
func (t *Tracker) List() []Listed {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.rebuildSuspects(now)
	var out []Listed
	for f, v := range t.convictions {
		if v.expired(now) {
			continue
		}
		b := Listed{Feature: f, With: slices.Clone(v.with), Age: now.Sub(v.at), Idle: now.Sub(v.lastSeen)}
		if s := t.suspects[f]; s != nil {
			b.Crashes = s.tally.crashes
		}
		out = append(out, b)
	}
	slices.SortFunc(out, func(a, b Listed) int { return cmp.Or(cmp.Compare(a.Age, b.Age), a.Feature.Compare(b.Feature)) })
	return out
}

// Suspected returns the number of features that are not convicted although crashes count
// against them.
func (t *Tracker) Suspected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rebuildSuspects(t.cfg.Now())
	n := 0
	for _, s := range t.suspects {
		if s.count() > 0 {
			n++
		}
	}
	return n
}
