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

// Config configures a Tracker. All fields are required.
type Config struct {
	Limits Limits
	Now    boottime.Clock
	Log    hclog.Logger
	// IncarnationID identifies this gateway and its current incarnation. Whether the gateway gets a part
	// of the slack is drawn from it.
	IncarnationID string
	// Gateways returns the number of gateways that may exist, including this one.
	Gateways func() int
	// OrdersKnown returns the time up to which this gateway knows all orders.
	OrdersKnown func() time.Time
}

// Tracker does one gateway's part of rollouts: it decides which upstreams a request may go to,
// and collects and judges the answers. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	// judgeFunc is Judge, unless a test replaces it for comparison.
	judgeFunc func(EvidenceByRoute, bool) Verdict
	// splits are by service. All upstreams of a service without one may take any request.
	splits atomic.Pointer[map[ident.Service]*Split]

	mu   sync.Mutex
	view *directory.View
	// mixed contains the services with upstreams of several versions.
	mixed    map[ident.Service]bool
	rollouts map[ident.Service]*trackedOrder
	// firstSeen is when this gateway first saw an upstream of a service's version.
	firstSeen map[ident.Service]map[ident.SoftwareVersion]time.Time
	// rejected contains the versions of earlier orders that did not complete.
	rejected map[ident.Service]map[ident.SoftwareVersion]bool
	// replaced contains the newest orders that others have replaced.
	replaced map[ident.Service][]Order
	// frozen is the time since when a service has an unreadable order. Versions that appear
	// later get no requests.
	frozen map[ident.Service]time.Time
}

// trackedOrder is what this gateway knows about an order.
type trackedOrder struct {
	order Order
	// orderedAt is when a gateway first received the order.
	orderedAt  time.Time
	phase      Phase
	phaseSince time.Time
	// confirmedAt is when the holder of the lease last confirmed this phase.
	confirmedAt time.Time
	stopped     bool
	stoppedAt   time.Time
	// reportedSettled means that this gateway has reported to have no requests at the old
	// version.
	reportedSettled bool
	// ownEvidence is this gateway's evidence, othersEvidence the sum of the others'.
	ownEvidence, othersEvidence EvidenceByRoute
	verdict                     Verdict
	// settledOthers is the number of other gateways that have no requests at the old version.
	settledOthers int
	budget        exposureBudget
}

// New returns a Tracker without orders.
func New(cfg Config) *Tracker {
	t := &Tracker{
		cfg: cfg, judgeFunc: Judge, rollouts: make(map[ident.Service]*trackedOrder), firstSeen: make(map[ident.Service]map[ident.SoftwareVersion]time.Time),
		rejected: make(map[ident.Service]map[ident.SoftwareVersion]bool), frozen: make(map[ident.Service]time.Time), replaced: make(map[ident.Service][]Order),
	}
	t.splits.Store(&map[ident.Service]*Split{})
	return t
}

// SplitOf returns the split of a service's upstreams, or nil if all may take any request.
func (t *Tracker) SplitOf(service ident.Service) *Split { return (*t.splits.Load())[service] }

// ApplyOrder applies an operator's rollout order that was given at least age ago. from names its
// source in logs.
func (t *Tracker) ApplyOrder(o Order, age time.Duration, from string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.applyOrder(o, age, from) {
		t.rebuildSplits()
	}
}

// ApplyUnreadableOrder applies an order for a service that cannot be decoded: the present versions
// go on serving, and versions that appear later get no requests until a readable order follows.
func (t *Tracker) ApplyUnreadableOrder(service ident.Service) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.frozen[service]; !known {
		t.frozen[service] = t.cfg.Now()
	}
	t.rebuildSplits()
}

// applyOrder makes an order the service's current one, unless the current one is as recent or more
// recent, and reports whether it did. For the current order itself it only corrects the time at
// which that was given.
func (t *Tracker) applyOrder(o Order, age time.Duration, from string) bool {
	now := t.cfg.Now()
	last := t.rollouts[o.Service]
	if last != nil && !o.At.After(last.order.At) {
		if o.At == last.order.At && now.Add(-age).Before(last.orderedAt) {
			last.orderedAt = now.Add(-age)
		}
		return false
	}
	if last != nil && o.At.InNewEra(last.order.At) && t.isKnown(o, last) {
		return true
	}
	next := &trackedOrder{order: o, orderedAt: now.Add(-age), phaseSince: now, ownEvidence: make(EvidenceByRoute)}
	switch {
	case last == nil:
	case last.order.To == o.To && !last.phase.Ended():
		// The same version is ordered again, perhaps with another time limit: progress and
		// evidence stay.
		next.phase, next.phaseSince, next.confirmedAt = last.phase, last.phaseSince, last.confirmedAt
		next.stopped, next.stoppedAt = last.stopped, last.stoppedAt
		next.ownEvidence, next.budget = last.ownEvidence, last.budget
	case last.phase != Completed:
		t.reject(o.Service, last.order.To)
	}
	if last != nil {
		replaced := append(t.replaced[o.Service], last.order)
		t.replaced[o.Service] = replaced[max(0, len(replaced)-maxReplaced):]
	}
	delete(t.rejected[o.Service], o.To)
	delete(t.frozen, o.Service)
	t.rollouts[o.Service] = next
	t.cfg.Log.Info("rollout ordered", "service", o.Service, "to", o.To, "order", o.At, "length_ms", o.TimeLimit.Milliseconds(),
		"age_ms", age.Milliseconds(), "from", from, "phase", next.phase.String())
	return true
}

// maxReplaced is how many replaced orders of a service are remembered.
const maxReplaced = 8

// isKnown reports whether an order that is in a later era than the current one is not new, and then gives the current
// one a position in that era. It is the current order itself, in the copy that the store came back from or written
// again, or one that the current one replaced, in the copy.
func (t *Tracker) isKnown(o Order, current *trackedOrder) bool {
	if o.demandsSame(&current.order) {
		current.order.At = o.At
		return true
	}
	for i := range t.replaced[o.Service] {
		if old := &t.replaced[o.Service][i]; o.demandsSame(old) && o.At.SameOffset(old.At) {
			current.order.At = o.At.Kept()
			t.cfg.Log.Info("rollout order kept against an older copy of the store", "service", o.Service, "to", current.order.To, "order", current.order.At, "copy_to", o.To)
			return true
		}
	}
	return false
}

func (t *Tracker) reject(service ident.Service, version ident.SoftwareVersion) {
	if t.rejected[service] == nil {
		t.rejected[service] = make(map[ident.SoftwareVersion]bool)
	}
	t.rejected[service][version] = true
}

// Observe sets a new view of the upstreams. It must be called before the view is used for
// requests.
func (t *Tracker) Observe(view *directory.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view, t.mixed = view, make(map[ident.Service]bool)
	now := t.cfg.Now()
	view.Each(func(u *directory.Upstream) {
		if u.SoftwareVersion != view.Of(u.Service)[0].SoftwareVersion {
			t.mixed[u.Service] = true
		}
		versions := t.firstSeen[u.Service]
		if versions == nil {
			versions = make(map[ident.SoftwareVersion]time.Time)
			t.firstSeen[u.Service] = versions
		}
		if _, known := versions[u.SoftwareVersion]; !known {
			versions[u.SoftwareVersion] = now
		}
	})
	t.rebuildSplits()
}

// Merge merges another gateway's orders and their phases.
func (t *Tracker) Merge(states OrderStates) {
	if len(states) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, state := range states {
		changed = t.mergeOrderState(state) || changed
	}
	if changed {
		t.rebuildSplits()
	}
}

// mergeOrderState merges another gateway's state of an order, except its evidence, and reports
// whether anything changed that the splits depend on.
func (t *Tracker) mergeOrderState(state OrderState) bool {
	changed := t.applyOrder(state.Order, state.Age, "gateway")
	r := t.rollouts[state.Order.Service]
	if r == nil || r.order.At != state.Order.At {
		return changed
	}
	confirmed := t.cfg.Now().Add(-state.ConfirmedAge)
	if state.Phase > r.phase {
		t.enterPhase(r, state.Phase, "another gateway's word")
		r.confirmedAt = confirmed
		changed = true
	} else if state.Phase == r.phase && confirmed.After(r.confirmedAt) {
		r.confirmedAt = confirmed
	}
	if state.Stopped && !r.stopped {
		r.stopped, r.stoppedAt = true, t.cfg.Now()
		changed = true
		t.cfg.Log.Warn("rollout stopped", "service", r.order.Service, "to", r.order.To, "order", r.order.At, "why", "another gateway's word")
	}
	return changed
}

// enterPhase logs and sets an order's new phase.
func (t *Tracker) enterPhase(r *trackedOrder, next Phase, why string) {
	t.cfg.Log.Info("rollout phase changed", "service", r.order.Service, "to", r.order.To, "order", r.order.At, "phase", next.String(), "before", r.phase.String(),
		"why", why, "age_ms", t.cfg.Now().Sub(r.orderedAt).Milliseconds(), "answers", r.verdict.Answers, "against", r.verdict.Against,
		"sent", r.budget.sent, "sent_new", r.budget.exposed)
	r.phase, r.phaseSince = next, t.cfg.Now()
}

// Refresh replaces the merged state of all other gateways and judges the evidence of all
// gateways.
func (t *Tracker) Refresh(others OrderStates) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.rollouts {
		r.settledOthers = 0
		r.othersEvidence = nil
	}
	for _, state := range others {
		t.mergeOrderState(state)
		if r := t.rollouts[state.Order.Service]; r != nil && r.order.At == state.Order.At {
			r.settledOthers = state.Settled
			r.othersEvidence = state.Evidence
		}
	}
	for service, r := range t.rollouts {
		if !r.phase.Ended() {
			t.judge(service, r)
		}
	}
	t.rebuildSplits()
}

// judge judges an order by the evidence of all gateways and stops it if the version is bad.
func (t *Tracker) judge(service ident.Service, r *trackedOrder) {
	all := r.ownEvidence.Clone()
	all.Merge(r.othersEvidence)
	split := t.SplitOf(service)
	r.verdict = t.judgeFunc(all, split != nil && split.hasBothHalves())
	if r.stopped || !r.verdict.Bad() {
		return
	}
	r.stopped, r.stoppedAt = true, t.cfg.Now()
	t.cfg.Log.Warn("rollout stopped", "service", service, "to", r.order.To, "order", r.order.At, "why", "the evidence is against the version",
		"answers", r.verdict.Answers, "against", r.verdict.Against, "age_ms", t.cfg.Now().Sub(r.orderedAt).Milliseconds())
}

// returnDelay is how long a gateway that has reported to be settled still sends nothing to the
// old version after the new one was found bad. Without it, the holder of the lease, which has
// counted the gateway as settled and does not know about the bad evidence yet, could have the old
// version stopped with requests in progress. Within this time the gateway's report reaches the
// holder, and the holder's decision the gateway.
const returnDelay = time.Second

// maySendToOld reports whether this gateway may send requests to the old version.
func (r *trackedOrder) maySendToOld(now time.Time) bool {
	switch r.phase {
	case Completed:
		return false
	case Draining:
		return r.stopped && !(r.reportedSettled && now.Sub(r.stoppedAt) < returnDelay)
	}
	return true
}

// confirmationTTL returns how long after the holder's last confirmation requests may go to an
// unproven version. Without this limit, a gateway that is disconnected from the others would go on
// sending requests to a version that they have found bad.
func (t *Tracker) confirmationTTL() time.Duration { return t.cfg.Limits.StopDue / 3 }

// hashFraction hashes a string, with a seed, to a number from 0 to 1.
func hashFraction(seed uint64, s string) float64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	// Writing to a digest never fails.
	_, _ = d.WriteString(s)
	return float64(d.Sum64()>>11) / (1 << 53)
}
