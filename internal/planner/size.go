package planner

import (
	"math"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
)

// The shares of an upstream's capacity between which the size is left alone.
// Above the first the service grows, below the second it shrinks. The gap
// keeps a steady demand from moving the size to and fro.
const (
	growThreshold   = 0.8
	shrinkThreshold = 0.6
)

// maxDomainShare of a service may stand in one failure domain, so that the loss
// of one never takes most of the capacity, however cheap it is.
const maxDomainShare = 0.5

// size says how many upstreams a service should have.
type size struct {
	least, most int
	// grow: start more below this number. shrink: drain above this one.
	growBelow, shrinkAbove int
	onDemandShare          float64
}

// newSize decides by demand, by the document's bounds, and by the loss of a
// whole failure domain, after which the minimum shall still stand.
//
// Failure domains that refused their last start do not count. If they counted
// whenever their back-off is over, each try would change the size that the
// others have to make up for, and the fleet would grow and shrink for ever.
func newSize(p document.Placement, demand float64, f fleet, m market) size {
	s := size{least: max(p.Min, 0), most: max(p.Max, p.Min), onDemandShare: p.OnDemandShare}
	survive := sizeToSurvive(s.least, len(m.provenDomains(f)))
	up := max(survive, int(math.Ceil(demand/growThreshold)))
	down := max(up, int(math.Ceil(demand/shrinkThreshold)))
	s.growBelow = min(up, s.most)
	s.shrinkAbove = min(down, s.most)
	return s
}

// sizeToSurvive is the smallest size, spread evenly over a number of failure
// domains, that leaves least upstreams when one of them is lost.
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

// onDemand is how many of n upstreams must be on-demand ones.
func (s size) onDemand(n int) int {
	return int(math.Ceil(s.onDemandShare*float64(n) - roundingError))
}

// roundingError keeps 0.1 times 10 from counting as more than 1.
const roundingError = 1e-9

// domainLimit is how many of n upstreams may stand in one failure domain: so
// many that the rest is the minimum, and never less than an even spread needs.
func (s size) domainLimit(n, domains int) int {
	if domains < 2 {
		return n
	}
	even := ceilDiv(n, domains)
	share := int(maxDomainShare * float64(n))
	return max(even, min(share, n-s.least))
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }
