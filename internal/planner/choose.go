package planner

import (
	"cmp"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// domainChoice is what one failure domain offers, and how much of it is chosen.
type domainChoice struct {
	domain ident.FailureDomain
	// offers are the cheapest offering of each need.
	offers [needCount]Offering
	costs  [needCount]float64
	chosen [needCount]int
	// room is how many more the domain may take.
	room int
}

// need is what an instance has to be.
type need int

const (
	// anyKind may be reclaimable or on-demand, whichever costs less.
	anyKind need = iota
	onDemandOnly
	needCount
)

// choose returns count offerings of least expected cost, so many of them
// on-demand, and no failure domain beyond its limit with what it has already.
// Where that cannot be, the limit is raised first, and then on-demand ones are
// replaced by others: too dear or too close together is better than too few.
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

// offer keeps the first offering of a need; they come the cheapest first.
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

func raiseLimits(choices []domainChoice) {
	for i := range choices {
		choices[i].room++
	}
}

// place puts count instances where they cost least, and returns for how many
// there was room.
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

// placeBeyondLimit puts on-demand instances where they cost least: the share
// of on-demand ones is the document's word, the limit is only ours.
func placeBeyondLimit(choices []domainChoice, count int) int {
	i := cheapest(choices, onDemandOnly, func(*domainChoice) bool { return true })
	if i < 0 {
		return 0
	}
	choices[i].chosen[onDemandOnly] += count
	return count
}

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

// improve makes one change that lowers the cost, and reports whether there was
// one. The choice is a transportation problem with two needs: it is optimal
// when no move of one need, no exchange, and no chain of two moves helps,
// because a cycle of the residual network passes each need at most once.
func improve(choices []domainChoice) bool {
	for n := anyKind; n < needCount; n++ {
		other := needCount - 1 - n
		for from := range choices {
			for over := range choices {
				if tryMove(choices, n, from, over) || tryChain(choices, n, other, from, over) {
					return true
				}
			}
		}
	}
	return false
}

// minGain ignores gains that are rounding errors.
const minGain = 1e-9

// tryMove moves instances of one need to a domain with room.
func tryMove(choices []domainChoice, n need, from, to int) bool {
	batch := min(choices[from].chosen[n], choices[to].room)
	if from == to || batch == 0 || gain(choices, n, from, to) <= minGain {
		return false
	}
	move(choices, n, from, to, batch)
	return true
}

// tryChain moves instances of one need from a domain over another one, which
// passes as many of the other need on: to a third one, or back in exchange.
func tryChain(choices []domainChoice, n, other need, from, over int) bool {
	if from == over || choices[from].chosen[n] == 0 || choices[over].chosen[other] == 0 {
		return false
	}
	first := gain(choices, n, from, over)
	for to := range choices {
		room := choices[to].room
		if to == from {
			room = choices[from].chosen[n]
		}
		batch := min(choices[from].chosen[n], choices[over].chosen[other], room)
		if to == over || batch == 0 || first+gain(choices, other, over, to) <= minGain {
			continue
		}
		move(choices, n, from, over, batch)
		move(choices, other, over, to, batch)
		return true
	}
	return false
}

// gain is what moving one instance saves. It is minus infinity where the
// target has no such offering.
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
