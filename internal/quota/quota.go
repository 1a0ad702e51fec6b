// Package quota enforces each client account's rate limit over all gateways together.
//
// Tokens are never counted twice: each is created at one gateway and spent where it is held. Of each
// account, two gateways keep a pool each, which are refilled at most of the account's rate. With one
// pool, callers would be refused until another gateway takes over from one that was killed. The other
// gateways borrow from the pools: a loan covers the present request and, while the pool is well
// filled, those expected within a second. Besides, each gateway has a small part of its own, for small
// requests and for the time in which it can't reach a pool. The pools, all loans and all parts
// together never hold more than the limit and its tolerance allow beyond the rate. So the limit holds
// whatever the gateways do before they hear from each other.
//
// A gateway that keeps a pool but doesn't hear all others refills it only with the share of the
// gateways that it hears: the two sides of a network partition keep pools of their own.
package quota

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// StartupPeriod is the time after its start in which a gateway may know few of the others. Unless it
// knows how many there are, it admits nothing of its own and keeps no pool until then.
const StartupPeriod = time.Second

const (
	// minRetryAfter and maxRetryAfter bound the retry-after time that a refused caller is given.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minFillRate, per second, is the refill rate below which this gateway's share counts as
	// unknown, because it has only just started.
	minFillRate = 1e-6
	// startupMaxRetryAfter bounds the retry-after time of a caller that is refused within StartupPeriod:
	// after two rounds of reports the gateway knows all others.
	startupMaxRetryAfter = 300 * time.Millisecond
	// maxRefreshGap is the time without a call of ApplyReports after which this gateway was frozen, and
	// another one has kept its pools meanwhile. Reports count for no longer.
	maxRefreshGap = time.Second
	// knownPeriod is the time for which a gateway still counts after it is no longer known. A collector
	// that has just started knows few of the gateways.
	knownPeriod = 3 * time.Second
	// smallRequestBurstShare is the fraction of the burst up to which a request costs next to
	// nothing. Such a request needs only its own cost in the pool, and may use the gateway's own
	// part: otherwise it is refused because large requests emptied the pool.
	smallRequestBurstShare = 0.003
	// extraLoanSafety is how much more than its recent use a gateway borrows for the time of a loan.
	extraLoanSafety = 1.25
)

// MaxKeepers is how many gateways keep a pool of an account, all of the same size.
const MaxKeepers = 2

// Lender reaches the gateways that keep an account's pools.
type Lender interface {
	// KeeperShare returns the fraction of the account's pools that this gateway keeps, 0 if none.
	KeeperShare(account ident.ClientAccount) float64
	// Borrow asks the other gateways that keep a pool for a loan, one after the other. It returns the
	// last refusal if all refuse, and an error if none is known or answers.
	Borrow(request LoanRequest) (LoanAnswer, error)
	// GiveBack hands what this gateway no longer keeps to one that keeps a pool. It doesn't wait.
	GiveBack(account ident.ClientAccount, amount float64)
}

// BorrowFrom asks the gateways that keep a pool in turn until one grants the loan. It returns the best refusal
// if all refuse, and the first failure, or ErrNotKeeper, if none answers.
func BorrowFrom[K any](keepers []K, request LoanRequest, ask func(K, LoanRequest) (LoanAnswer, error)) (answer LoanAnswer, err error) {
	err = ErrNotKeeper
	for _, keeper := range keepers {
		a, failure := ask(keeper, request)
		// What was returned must not arrive twice.
		request.Returned = 0
		if failure != nil {
			if errors.Is(err, ErrNotKeeper) {
				err = failure
			}
			continue
		}
		answer, err = a.Sooner(answer), nil
		if a.Granted {
			break
		}
	}
	return answer, err
}

// Limiter admits or refuses requests by their accounts' limits. It is safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	// otherGateways returns the other gateways' reports on an account, with ages as of the given
	// time.
	otherGateways func(ident.ClientAccount, time.Time) OtherGateways
	// lender is nil where gateways don't lend to each other: then each keeps an even part of the
	// pool.
	lender Lender

	mu       sync.Mutex
	started  time.Time
	accounts map[ident.ClientAccount]*account
}

// NewLimiter returns a limiter that has admitted nothing. The function others returns the other
// gateways' reports on an account, as of a time.
func NewLimiter(tolerance Tolerance, others func(ident.ClientAccount, time.Time) OtherGateways, now time.Time) *Limiter {
	return &Limiter{tolerance: tolerance, otherGateways: others, started: now, accounts: make(map[ident.ClientAccount]*account)}
}

// SetLender connects the limiter with the gateways that keep the pools. Call it before Admit.
func (l *Limiter) SetLender(lender Lender) { l.lender = lender }

// Source tells which tokens decided on a request.
type Source string

// Sources of tokens.
const (
	FromLoan Source = "loan"
	FromPart Source = "part"
	FromPool Source = "pool"
	// FromRefusal: the pool refused this gateway a loan a moment ago.
	FromRefusal Source = "earlier refusal"
)

// Decision tells whether a request is admitted, and the values that decided it.
type Decision struct {
	OK bool
	// RetryAfter is the retry-after time of a refused request.
	RetryAfter time.Duration
	// Source tells whose tokens decided.
	Source Source
	// Keeper is the gateway that was asked for a loan; "" if none was.
	Keeper ident.Instance
	// Level is the content of the pool, or of this gateway's own part. Need is the content that the
	// request needs.
	Level, Need float64
	// DemandRate is the cost that callers request of all gateways per second.
	DemandRate float64
	// Heard counts the gateways that are heard and Known those that may admit requests, both with
	// this one.
	Heard, Known int
}

// Admit takes a request's cost out of this gateway's loan, part or pool or borrows it from another
// gateway that keeps a pool of the account, or refuses the request and estimates when it would be
// admitted. It may wait for the other gateways.
func (l *Limiter) Admit(limit *routetable.Account, cost float64, now time.Time) Decision {
	if limit.Rate <= 0 {
		return Decision{OK: true}
	}
	l.mu.Lock()
	a := l.account(limit, now)
	a.requestedTotal += cost
	if d, decided := l.admitLocally(a, cost, now); decided {
		l.mu.Unlock()
		return d
	}
	request := LoanRequest{Account: limit.Name, Cost: cost, Extra: a.expectedCost() + a.partDeficit(), Returned: a.giveUpLoan(now)}
	l.mu.Unlock()
	answer, err := l.lender.Borrow(request)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && !answer.Granted {
		a.refusal, a.askAgainAt = answer, now.Add(answer.AskPause)
	}
	switch {
	case a.pool.share > 0 && !answer.Granted:
		return l.admitFromOwnPool(a, LoanRequest{Cost: cost}, now)
	case err != nil:
		return l.admitFromPart(a, cost, now)
	}
	return a.applyAnswer(answer, cost, now)
}

// admitLocally decides on a request if that needs no other gateway. A gateway that keeps a pool asks
// the other keeper first while its own is not nearly full, so that the pools empty evenly: a full
// one can't be refilled.
func (l *Limiter) admitLocally(a *account, cost float64, now time.Time) (d Decision, decided bool) {
	a.fillPart(now)
	largest := a.largest.add(cost, now)
	if now.Before(a.loanExpires) && a.loan >= largest {
		a.loan -= cost
		return a.admit(cost, FromLoan), true
	}
	if cost <= a.small && a.part >= cost {
		a.part -= cost
		return a.admit(cost, FromPart), true
	}
	mayAsk := l.lender != nil && (cost <= a.small || !now.Before(a.askAgainAt))
	if a.pool.share > 0 && (!mayAsk || a.pool.level >= ownPoolLevel*a.keptPool().poolSize) {
		return l.admitFromOwnPool(a, LoanRequest{Cost: cost, Extra: a.partDeficit(), Returned: a.giveUpLoan(now)}, now), true
	}
	if !mayAsk {
		return a.refuse(a.refusal, FromRefusal), true
	}
	return Decision{}, false
}

// admitFromOwnPool decides on a request by the pool that this gateway keeps. On its side of a network
// partition that pool begins empty, so the gateway's own part serves meanwhile.
func (l *Limiter) admitFromOwnPool(a *account, r LoanRequest, now time.Time) Decision {
	answer := l.lendFrom(a, r, now)
	if !answer.Granted && a.heard < a.known && a.part >= r.Cost {
		a.part -= r.Cost
		return a.admit(r.Cost, FromPart)
	}
	return a.applyAnswer(answer, r.Cost, now)
}

// ErrNotKeeper is the error of Lend at a gateway that doesn't keep a pool of the account.
var ErrNotKeeper = errors.New("this gateway does not keep a pool of the account")

// Lend decides on another gateway's request for a loan, as a gateway that keeps a pool.
func (l *Limiter) Lend(limit *routetable.Account, r LoanRequest, now time.Time) (LoanAnswer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(limit, now)
	if a.pool.share == 0 {
		return LoanAnswer{}, ErrNotKeeper
	}
	return l.lendFrom(a, r, now), nil
}

// lendFrom decides on a loan from the pool that this gateway keeps. A gateway that stood still may have
// been replaced as a keeper, and begins with an empty pool.
func (l *Limiter) lendFrom(a *account, r LoanRequest, now time.Time) LoanAnswer {
	if now.Sub(a.refreshedAt) > maxRefreshGap {
		a.pool.empty(now)
	}
	kept := a.keptPool()
	if kept.poolRate < minFillRate {
		return LoanAnswer{Need: r.Cost, AskPause: minAskPause, RetryAfter: minRetryAfter}
	}
	answer := a.pool.lend(r, kept.poolRate, kept.poolSize, r.Cost <= a.small, now)
	if !answer.Granted {
		answer.RetryAfter = l.retryAfter(Decision{Level: answer.Level, Need: answer.Need, Heard: a.heard, Known: a.known}, kept.poolRate, now)
	}
	return answer
}

// admitFromPart decides on a request by this gateway's own part, because the gateway that keeps the
// pool can't be reached.
func (l *Limiter) admitFromPart(a *account, cost float64, now time.Time) Decision {
	a.fillPart(now)
	part := a.ownPart()
	if a.part >= cost {
		a.part -= cost
		return a.admit(cost, FromPart)
	}
	d := Decision{Source: FromPart, Level: a.part, Need: cost, DemandRate: a.totalDemand, Heard: a.heard, Known: a.known}
	// Another gateway keeps the pool within some rounds of reports.
	d.RetryAfter = min(l.retryAfter(d, part.partsRate, now), startupMaxRetryAfter)
	return d
}

// retryAfter estimates when a refused request may be admitted, from the rate at which its tokens are
// refilled.
func (l *Limiter) retryAfter(d Decision, rate float64, now time.Time) time.Duration {
	if rate < minFillRate {
		// The share of this gateway will be known after the next report.
		return minRetryAfter
	}
	longest := maxRetryAfter
	if now.Sub(l.started) < StartupPeriod && d.Heard < d.Known {
		longest = startupMaxRetryAfter
	}
	return secondsBetween((d.Need-d.Level)/rate, minRetryAfter, longest)
}

// ApplyReports applies the other gateways' reports to the accounts with the given limits. Call it
// with every round of reports.
func (l *Limiter) ApplyReports(limits []routetable.Account, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range limits {
		limit := &limits[i]
		if limit.Rate <= 0 {
			continue
		}
		a := l.account(limit, now)
		l.refresh(a, limit, now)
		if excess := a.pool.takeExcess(); excess > 0 && l.lender != nil {
			l.lender.GiveBack(limit.Name, excess)
		}
	}
}

// account returns an account's state. If the account is new to this gateway, the other gateways'
// reports on it are applied first.
func (l *Limiter) account(limit *routetable.Account, now time.Time) *account {
	a := l.accounts[limit.Name]
	if a == nil {
		a = &account{partFilledAt: l.started, demand: demandMeter{groups: make(map[string]*groupDemand)}}
		l.accounts[limit.Name] = a
		l.refresh(a, limit, now)
	}
	return a
}

// refresh applies the other gateways' reports, and the limit, which may have changed.
func (l *Limiter) refresh(a *account, limit *routetable.Account, now time.Time) {
	others := l.otherGateways(limit.Name, now)
	heard, known := others.counts()
	a.fillPart(now)
	share := l.keeperShare(limit.Name, known)
	a.pool.keep(share, a.scaled(share).poolSize, now)
	if now.Sub(a.refreshedAt) > maxRefreshGap {
		a.pool.empty(now)
	}
	if a.pool.share > 0 {
		kept := a.keptPool()
		a.pool.refill(kept.poolRate, kept.poolSize, now)
	}
	a.allotment = l.tolerance.allot(limit)
	a.small = smallRequestBurstShare * limit.Burst
	a.heard, a.known = heard, a.mostKnown.add(known, now)
	a.counted = others.Known > 0 || now.Sub(l.started) >= StartupPeriod
	a.refreshedAt = now
	a.spending.update(a.admittedTotal, now)
	a.totalDemand = a.demand.update(a.requestedTotal, others.Reports, now)
}

// keeperShare returns the fraction of an account's pools that this gateway keeps: an even part where
// gateways don't lend to each other.
func (l *Limiter) keeperShare(name ident.ClientAccount, known int) float64 {
	if l.lender == nil {
		return 1 / float64(known)
	}
	return l.lender.KeeperShare(name)
}

// Total is the cost that a gateway admitted and refused for an account since its start.
type Total struct{ Spent, Refused float64 }

// Totals returns this gateway's totals by account, without accounts that requested nothing.
func (l *Limiter) Totals() map[ident.ClientAccount]Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[ident.ClientAccount]Total, len(l.accounts))
	for name, a := range l.accounts {
		if a.requestedTotal > 0 {
			out[name] = Total{Spent: a.admittedTotal, Refused: a.requestedTotal - a.admittedTotal}
		}
	}
	return out
}
