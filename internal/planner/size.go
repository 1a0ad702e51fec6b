package planner

import (
	"math"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
)

// The size of a service stays as it is while its upstreams are busy for a share of their
// time between these thresholds. Above growThreshold the service grows, below
// shrinkThreshold it shrinks. The gap keeps small changes of the demand from moving the
// size to and fro.
const (
	growThreshold   = 0.8
	shrinkThreshold = 0.6
)

// maxDomainShare is the largest share of a service's upstreams in one failure domain, so
// that the loss of one domain never takes most of the capacity, however cheap it is.
const maxDomainShare = 0.5

// size says how many upstreams a service should have.
type size struct {
	// least and most are the document's bounds.
	least, most int
	// With fewer than growBelow upstreams, more are started; with more than shrinkAbove,
	// some are drained.
	growBelow, shrinkAbove int
	onDemandShare          float64
}

// newSize computes the size from the demand, the document's bounds, and the rule that
// the minimum must be left after the loss of a whole failure domain.
//
// Failure domains whose last starts failed do not count. If they counted whenever
// their back-off is over, each retry would change the size that the other domains have
// to provide, and the fleet would grow and shrink forever.
func newSize(p document.Placement, demand float64, f fleet, m market) size {
	s := size{least: max(p.Min, 0), most: max(p.Max, p.Min), onDemandShare: p.OnDemandShare}
	survive := sizeToSurvive(s.least, len(m.provenDomains(f)))
	up := max(survive, int(math.Ceil(demand/growThreshold)))
	down := max(up, int(math.Ceil(demand/shrinkThreshold)))
	s.growBelow = min(up, s.most)
	s.shrinkAbove = min(down, s.most)
	return s
}

// sizeToSurvive returns the smallest number of upstreams that, spread evenly over a
// number of failure domains, leaves least of them when one domain is lost.
func sizeToSurvive(least, domains int) int {
	if domains < 2 {
		return least
	}
	n := least
	for n-ceilDiv(n, domains) < least {
		n++
	}
	return n
}

// onDemand returns how many of n upstreams must be on-demand ones.
func (s size) onDemand(n int) int {
	return int(math.Ceil(s.onDemandShare*float64(n) - roundingError))
}

// roundingError is subtracted so that 0.1 times 10 does not count as more than 1.
const roundingError = 1e-9

// domainLimit returns how many of n upstreams may be in one failure domain: at most
// maxDomainShare of them, and so few that the rest is at least the minimum, but never
// fewer than an even spread needs.
func (s size) domainLimit(n, domains int) int {
	if domains < 2 {
		return n
	}
	even := ceilDiv(n, domains)
	share := int(maxDomainShare * float64(n))
	return max(even, min(share, n-s.least))
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
