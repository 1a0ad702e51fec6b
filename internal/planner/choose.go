package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// domainChoice holds what one failure domain offers, and how many instances are chosen
// in it.
type domainChoice struct {
	domain ident.FailureDomain
	// offers holds the cheapest offering for each need, and costs its cost; infinite if
	// there is none.
	offers [needCount]Offering
	costs  [needCount]float64
	chosen [needCount]int
	// room is how many more instances may be chosen in the domain.
	room int
}

// need says which kind of instance is required.
type need int

const (
	// anyKind is a reclaimable or on-demand instance, whichever costs less.
	anyKind need = iota
	// onDemandOnly is an on-demand instance.
	onDemandOnly
	needCount
)

// choose returns the count offerings of least expected cost of which onDemand are
// on-demand, with at most limit upstreams in each failure domain, including those that
// it has already. Where that is impossible, the limit is raised first, and then other
// offerings replace on-demand ones: too expensive or too many in one domain is better
// than too few.
func (m market) choose(count, onDemand, limit int, f fleet) []Offering {
	choices := m.domainChoices(limit, f)
	if len(choices) == 0 {
		return nil
	}
	for totalRoom(choices) < count {
		raiseLimits(choices)
	}
	onDemand = min(max(onDemand, 0), count)
	placed := place(choices, onDemandOnly, onDemand)
	if placed < onDemand {
		placed += placeBeyondLimit(choices, onDemand-placed)
	}
	for totalRoom(choices) < count-placed {
		raiseLimits(choices)
	}
	place(choices, anyKind, count-placed)
	for improve(choices) {
		continue
	}
	return chosenOfferings(choices)
}

// domainChoices returns the failure domains with an offering that may be tried now.
func (m market) domainChoices(limit int, f fleet) []domainChoice {
	index := make(map[ident.FailureDomain]int)
	var choices []domainChoice
	for _, offering := range m.startable {
		i, known := index[offering.FailureDomain]
		if !known {
			i = len(choices)
			index[offering.FailureDomain] = i
			choices = append(choices, newDomainChoice(offering.FailureDomain, limit-f.byDomain[offering.FailureDomain]))
		}
		choices[i].offer(anyKind, offering, m.costs[offering])
		if !offering.Reclaimable {
			choices[i].offer(onDemandOnly, offering, m.costs[offering])
		}
	}
	slices.SortFunc(choices, func(a, b domainChoice) int { return cmp.Compare(a.domain, b.domain) })
	return choices
}

func newDomainChoice(domain ident.FailureDomain, room int) domainChoice {
	return domainChoice{domain: domain, room: max(room, 0), costs: [needCount]float64{math.Inf(1), math.Inf(1)}}
}

// offer records the first offering for a need. The caller gives the cheapest first.
func (d *domainChoice) offer(n need, offering Offering, cost float64) {
	if math.IsInf(d.costs[n], 1) {
		d.offers[n], d.costs[n] = offering, cost
	}
}

func (d *domainChoice) has(n need) bool { return !math.IsInf(d.costs[n], 1) }

func totalRoom(choices []domainChoice) int {
	total := 0
	for _, d := range choices {
		total += d.room
	}
	return total
}

// raiseLimits allows one more instance in each failure domain.
func raiseLimits(choices []domainChoice) {
	for i := range choices {
		choices[i].room++
	}
}

// place chooses count instances in the domains where they cost least, and returns for
// how many there was room.
func place(choices []domainChoice, n need, count int) int {
	placed := 0
	for placed < count {
		i := cheapest(choices, n, func(d *domainChoice) bool { return d.room > 0 })
		if i < 0 {
			return placed
		}
		batch := min(choices[i].room, count-placed)
		choices[i].chosen[n] += batch
		choices[i].room -= batch
		placed += batch
	}
	return placed
}

// placeBeyondLimit chooses on-demand instances in the domain where they cost least,
// above its limit: the document demands the on-demand share, while the limit is only
// the planner's own. It returns how many were chosen.
func placeBeyondLimit(choices []domainChoice, count int) int {
	i := cheapest(choices, onDemandOnly, func(*domainChoice) bool { return true })
	if i < 0 {
		return 0
	}
	choices[i].chosen[onDemandOnly] += count
	return count
}

// cheapest returns the index of the choice that fits and costs least for a need; -1 if
// there is none.
func cheapest(choices []domainChoice, n need, fits func(*domainChoice) bool) int {
	best := -1
	for i := range choices {
		d := &choices[i]
		if d.has(n) && fits(d) && (best < 0 || d.costs[n] < choices[best].costs[n]) {
			best = i
		}
	}
	return best
}

// improve makes one change that lowers the cost, and reports whether it found one. The
// choice is a transportation problem with two needs. It is optimal when no move of one
// need, no exchange and no chain of two moves lowers the cost, because a cycle of the
// residual network passes through each need at most once.
func improve(choices []domainChoice) bool {
	for n := anyKind; n < needCount; n++ {
		other := needCount - 1 - n
		for from := range choices {
			for via := range choices {
				if tryMove(choices, n, from, via) || tryChain(choices, n, other, from, via) {
					return true
				}
			}
		}
	}
	return false
}

// minGain is the smallest gain that is no rounding error.
const minGain = 1e-9

// tryMove moves as many instances of one need as fit to another domain, if that lowers the
// cost.
func tryMove(choices []domainChoice, n need, from, to int) bool {
	batch := min(choices[from].chosen[n], choices[to].room)
	if from == to || batch == 0 || gain(choices, n, from, to) <= minGain {
		return false
	}
	move(choices, n, from, to, batch)
	return true
}

// tryChain moves instances of one need to the domain via, and as many of the other need
// from there to a third domain or back in exchange, if that lowers the cost.
func tryChain(choices []domainChoice, n, other need, from, via int) bool {
	if from == via || choices[from].chosen[n] == 0 || choices[via].chosen[other] == 0 {
		return false
	}
	first := gain(choices, n, from, via)
	for to := range choices {
		room := choices[to].room
		if to == from {
			room = choices[from].chosen[n]
		}
		batch := min(choices[from].chosen[n], choices[via].chosen[other], room)
		if to == via || batch == 0 || first+gain(choices, other, via, to) <= minGain {
			continue
		}
		move(choices, n, from, via, batch)
		move(choices, other, via, to, batch)
		return true
	}
	return false
}

// gain returns how much cost moving one instance saves; minus infinity if the target has
// no offering for the need.
func gain(choices []domainChoice, n need, from, to int) float64 {
	return choices[from].costs[n] - choices[to].costs[n]
}

func move(choices []domainChoice, n need, from, to, batch int) {
	choices[from].chosen[n] -= batch
	choices[from].room += batch
	choices[to].chosen[n] += batch
	choices[to].room -= batch
}

func chosenOfferings(choices []domainChoice) []Offering {
	var offerings []Offering
	for _, d := range choices {
		for n, count := range d.chosen {
			for range count {
				offerings = append(offerings, d.offers[n])
			}
		}
	}
	return offerings
}
