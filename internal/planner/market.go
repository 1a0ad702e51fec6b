package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Reclaims is what a reclaim costs.
type Reclaims struct {
	// PerHour is how often a reclaimable instance is reclaimed. Offerings
	// that are not listed have Default.
	PerHour map[Offering]float64
	Default float64
	// Lost is the work of one upstream that a reclaim costs: the tokens that
	// others compute again, and the time until a replacement serves.
	Lost time.Duration
}

// Expected returns what an hour of useful work costs on an offering: its price
// for the hour, and for the work lost to reclaims in that hour.
func (r Reclaims) Expected(offering Offering, centsPerHour float64) float64 {
	if !offering.Reclaimable {
		return centsPerHour
	}
	rate, known := r.PerHour[offering]
	if !known {
		rate = r.Default
	}
	return centsPerHour * (1 + rate*r.Lost.Hours())
}

// Back-off of an offering whose starts fail: doubled with each failure.
const (
	initialBackOff = 5 * time.Second
	maxBackOff     = 2 * time.Minute
)

// RetryAt is when a start may be tried again.
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

// market is what can be started now, and for how much.
type market struct {
	costs    map[Offering]float64
	failures map[Offering]Failures
	// startable are the offerings that may be tried now, the cheapest first.
	startable []Offering
}

func newMarket(wanted Wanted, failures map[Offering]Failures, now time.Time) market {
	m := market{costs: make(map[Offering]float64), failures: failures}
	for _, price := range wanted.Placement.Prices {
		offering := Offering{FailureDomain: price.FailureDomain, Class: price.Class, Reclaimable: price.Reclaimable}
		m.costs[offering] = wanted.Reclaims.Expected(offering, price.CentsPerHour)
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

// cost of an offering; one without a price counts as free, so that it is
// drained last: nobody said that it is dear.
func (m market) cost(offering Offering) float64 { return m.costs[offering] }

// provenDomains have upstreams, or an offering whose last start worked.
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

func (m market) lastStartSucceeded(offering Offering) bool { return m.failures[offering].Count == 0 }

// cheapestProven returns the cheapest offering, on-demand or any, in a failure
// domain below its limit whose last start worked.
func (m market) cheapestProven(f fleet, limit int, onDemand bool) (Offering, bool) {
	for _, offering := range m.startable {
		fits := f.byDomain[offering.FailureDomain] < limit
		if fits && m.lastStartSucceeded(offering) && (!onDemand || !offering.Reclaimable) {
			return offering, true
		}
	}
	return Offering{}, false
}
