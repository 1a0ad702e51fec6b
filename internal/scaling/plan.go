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

// Situation is what a plan is made from.
type Situation struct {
	Scale *routetable.Scale
	// Need is how many upstreams the present work keeps as busy as they should
	// be, as a real number.
	Need float64
	// Serving counts the ready upstreams.
	Serving map[Slot]int
	// Closed are slots in which nothing can be had at the moment.
	Closed map[Slot]bool
}

const (
	// lossReserve: so much of the need must be left when the domain with the
	// most reclaimable upstreams loses them all.
	lossReserve = 1.0
	// minimum upstreams of a service, whatever the work.
	minimum = 1
)

// Plan returns how many upstreams each slot should have. Reclaimable ones are
// preferred wherever there are any, spread evenly over the domains, so that a
// reclaim takes as few as possible at once. On-demand ones only fill what is
// missing for the need itself.
func Plan(s Situation) map[Slot]int {
	domains := slices.Sorted(maps.Keys(s.Scale.Prices))
	if len(domains) == 0 {
		return nil
	}
	wanted := make(map[Slot]int, 2*len(domains))
	for _, d := range domains {
		wanted[Slot{d, true}], wanted[Slot{d, false}] = 0, 0
	}
	total := totalFor(s.Need, len(domains))
	reclaimable := 0
	if s.Scale.ReclaimablePrice > 0 {
		reclaimable = s.fill(wanted, domains, total, true)
	}
	if need := int(math.Ceil(s.Need)); reclaimable < need || s.Scale.ReclaimablePrice <= 0 {
		short := need - reclaimable
		if s.Scale.ReclaimablePrice <= 0 {
			short = total
		}
		s.fill(wanted, domains, short, false)
	}
	s.keepLeast(wanted, domains)
	return wanted
}

// totalFor is how many upstreams, spread evenly over the domains, leave enough
// when one domain is lost.
func totalFor(need float64, domains int) int {
	total := max(minimum, int(math.Ceil(need)))
	if domains < 2 {
		return total
	}
	for float64(total)-math.Ceil(float64(total)/float64(domains)) < lossReserve*need {
		total++
	}
	return total
}

// fill adds so many upstreams of a kind, each in the domain that has the least,
// the cheapest first among equals. It returns how many found a place.
func (s Situation) fill(wanted map[Slot]int, domains []ident.FailureDomain, count int, reclaimable bool) int {
	placed := 0
	for placed < count {
		open := slices.DeleteFunc(slices.Clone(domains), func(d ident.FailureDomain) bool {
			return s.Closed[Slot{d, reclaimable}] || inDomain(wanted, d) >= s.Scale.Most
		})
		if len(open) == 0 {
			return placed
		}
		best := slices.MinFunc(open, func(a, b ident.FailureDomain) int {
			return cmp.Or(
				cmp.Compare(wanted[Slot{a, reclaimable}], wanted[Slot{b, reclaimable}]),
				cmp.Compare(s.Scale.Prices[a], s.Scale.Prices[b]),
				cmp.Compare(a, b),
			)
		})
		wanted[Slot{best, reclaimable}]++
		placed++
	}
	return placed
}

func inDomain(wanted map[Slot]int, d ident.FailureDomain) int {
	return wanted[Slot{d, true}] + wanted[Slot{d, false}]
}

// keepLeast brings each domain up to the least that the operators want there.
func (s Situation) keepLeast(wanted map[Slot]int, domains []ident.FailureDomain) {
	for _, d := range domains {
		missing := s.Scale.Least - inDomain(wanted, d)
		if missing <= 0 {
			continue
		}
		kind := s.Scale.ReclaimablePrice > 0
		wanted[Slot{d, kind}] += missing
	}
}
