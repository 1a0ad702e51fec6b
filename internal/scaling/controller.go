package scaling

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// reclaimableShrinkDelay is for how long less must be wanted before upstreams are given
	// up: as long as a wave of the users' traffic takes from its middle to its
	// top, so that what is given up is not wanted back at once.
	reclaimableShrinkDelay = 8 * time.Second
	// slotClosedFor is for how long a slot counts as closed after an order was
	// turned down or its upstreams were reclaimed.
	slotClosedFor = 4 * time.Second
	// orderPause is for how long nothing else is ordered after an order was turned
	// down: mostly nothing is to be had anywhere then, and what is missing here
	// must not be heaped up elsewhere.
	orderPause = time.Second
	// onDemandShrinkDelay is for how long less must be wanted before on-demand upstreams are
	// given up: a step of the need to and fro costs a start of 4 s.
	onDemandShrinkDelay = 3 * time.Second
	// listingSlack is how much longer than their start new upstreams may take to
	// be listed before the order is repeated.
	listingSlack = 3 * time.Second
	// minUsedNeed is the need above which a service counts as used.
	minUsedNeed = 0.1
	// observeFor is for how long work is watched before the number of upstreams
	// follows it: the averages take some seconds to fill.
	observeFor = 6 * time.Second
	// minObserveFor is after how much of watchFor the averages show more than two thirds of
	// the work.
	minObserveFor = 3 * time.Second
	// surplusFactor is how many times what is wanted are more upstreams than the users' traffic
	// asks for again within a wave or a burst, and surplusFor for how long they must have
	// been too many before those beyond it are given up. What goes wrong without it: a
	// fleet that starts with thirty times what its first callers need pays for all of it
	// for as long as a small system waits for a wave to come back.
	surplusFactor      = 3
	surplusShrinkDelay = 2 * time.Second
	// noShrinkAfterReclaim is for how long after a reclaim nothing is given up: the next
	// domain's reclaim mostly follows within that time, and nothing can be had
	// then.
	noShrinkAfterReclaim = 15 * time.Second
	// reclaimRiskPeriod is for how long after a reclaim the next domain's is expected before
	// reclaimable upstreams can be had again and have started.
	reclaimRiskPeriod = 8 * time.Second
	// expectedNextReclaims is how many domains are expected to follow a first reclaim: mostly the
	// next one does.
	expectedNextReclaims = 0.7
	// assignmentDelay is how much longer than its start an upstream takes until it has work: the
	// order, its entry and the gateways' views.
	assignmentDelay = 1500 * time.Millisecond
	// minReclaimInterval keeps domains that go together from counting as all of them.
	minReclaimInterval = time.Second
	// reclaimedShare of a domain's reclaimable upstreams leave together only where the
	// domain is reclaimed: planned work takes them in turn.
	reclaimedShare = 2.0 / 3
	// settleDelay is how long a new holder watches before it orders less than
	// there is.
	settleDelay = 3 * time.Second
)

// Leases is what a controller needs of the lease.
type Leases interface {
	Grant() (duty.Grant, bool)
	Refused(ident.Fence)
}

// Controller orders upstreams of the services that have a scale.
type Controller struct {
	Now    boottime.Clock
	Table  func() *routetable.Table
	View   func() *directory.View
	Need   func(*routetable.Service) float64
	Leases Leases
	Duties platform.Duties
	Log    hclog.Logger
	// Serves reports whether an upstream carries its service's work for good, and Changing
	// whether a service's upstreams are being changed for those of another version.
	Serves   func(*directory.Upstream) bool
	Changing func(ident.Service) bool
	// Lacking is the part of an upstream's work that it does not take, because it named a
	// limit.
	Lacking func(ident.Instance) float64

	fence       ident.Fence
	holderSince time.Time
	services    map[ident.Service]*serviceState
}

// serviceState is what a holder remembers of one service.
type serviceState struct {
	// orders are the newest ones, by slot.
	orders      map[Slot]*order
	closedUntil map[Slot]time.Time
	// lessWantedSince is since when less than ordered was wanted, by slot.
	lessWantedSince map[Slot]time.Time
	// seenLeaving are upstreams whose reclaim was seen.
	seenLeaving map[ident.Instance]bool
	// servedAtStart is how many upstreams served when this holder began, and workSince
	// when it first saw work: until it has watched the work for a while, it
	// keeps that number.
	servedAtStart int
	workSince     time.Time
	// lastReclaimAt is when the newest reclaim, or an order that was turned down,
	// was seen.
	lastReclaimAt time.Time
	// domainReclaimedAt are when domains were seen to be reclaimed.
	domainReclaimedAt map[ident.FailureDomain]time.Time
}

// domainsAtRisk is how many domains are expected to be reclaimed before an upstream that is
// ordered now has started: as many as the pace of the last reclaims gives. What goes wrong
// if only the next one is expected: where they go faster than on-demand upstreams start,
// what is ordered is always one domain behind.
func (s *serviceState) domainsAtRisk(startup time.Duration, now time.Time) float64 {
	if s.lastReclaimAt.IsZero() || now.Sub(s.lastReclaimAt) >= reclaimRiskPeriod {
		return 0
	}
	var lately []time.Time
	for _, at := range s.domainReclaimedAt {
		if now.Sub(at) < noShrinkAfterReclaim {
			lately = append(lately, at)
		}
	}
	if len(lately) < 2 {
		return expectedNextReclaims
	}
	slices.SortFunc(lately, time.Time.Compare)
	pace := lately[len(lately)-1].Sub(lately[0]) / time.Duration(len(lately)-1)
	return max(expectedNextReclaims, (startup+assignmentDelay).Seconds()/max(pace, minReclaimInterval).Seconds())
}

type order struct {
	wanted int
	// answered: the platform took it.
	accepted bool
	sentAt   time.Time
}

// Step orders what is due.
func (c *Controller) Step(ctx context.Context) {
	grant, holds := c.Leases.Grant()
	table := c.Table()
	if !holds || table == nil {
		return
	}
	now := c.Now()
	if grant.Fence != c.fence || c.services == nil {
		c.fence, c.holderSince, c.services = grant.Fence, now, make(map[ident.Service]*serviceState)
	}
	for i := range table.Services() {
		if s := &table.Services()[i]; s.Scale != nil {
			c.stepService(ctx, s, now)
		}
	}
}

func (c *Controller) stepService(ctx context.Context, s *routetable.Service, now time.Time) {
	state := c.services[s.Name]
	if state == nil {
		state = &serviceState{orders: make(map[Slot]*order), closedUntil: make(map[Slot]time.Time), lessWantedSince: make(map[Slot]time.Time), seenLeaving: make(map[ident.Instance]bool), domainReclaimedAt: make(map[ident.FailureDomain]time.Time)}
		c.services[s.Name] = state
	}
	serving := c.countServing(s.Name, state, now)
	need, keep := c.observedNeed(state, c.Need(s), len(s.Scale.Prices), serving, now)
	closed := make(map[Slot]bool)
	for slot, until := range state.closedUntil {
		closed[slot] = now.Before(until)
	}
	r := &evaluation{service: s, state: state, serving: serving, need: need, minServing: keep, now: now}
	for _, n := range serving {
		r.totalServing += n
	}
	wanted := Plan(PlanInput{Scale: s.Scale, Need: need, Serving: serving, PendingReclaimable: pendingReclaimable(s, state, serving, now), ClosedSlots: closed, MissingCapacity: c.missingCapacity(s.Name), DomainsAtRisk: state.domainsAtRisk(s.Scale.Startup, now)})
	for _, n := range wanted {
		r.totalWanted += n
	}
	for _, slot := range sortedSlots(wanted) {
		count, due := c.dueOrder(r, slot, wanted[slot])
		if closed[slot] || !due {
			continue
		}
		if !c.sendOrder(ctx, r, slot, count) {
			return
		}
		r.totalServing -= max(0, serving[slot]-count)
	}
}

// evaluation is one look at a service.
type evaluation struct {
	service *routetable.Service
	state   *serviceState
	serving map[Slot]int
	// totalServing serve, and wanted are planned; keep must not be given up.
	totalServing, totalWanted int
	// need is that of the present work.
	need, minServing float64
	now              time.Time
}

// sortedSlots returns slots in a fixed order, so that two holders act alike.
func sortedSlots(wanted map[Slot]int) []Slot {
	slots := slices.Collect(maps.Keys(wanted))
	slices.SortFunc(slots, func(a, b Slot) int {
		if a.Reclaimable != b.Reclaimable {
			if a.Reclaimable {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.FailureDomain, b.FailureDomain)
	})
	return slots
}

// observedNeed returns the need, and how many upstreams must not be given up. Both are
// unknown until some work was seen: a system that was just started, or changed its
// holder, keeps what serves.
func (c *Controller) observedNeed(state *serviceState, need float64, domains int, serving map[Slot]int, now time.Time) (wanted, keep float64) {
	found := 0
	for slot, n := range serving {
		// What this holder ordered, to replace what it found, must not count.
		if state.orders[slot] == nil {
			found += n
		}
	}
	state.servedAtStart = max(state.servedAtStart, found)
	if state.workSince.IsZero() && need > minUsedNeed {
		state.workSince = now
	}
	if !state.workSince.IsZero() && now.Sub(state.workSince) >= observeFor {
		return need, need
	}
	keep = float64(state.servedAtStart)
	if !state.workSince.IsZero() && now.Sub(state.workSince) >= minObserveFor {
		keep = min(keep, surplusFactor*need)
	}
	return max(need, keep/reserveFactor(domains)), max(need, keep)
}

// pendingReclaimable is how many reclaimable upstreams were ordered and may still start: not those of
// a domain that was reclaimed since.
func pendingReclaimable(s *routetable.Service, state *serviceState, serving map[Slot]int, now time.Time) int {
	sum := 0
	for slot, o := range state.orders {
		if slot.Reclaimable && o.accepted && o.sentAt.After(state.domainReclaimedAt[slot.FailureDomain]) && now.Sub(o.sentAt) < s.Scale.Startup+listingSlack {
			sum += max(0, o.wanted-serving[slot])
		}
	}
	return sum
}

// missingCapacity is how many upstreams are missing because serving ones take less than they could.
// What goes wrong without it: an upstream in need counts as one that serves, the others
// carry its work, and the reserve for the next reclaim is gone.
func (c *Controller) missingCapacity(name ident.Service) float64 {
	sum := 0.0
	for _, u := range c.View().Of(name) {
		if u.State == directory.Ready && c.Serves(&u) {
			sum += c.Lacking(u.ID)
		}
	}
	return sum
}

// countServing counts the ready upstreams, and closes slots whose upstreams are being
// reclaimed: most reclaimable ones of a domain begin to leave at once, and nobody gave
// them up. Not all of them have to: one that has crashed never says that it leaves. Their
// entries do not say why they leave. What goes wrong if a reclaim is not noticed: within
// two seconds of it the reserve in the other domains is given up, the next domain is
// reclaimed, and a fifth of the engines is left until on-demand ones have started.
func (c *Controller) countServing(name ident.Service, state *serviceState, now time.Time) map[Slot]int {
	serving, leaving := make(map[Slot]int), make(map[Slot][]ident.Instance)
	for _, u := range c.View().Of(name) {
		if !c.Serves(&u) {
			continue
		}
		slot := Slot{u.FailureDomain, u.Reclaimable}
		switch {
		case u.State == directory.Ready:
			serving[slot]++
		case u.Reclaimable && !state.seenLeaving[u.ID]:
			leaving[slot] = append(leaving[slot], u.ID)
		}
	}
	for slot, ids := range leaving {
		c.recordLeaving(name, state, slot, ids, serving[slot], now)
	}
	return serving
}

// recordLeaving notes upstreams of a slot that began to leave, beside so many that serve: they
// were given up, or leave in turn, or their domain is reclaimed.
func (c *Controller) recordLeaving(name ident.Service, state *serviceState, slot Slot, ids []ident.Instance, serving int, now time.Time) {
	last := state.orders[slot]
	given := last != nil && serving >= last.wanted
	if !given && float64(len(ids)) < reclaimedShare*float64(len(ids)+serving) {
		return
	}
	for _, id := range ids {
		state.seenLeaving[id] = true
	}
	if given {
		return
	}
	state.closedUntil[slot] = now.Add(slotClosedFor)
	state.lastReclaimAt, state.domainReclaimedAt[slot.FailureDomain] = now, now
	c.Log.Info("upstreams are reclaimed", "service", name, "domain", slot.FailureDomain, "upstreams", ids)
}

// dueOrder reports whether an order must be sent for a slot, and for how many.
func (c *Controller) dueOrder(r *evaluation, slot Slot, wanted int) (int, bool) {
	last := r.state.orders[slot]
	before := r.serving[slot]
	if last != nil {
		before = last.wanted
	}
	if wanted <= before && c.Changing(r.service.Name) {
		// An order counts the upstreams of both versions, or of one: nobody says which.
		// Less, or the same once more, might take away those that serve.
		return 0, false
	}
	if wanted < before {
		return c.mayShrink(r, slot, before, wanted)
	}
	delete(r.state.lessWantedSince, slot)
	if wanted > before {
		return wanted, true
	}
	if last == nil {
		return 0, false
	}
	missing := r.serving[slot] != wanted && r.now.Sub(last.sentAt) > r.service.Scale.Startup+listingSlack
	return wanted, !last.accepted || missing
}

// mayShrink reports whether upstreams of a slot may be given up, and how many are to stay:
// not as long as the others could not carry the work, nor reclaimable ones before less was
// wanted for a while, or soon after a reclaim.
func (c *Controller) mayShrink(r *evaluation, slot Slot, before, wanted int) (int, bool) {
	since, waiting := r.state.lessWantedSince[slot]
	if !waiting {
		r.state.lessWantedSince[slot] = r.now
		since = r.now
	}
	count := c.countToKeep(r, slot, before, wanted, r.now.Sub(since))
	left := r.totalServing - max(r.serving[slot]-count, 0)
	return count, count < before && r.now.Sub(c.holderSince) >= settleDelay && float64(left) >= r.minServing
}

// countToKeep is how many upstreams of a slot are to stay where less than before has been wanted
// for so long; before itself for all of them.
func (c *Controller) countToKeep(r *evaluation, slot Slot, before, wanted int, lessFor time.Duration) int {
	if !slot.Reclaimable {
		replaced := r.state.workSince.IsZero()
		if replaced || lessFor >= onDemandShrinkDelay {
			return wanted
		}
		return before
	}
	calm := r.state.lastReclaimAt.IsZero() || r.now.Sub(r.state.lastReclaimAt) >= noShrinkAfterReclaim
	switch {
	case !calm:
		return before
	case lessFor >= reclaimableShrinkDelay:
		return wanted
	case lessFor >= surplusShrinkDelay && r.totalServing > surplusFactor*r.totalWanted:
		return min(before, surplusFactor*wanted)
	}
	return before
}

// pauseReclaimableOrders closes all reclaimable slots for a moment.
func (r *evaluation) pauseReclaimableOrders() {
	until := r.now.Add(orderPause)
	for d := range r.service.Scale.Prices {
		slot := Slot{d, true}
		if r.state.closedUntil[slot].Before(until) {
			r.state.closedUntil[slot] = until
		}
	}
}

// sendOrder sends one order and reports whether to go on.
func (c *Controller) sendOrder(ctx context.Context, r *evaluation, slot Slot, wanted int) bool {
	grant, holds := c.Leases.Grant()
	if !holds || grant.Fence != c.fence {
		return false
	}
	err := c.Duties.Scale(ctx, grant.Authority, platform.ScaleOrder{
		Service: r.service.Name, FailureDomain: slot.FailureDomain, Reclaimable: slot.Reclaimable, Wanted: wanted,
	})
	c.Log.Info("upstreams ordered", "service", r.service.Name, "domain", slot.FailureDomain, "reclaimable", slot.Reclaimable,
		"wanted", wanted, "serving", r.serving[slot], "need", r.need, "fence", grant.Fence, "error", err)
	delete(r.state.lessWantedSince, slot)
	switch {
	case errors.Is(err, platform.ErrOldFence):
		c.Leases.Refused(grant.Fence)
		return false
	case errors.Is(err, platform.ErrNoCapacity):
		r.state.closedUntil[slot] = r.now.Add(slotClosedFor)
		r.state.lastReclaimAt = r.now
		r.pauseReclaimableOrders()
	default:
		r.state.orders[slot] = &order{wanted: wanted, accepted: err == nil, sentAt: r.now}
	}
	return true
}
