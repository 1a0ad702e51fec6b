package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Status is an order as the holder of the duties sees it.
type Status struct {
	Order             Order
	Phase             Phase
	Age, PhaseAge     time.Duration
	Verdict           Verdict
	Stopped           bool
	SettledOthers     int
	Sent, Exposed     int
	NewReady, OldLeft int
	NewSlots          int
}

// Orders returns what is known of all orders, by service.
func (t *Tracker) Orders() []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	out := make([]Status, 0, len(t.rollouts))
	for _, service := range slices.Sorted(maps.Keys(t.rollouts)) {
		r := t.rollouts[service]
		s := Status{
			Order: r.order, Phase: r.phase, Age: now.Sub(r.orderedAt), PhaseAge: now.Sub(r.phaseSince), Verdict: r.verdict, Stopped: r.stopped,
			SettledOthers: r.settledOthers, Sent: r.budget.sent, Exposed: r.budget.exposed,
		}
		if t.view != nil {
			for _, u := range t.view.Of(service) {
				switch {
				case u.Version != r.order.To:
					s.OldLeft++
				case u.State == directory.Ready:
					s.NewReady++
					s.NewSlots += u.Slots
				}
			}
		}
		out = append(out, s)
	}
	return out
}

// Advance moves an order to a later phase, by the word of the holder of the duties at this
// gateway. An earlier phase, and another order, change nothing.
func (t *Tracker) Advance(service ident.Service, order ident.Offset, next Phase, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rollouts[service]
	if r == nil || r.order.Offset != order || next <= r.phase {
		return
	}
	t.enterPhase(r, next, why)
	r.confirmedAt = t.cfg.Now()
	t.rebuildSplits()
}

// Confirm notes that the holder of the duties, at this gateway, keeps to the phase.
func (t *Tracker) Confirm(service ident.Service, order ident.Offset) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rollouts[service]; r != nil && r.order.Offset == order {
		r.confirmedAt = t.cfg.Now()
	}
}

// Began notes that an order was given so long ago at the least.
func (t *Tracker) Began(service ident.Service, order ident.Offset, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rollouts[service]; r != nil && r.order.Offset == order {
		t.applyOrder(r.order, age, "record")
	}
}

// Serves reports whether an upstream carries a service's work for good: scaling counts
// neither a version that is still tried, nor one that is drained.
func (t *Tracker) Serves(u *directory.Upstream) bool {
	split := t.Of(u.Service)
	return split == nil || split.serves(u.Version)
}

// Running reports whether a service has an order that has not ended.
func (t *Tracker) Running(service ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rollouts[service]
	return r != nil && !r.phase.Ended()
}
