package retryslack_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lending"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/retryslack"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// reportInterval is how often gateways apply what they hear from each other.
	reportInterval = 6 * playStep
	// keeperStart is the time for which a gateway lends nothing after its start if others lend.
	keeperStart = 2 * time.Second
)

var errNotReached = errors.New("not reached")

// playedFleet is what the gateways of a play have in common.
type playedFleet struct {
	play  *play
	limit routetable.Account
	// names are the gateways' names, and index their numbers.
	names []ident.Instance
	index map[ident.Instance]int
	// keepers are the gateways that keep the pools, by the side of a cut, as of the last two reports: the
	// views of gateways differ for a moment.
	keepers [2][2][]gossip.Contact
	steps   int
	turn    int
}

// playedProcess is one process of a gateway.
type playedProcess struct {
	budget  *retry.FleetBudget
	limiter *quota.Limiter
}

func newPlayedFleet(p *play) *playedFleet {
	return &playedFleet{play: p, limit: retryslack.Limit(playConfig, playService), index: make(map[ident.Instance]int)}
}

func (f *playedFleet) start(i int) *playedProcess {
	if i == len(f.names) {
		f.names = append(f.names, ident.Instance(fmt.Sprint("gw", i)))
		f.index[f.names[i]] = i
	}
	p := &playedProcess{limiter: quota.NewLimiter(retryslack.Tolerance(playConfig), func(ident.ClientAccount, time.Time) quota.OtherGateways { return f.others(i) }, f.play.now)}
	p.limiter.SetLender(playedLender{f, i})
	p.budget = retry.NewFleetBudget(playConfig, retryslack.Slack{Config: playConfig, Limiter: p.limiter})
	return p
}

// others returns what a gateway knows of the others: their number from its first reports on.
func (f *playedFleet) others(i int) quota.OtherGateways {
	heard := f.play.heardBy(i)
	if heard == 0 && f.play.now.Sub(f.play.gateways[i].startedAt) < quota.StartupPeriod {
		return quota.OtherGateways{}
	}
	return quota.OtherGateways{Known: len(f.play.gateways) - 1, Reports: []quota.Report{{Name: "all", Gateways: heard}}}
}

// refresh lets the gateways hear from each other.
func (f *playedFleet) refresh() {
	if f.steps++; f.steps%int(reportInterval/playStep) != 0 {
		return
	}
	f.keepers[1] = f.keepers[0]
	f.keepers[0][0] = f.chooseKeepers(0)
	f.keepers[0][1] = f.keepers[0][0]
	if f.play.cut {
		f.keepers[0][1] = f.chooseKeepers(1)
	}
	for i := range f.play.gateways {
		if f.play.runs(i) {
			f.play.gateways[i].limiter.ApplyReports([]routetable.Account{f.limit}, f.play.now)
		}
	}
}

// chooseKeepers returns the keepers among the gateways on one side of a cut. While none has run for long
// enough, those that have counted the others lend.
func (f *playedFleet) chooseKeepers(side int) []gossip.Contact {
	for _, age := range []time.Duration{keeperStart, quota.StartupPeriod} {
		var lend []gossip.Contact
		for i, g := range f.play.gateways {
			if f.play.runs(i) && f.play.now.Sub(g.startedAt) >= age && (!f.play.cut || side == sideOf(i)) {
				lend = append(lend, gossip.Contact{Node: f.names[i]})
			}
		}
		if len(lend) > 0 {
			return lending.NewKeepers(lend).Of(f.limit.Name)
		}
	}
	return nil
}

// playedLender implements quota.Lender for one gateway.
type playedLender struct {
	f *playedFleet
	i int
}

func (l playedLender) keepers() []gossip.Contact { return l.f.keepers[l.i%2][sideOf(l.i)] }

func (l playedLender) KeeperShare(ident.ClientAccount) float64 {
	keepers := l.keepers()
	if !slices.ContainsFunc(keepers, func(c gossip.Contact) bool { return c.Node == l.f.names[l.i] }) {
		return 0
	}
	return 1 / float64(len(keepers))
}

func (l playedLender) Borrow(r quota.LoanRequest) (quota.LoanAnswer, error) {
	order := slices.Clone(l.keepers())
	if l.f.turn++; l.f.turn%2 == 0 {
		slices.Reverse(order)
	}
	return quota.BorrowFrom(order, r, l.ask)
}

func (l playedLender) ask(keeper gossip.Contact, r quota.LoanRequest) (quota.LoanAnswer, error) {
	k := l.f.index[keeper.Node]
	if k == l.i || !l.f.play.runs(k) || !l.f.play.hears(l.i, k) {
		return quota.LoanAnswer{}, errNotReached
	}
	return l.f.play.gateways[k].limiter.Lend(&l.f.limit, r, l.f.play.now)
}

func (l playedLender) GiveBack(account ident.ClientAccount, amount float64) {
	// The answer only says that the attempts arrived.
	_, _ = l.Borrow(quota.LoanRequest{Account: account, Returned: amount})
}
