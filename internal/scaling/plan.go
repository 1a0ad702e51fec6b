// Package scaling decides how many reclaimable and on-demand upstreams a service has
// in each failure domain, and orders them while this gateway holds the lease.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Slot is a kind of upstream, reclaimable or on-demand, in a failure domain.
type Slot struct {
	FailureDomain ident.FailureDomain
	Reclaimable   bool
}

// PlanInput is the input of Plan for one service.
type PlanInput struct {
	Scale *routetable.Scale
	// Need is the number of upstreams, with fractions, that are as busy with the present
	// work as they should be.
	Need float64
	// Serving counts the ready upstreams, and PendingReclaimable the reclaimable ones
	// that were ordered and may still start.
	Serving            map[Slot]int
	PendingReclaimable int
	// MissingCapacity is how many upstreams, with fractions, are missing because some of
	// the serving ones accept less work than they could do.
	MissingCapacity float64
	// DomainsAtRisk is how many domains, with fractions, are expected to be reclaimed
	// before an on-demand upstream that is ordered now has started.
	DomainsAtRisk float64
	// ClosedSlots are the slots in which no more capacity is available at the moment.
	ClosedSlots map[Slot]bool
}

const (
	// maxReserveFactor bounds reserveFactor, which would be higher, or infinite, where two
	// domains are most or all of them. Up to this factor the reserve costs less than
	// on-demand upstreams until reclaimed ones are replaced, and these cost less than the
	// work that would be lost without them.
	maxReserveFactor = 2
	// minReclaimablePerDomain is how many reclaimable upstreams a service has in each domain
	// at least, as far as the operators' maximum allows. A domain with one upstream would
	// lose it to one crash, and a service with one per domain loses half of them after two
	// reclaims.
	minReclaimablePerDomain = 2
	// maxAboveEvenShare is how many upstreams above an even share a domain may get where
	// others are closed. A domain's upstreams are reclaimed together.
	maxAboveEvenShare = 1
)

// reserveFactor returns how many reclaimable upstreams to have for each that is needed.
// Domains are reclaimed one after the other, and no capacity is available in between, so
// that the upstreams of all domains but two must meet the need.
func reserveFactor(domains int) float64 {
	const lost = 2
	if domains <= lost {
		return maxReserveFactor
	}
	return min(maxReserveFactor, float64(domains)/float64(domains-lost))
}

// Plan returns how many upstreams each slot should have. Reclaimable upstreams are
// preferred wherever they are offered, and spread evenly over the domains so that a
// reclaim takes as few as possible at once. On-demand upstreams only make up for what
// is missing for the need itself, without the reserve, and only while it is missing.
func Plan(in PlanInput) map[Slot]int {
	domains := slices.Sorted(maps.Keys(in.Scale.Prices))
	if len(domains) == 0 {
		return nil
	}
	wanted := make(map[Slot]int, 2*len(domains))
	for _, d := range domains {
		wanted[Slot{d, true}], wanted[Slot{d, false}] = 0, 0
	}
	if in.Scale.ReclaimablePrice <= 0 {
		in.fill(wanted, domains, in.atLeastOne(in.Need+in.MissingCapacity), in.Scale.MaxPerDomain, false)
		in.ensureMinimum(wanted, domains, false)
		return wanted
	}
	total := max(in.atLeastOne(reserveFactor(len(domains))*in.Need+in.MissingCapacity), min(minReclaimablePerDomain, in.Scale.MaxPerDomain)*len(domains))
	in.fill(wanted, domains, total, (total+len(domains)-1)/len(domains)+maxAboveEvenShare, true)
	in.ensureMinimum(wanted, domains, true)
	in.fill(wanted, domains, in.onDemandNeeded(), in.Scale.MaxPerDomain, false)
	return wanted
}

// atLeastOne rounds a need up to whole upstreams.
func (in PlanInput) atLeastOne(need float64) int { return max(1, int(math.Ceil(need))) }

// onDemandNeeded returns how many on-demand upstreams are needed beside the reclaimable
// ones that serve or are pending, less those of the domains at risk. No shortage is
// tolerated: on-demand upstreams take seconds to start, and of three domains the second
// is reclaimed meanwhile.
func (in PlanInput) onDemandNeeded() int {
	reclaimable := in.PendingReclaimable
	var perDomain []int
	for slot, n := range in.Serving {
		if slot.Reclaimable {
			reclaimable += n
			perDomain = append(perDomain, n)
		}
	}
	reclaimable -= int(sumOfLargest(perDomain, in.DomainsAtRisk))
	return max(0, int(math.Ceil(in.Need+in.MissingCapacity))-max(0, reclaimable))
}

// sumOfLargest adds up the count largest numbers. If count is not whole, the last one
// counts in part. It sorts numbers.
func sumOfLargest(numbers []int, count float64) float64 {
	slices.SortFunc(numbers, func(a, b int) int { return cmp.Compare(b, a) })
	sum := 0.0
	for _, n := range numbers {
		part := min(max(count, 0), 1)
		sum += part * float64(n)
		count -= part
	}
	return sum
}

// fill adds up to count upstreams of a kind to wanted, each in the open domain that has
// the fewest of the kind (the cheapest of these first), and no more than most of the kind
// in a domain.
func (in PlanInput) fill(wanted map[Slot]int, domains []ident.FailureDomain, count, most int, reclaimable bool) {
	for range count {
		open := slices.DeleteFunc(slices.Clone(domains), func(d ident.FailureDomain) bool {
			slot := Slot{d, reclaimable}
			return countInDomain(wanted, d) >= in.Scale.MaxPerDomain || wanted[slot] >= most || in.ClosedSlots[slot] && wanted[slot] >= in.Serving[slot]
		})
		if len(open) == 0 {
			return
		}
		best := slices.MinFunc(open, func(a, b ident.FailureDomain) int {
			return cmp.Or(
				cmp.Compare(wanted[Slot{a, reclaimable}], wanted[Slot{b, reclaimable}]),
				cmp.Compare(in.Scale.Prices[a], in.Scale.Prices[b]),
				cmp.Compare(a, b),
			)
		})
		wanted[Slot{best, reclaimable}]++
	}
}

func countInDomain(wanted map[Slot]int, d ident.FailureDomain) int {
	return wanted[Slot{d, true}] + wanted[Slot{d, false}]
}

// ensureMinimum brings each domain up to the operators' minimum, unless its slot is
// closed.
func (in PlanInput) ensureMinimum(wanted map[Slot]int, domains []ident.FailureDomain, reclaimable bool) {
	for _, d := range domains {
		if missing := in.Scale.MinPerDomain - countInDomain(wanted, d); missing > 0 && !in.ClosedSlots[Slot{d, reclaimable}] {
			wanted[Slot{d, reclaimable}] += missing
		}
	}
}
