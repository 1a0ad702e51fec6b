package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Idle reports whether this gateway has no requests in progress at those of a service's
// upstreams for which matches returns true.
type Idle func(service ident.Service, matches func(*directory.Upstream) bool) bool

// Settled reports whether this gateway has no requests at the old version of a service and
// sends none there.
func (t *Tracker) Settled(service ident.Service, idle Idle) bool {
	t.mu.Lock()
	r := t.rollouts[service]
	sends := r == nil || r.maySendToOld(t.cfg.Now())
	t.mu.Unlock()
	if sends || !r.idleAtOld(idle) {
		return false
	}
	t.markReportedSettled(r)
	return true
}

// markReportedSettled records that this gateway reports to be settled.
func (t *Tracker) markReportedSettled(r *trackedOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.reportedSettled = true
}

// idleAtOld reports whether this gateway has no requests in progress at the old version. The
// Tracker's lock must not be held: idle may wait for a lock whose holder is choosing an upstream
// and waits for the Tracker's lock.
func (r *trackedOrder) idleAtOld(idle Idle) bool {
	return idle(r.order.Service, func(u *directory.Upstream) bool { return u.SoftwareVersion != r.order.To })
}

// OrderStates returns this gateway's report to the others. It contains no evidence about ended
// orders.
func (t *Tracker) OrderStates(idle Idle) OrderStates {
	states, draining := t.draftReport()
	for i, r := range draining {
		if r != nil && r.idleAtOld(idle) {
			t.markReportedSettled(r)
			states[i].Settled = 1
		}
	}
	return states
}

// draftReport returns the report without Settled. The second result has the order at the same
// index if this gateway sends nothing to its old version, otherwise nil.
func (t *Tracker) draftReport() (OrderStates, []*trackedOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var out OrderStates
	var draining []*trackedOrder
	for _, service := range slices.Sorted(maps.Keys(t.rollouts)) {
		r := t.rollouts[service]
		if r.phase.Ended() && !t.mixed[service] && now.Sub(r.phaseSince) > reportEndedFor {
			continue
		}
		state := OrderState{Order: r.order, Age: now.Sub(r.orderedAt), Phase: r.phase, ConfirmedAge: now.Sub(r.confirmedAt), Stopped: r.stopped}
		if !r.phase.Ended() {
			state.Evidence = r.ownEvidence.Clone()
		}
		out = append(out, state)
		if r.maySendToOld(now) {
			r = nil
		}
		draining = append(draining, r)
	}
	return out, draining
}

// reportEndedFor is how long the end of an order is reported once no other version is left.
const reportEndedFor = time.Minute
