package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Idle reports whether this gateway has no request at a service's upstreams for which a
// condition is true.
type Idle func(service ident.Service, is func(*directory.Upstream) bool) bool

// Settled reports whether this gateway has nothing at the old version of a service, and
// sends nothing there.
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

// markReportedSettled notes that the others are told that nothing is at the old version.
func (t *Tracker) markReportedSettled(r *trackedOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r.reportedSettled = true
}

// idleAtOld asks whoever has the requests, who may be choosing an upstream at the same
// time: the tracker's lock must not be held.
func (r *trackedOrder) idleAtOld(idle Idle) bool {
	return idle(r.order.Service, func(u *directory.Upstream) bool { return u.Version != r.order.To })
}

// Words are what this gateway tells the others. What an ended order showed is not told on.
func (t *Tracker) Words(idle Idle) Words {
	words, draining := t.unsettledWords()
	for i, r := range draining {
		if r != nil && r.idleAtOld(idle) {
			t.markReportedSettled(r)
			words[i].Settled = 1
		}
	}
	return words
}

// unsettledWords are those of all orders, each with the order where nothing goes to the old version.
func (t *Tracker) unsettledWords() (Words, []*trackedOrder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	var out Words
	var draining []*trackedOrder
	for _, service := range slices.Sorted(maps.Keys(t.rollouts)) {
		r := t.rollouts[service]
		if r.phase.Ended() && !t.mixed[service] && now.Sub(r.phaseSince) > reportEndedFor {
			continue
		}
		w := Word{Order: r.order, Age: now.Sub(r.orderedAt), Phase: r.phase, Confirmed: now.Sub(r.confirmedAt), Stopped: r.stopped}
		if !r.phase.Ended() {
			w.Seen = r.ownEvidence.Clone()
		}
		out = append(out, w)
		if r.maySendToOld(now) {
			r = nil
		}
		draining = append(draining, r)
	}
	return out, draining
}

// reportEndedFor is for how long the end of an order is told where no other version is left.
const reportEndedFor = time.Minute
