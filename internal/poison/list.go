package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Barred is a content that was found, for operators.
type Barred struct {
	Content ident.Content
	// Age is how long ago it was found, and Idle how long it has stayed away.
	Age, Idle time.Duration
	// Ends are those of the ends remembered at which it was.
	Ends int
}

// List returns what was found, the newest first.
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
				b.Ends = s.tally.crashes
			}
			out = append(out, b)
		}
	}
	slices.SortFunc(out, func(a, b Barred) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content)) })
	return out
}

// Suspected returns how many contents ends count against that were not found.
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
