// Package planner decides which upstreams of a service to start, to drain and to stop.
// Its plan is a pure function of the actual fleet, the document and the time, so that a
// new holder of the lease can plan from what it observes, without knowing what an earlier
// holder did.
package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Offering is a kind of instance that the cloud can start.
type Offering struct {
	FailureDomain ident.FailureDomain
	Class         ident.MachineClass
	Reclaimable   bool
}

// State is an instance's state as the planner counts it.
type State int

// The states.
const (
	// Starting instances exist but do not serve yet.
	Starting State = 1
	// Serving instances receive work.
	Serving State = 2
	// Draining instances receive no new work because the plan will stop them.
	Draining State = 3
	// Leaving instances end by themselves. The planner ignores them.
	Leaving State = 4
)

// Instance is one upstream of the service.
type Instance struct {
	ID       ident.Instance
	Offering Offering
	State    State
	// Running is how many requests it is serving.
	Running int
	// Idle is set for a draining instance that certainly has no request, neither in
	// progress nor on its way to it.
	Idle bool
}

// Pending is an instance that this holder of the lease asked the cloud to start and that
// is not listed yet.
type Pending struct {
	StartID  string
	Offering Offering
	// Answered is set when the cloud confirmed the start. Otherwise the answer was
	// lost, and the same start is requested again.
	Answered bool
}

// Failures counts the newest starts that failed in a row, and says when the last one
// did.
type Failures struct {
	Count int
	Last  time.Time
}

// Actual is the actual state of a service's fleet.
type Actual struct {
	Service   ident.Service
	Instances []Instance
	Pending   []Pending
	// Failures holds the failed starts by offering. An offering whose last start
	// succeeded is not in it.
	Failures map[Offering]Failures
	// Demand is the work, as the number of upstreams that it keeps busy: 2.5 is the work
	// of two and a half.
	Demand float64
	// Fence and StartsRequested make start IDs unique: the fencing number of the holder of
	// the lease, and how many starts it has requested.
	Fence           ident.Fence
	StartsRequested int
}

// Wanted holds the placement that the document demands, and the reclaim costs that decide
// between offerings.
type Wanted struct {
	Placement document.Placement
	Reclaims  ReclaimCosts
}

// Kind is what an action does.
type Kind string

// The kinds.
const (
	// Start asks the cloud to start an instance. A repeated Start with the same start ID
	// starts no second instance.
	Start Kind = "start"
	// Drain makes all gateways send no new work to an instance.
	Drain Kind = "drain"
	// Stop ends an instance that has drained.
	Stop Kind = "stop"
)

// Action is one step of a plan. A Start has StartID and Offering, the others have
// Instance.
type Action struct {
	Kind     Kind
	StartID  string
	Offering Offering
	Instance ident.Instance
	// Reason is a short explanation for operators.
	Reason string
}

// Plan returns the actions to take now. Planning again right after they were applied
// returns only the starts that have not been answered yet.
func Plan(actual Actual, wanted Wanted, now time.Time) []Action {
	p := newPlan(actual, wanted, now)
	p.stopIdle()
	p.repeatUnanswered()
	p.grow()
	p.shrink()
	p.rebalance()
	return p.actions
}

// plan is the state of one run of Plan.
type plan struct {
	actual Actual
	wanted Wanted
	now    time.Time
	market market
	fleet  fleet
	size   size
	starts int

	actions []Action
}

func newPlan(actual Actual, wanted Wanted, now time.Time) *plan {
	p := &plan{actual: actual, wanted: wanted, now: now, starts: actual.StartsRequested}
	p.market = newMarket(wanted, actual.Failures, now)
	p.fleet = newFleet(actual)
	p.size = newSize(wanted.Placement, actual.Demand, p.fleet, p.market)
	return p
}

// stopIdle stops the instances that have drained.
func (p *plan) stopIdle() {
	for _, instance := range p.actual.Instances {
		if instance.State == Draining && instance.Idle {
			p.actions = append(p.actions, Action{Kind: Stop, Instance: instance.ID, Reason: "drained"})
		}
	}
}

// repeatUnanswered repeats the starts whose answer was lost.
func (p *plan) repeatUnanswered() {
	for _, pending := range p.actual.Pending {
		if !pending.Answered {
			p.actions = append(p.actions, Action{
				Kind: Start, StartID: pending.StartID, Offering: pending.Offering, Reason: "answer lost",
			})
		}
	}
}

// grow starts the missing upstreams, up to the maximum.
func (p *plan) grow() {
	missing := min(p.size.growBelow-p.fleet.active, p.size.most-p.fleet.total)
	if missing <= 0 {
		return
	}
	onDemand := p.size.onDemand(p.size.growBelow) - p.fleet.onDemand
	limit := p.size.domainLimit(p.size.growBelow, len(p.market.provenDomains(p.fleet)))
	for _, offering := range p.market.choose(missing, onDemand, limit, p.fleet) {
		p.start(offering, "too few upstreams")
	}
}

// rebalance starts one instance to correct the mix of failure domains and kinds. A later
// plan drains the surplus once the new instance serves. At the maximum, one instance is
// drained first, provided that the others are enough.
func (p *plan) rebalance() {
	if len(p.actions) > 0 || p.fleet.unsettled > 0 || p.fleet.active == 0 {
		return
	}
	if offering, found := p.offeringToRetry(); found {
		p.start(offering, "see whether starts work again")
		return
	}
	offering, reason, found := p.mixCorrection()
	switch {
	case !found:
	case p.fleet.total < p.size.most:
		p.start(offering, reason)
	case len(p.fleet.serving) > p.size.least && p.makesRoomFor(reason):
		p.drainOne(reason)
	}
}

// makesRoomFor reports whether draining the next instance at the maximum improves the
// mix. If the domains above their limit have only on-demand instances that are needed,
// the next instance to drain is in another domain. A start of the cheapest kind would
// then fill its place, and the plan would drain and start that one forever.
func (p *plan) makesRoomFor(reason string) bool {
	if reason != tooManyInDomain {
		return true
	}
	next, found := p.nextToDrain()
	return found && p.fleet.byDomain[next.Offering.FailureDomain] > p.targetLimit()
}

// tooManyInDomain is the reason for a move out of a failure domain that has more
// upstreams than its limit.
const tooManyInDomain = "too many in one failure domain"

// target returns the size for which the mix is checked: the size of the fleet after the
// surplus was drained. If it were checked for the present size, the instance that corrects
// the mix could itself require another one, forever.
func (p *plan) target() int { return min(p.fleet.active, p.size.shrinkAbove) }

// targetLimit returns how many upstreams may be in one failure domain at the target size.
func (p *plan) targetLimit() int {
	return p.size.domainLimit(p.target(), len(p.market.provenDomains(p.fleet)))
}

// mixCorrection returns the offering to start to correct the mix, and the reason.
// Offerings whose last start failed are left out: instances would be drained to make room
// for them again and again.
func (p *plan) mixCorrection() (Offering, string, bool) {
	limit := p.targetLimit()
	if p.fleet.onDemand < p.size.onDemand(p.target()) {
		offering, found := p.market.cheapestProven(p.fleet, limit, true)
		if !found {
			offering, found = p.market.cheapestProven(p.fleet, p.fleet.active+1, true)
		}
		return offering, "too few on-demand", found
	}
	if p.fleet.largestDomain() > limit {
		onDemand := p.onlyNeededOnDemandAbove(limit)
		offering, found := p.market.cheapestProven(p.fleet, limit, onDemand)
		return offering, tooManyInDomain, found
	}
	return Offering{}, "", false
}

// offeringToRetry returns an offering whose back-off is over, in a failure domain that
// has no upstreams because its starts failed. Only such a start shows that the domain can
// be used again.
func (p *plan) offeringToRetry() (Offering, bool) {
	if p.fleet.total >= p.size.most {
		return Offering{}, false
	}
	proven := p.market.provenDomains(p.fleet)
	for _, offering := range p.market.startable {
		if !slices.Contains(proven, offering.FailureDomain) {
			return offering, true
		}
	}
	return Offering{}, false
}

// onlyNeededOnDemandAbove reports whether the domains above their limit have only
// on-demand instances, all of which are needed. A reclaimable instance in another domain
// could not replace any of them, and would be drained again.
func (p *plan) onlyNeededOnDemandAbove(limit int) bool {
	if p.fleet.onDemand > p.size.onDemand(p.target()) {
		return false
	}
	for _, instance := range p.fleet.serving {
		offering := instance.Offering
		if p.fleet.byDomain[offering.FailureDomain] > limit && offering.Reclaimable {
			return false
		}
	}
	return true
}

// shrink drains the surplus. It acts only while all active instances serve, and the
// size that is left is never below the minimum.
func (p *plan) shrink() {
	if len(p.actions) > 0 || p.fleet.unsettled > 0 {
		return
	}
	for p.fleet.active > p.size.shrinkAbove {
		if !p.drainOne("too many upstreams") {
			return
		}
	}
}

// drainOne drains the instance that nextToDrain returns, and reports whether there is one.
func (p *plan) drainOne(reason string) bool {
	instance, found := p.nextToDrain()
	if !found {
		return false
	}
	p.fleet.remove(instance)
	p.actions = append(p.actions, Action{Kind: Drain, Instance: instance.ID, Reason: reason})
	return true
}

func (p *plan) start(offering Offering, reason string) {
	p.starts++
	p.fleet.add(offering)
	p.actions = append(p.actions, Action{
		Kind:     Start,
		StartID:  fmt.Sprintf("%s/%d/%d", p.actual.Service, p.actual.Fence, p.starts),
		Offering: offering,
		Reason:   reason,
	})
}
