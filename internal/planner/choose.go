package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// spot is what one failure domain offers, and how much of it is chosen.
type spot struct {
	domain ident.FailureDomain
	// offers are the cheapest offering of each need.
	offers [needs]Offering
	costs  [needs]float64
	chosen [needs]int
	// room is how many more the domain may take.
	room int
}

// need is what an instance has to be.
type need int

const (
	// anyKind may be reclaimable or on-demand, whichever costs less.
	anyKind need = iota
	onDemandOnly
	needs
)

// choose returns count offerings of least expected cost, so many of them
// on-demand, and no failure domain beyond its limit with what it has already.
// Where that cannot be, the limit is raised first, and then on-demand ones are
// replaced by others: too dear or too close together is better than too few.
func (m market) choose(count, onDemand, limit int, f fleet) []Offering {
	spots := m.spots(limit, f)
	if len(spots) == 0 {
		return nil
	}
	for totalRoom(spots) < count {
		raise(spots)
	}
	onDemand = min(max(onDemand, 0), count)
	placed := place(spots, onDemandOnly, onDemand)
	if placed < onDemand {
		placed += placeBeyondLimit(spots, onDemand-placed)
	}
	for totalRoom(spots) < count-placed {
		raise(spots)
	}
	place(spots, anyKind, count-placed)
	for improve(spots) {
		continue
	}
	return list(spots)
}

// spots returns the failure domains with an offering that may be tried now.
func (m market) spots(limit int, f fleet) []spot {
	index := make(map[ident.FailureDomain]int)
	var spots []spot
	for _, offering := range m.ready {
		i, known := index[offering.FailureDomain]
		if !known {
			i = len(spots)
			index[offering.FailureDomain] = i
			spots = append(spots, newSpot(offering.FailureDomain, limit-f.byDomain[offering.FailureDomain]))
		}
		spots[i].offer(anyKind, offering, m.costs[offering])
		if !offering.Reclaimable {
			spots[i].offer(onDemandOnly, offering, m.costs[offering])
		}
	}
	slices.SortFunc(spots, func(a, b spot) int { return cmp.Compare(a.domain, b.domain) })
	return spots
}

func newSpot(domain ident.FailureDomain, room int) spot {
	return spot{domain: domain, room: max(room, 0), costs: [needs]float64{math.Inf(1), math.Inf(1)}}
}

// offer keeps the first offering of a need; they come the cheapest first.
func (s *spot) offer(n need, offering Offering, cost float64) {
	if math.IsInf(s.costs[n], 1) {
		s.offers[n], s.costs[n] = offering, cost
	}
}

func (s *spot) has(n need) bool { return !math.IsInf(s.costs[n], 1) }

func totalRoom(spots []spot) int {
	total := 0
	for _, s := range spots {
		total += s.room
	}
	return total
}

func raise(spots []spot) {
	for i := range spots {
		spots[i].room++
	}
}

// place puts count instances where they cost least, and returns for how many
// there was room.
func place(spots []spot, n need, count int) int {
	placed := 0
	for placed < count {
		i := cheapest(spots, n, func(s *spot) bool { return s.room > 0 })
		if i < 0 {
			return placed
		}
		batch := min(spots[i].room, count-placed)
		spots[i].chosen[n] += batch
		spots[i].room -= batch
		placed += batch
	}
	return placed
}

// placeBeyondLimit puts on-demand instances where they cost least: the share
// of on-demand ones is the document's word, the limit is only ours.
func placeBeyondLimit(spots []spot, count int) int {
	i := cheapest(spots, onDemandOnly, func(*spot) bool { return true })
	if i < 0 {
		return 0
	}
	spots[i].chosen[onDemandOnly] += count
	return count
}

func cheapest(spots []spot, n need, fits func(*spot) bool) int {
	best := -1
	for i := range spots {
		s := &spots[i]
		if s.has(n) && fits(s) && (best < 0 || s.costs[n] < spots[best].costs[n]) {
			best = i
		}
	}
	return best
}

// improve makes one change that lowers the cost, and reports whether there was
// one. The choice is a transportation problem with two needs: it is optimal
// when no move of one need, no exchange, and no chain of two moves helps,
// because a cycle of the residual network passes each need at most once.
func improve(spots []spot) bool {
	for n := anyKind; n < needs; n++ {
		other := needs - 1 - n
		for from := range spots {
			for over := range spots {
				if tryMove(spots, n, from, over) || tryChain(spots, n, other, from, over) {
					return true
				}
			}
		}
	}
	return false
}

// worthwhile ignores gains that are rounding errors.
const worthwhile = 1e-9

// tryMove moves instances of one need to a domain with room.
func tryMove(spots []spot, n need, from, to int) bool {
	batch := min(spots[from].chosen[n], spots[to].room)
	if from == to || batch == 0 || gain(spots, n, from, to) <= worthwhile {
		return false
	}
	move(spots, n, from, to, batch)
	return true
}

// tryChain moves instances of one need from a domain over another one, which
// passes as many of the other need on: to a third one, or back in exchange.
func tryChain(spots []spot, n, other need, from, over int) bool {
	if from == over || spots[from].chosen[n] == 0 || spots[over].chosen[other] == 0 {
		return false
	}
	first := gain(spots, n, from, over)
	for to := range spots {
		room := spots[to].room
		if to == from {
			room = spots[from].chosen[n]
		}
		batch := min(spots[from].chosen[n], spots[over].chosen[other], room)
		if to == over || batch == 0 || first+gain(spots, other, over, to) <= worthwhile {
			continue
		}
		move(spots, n, from, over, batch)
		move(spots, other, over, to, batch)
		return true
	}
	return false
}

// gain is what moving one instance saves. It is minus infinity where the
// target has no such offering.
func gain(spots []spot, n need, from, to int) float64 {
	return spots[from].costs[n] - spots[to].costs[n]
}

func move(spots []spot, n need, from, to, batch int) {
	spots[from].chosen[n] -= batch
	spots[from].room += batch
	spots[to].chosen[n] += batch
	spots[to].room -= batch
}

func list(spots []spot) []Offering {
	var offerings []Offering
	for _, s := range spots {
		for n, count := range s.chosen {
			for range count {
				offerings = append(offerings, s.offers[n])
			}
		}
	}
	return offerings
}
