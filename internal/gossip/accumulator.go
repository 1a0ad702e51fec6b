package gossip

import "github.com/goldcrestspool/goldcrestspool/internal/ident"

// accumulator adds up totals that grow, of sources that come, go and begin anew.
// What a source had reached when it was first heard is no news: it was counted before.
//
// The sum is kept up to date by what each source adds, so that reading it costs nothing for
// each source.
type accumulator struct {
	sources map[string]*sourceTotals
	sum     map[ident.ClientAccount]Spending
}

// sourceTotals are the newest totals of a source's present life.
type sourceTotals struct {
	incarnationID string
	last map[ident.ClientAccount]Spending
}

func newAccumulator() accumulator {
	return accumulator{sources: make(map[string]*sourceTotals), sum: make(map[ident.ClientAccount]Spending)}
}

// update takes in a source's totals; life tells its totals from those of an earlier life.
func (a *accumulator) update(source, life string, totals map[ident.ClientAccount]Spending) {
	s := a.sources[source]
	if s == nil {
		s = &sourceTotals{}
		a.sources[source] = s
	}
	if s.incarnationID == life {
		for account, total := range totals {
			a.sum[account] = a.sum[account].plus(total.increaseSince(s.last[account]))
		}
	}
	s.incarnationID, s.last = life, totals
}

// remove forgets a source; what it added stays, so that the sum never shrinks.
func (a *accumulator) remove(source string) { delete(a.sources, source) }

func (s Spending) plus(o Spending) Spending {
	return Spending{s.Spent + o.Spent, s.Refused + o.Refused}
}

// minus is what is left of a sum without a part of it.
func (s Spending) minus(o Spending) Spending {
	return Spending{s.Spent - o.Spent, s.Refused - o.Refused}
}

// increaseSince is how much more a total is than an earlier one; a total that fell is one that
// begins anew.
func (s Spending) increaseSince(o Spending) Spending {
	return Spending{max(0, s.Spent-o.Spent), max(0, s.Refused-o.Refused)}
}
