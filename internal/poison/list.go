package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Barred describes a convicted content to operators.
type Barred struct {
	Content ident.ContentHash
	// Age is the time since its conviction, Idle the time since a request with it last arrived
	// at any gateway.
	Age, Idle time.Duration
	// Crashes counts the unexpired crashes in which it was running.
	Crashes int
}

// List returns the convicted contents, the most recently convicted first.
func (t *Tracker) List() []Barred {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.rebuildSuspects(now)
	var out []Barred
	for content, v := range t.verdicts {
		if t.isConvicted(content, now) {
			b := Barred{Content: content, Age: now.Sub(v.at), Idle: now.Sub(v.lastSeen)}
			if s := t.suspects[content]; s != nil {
				b.Crashes = s.tally.crashes
			}
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b Barred) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content)) })
	return out
}

// Suspected returns the number of contents that are not convicted although crashes count
// against them.
func (t *Tracker) Suspected() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.rebuildSuspects(now)
	n := 0
	for _, s := range t.suspects {
		if len(s.unexplained) > 0 {
			n++
		}
	}
	return n
}
