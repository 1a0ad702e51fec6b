package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Status is the state of an order at one gateway, for the holder of the lease and for operators.
type Status struct {
	Order Order
	Phase Phase
	// Age is the time since the order was given, PhaseAge since its phase began at this gateway.
	Age, PhaseAge time.Duration
	Verdict       Verdict
	// Stopped means that some gateway found the new version bad.
	Stopped bool
	// SettledOthers is the number of other gateways without requests at the old version.
	SettledOthers int
	// Sent counts this gateway's requests, Exposed those of them sent to the new version.
	Sent, Exposed int
	// NewReady counts the ready upstreams of the new version and NewSlots their slots; OldLeft
	// counts the upstreams of other versions.
	NewReady, OldLeft int
	NewSlots          int
}

// Orders returns the status of all orders, sorted by service.
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
				case u.SoftwareVersion != r.order.To:
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

// Advance moves an order to a later phase, as decided by this gateway as the holder of the
// lease. It has no effect if the phase is not later or the order is not the current one.
func (t *Tracker) Advance(service ident.Service, order ident.Position, next Phase, why string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rollouts[service]
	if r == nil || r.order.At != order || next <= r.phase {
		return
	}
	t.enterPhase(r, next, why)
	r.confirmedAt = t.cfg.Now()
	t.rebuildSplits()
}

// Confirm records that this gateway, as the holder of the lease, confirms the order's phase.
func (t *Tracker) Confirm(service ident.Service, order ident.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rollouts[service]; r != nil && r.order.At == order {
		r.confirmedAt = t.cfg.Now()
	}
}

// SetMinAge records that an order was given at least age ago.
func (t *Tracker) SetMinAge(service ident.Service, order ident.Position, age time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.rollouts[service]; r != nil && r.order.At == order {
		t.applyOrder(r.order, age, "record")
	}
}

// Serves reports whether an upstream has the version that serves a service permanently. Scaling
// counts neither an unproven version nor one that is being drained.
func (t *Tracker) Serves(u *directory.Upstream) bool {
	split := t.SplitOf(u.Service)
	return split == nil || split.serves(u.SoftwareVersion)
}

// InProgress reports whether a service has an order that has not ended.
func (t *Tracker) InProgress(service ident.Service) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.rollouts[service]
	return r != nil && !r.phase.Ended()
}
