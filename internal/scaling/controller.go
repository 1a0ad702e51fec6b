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
	// reclaimableShrinkDelay is how long fewer reclaimable upstreams must be wanted before
	// some are removed: as long as the swings of the users' traffic take from the mean to
	// the peak, so that the removed ones are not needed again at once.
	reclaimableShrinkDelay = 8 * time.Second
	// slotClosedFor is how long a slot counts as closed after an order was rejected for lack
	// of capacity or its upstreams were reclaimed.
	slotClosedFor = 4 * time.Second
	// orderPause is how long no other reclaimable upstreams are ordered after an order was
	// rejected for lack of capacity: usually there is no capacity anywhere then, and the
	// upstreams that are missing in one domain must not be piled up in another.
	orderPause = time.Second
	// onDemandShrinkDelay is how long fewer on-demand upstreams must be wanted before some
	// are removed: a need that changes to and fro by one costs a start of 4 s each time.
	onDemandShrinkDelay = 3 * time.Second
	// listingSlack is how much longer than their startup time new upstreams may take to be
	// listed before the order is repeated.
	listingSlack = 3 * time.Second
	// minUsedNeed is the need, in upstreams, above which a service counts as used.
	minUsedNeed = 0.1
	// observeFor is how long a service's work is observed before the number of upstreams
	// follows it: the averages take some seconds to fill.
	observeFor = 6 * time.Second
	// minObserveFor is the part of observeFor after which the averages show more than two
	// thirds of the work.
	minObserveFor = 3 * time.Second
	// surplusFactor times the wanted upstreams is the most that the users' traffic needs
	// again within a swing or a burst. Upstreams beyond that number are removed after
	// surplusShrinkDelay already. Otherwise a fleet that starts with thirty times the
	// upstreams that its first callers need pays for all of them for as long as a small
	// system waits for the next swing.
	surplusFactor      = 3
	surplusShrinkDelay = 2 * time.Second
	// noShrinkAfterReclaim is how long after a reclaim no reclaimable upstreams are removed:
	// the next domain is usually reclaimed within that time, and there is no capacity then.
	noShrinkAfterReclaim = 15 * time.Second
	// reclaimRiskPeriod is how long after a reclaim the next domain's reclaim is expected
	// before reclaimable upstreams are available again and have started.
	reclaimRiskPeriod = 8 * time.Second
	// expectedNextReclaims is how many domains are expected to be reclaimed after a first
	// one: usually one more is.
	expectedNextReclaims = 0.7
	// assignmentDelay is how much longer than its startup time an upstream takes until it
	// gets work: for the order, its entry and the gateways' views.
	assignmentDelay = 1500 * time.Millisecond
	// minReclaimInterval is the shortest time assumed between the reclaims of two domains.
	// Without it, domains that are reclaimed together would put all domains at risk.
	minReclaimInterval = time.Second
	// reclaimedShare is the share of a domain's reclaimable upstreams that leave together
	// only when the domain is reclaimed: planned work stops them one after the other.
	reclaimedShare = 2.0 / 3
	// settleDelay is how long a new holder observes before it orders fewer upstreams than
	// there are.
	settleDelay = 3 * time.Second
)

// Leases says whether this gateway may order upstreams. Grant returns false if it does not
// hold the lease. FenceRejected gives the lease up after an order with that fencing number
// was rejected.
type Leases interface {
	Grant() (duty.Grant, bool)
	FenceRejected(ident.Fence)
}

// Controller orders upstreams for the services that have a Scale. It is not safe for
// concurrent use.
type Controller struct {
	Now   boottime.Clock
	Table func() *routetable.Table
	View  func() *directory.View
	// Need returns the number of upstreams that are as busy with a service's present work
	// as they should be.
	Need   func(*routetable.Service) float64
	Leases Leases
	Duties platform.Duties
	Log    hclog.Logger
	// Serves reports whether an upstream counts as its service's lasting capacity. Upstreams
	// of a version that is being tried or drained do not.
	Serves func(*directory.Upstream) bool
	// RolloutRunning reports whether a service's upstreams are being replaced by those of
	// another version.
	RolloutRunning func(ident.Service) bool
	// UnservedShare returns the share of its work, from 0 to 1, that an upstream does not accept
	// because of a rate limit that it announced.
	UnservedShare func(ident.Instance) float64

	// fence is the fencing number of the newest lease, and holderSince when this gateway
	// was first seen to hold it. services is the state recorded since then.
	fence       ident.Fence
	holderSince time.Time
	services    map[ident.Service]*serviceState
}

// serviceState is what the holder of the lease records about one service.
type serviceState struct {
	// orders are the newest orders by slot.
	orders map[Slot]*order
	// closedUntil is when a closed slot is open again.
	closedUntil map[Slot]time.Time
	// lessWantedSince is since when fewer upstreams than ordered are wanted, by slot.
	lessWantedSince map[Slot]time.Time
	// seenLeaving are the reclaimable upstreams whose leaving has been explained, by an
	// order or a reclaim.
	seenLeaving map[ident.Instance]bool
	// servedAtStart is how many upstreams served when this holder took the lease, and
	// workSince when it first saw work. It keeps that number of upstreams until it has
	// observed the work for a while.
	servedAtStart int
	workSince     time.Time
	// lastReclaimAt is when a reclaim was last seen, or an order was last rejected for
	// lack of capacity, which is a sign of one.
	lastReclaimAt time.Time
	// domainReclaimedAt is when each domain was last seen to be reclaimed.
	domainReclaimedAt map[ident.FailureDomain]time.Time
}

// domainsAtRisk returns how many domains are expected to be reclaimed before an upstream
// that is ordered now has started, at the pace of the latest reclaims. If it were at most
// one, orders would always be one domain behind where domains are reclaimed faster than
// on-demand upstreams start.
func (s *serviceState) domainsAtRisk(startup time.Duration, now time.Time) float64 {
	if s.lastReclaimAt.IsZero() || now.Sub(s.lastReclaimAt) >= reclaimRiskPeriod {
		return 0
	}
	var recent []time.Time
	for _, at := range s.domainReclaimedAt {
		if now.Sub(at) < noShrinkAfterReclaim {
			recent = append(recent, at)
		}
	}
	if len(recent) < 2 {
		return expectedNextReclaims
	}
	slices.SortFunc(recent, time.Time.Compare)
	interval := recent[len(recent)-1].Sub(recent[0]) / time.Duration(len(recent)-1)
	return max(expectedNextReclaims, (startup+assignmentDelay).Seconds()/max(interval, minReclaimInterval).Seconds())
}

// order is the newest order for a slot.
type order struct {
	wanted int
	// accepted is set once the platform has accepted the order.
	accepted bool
	sentAt   time.Time
}

// Step sends the orders that are due if this gateway holds the lease.
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
	need, minServing := c.observedNeed(state, c.Need(s), len(s.Scale.Prices), serving, now)
	closed := make(map[Slot]bool)
	for slot, until := range state.closedUntil {
		closed[slot] = now.Before(until)
	}
	r := &evaluation{service: s, state: state, serving: serving, need: need, minServing: minServing, now: now}
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

// evaluation holds the figures of one step for a service.
type evaluation struct {
	service *routetable.Service
	state   *serviceState
	serving map[Slot]int
	// totalServing upstreams serve, and totalWanted are planned, over all slots.
	totalServing, totalWanted int
	// need is how many upstreams the present work needs, and minServing how many must
	// stay.
	need, minServing float64
	now              time.Time
}

// sortedSlots returns the slots in a fixed order, so that any two holders act alike.
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

// observedNeed returns the need to plan for, and how many upstreams must stay. Until the
// work has been observed for a while, both count what served at the start, so that a system
// that has just started or changed its holder keeps its upstreams.
func (c *Controller) observedNeed(state *serviceState, need float64, domains int, serving map[Slot]int, now time.Time) (wanted, minServing float64) {
	found := 0
	for slot, n := range serving {
		// The upstreams that this holder ordered to replace the ones that it found must
		// not count.
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
	minServing = float64(state.servedAtStart)
	if !state.workSince.IsZero() && now.Sub(state.workSince) >= minObserveFor {
		minServing = min(minServing, surplusFactor*need)
	}
	return max(need, minServing/reserveFactor(domains)), max(need, minServing)
}

// pendingReclaimable returns how many reclaimable upstreams were ordered and may still
// start. Those of a domain that was reclaimed since the order are not counted.
func pendingReclaimable(s *routetable.Service, state *serviceState, serving map[Slot]int, now time.Time) int {
	sum := 0
	for slot, o := range state.orders {
		if slot.Reclaimable && o.accepted && o.sentAt.After(state.domainReclaimedAt[slot.FailureDomain]) && now.Sub(o.sentAt) < s.Scale.Startup+listingSlack {
			sum += max(0, o.wanted-serving[slot])
		}
	}
	return sum
}

// missingCapacity returns how many upstreams are missing because ready ones accept less
// work than they could do. Without it, an upstream that announced a rate limit would count
// as a whole one, the others would do its work, and the reserve for the next reclaim would
// be used up.
func (c *Controller) missingCapacity(name ident.Service) float64 {
	sum := 0.0
	for _, u := range c.View().Of(name) {
		if u.State == directory.Ready && c.Serves(&u) {
			sum += c.UnservedShare(u.ID)
		}
	}
	return sum
}

// countServing counts the ready upstreams by slot, and closes the slots whose upstreams are
// being reclaimed. The entries of upstreams do not say why they leave: it is taken for a
// reclaim if most reclaimable upstreams of a domain begin to leave at once and no order
// removed them. Not all need to leave, since an upstream that has crashed never announces
// that it leaves. If a reclaim went unnoticed, the reserve in the other domains would be removed
// within two seconds, the next domain would be reclaimed, and a fifth of the engines would
// be left until on-demand ones have started.
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

// recordLeaving decides why the upstreams ids of a slot began to leave, while serving
// others of the slot are ready: an order removed them, they leave one after the other, or
// their domain is reclaimed.
func (c *Controller) recordLeaving(name ident.Service, state *serviceState, slot Slot, ids []ident.Instance, serving int, now time.Time) {
	last := state.orders[slot]
	removed := last != nil && serving >= last.wanted
	if !removed && float64(len(ids)) < reclaimedShare*float64(len(ids)+serving) {
		return
	}
	for _, id := range ids {
		state.seenLeaving[id] = true
	}
	if removed {
		return
	}
	state.closedUntil[slot] = now.Add(slotClosedFor)
	state.lastReclaimAt, state.domainReclaimedAt[slot.FailureDomain] = now, now
	c.Log.Info("upstreams are reclaimed", "service", name, "domain", slot.FailureDomain, "upstreams", ids)
}

// dueOrder reports whether an order must be sent for a slot, and returns how many upstreams
// to order.
func (c *Controller) dueOrder(r *evaluation, slot Slot, wanted int) (int, bool) {
	last := r.state.orders[slot]
	before := r.serving[slot]
	if last != nil {
		before = last.wanted
	}
	if wanted <= before && c.RolloutRunning(r.service.Name) {
		// It is not specified whether an order counts the upstreams of both versions or of
		// one. An order for fewer, or for the same number again, might remove those that
		// serve.
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

// mayShrink returns how many upstreams of a slot are to stay, and reports whether the others
// may be removed: not if those left could not do the work, nor before fewer have been wanted
// for a while, nor reclaimable ones soon after a reclaim.
func (c *Controller) mayShrink(r *evaluation, slot Slot, before, wanted int) (int, bool) {
	since, known := r.state.lessWantedSince[slot]
	if !known {
		r.state.lessWantedSince[slot] = r.now
		since = r.now
	}
	count := c.countToKeep(r, slot, before, wanted, r.now.Sub(since))
	left := r.totalServing - max(r.serving[slot]-count, 0)
	return count, count < before && r.now.Sub(c.holderSince) >= settleDelay && float64(left) >= r.minServing
}

// countToKeep returns how many upstreams of a slot are to stay where fewer than before, the
// number ordered last, have been wanted for the time lessFor.
func (c *Controller) countToKeep(r *evaluation, slot Slot, before, wanted int, lessFor time.Duration) int {
	if !slot.Reclaimable {
		noWorkYet := r.state.workSince.IsZero()
		if noWorkYet || lessFor >= onDemandShrinkDelay {
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

// pauseReclaimableOrders closes all reclaimable slots for orderPause.
func (r *evaluation) pauseReclaimableOrders() {
	until := r.now.Add(orderPause)
	for d := range r.service.Scale.Prices {
		slot := Slot{d, true}
		if r.state.closedUntil[slot].Before(until) {
			r.state.closedUntil[slot] = until
		}
	}
}

// sendOrder sends one order and reports whether more may be sent: false if the lease is not
// held any more.
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
		c.Leases.FenceRejected(grant.Fence)
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
