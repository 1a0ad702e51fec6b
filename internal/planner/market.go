package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// ReclaimCosts says how often instances are reclaimed and how much work that costs.
type ReclaimCosts struct {
	// PerHour is how often a reclaimable instance is reclaimed in an hour. Offerings
	// that are not listed have the rate DefaultPerHour.
	PerHour        map[Offering]float64
	DefaultPerHour float64
	// LostWork is the working time of one upstream that a reclaim costs: for the tokens that
	// others compute again, and until a replacement serves.
	LostWork time.Duration
}

// ExpectedCost returns what an hour of useful work costs on an offering, in cents: the
// price of the hour and that of the work that is lost to reclaims in it.
func (r ReclaimCosts) ExpectedCost(offering Offering, centsPerHour float64) float64 {
	if !offering.Reclaimable {
		return centsPerHour
	}
	rate, known := r.PerHour[offering]
	if !known {
		rate = r.DefaultPerHour
	}
	return centsPerHour * (1 + rate*r.LostWork.Hours())
}

// An offering whose starts fail is retried after a back-off that doubles with each
// failure in a row, between these bounds.
const (
	initialBackOff = 5 * time.Second
	maxBackOff     = 2 * time.Minute
)

// RetryAt returns when a start may be tried again; zero if at once.
func (f Failures) RetryAt() time.Time {
	if f.Count == 0 {
		return time.Time{}
	}
	wait := initialBackOff
	for i := 1; i < f.Count && wait < maxBackOff; i++ {
		wait *= 2
	}
	return f.Last.Add(min(wait, maxBackOff))
}

// market holds the offerings that can be started now, and their costs.
type market struct {
	// costs are the expected cents for an hour of useful work.
	costs    map[Offering]float64
	failures map[Offering]Failures
	// startable are the offerings whose back-off is over, the cheapest first.
	startable []Offering
}

func newMarket(wanted Wanted, failures map[Offering]Failures, now time.Time) market {
	m := market{costs: make(map[Offering]float64), failures: failures}
	for _, price := range wanted.Placement.Prices {
		offering := Offering{FailureDomain: price.FailureDomain, Class: price.Class, Reclaimable: price.Reclaimable}
		m.costs[offering] = wanted.Reclaims.ExpectedCost(offering, price.CentsPerHour)
		if !now.Before(failures[offering].RetryAt()) {
			m.startable = append(m.startable, offering)
		}
	}
	slices.SortFunc(m.startable, func(a, b Offering) int {
		return cmp.Or(cmp.Compare(m.costs[a], m.costs[b]), compareOfferings(a, b))
	})
	return m
}

func compareOfferings(a, b Offering) int {
	return cmp.Or(
		cmp.Compare(a.FailureDomain, b.FailureDomain),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(boolToInt(a.Reclaimable), boolToInt(b.Reclaimable)),
	)
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// cost returns the expected cost of an offering. One without a price counts as free,
// so that it is drained last: nothing shows that it is expensive.
func (m market) cost(offering Offering) float64 { return m.costs[offering] }

// provenDomains returns the failure domains that have active upstreams, or an offering
// whose last start did not fail.
func (m market) provenDomains(f fleet) []ident.FailureDomain {
	domains := make(map[ident.FailureDomain]bool)
	for domain, count := range f.byDomain {
		if count > 0 {
			domains[domain] = true
		}
	}
	for _, offering := range m.startable {
		if m.lastStartSucceeded(offering) {
			domains[offering.FailureDomain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}

// lastStartSucceeded reports whether the latest start of an offering did not fail. It is
// also true of one that was never tried.
func (m market) lastStartSucceeded(offering Offering) bool { return m.failures[offering].Count == 0 }

// cheapestProven returns the cheapest offering whose last start succeeded, in a failure
// domain with fewer upstreams than limit; with onDemand set, only of on-demand ones.
func (m market) cheapestProven(f fleet, limit int, onDemand bool) (Offering, bool) {
	for _, offering := range m.startable {
		fits := f.byDomain[offering.FailureDomain] < limit
		if fits && m.lastStartSucceeded(offering) && (!onDemand || !offering.Reclaimable) {
			return offering, true
		}
	}
	return Offering{}, false
}
