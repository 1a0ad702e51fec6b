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
	// shrinkAfter is for how long less must be wanted before upstreams are given
	// up: as long as a wave of the users' traffic takes from its middle to its
	// top, so that what is given up is not wanted back at once.
	shrinkAfter = 8 * time.Second
	// closedFor is for how long a slot counts as closed after an order was
	// turned down or its upstreams were reclaimed.
	closedFor = 4 * time.Second
	// pauseFor is for how long nothing else is ordered after an order was turned
	// down: mostly nothing is to be had anywhere then, and what is missing here
	// must not be heaped up elsewhere.
	pauseFor = time.Second
	// shortFor is for how long less must be wanted before on-demand upstreams are
	// given up: a step of the need to and fro costs a start of 4 s.
	shortFor = 3 * time.Second
	// showSlack is how much longer than their start new upstreams may take to
	// be listed before the order is repeated.
	showSlack = 3 * time.Second
	// leastWork is the need above which a service counts as used.
	leastWork = 0.1
	// watchFor is for how long work is watched before the number of upstreams
	// follows it: the averages take some seconds to fill.
	watchFor = 6 * time.Second
	// leastWatch is after how much of watchFor the averages show more than two thirds of
	// the work.
	leastWatch = 3 * time.Second
	// surplus is how many times what is wanted are more upstreams than the users' traffic
	// asks for again within a wave or a burst, and surplusFor for how long they must have
	// been too many before those beyond it are given up. What goes wrong without it: a
	// fleet that starts with thirty times what its first callers need pays for all of it
	// for as long as a small system waits for a wave to come back.
	surplus    = 3
	surplusFor = 2 * time.Second
	// calmAfter is for how long after a reclaim nothing is given up: the next
	// domain's reclaim mostly follows within that time, and nothing can be had
	// then.
	calmAfter = 15 * time.Second
	// riskFor is for how long after a reclaim the next domain's is expected before
	// reclaimable upstreams can be had again and have started.
	riskFor = 8 * time.Second
	// nextReclaim is how many domains are expected to follow a first reclaim: mostly the
	// next one does.
	nextReclaim = 0.7
	// noticeFor is how much longer than its start an upstream takes until it has work: the
	// order, its entry and the gateways' views.
	noticeFor = 1500 * time.Millisecond
	// leastPace keeps domains that go together from counting as all of them.
	leastPace = time.Second
	// reclaimedPart of a domain's reclaimable upstreams leave together only where the
	// domain is reclaimed: planned work takes them in turn.
	reclaimedPart = 2.0 / 3
	// settleAfter is how long a new holder watches before it orders less than
	// there is.
	settleAfter = 3 * time.Second
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

	fence    ident.Fence
	since    time.Time
	services map[ident.Service]*service
}

// service is what a holder remembers of one service.
type service struct {
	// orders are the newest ones, by slot.
	orders map[Slot]*order
	closed map[Slot]time.Time
	// less is since when less than ordered was wanted, by slot.
	less map[Slot]time.Time
	// leaving are upstreams whose reclaim was seen.
	leaving map[ident.Instance]bool
	// found is how many upstreams served when this holder began, and workSince
	// when it first saw work: until it has watched the work for a while, it
	// keeps that number.
	found     int
	workSince time.Time
	// reclaimed is when the newest reclaim, or an order that was turned down,
	// was seen.
	reclaimed time.Time
	// reclaims are when domains were seen to be reclaimed.
	reclaims map[ident.FailureDomain]time.Time
}

// atRisk is how many domains are expected to be reclaimed before an upstream that is
// ordered now has started: as many as the pace of the last reclaims gives. What goes wrong
// if only the next one is expected: where they go faster than on-demand upstreams start,
// what is ordered is always one domain behind.
func (s *service) atRisk(startup time.Duration, now time.Time) float64 {
	if s.reclaimed.IsZero() || now.Sub(s.reclaimed) >= riskFor {
		return 0
	}
	var lately []time.Time
	for _, at := range s.reclaims {
		if now.Sub(at) < calmAfter {
			lately = append(lately, at)
		}
	}
	if len(lately) < 2 {
		return nextReclaim
	}
	slices.SortFunc(lately, time.Time.Compare)
	pace := lately[len(lately)-1].Sub(lately[0]) / time.Duration(len(lately)-1)
	return max(nextReclaim, (startup+noticeFor).Seconds()/max(pace, leastPace).Seconds())
}

type order struct {
	wanted int
	// answered: the platform took it.
	answered bool
	at       time.Time
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
		c.fence, c.since, c.services = grant.Fence, now, make(map[ident.Service]*service)
	}
	for i := range table.Services() {
		if s := &table.Services()[i]; s.Scale != nil {
			c.step(ctx, s, now)
		}
	}
}

func (c *Controller) step(ctx context.Context, s *routetable.Service, now time.Time) {
	state := c.services[s.Name]
	if state == nil {
		state = &service{orders: make(map[Slot]*order), closed: make(map[Slot]time.Time), less: make(map[Slot]time.Time), leaving: make(map[ident.Instance]bool), reclaims: make(map[ident.FailureDomain]time.Time)}
		c.services[s.Name] = state
	}
	serving := c.count(s.Name, state, now)
	need, keep := c.watched(state, c.Need(s), len(s.Scale.Prices), serving, now)
	closed := make(map[Slot]bool)
	for slot, until := range state.closed {
		closed[slot] = now.Before(until)
	}
	r := &round{service: s, state: state, serving: serving, need: need, keep: keep, now: now}
	for _, n := range serving {
		r.total += n
	}
	wanted := Plan(Situation{Scale: s.Scale, Need: need, Serving: serving, Coming: coming(s, state, serving, now), Closed: closed, Lacking: c.lacking(s.Name), AtRisk: state.atRisk(s.Scale.Startup, now)})
	for _, n := range wanted {
		r.wanted += n
	}
	for _, slot := range inOrder(wanted) {
		count, due := c.due(r, slot, wanted[slot])
		if closed[slot] || !due {
			continue
		}
		if !c.send(ctx, r, slot, count) {
			return
		}
		r.total -= max(0, serving[slot]-count)
	}
}

// round is one look at a service.
type round struct {
	service *routetable.Service
	state   *service
	serving map[Slot]int
	// total serve, and wanted are planned; keep must not be given up.
	total, wanted int
	// need is that of the present work.
	need, keep float64
	now        time.Time
}

// inOrder returns slots in a fixed order, so that two holders act alike.
func inOrder(wanted map[Slot]int) []Slot {
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

// watched returns the need, and how many upstreams must not be given up. Both are
// unknown until some work was seen: a system that was just started, or changed its
// holder, keeps what serves.
func (c *Controller) watched(state *service, need float64, domains int, serving map[Slot]int, now time.Time) (wanted, keep float64) {
	found := 0
	for slot, n := range serving {
		// What this holder ordered, to replace what it found, must not count.
		if state.orders[slot] == nil {
			found += n
		}
	}
	state.found = max(state.found, found)
	if state.workSince.IsZero() && need > leastWork {
		state.workSince = now
	}
	if !state.workSince.IsZero() && now.Sub(state.workSince) >= watchFor {
		return need, need
	}
	keep = float64(state.found)
	if !state.workSince.IsZero() && now.Sub(state.workSince) >= leastWatch {
		keep = min(keep, surplus*need)
	}
	return max(need, keep/reserve(domains)), max(need, keep)
}

// coming is how many reclaimable upstreams were ordered and may still start: not those of
// a domain that was reclaimed since.
func coming(s *routetable.Service, state *service, serving map[Slot]int, now time.Time) int {
	sum := 0
	for slot, o := range state.orders {
		if slot.Reclaimable && o.answered && o.at.After(state.reclaims[slot.FailureDomain]) && now.Sub(o.at) < s.Scale.Startup+showSlack {
			sum += max(0, o.wanted-serving[slot])
		}
	}
	return sum
}

// lacking is how many upstreams are missing because serving ones take less than they could.
// What goes wrong without it: an upstream in need counts as one that serves, the others
// carry its work, and the reserve for the next reclaim is gone.
func (c *Controller) lacking(name ident.Service) float64 {
	sum := 0.0
	for _, u := range c.View().Of(name) {
		if u.State == directory.Ready && c.Serves(&u) {
			sum += c.Lacking(u.ID)
		}
	}
	return sum
}

// count counts the ready upstreams, and closes slots whose upstreams are being
// reclaimed: most reclaimable ones of a domain begin to leave at once, and nobody gave
// them up. Not all of them have to: one that has crashed never says that it leaves. Their
// entries do not say why they leave. What goes wrong if a reclaim is not noticed: within
// two seconds of it the reserve in the other domains is given up, the next domain is
// reclaimed, and a fifth of the engines is left until on-demand ones have started.
func (c *Controller) count(name ident.Service, state *service, now time.Time) map[Slot]int {
	serving, leaving := make(map[Slot]int), make(map[Slot][]ident.Instance)
	for _, u := range c.View().Of(name) {
		if !c.Serves(&u) {
			continue
		}
		slot := Slot{u.FailureDomain, u.Reclaimable}
		switch {
		case u.State == directory.Ready:
			serving[slot]++
		case u.Reclaimable && !state.leaving[u.ID]:
			leaving[slot] = append(leaving[slot], u.ID)
		}
	}
	for slot, ids := range leaving {
		c.noteLeaving(name, state, slot, ids, serving[slot], now)
	}
	return serving
}

// noteLeaving notes upstreams of a slot that began to leave, beside so many that serve: they
// were given up, or leave in turn, or their domain is reclaimed.
func (c *Controller) noteLeaving(name ident.Service, state *service, slot Slot, ids []ident.Instance, serving int, now time.Time) {
	last := state.orders[slot]
	given := last != nil && serving >= last.wanted
	if !given && float64(len(ids)) < reclaimedPart*float64(len(ids)+serving) {
		return
	}
	for _, id := range ids {
		state.leaving[id] = true
	}
	if given {
		return
	}
	state.closed[slot] = now.Add(closedFor)
	state.reclaimed, state.reclaims[slot.FailureDomain] = now, now
	c.Log.Info("upstreams are reclaimed", "service", name, "domain", slot.FailureDomain, "upstreams", ids)
}

// due reports whether an order must be sent for a slot, and for how many.
func (c *Controller) due(r *round, slot Slot, wanted int) (int, bool) {
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
	delete(r.state.less, slot)
	if wanted > before {
		return wanted, true
	}
	if last == nil {
		return 0, false
	}
	missing := r.serving[slot] != wanted && r.now.Sub(last.at) > r.service.Scale.Startup+showSlack
	return wanted, !last.answered || missing
}

// mayShrink reports whether upstreams of a slot may be given up, and how many are to stay:
// not as long as the others could not carry the work, nor reclaimable ones before less was
// wanted for a while, or soon after a reclaim.
func (c *Controller) mayShrink(r *round, slot Slot, before, wanted int) (int, bool) {
	since, waiting := r.state.less[slot]
	if !waiting {
		r.state.less[slot] = r.now
		since = r.now
	}
	count := c.staying(r, slot, before, wanted, r.now.Sub(since))
	left := r.total - max(r.serving[slot]-count, 0)
	return count, count < before && r.now.Sub(c.since) >= settleAfter && float64(left) >= r.keep
}

// staying is how many upstreams of a slot are to stay where less than before has been wanted
// for so long; before itself for all of them.
func (c *Controller) staying(r *round, slot Slot, before, wanted int, lessFor time.Duration) int {
	if !slot.Reclaimable {
		replaced := r.state.workSince.IsZero()
		if replaced || lessFor >= shortFor {
			return wanted
		}
		return before
	}
	calm := r.state.reclaimed.IsZero() || r.now.Sub(r.state.reclaimed) >= calmAfter
	switch {
	case !calm:
		return before
	case lessFor >= shrinkAfter:
		return wanted
	case lessFor >= surplusFor && r.total > surplus*r.wanted:
		return min(before, surplus*wanted)
	}
	return before
}

// pauseOthers closes all reclaimable slots for a moment.
func (r *round) pauseOthers() {
	until := r.now.Add(pauseFor)
	for d := range r.service.Scale.Prices {
		slot := Slot{d, true}
		if r.state.closed[slot].Before(until) {
			r.state.closed[slot] = until
		}
	}
}

// send sends one order and reports whether to go on.
func (c *Controller) send(ctx context.Context, r *round, slot Slot, wanted int) bool {
	grant, holds := c.Leases.Grant()
	if !holds || grant.Fence != c.fence {
		return false
	}
	err := c.Duties.Scale(ctx, grant.Authority, platform.ScaleOrder{
		Service: r.service.Name, FailureDomain: slot.FailureDomain, Reclaimable: slot.Reclaimable, Wanted: wanted,
	})
	c.Log.Info("upstreams ordered", "service", r.service.Name, "domain", slot.FailureDomain, "reclaimable", slot.Reclaimable,
		"wanted", wanted, "serving", r.serving[slot], "need", r.need, "fence", grant.Fence, "error", err)
	delete(r.state.less, slot)
	switch {
	case errors.Is(err, platform.ErrOldFence):
		c.Leases.Refused(grant.Fence)
		return false
	case errors.Is(err, platform.ErrNoCapacity):
		r.state.closed[slot] = r.now.Add(closedFor)
		r.state.reclaimed = r.now
		r.pauseOthers()
	default:
		r.state.orders[slot] = &order{wanted: wanted, answered: err == nil, at: r.now}
	}
	return true
}
