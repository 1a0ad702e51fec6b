package gossip

import "github.com/goldcrestspool/goldcrestspool/internal/ident"

// accumulator adds up totals that grow, of sources that come, go and begin anew.
// What a source had reached when it was first heard is no news: it was counted before.
//
// The sum is kept up to date by what each source adds, so that reading it costs nothing for
// each source.
type accumulator struct {
	sources map[string]*accumulated
	sum     map[ident.ClientAccount]Spending
}

// accumulated are the newest totals of a source's present life.
type accumulated struct {
	life string
	last map[ident.ClientAccount]Spending
}

func newAccumulator() accumulator {
	return accumulator{sources: make(map[string]*accumulated), sum: make(map[ident.ClientAccount]Spending)}
}

// take takes in a source's totals; life tells its totals from those of an earlier life.
func (a *accumulator) take(source, life string, totals map[ident.ClientAccount]Spending) {
	s := a.sources[source]
	if s == nil {
		s = &accumulated{}
		a.sources[source] = s
	}
	if s.life == life {
		for account, total := range totals {
			a.sum[account] = a.sum[account].plus(total.grownFrom(s.last[account]))
		}
	}
	s.life, s.last = life, totals
}

// forget forgets a source; what it added stays, so that the sum never shrinks.
func (a *accumulator) forget(source string) { delete(a.sources, source) }

func (s Spending) plus(o Spending) Spending {
	return Spending{s.Spent + o.Spent, s.Refused + o.Refused}
}

// minus is what is left of a sum without a part of it.
func (s Spending) minus(o Spending) Spending {
	return Spending{s.Spent - o.Spent, s.Refused - o.Refused}
}

// grownFrom is how much more a total is than an earlier one; a total that fell is one that
// begins anew.
func (s Spending) grownFrom(o Spending) Spending {
	return Spending{max(0, s.Spent-o.Spent), max(0, s.Refused-o.Refused)}
}
