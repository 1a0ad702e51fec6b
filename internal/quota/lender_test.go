package quota

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// lender connects a simulated gateway with those that keep a pool: the first that are up and were
// heard lately.
type lender struct {
	f *fleet
	i int
}

func (l lender) KeeperShare(ident.ClientAccount) float64 {
	kept := l.keepers()
	if !slices.Contains(kept, l.i) {
		return 0
	}
	return 1 / float64(len(kept))
}

func (l lender) Borrow(r LoanRequest) (LoanAnswer, error) {
	return BorrowFrom(l.order(), r, func(k int, r LoanRequest) (LoanAnswer, error) { return l.ask(k, r, false) })
}

func (l lender) GiveBack(account ident.ClientAccount, amount float64) {
	// The answer only says that the tokens arrived.
	_, _ = l.Borrow(LoanRequest{Account: account, Returned: amount})
}

// ask asks a gateway, which passes the request on once if it doesn't keep a pool.
func (l lender) ask(k int, r LoanRequest, relayed bool) (LoanAnswer, error) {
	if l.f.isDown(k) || l.f.cutOff(l.i, k) {
		return LoanAnswer{}, errors.New("not reachable")
	}
	answer, err := l.f.gateways[k].limiter.Lend(&l.f.limit, r, l.f.now)
	if !errors.Is(err, ErrNotKeeper) || relayed {
		return answer, err
	}
	asked := lender{l.f, k}
	order := asked.order()
	if len(order) == 0 {
		return answer, err
	}
	return asked.ask(order[0], r, true)
}

// order returns the other gateways that keep a pool in the order in which they are asked now.
func (l lender) order() []int {
	order := slices.DeleteFunc(l.keepers(), func(k int) bool { return k == l.i })
	if l.f.asked++; l.f.asked%2 == 0 {
		slices.Reverse(order)
	}
	return order
}

// keepers returns the gateways that keep a pool, as this one sees it.
func (l lender) keepers() []int {
	var kept []int
	for j, g := range l.f.gateways {
		if len(kept) == MaxKeepers {
			break
		}
		if l.f.lends(g) && (j == l.i || l.f.hearsLately(l.i, j)) {
			kept = append(kept, j)
		}
	}
	return kept
}

// lends reports whether a gateway knows enough to keep the pool.
func (f *fleet) lends(g *gateway) bool {
	if f.collector != nil {
		return f.now.Sub(g.startedAt) >= StartupPeriod || len(f.collector.published.byGateway) > 1 || f.now.Before(f.collector.until)
	}
	return f.now.Sub(g.startedAt) >= StartupPeriod || len(g.heard) > 0
}

func (f *fleet) hearsLately(i, j int) bool {
	if f.collector != nil {
		cut := f.collector.side > 0 && f.now.Sub(f.collector.cutAt) > time.Second && f.cutOff(i, j)
		return len(f.collector.published.byGateway) > 1 && !f.now.Before(f.collector.until) && !f.isDown(j) && !cut
	}
	r, heard := f.gateways[i].heard[j]
	return heard && r.incarnation == f.gateways[j].incarnation && f.now.Sub(r.at) <= f.maxReportAge
}

// cutOff reports whether two gateways can't reach each other. In a fleet that hears of each other
// seldom they can.
func (f *fleet) cutOff(i, j int) bool { return f.maxReportAge <= time.Second && !f.hears(i, j) }
