package planner

import (
	"cmp"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// fleet counts what is there.
type fleet struct {
	// serving are the instances that get work.
	serving []Instance
	// active are those that starting, serving and pending make.
	active int
	// total is kept plus those that drain: what the maximum bounds.
	total    int
	onDemand int
	// unsettled are starting, pending or draining: while there are any, the
	// mix is not judged.
	unsettled int
	byDomain  map[ident.FailureDomain]int
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

// add counts an instance that does not serve yet.
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

// nextToDrain returns the serving instance to drain first: one of the largest
// failure domain where that is beyond its limit, then the one that costs most,
// then the one with the least work. On-demand ones stay while they are needed.
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
