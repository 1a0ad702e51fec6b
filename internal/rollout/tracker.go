package rollout

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Config is what a Tracker works with. All fields are required.
type Config struct {
	Limits Limits
	Now    boottime.Clock
	Log    hclog.Logger
	// Life tells this gateway's life from others, for its part of the slack.
	Life string
	// Gateways is how many gateways there may be, with this one.
	Gateways func() int
	// OrdersKnown is as of when this gateway knows of all orders.
	OrdersKnown func() time.Time
}

// Tracker is one gateway's part in rollouts: which upstreams a request may go to, and what
// its answers show. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	// judgeFunc is Judge, but where a test compares it with another one.
	judgeFunc func(Seen, bool) Verdict
	// splits are by service; a service without one has nothing to hold back.
	splits atomic.Pointer[map[ident.Service]*Split]

	mu   sync.Mutex
	view *directory.View
	// mixed services have upstreams of several versions.
	mixed    map[ident.Service]bool
	rollouts map[ident.Service]*trackedOrder
	// firstSeen is when a version of a service was first seen.
	firstSeen map[ident.Service]map[ident.Version]time.Time
	// rejected are versions that earlier orders named and did not complete.
	rejected map[ident.Service]map[ident.Version]bool
	// frozen services have an order that nobody can read, since when: versions that
	// came later get nothing.
	frozen map[ident.Service]time.Time
}

// trackedOrder is an order at this gateway.
type trackedOrder struct {
	order      Order
	orderedAt  time.Time
	phase      Phase
	phaseSince time.Time
	// confirmedAt is when the holder of the duties was in this phase.
	confirmedAt time.Time
	stopped     bool
	stoppedAt   time.Time
	// said: the others were told that nothing is at the old version any more.
	reportedSettled bool
	// ownEvidence is this gateway's evidence, and joint that of all.
	ownEvidence, othersEvidence Seen
	verdict                     Verdict
	// settledOthers counts the other gateways that are.
	settledOthers int
	budget        exposureBudget
}

// New returns a Tracker that knows of no order.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg: cfg, judgeFunc: Judge, rollouts: make(map[ident.Service]*trackedOrder), firstSeen: make(map[ident.Service]map[ident.Version]time.Time),
		rejected: make(map[ident.Service]map[ident.Version]bool), frozen: make(map[ident.Service]time.Time),
	}
	t.splits.Store(&map[ident.Service]*Split{})
	return t
}

// Of returns how a service's upstreams are split; nil if all may take any request.
func (t *Tracker) Of(service ident.Service) *Split { return (*t.splits.Load())[service] }

// Order takes an operator's order, heard so long ago.
func (t *Tracker) Order(o Order, age time.Duration, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.applyOrder(o, age, from) {
		t.rebuildSplits()
	}
}

// Unreadable takes an order of a service that cannot be read: the versions that are there
// go on serving, and any that comes gets nothing until a readable order follows.
func (t *Tracker) Unreadable(service ident.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.frozen[service]; !known {
		t.frozen[service] = t.cfg.Now()
	}
	t.rebuildSplits()
}

// applyOrder reports whether an order is a new one.
func (t *Tracker) applyOrder(o Order, age time.Duration, from string) bool {
	now := t.cfg.Now()
	last := t.rollouts[o.Service]
	if last != nil && o.Offset <= last.order.Offset {
		if o.Offset == last.order.Offset && now.Add(-age).Before(last.orderedAt) {
			last.orderedAt = now.Add(-age)
		}
		return false
	}
	next := &trackedOrder{order: o, orderedAt: now.Add(-age), phaseSince: now, ownEvidence: make(Seen)}
	switch {
	case last == nil:
	case last.order.To == o.To && !last.phase.Ended():
		// The same order once more, perhaps with another time: what is known stays.
		next.phase, next.phaseSince, next.confirmedAt = last.phase, last.phaseSince, last.confirmedAt
		next.stopped, next.stoppedAt = last.stopped, last.stoppedAt
		next.ownEvidence, next.budget = last.ownEvidence, last.budget
	case last.phase != Completed:
		t.reject(o.Service, last.order.To)
	}
	delete(t.rejected[o.Service], o.To)
	delete(t.frozen, o.Service)
	t.rollouts[o.Service] = next
	t.cfg.Log.Info("rollout ordered", "service", o.Service, "to", o.To, "order", o.Offset, "length_ms", o.Length.Milliseconds(),
		"age_ms", age.Milliseconds(), "from", from, "phase", next.phase.String())
	return true
}

func (t *Tracker) reject(service ident.Service, version ident.Version) {
	if t.rejected[service] == nil {
		t.rejected[service] = make(map[ident.Version]bool)
	}
	t.rejected[service][version] = true
}

// Observe takes a new view of the upstreams. It must come before the view is used.
func (t *Tracker) Observe(view *directory.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view, t.mixed = view, make(map[ident.Service]bool)
	now := t.cfg.Now()
	view.Each(func(u *directory.Upstream) {
		if u.Version != view.Of(u.Service)[0].Version {
			t.mixed[u.Service] = true
		}
		versions := t.firstSeen[u.Service]
		if versions == nil {
			versions = make(map[ident.Version]time.Time)
			t.firstSeen[u.Service] = versions
		}
		if _, known := versions[u.Version]; !known {
			versions[u.Version] = now
		}
	})
	t.rebuildSplits()
}

// Learn takes another gateway's words of orders and of their phases.
func (t *Tracker) Learn(words Words) {
	if len(words) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, w := range words {
		changed = t.mergeWord(w) || changed
	}
	if changed {
		t.rebuildSplits()
	}
}

func (t *Tracker) mergeWord(w Word) bool {
	changed := t.applyOrder(w.Order, w.Age, "gateway")
	r := t.rollouts[w.Order.Service]
	if r == nil || r.order.Offset != w.Order.Offset {
		return changed
	}
	confirmed := t.cfg.Now().Add(-w.Confirmed)
	if w.Phase > r.phase {
		t.enterPhase(r, w.Phase, "another gateway's word")
		r.confirmedAt = confirmed
		changed = true
	} else if w.Phase == r.phase && confirmed.After(r.confirmedAt) {
		r.confirmedAt = confirmed
	}
	if w.Stopped && !r.stopped {
		r.stopped, r.stoppedAt = true, t.cfg.Now()
		changed = true
		t.cfg.Log.Warn("rollout stopped", "service", r.order.Service, "to", r.order.To, "order", r.order.Offset, "why", "another gateway's word")
	}
	return changed
}

// enterPhase changes an order's phase.
func (t *Tracker) enterPhase(r *trackedOrder, next Phase, why string) {
	t.cfg.Log.Info("rollout", "service", r.order.Service, "to", r.order.To, "order", r.order.Offset, "phase", next.String(), "before", r.phase.String(),
		"why", why, "age_ms", t.cfg.Now().Sub(r.orderedAt).Milliseconds(), "answers", r.verdict.Answers, "against", r.verdict.Against,
		"sent", r.budget.sent, "sent_new", r.budget.exposed)
	r.phase, r.phaseSince = next, t.cfg.Now()
}

// Refresh takes what all other gateways say now, and judges what all saw.
func (t *Tracker) Refresh(others Words) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rollouts {
		r.settledOthers = 0
		r.othersEvidence = nil
	}
	for _, w := range others {
		t.mergeWord(w)
		if r := t.rollouts[w.Order.Service]; r != nil && r.order.Offset == w.Order.Offset {
			r.settledOthers = w.Settled
			r.othersEvidence = w.Seen
		}
	}
	for service, r := range t.rollouts {
		if !r.phase.Ended() {
			t.judge(service, r)
		}
	}
	t.rebuildSplits()
}

func (t *Tracker) judge(service ident.Service, r *trackedOrder) {
	all := r.ownEvidence.Clone()
	all.Join(r.othersEvidence)
	split := t.Of(service)
	r.verdict = t.judgeFunc(all, split != nil && split.hasBothHalves())
	if r.stopped || !r.verdict.Bad() {
		return
	}
	r.stopped, r.stoppedAt = true, t.cfg.Now()
	t.cfg.Log.Warn("rollout stopped", "service", service, "to", r.order.To, "order", r.order.Offset, "why", "the evidence is against the version",
		"answers", r.verdict.Answers, "against", r.verdict.Against, "age_ms", t.cfg.Now().Sub(r.orderedAt).Milliseconds())
}

// returnDelay is how long a gateway that said that nothing is at the old version sends
// nothing there after the new one was found bad. What goes wrong without it: the holder has
// counted it, does not know yet of the finding, and lets the old version be stopped with
// requests in progress. Within this time its word and the holder's decision have come.
const returnDelay = time.Second

// maySendToOld reports whether the old version may get requests.
func (r *trackedOrder) maySendToOld(now time.Time) bool {
	switch r.phase {
	case Completed:
		return false
	case Draining:
		return r.stopped && !(r.reportedSettled && now.Sub(r.stoppedAt) < returnDelay)
	}
	return true
}

// confirmationTTL is for how long the holder's word lets requests go to a version that is
// tried: a gateway that is cut off from the others does not hear that it is bad.
func (t *Tracker) confirmationTTL() time.Duration { return t.cfg.Limits.StopDue / 3 }

func hashFraction(order ident.Offset, s string) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(order))
	// Writing to a digest never fails.
	_, _ = d.WriteString(s)
	return float64(d.Sum64()>>11) / (1 << 53)
}
