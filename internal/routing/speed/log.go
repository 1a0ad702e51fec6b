package speed

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// loggedChange is by what a factor must have changed, as a ratio, to be logged again.
	loggedChange = 1.25
	// logInterval is the least time between two lines about changed factors.
	logInterval = time.Second
)

// logChanges logs factors that changed markedly, one line per logInterval. t.mu must be held.
func (t *Tracker) logChanges(view *directory.View, factors map[ident.Instance]float64, now time.Time) {
	logged := make(map[ident.Instance]float64, len(factors))
	view.Each(func(u *directory.Upstream) {
		before, factor := factorOf(t.logged, u.ID), factorOf(factors, u.ID)
		if math.Abs(math.Log(factor/before)) < math.Log(loggedChange) {
			factor = before
		} else if held, ok := t.throttle.Pass(now, logInterval); ok {
			t.cfg.Log.Info("speed of upstream changed", "upstream", u.ID, "service", u.Service, "slowness", factor, "before", before, "changes_unlogged", held)
		}
		if factor != 1 {
			logged[u.ID] = factor
		}
	})
	t.logged = logged
}

// factorOf returns the factor of an upstream, 1 if there is none.
func factorOf(factors map[ident.Instance]float64, id ident.Instance) float64 {
	if factor, known := factors[id]; known {
		return factor
	}
	return 1
}
