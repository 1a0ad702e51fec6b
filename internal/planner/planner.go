// Package planner decides which upstreams of a service to start, to drain and
// to stop. It is a pure function of what is there, what the document wants and
// the time: a new lease holder calls it with what it finds and needs to know
// nothing of what an earlier holder did.
package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Offering is a kind of instance that can be started.
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
	// Serving instances get work.
	Serving State = 2
	// Draining instances get no new work because the plan will stop them.
	Draining State = 3
	// Leaving instances end by themselves; they count for nothing.
	Leaving State = 4
)

// Instance is one upstream of the service.
type Instance struct {
	ID       ident.Instance
	Offering Offering
	State    State
	// Running is how many requests it serves.
	Running int
	// Idle: it drains, and certainly has no request in progress nor on the
	// way to it.
	Idle bool
}

// Pending is an instance that this holder asked for and that is not listed
// yet.
type Pending struct {
	StartID  string
	Offering Offering
	// Answered: the cloud said that it started. Otherwise the answer was
	// lost, and the same start is asked for again.
	Answered bool
}

// Failures are the latest starts that failed in a row.
type Failures struct {
	Count int
	Last  time.Time
}

// Actual is what is there.
type Actual struct {
	Service   ident.Service
	Instances []Instance
	Pending   []Pending
	// Failures by offering; an offering whose last start worked has none.
	Failures map[Offering]Failures
	// Demand is the work in upstreams: 2.5 keeps two and a half busy.
	Demand float64
	// Holder and Starts make start IDs: the holder's fencing number, and
	// how many starts it has asked for.
	Holder ident.Fence
	Starts int
}

// Wanted is what the document asks for, with what decides between offerings.
type Wanted struct {
	Placement document.Placement
	Reclaims  Reclaims
}

// Kind is what an action does.
type Kind string

// The kinds.
const (
	// Start asks the cloud for an instance. A repeat with the same start ID
	// starts nothing new.
	Start Kind = "start"
	// Drain tells all gateways to send no new work to an instance.
	Drain Kind = "drain"
	// Stop ends an instance that has drained.
	Stop Kind = "stop"
)

// Action is one thing to do. Start has StartID and Offering, the others have
// Instance.
type Action struct {
	Kind     Kind
	StartID  string
	Offering Offering
	Instance ident.Instance
	// Reason tells operators why.
	Reason string
}

// Plan returns what to do now. Applying it and planning again at once gives
// only what is not answered yet.
func Plan(actual Actual, wanted Wanted, now time.Time) []Action {
	p := newPlan(actual, wanted, now)
	p.stopIdle()
	p.repeatUnanswered()
	p.grow()
	p.shrink()
	p.rebalance()
	return p.actions
}

// plan is one run of Plan.
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
	p := &plan{actual: actual, wanted: wanted, now: now, starts: actual.Starts}
	p.market = newMarket(wanted, actual.Failures, now)
	p.fleet = newFleet(actual)
	p.size = newSize(wanted.Placement, actual.Demand, p.fleet, p.market)
	return p
}

// stopIdle stops what has drained.
func (p *plan) stopIdle() {
	for _, instance := range p.actual.Instances {
		if instance.State == Draining && instance.Idle {
			p.actions = append(p.actions, Action{Kind: Stop, Instance: instance.ID, Reason: "drained"})
		}
	}
}

// repeatUnanswered asks again for starts whose answer was lost.
func (p *plan) repeatUnanswered() {
	for _, pending := range p.actual.Pending {
		if !pending.Answered {
			p.actions = append(p.actions, Action{
				Kind: Start, StartID: pending.StartID, Offering: pending.Offering, Reason: "answer lost",
			})
		}
	}
}

// grow starts what is missing, never beyond the maximum.
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

// rebalance starts one instance that mends the mix. What is too much after it
// is drained by a later plan, once the new one serves. At the maximum it makes
// room first, if the others are enough.
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

// makesRoomFor reports whether draining the next instance at the maximum
// brings the mix nearer to what is wanted. Where the domains beyond their limit
// hold only on-demand instances that are needed, the next one to drain stands
// elsewhere; the room is then filled by a start of the cheapest kind, and the
// plan would drain and start that one for ever.
func (p *plan) makesRoomFor(reason string) bool {
	if reason != tooManyInDomain {
		return true
	}
	next, found := p.nextToDrain()
	return found && p.fleet.byDomain[next.Offering.FailureDomain] > p.targetLimit()
}

// tooManyInDomain is the reason of a move out of a failure domain that holds
// more than its limit.
const tooManyInDomain = "too many in one failure domain"

// target is the size that the mix is judged at: the one that the fleet has
// once what is too much was drained. Judged at the present size, the instance
// that mends the mix could itself call for another one, for ever.
func (p *plan) target() int { return min(p.fleet.active, p.size.shrinkAbove) }

// targetLimit is how many may stand in one failure domain at the target size.
func (p *plan) targetLimit() int {
	return p.size.domainLimit(p.target(), len(p.market.provenDomains(p.fleet)))
}

// mixCorrection returns what to start to mend the mix. Offerings whose last start
// failed do not count: waiting for them would make room again and again.
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

// offeringToRetry returns an offering whose back-off is over, in a failure domain
// that has no upstreams because its starts failed. Nothing else would show
// that it can be counted with again.
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

// onlyNeededOnDemandAbove reports whether the domains beyond their limit have
// only on-demand instances, none of which can be missed. A reclaimable one
// elsewhere would not replace any of them, and be drained again.
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

// shrink drains what is too much. All that is kept serves then, and the size
// is never below the minimum.
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

// drainOne drains the instance that comes first, see nextToDrain.
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
		StartID:  fmt.Sprintf("%s/%d/%d", p.actual.Service, p.actual.Holder, p.starts),
		Offering: offering,
		Reason:   reason,
	})
}
