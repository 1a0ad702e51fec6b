package quota

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// loanDuration is how long a gateway may spend a loan.
	loanDuration = time.Second
	// lendingLevel is the fraction of the pool below which gateways are lent only what the present
	// request needs.
	lendingLevel = 0.5
	// ownPoolLevel is the fraction of the pool below which its keeper asks the other one first.
	ownPoolLevel = 0.75
	// maxExtraShare bounds a loan beyond the present request, as a fraction of the pool.
	maxExtraShare = 0.1
	// largestCostWindow is the time over which the largest cost is remembered.
	largestCostWindow = 10 * time.Second
	// pressureTime is how long after a refused loan small requests need as much in the pool as large
	// ones.
	pressureTime = 2 * time.Second
	// maxCommonNeed bounds what every request needs in the pool, as a fraction of it. If a request is as
	// large as the pool, the others would wait until the pool is full.
	maxCommonNeed = 0.5
	// minAskPause and maxAskPause bound the time for which a gateway that was refused a loan doesn't
	// ask again.
	minAskPause, maxAskPause = 5 * time.Millisecond, 250 * time.Millisecond
)

// LoanRequest asks a gateway that keeps a pool of an account for a loan.
type LoanRequest struct {
	Account ident.ClientAccount
	// Cost is what the present request costs.
	Cost float64
	// Extra is what the gateway expects to admit within loanDuration beyond that.
	Extra float64
	// Returned is what the gateway gives back of an earlier loan.
	Returned float64
}

// LoanAnswer answers a LoanRequest.
type LoanAnswer struct {
	// Granted is set if the request's cost was lent. Extra was lent beyond that.
	Granted bool
	Extra   float64
	// AskPause is the time for which a gateway that was refused must not ask again. RetryAfter is the
	// retry-after time of the request's caller.
	AskPause, RetryAfter time.Duration
	// Keeper is the gateway that was asked; "" if it is this one.
	Keeper ident.Instance
	// Level and Need are the content of the pool and the content that the request needed.
	Level, Need float64
}

// Sooner returns which of two answers grants the loan or else allows to ask again sooner. The zero value
// stands for no answer.
func (a LoanAnswer) Sooner(other LoanAnswer) LoanAnswer {
	if a.Granted || other == (LoanAnswer{}) || a.AskPause < other.AskPause {
		return a
	}
	return other
}

// pool is the tokens of an account that this gateway keeps for all gateways. Only the gateway that
// keeps a pool refills it, and one that takes over starts with an empty one, so that no tokens are
// given twice.
type pool struct {
	// share is the fraction of the account's pools that this gateway keeps, 0 if none.
	share float64
	// excess is what it no longer may keep since the share was lowered, for another keeper.
	excess float64
	// level is what may be lent. filledAt is the time up to which it was refilled.
	level    float64
	filledAt time.Time
	loans    loanBook
	// largest is the largest cost that was requested lately. Every request needs that much in the
	// pool. If a request only needed its own cost, the small ones of an account at its limit would
	// leave nothing for the large ones.
	largest windowMax
	// refusedAt is when a loan was last refused.
	refusedAt time.Time
}

// keep records the fraction of the account's pools that this gateway keeps. size is what that fraction
// may hold.
func (p *pool) keep(share, size float64, now time.Time) {
	if p.share == 0 {
		p.empty(now)
	}
	if share < p.share {
		p.excess = max(0, p.level-size)
		p.level -= p.excess
	}
	p.share = share
}

// takeExcess returns what another gateway is to keep, which this one then no longer has.
func (p *pool) takeExcess() float64 {
	excess := p.excess
	p.excess = 0
	return excess
}

// empty gives up what the pool holds.
func (p *pool) empty(now time.Time) {
	p.level = 0
	passed(&p.filledAt, now)
}

// refill refills the pool up to now. size is reduced by the loans that may still be unspent.
func (p *pool) refill(rate, size float64, now time.Time) {
	p.level = min(p.level+rate*passed(&p.filledAt, now), size-p.loans.unspent(now))
}

// passed returns the seconds from an instant to now and moves the instant there, never back: requests
// are admitted in another order than that of their times.
func passed(since *time.Time, now time.Time) float64 {
	elapsed := now.Sub(*since)
	if elapsed <= 0 {
		return 0
	}
	*since = now
	return elapsed.Seconds()
}

// lend decides on a loan. small requests need only their own cost in the pool.
func (p *pool) lend(r LoanRequest, rate, size float64, small bool, now time.Time) LoanAnswer {
	p.level += r.Returned
	p.loans.giveBack(r.Returned)
	p.refill(rate, size, now)
	largest := p.largest.add(r.Cost, now)
	a := LoanAnswer{Level: p.level, Need: r.Cost}
	if !small && now.Sub(p.refusedAt) < pressureTime {
		a.Need = max(r.Cost, min(largest, maxCommonNeed*size))
	}
	// A request that is larger than the pool is admitted when the pool is full.
	a.Need = min(a.Need, size)
	if p.level < a.Need {
		p.refusedAt = now
		a.AskPause = secondsBetween((a.Need-p.level)/rate, minAskPause, maxAskPause)
		return a
	}
	a.Granted = true
	p.level -= r.Cost
	a.Extra = max(0, min(r.Extra, maxExtraShare*size, p.level-lendingLevel*size))
	p.level -= a.Extra
	p.loans.add(a.Extra, now)
	return a
}

// secondsBetween converts seconds to a time.Duration between two bounds. The bounds are applied in
// seconds, because at a small rate the time overflows a time.Duration.
func secondsBetween(seconds float64, least, most time.Duration) time.Duration {
	return time.Duration(min(max(seconds, least.Seconds()), most.Seconds()) * float64(time.Second))
}

// loanBook adds up the loans that may still be unspent.
type loanBook struct {
	loans []loan
	sum   float64
}

type loan struct {
	amount  float64
	expires time.Time
}

func (b *loanBook) add(amount float64, now time.Time) {
	if amount > 0 {
		b.loans = append(b.loans, loan{amount, now.Add(loanDuration)})
		b.sum += amount
	}
}

// giveBack removes an amount that was returned from the loans that expire first.
func (b *loanBook) giveBack(amount float64) {
	for i := range b.loans {
		back := min(amount, b.loans[i].amount)
		b.loans[i].amount -= back
		b.sum -= back
		amount -= back
	}
}

func (b *loanBook) unspent(now time.Time) float64 {
	expired := 0
	for expired < len(b.loans) && !now.Before(b.loans[expired].expires) {
		b.sum -= b.loans[expired].amount
		expired++
	}
	b.loans = b.loans[expired:]
	if len(b.loans) == 0 {
		b.loans, b.sum = nil, 0
	}
	return b.sum
}

// windowMax is the largest value within the last one to two largestCostWindows. A value that decayed
// would be below the largest cost most of the time, and the large requests would need more than the
// others.
type windowMax struct {
	current, previous float64
	since             time.Time
}

func (m *windowMax) add(v float64, now time.Time) float64 {
	if now.Sub(m.since) >= largestCostWindow {
		m.previous, m.current, m.since = m.current, 0, now
	}
	m.current = max(m.current, v)
	return m.value()
}

func (m *windowMax) value() float64 { return max(m.current, m.previous) }
