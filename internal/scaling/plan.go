// Package scaling decides how many upstreams of each kind a service has in each
// failure domain, and orders them while this gateway holds the lease.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Slot is a kind of upstream in a failure domain.
type Slot struct {
	FailureDomain ident.FailureDomain
	Reclaimable   bool
}

// PlanInput is what a plan is made from.
type PlanInput struct {
	Scale *routetable.Scale
	// Need is how many upstreams the present work keeps as busy as they should
	// be, as a real number.
	Need float64
	// Serving counts the ready upstreams, and Coming the reclaimable ones that
	// were ordered and can still be on their way.
	Serving            map[Slot]int
	PendingReclaimable int
	// MissingCapacity is how many of the serving upstreams are missing because some take less than
	// they could serve, as a real number.
	MissingCapacity float64
	// DomainsAtRisk is how many domains are expected to be reclaimed before an on-demand upstream
	// that is ordered now has started.
	DomainsAtRisk float64
	// ClosedSlots are slots in which nothing more can be had at the moment.
	ClosedSlots map[Slot]bool
}

const (
	// maxReserveFactor bounds the reserve of reclaimable upstreams over the need, where two
	// domains are most of all there are. The reserve costs less than on-demand upstreams
	// in the gap, and these less than the work that would be lost in it.
	maxReserveFactor = 2
	// minReclaimablePerDomain reclaimable upstreams of a service in each domain, as far as the
	// operators allow it: a domain's single upstream would be lost to one crash,
	// and a service at one a domain is half gone after two reclaims.
	minReclaimablePerDomain = 2
	// maxAboveEvenShare is how many more than an even part a domain may get where others are
	// closed: what stands in one domain is reclaimed together.
	maxAboveEvenShare = 1
)

// reserveFactor is how many reclaimable upstreams there are for each that is needed. Reclaims
// come one domain after the other, with nothing to be had in between: without two of them
// the others carry the need.
func reserveFactor(domains int) float64 {
	const lost = 2
	if domains <= lost {
		return maxReserveFactor
	}
	return min(maxReserveFactor, float64(domains)/float64(domains-lost))
}

// Plan returns how many upstreams each slot should have. Reclaimable ones are
// preferred wherever there are any, spread evenly over the domains, so that a
// reclaim takes as few as possible at once. On-demand ones only fill what is
// missing for the need itself, for as long as it is missing.
func Plan(s PlanInput) map[Slot]int {
	domains := slices.Sorted(maps.Keys(s.Scale.Prices))
	if len(domains) == 0 {
		return nil
	}
	wanted := make(map[Slot]int, 2*len(domains))
	for _, d := range domains {
		wanted[Slot{d, true}], wanted[Slot{d, false}] = 0, 0
	}
	if s.Scale.ReclaimablePrice <= 0 {
		s.fill(wanted, domains, s.atLeastOne(s.Need+s.MissingCapacity), s.Scale.Most, false)
		s.ensureMinimum(wanted, domains, false)
		return wanted
	}
	total := max(s.atLeastOne(reserveFactor(len(domains))*s.Need+s.MissingCapacity), min(minReclaimablePerDomain, s.Scale.Most)*len(domains))
	s.fill(wanted, domains, total, (total+len(domains)-1)/len(domains)+maxAboveEvenShare, true)
	s.ensureMinimum(wanted, domains, true)
	s.fill(wanted, domains, s.onDemandNeeded(), s.Scale.Most, false)
	return wanted
}

func (s PlanInput) atLeastOne(need float64) int { return max(1, int(math.Ceil(need))) }

// onDemandNeeded is how many on-demand upstreams are needed beside the reclaimable ones
// that are there or on their way. What goes wrong if some shortage is put up with: they
// take seconds to start, and of three domains the second is reclaimed meanwhile.
func (s PlanInput) onDemandNeeded() int {
	there := s.PendingReclaimable
	var domains []int
	for slot, n := range s.Serving {
		if slot.Reclaimable {
			there += n
			domains = append(domains, n)
		}
	}
	there -= int(sumOfLargest(domains, s.DomainsAtRisk))
	return max(0, int(math.Ceil(s.Need+s.MissingCapacity))-max(0, there))
}

// sumOfLargest adds up so many of the largest numbers, the last of them in part.
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

// fill adds so many upstreams of a kind, each in the domain that has the least,
// the cheapest first among equals, and at most so many of the kind in a domain.
func (s PlanInput) fill(wanted map[Slot]int, domains []ident.FailureDomain, count, most int, reclaimable bool) {
	for range count {
		open := slices.DeleteFunc(slices.Clone(domains), func(d ident.FailureDomain) bool {
			slot := Slot{d, reclaimable}
			return countInDomain(wanted, d) >= s.Scale.Most || wanted[slot] >= most || s.ClosedSlots[slot] && wanted[slot] >= s.Serving[slot]
		})
		if len(open) == 0 {
			return
		}
		best := slices.MinFunc(open, func(a, b ident.FailureDomain) int {
			return cmp.Or(
				cmp.Compare(wanted[Slot{a, reclaimable}], wanted[Slot{b, reclaimable}]),
				cmp.Compare(s.Scale.Prices[a], s.Scale.Prices[b]),
				cmp.Compare(a, b),
			)
		})
		wanted[Slot{best, reclaimable}]++
	}
}

func countInDomain(wanted map[Slot]int, d ident.FailureDomain) int {
	return wanted[Slot{d, true}] + wanted[Slot{d, false}]
}

// ensureMinimum brings each domain up to the least that the operators want there, as
// far as anything can be had.
func (s PlanInput) ensureMinimum(wanted map[Slot]int, domains []ident.FailureDomain, reclaimable bool) {
	for _, d := range domains {
		if missing := s.Scale.Least - countInDomain(wanted, d); missing > 0 && !s.ClosedSlots[Slot{d, reclaimable}] {
			wanted[Slot{d, reclaimable}] += missing
		}
	}
}
