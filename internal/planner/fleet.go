package planner

import (
	"cmp"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// fleet counts the upstreams of a service, as far as the plan has changed them.
type fleet struct {
	// serving are the instances that receive work.
	serving []Instance
	// active counts the starting, serving and pending instances.
	active int
	// total counts the active and the draining instances, which the maximum bounds.
	total int
	// onDemand counts the active on-demand instances.
	onDemand int
	// unsettled counts the starting, pending and draining instances. The plan neither
	// shrinks nor rebalances a fleet that has any.
	unsettled int
	// byDomain counts the active instances by failure domain.
	byDomain map[ident.FailureDomain]int
}

func newFleet(actual Actual) fleet {
	f := fleet{byDomain: make(map[ident.FailureDomain]int)}
	for _, instance := range actual.Instances {
		switch instance.State {
		case Starting:
			f.add(instance.Offering)
		case Serving:
			f.add(instance.Offering)
			f.unsettled--
			f.serving = append(f.serving, instance)
		case Draining:
			f.total++
			f.unsettled++
		}
	}
	for _, pending := range actual.Pending {
		f.add(pending.Offering)
	}
	return f
}

// add counts an instance of an offering that does not serve yet.
func (f *fleet) add(offering Offering) {
	f.active++
	f.total++
	f.unsettled++
	f.byDomain[offering.FailureDomain]++
	if !offering.Reclaimable {
		f.onDemand++
	}
}

// remove counts a serving instance as draining.
func (f *fleet) remove(instance Instance) {
	f.active--
	f.byDomain[instance.Offering.FailureDomain]--
	if !instance.Offering.Reclaimable {
		f.onDemand--
	}
	f.serving = slices.DeleteFunc(f.serving, func(i Instance) bool { return i.ID == instance.ID })
}

func (f *fleet) largestDomain() int {
	largest := 0
	for _, count := range f.byDomain {
		largest = max(largest, count)
	}
	return largest
}

// nextToDrain returns the serving instance to drain first, if there is one: of the
// failure domain that is furthest above its limit, then the one that costs most, then
// the one with the fewest running requests. On-demand instances are left out while the
// share of on-demand ones needs them.
func (p *plan) nextToDrain() (Instance, bool) {
	limit := p.targetLimit()
	needOnDemand := p.fleet.onDemand <= p.size.onDemand(p.target())
	var candidates []Instance
	for _, instance := range p.fleet.serving {
		if instance.Offering.Reclaimable || !needOnDemand {
			candidates = append(candidates, instance)
		}
	}
	if len(candidates) == 0 {
		return Instance{}, false
	}
	excess := func(i Instance) int { return max(0, p.fleet.byDomain[i.Offering.FailureDomain]-limit) }
	return slices.MinFunc(candidates, func(a, b Instance) int {
		return cmp.Or(
			cmp.Compare(excess(b), excess(a)),
			cmp.Compare(p.market.cost(b.Offering), p.market.cost(a.Offering)),
			cmp.Compare(a.Running, b.Running),
			cmp.Compare(a.ID, b.ID),
		)
	}), true
}
