package gossip

import "github.com/goldcrestspool/goldcrestspool/internal/ident"

// accumulator adds up totals that only grow, from sources that come, go and restart from zero.
// The totals in a source's first update are not added, because they were counted before.
//
// The sum is updated by each source's increase, so that reading it takes the same time however
// many sources there are.
type accumulator struct {
	sources map[string]*sourceTotals
	sum     map[ident.ClientAccount]Spending
}

// sourceTotals are the newest totals of a source's present incarnation.
type sourceTotals struct {
	incarnationID string
	last          map[ident.ClientAccount]Spending
}

func newAccumulator() accumulator {
	return accumulator{sources: make(map[string]*sourceTotals), sum: make(map[ident.ClientAccount]Spending)}
}

// update applies a source's totals. incarnationID tells whether they continue the totals of
// the last update or began anew.
func (a *accumulator) update(source, incarnationID string, totals map[ident.ClientAccount]Spending) {
	s := a.sources[source]
	if s == nil {
		s = &sourceTotals{}
		a.sources[source] = s
	}
	if s.incarnationID == incarnationID {
		for account, total := range totals {
			a.sum[account] = a.sum[account].plus(total.increaseSince(s.last[account]))
		}
	}
	s.incarnationID, s.last = incarnationID, totals
}

// remove forgets a source. What it added stays in the sum, so that the sum never shrinks.
func (a *accumulator) remove(source string) { delete(a.sources, source) }

func (s Spending) plus(o Spending) Spending {
	return Spending{s.Spent + o.Spent, s.Refused + o.Refused}
}

// minus returns what remains of a sum after o, which is part of it, is subtracted.
func (s Spending) minus(o Spending) Spending {
	return Spending{s.Spent - o.Spent, s.Refused - o.Refused}
}

// increaseSince returns how much a total has grown since an earlier one. A total that fell has
// begun anew and counts as no increase.
func (s Spending) increaseSince(o Spending) Spending {
	return Spending{max(0, s.Spent-o.Spent), max(0, s.Refused-o.Refused)}
}
