package quota

import "time"

// account is an account's state at this gateway.
type account struct {
	allotment
	// small is the cost up to which a request counts as small.
	small float64
	// heard and known count gateways as of the reports applied last; known is the largest of
	// mostKnown. counted is set if known can be relied on.
	heard, known int
	mostKnown    recentMax
	counted      bool
	// part is this gateway's own part, filled up to partFilledAt.
	part         float64
	partFilledAt time.Time
	// loan may be spent until loanExpires.
	loan        float64
	loanExpires time.Time
	// largest is the largest cost that was requested here lately. A loan must cover it, whatever the
	// present request costs: what is left over would serve only the small ones.
	largest windowMax
	pool    pool
	// refusal is the answer to the last loan that was refused. This gateway doesn't ask again until
	// askAgainAt.
	refusal    LoanAnswer
	askAgainAt time.Time
	// admittedTotal and requestedTotal are the costs that this gateway admitted and was asked for
	// since its start.
	admittedTotal, requestedTotal float64
	spending                      rateMeter
	demand                        demandMeter
	totalDemand                   float64
	refreshedAt                   time.Time
}

// giveUpLoan returns what is left of the loan, which this gateway then no longer has.
func (a *account) giveUpLoan(now time.Time) float64 {
	left := a.loan
	a.loan = 0
	if !now.Before(a.loanExpires) {
		return 0
	}
	return left
}

// expectedCost returns what this gateway expects to admit within the time of a loan, beyond the
// present request. It is 0 where that is less than one large request: the loan would be left over.
func (a *account) expectedCost() float64 {
	expected := extraLoanSafety * a.spending.rate * loanDuration.Seconds()
	if expected < a.largest.value() {
		return 0
	}
	return expected
}

// keptPool returns the part of the allotment that the pool at this gateway has.
func (a *account) keptPool() allotment {
	if !a.counted {
		return allotment{}
	}
	return a.scaled(a.pool.share * float64(a.heard) / float64(a.known))
}

// applyAnswer admits or refuses a request by the answer of the gateway that keeps the pool.
func (a *account) applyAnswer(answer LoanAnswer, cost float64, now time.Time) Decision {
	if !answer.Granted {
		return a.refuse(answer, FromPool)
	}
	toPart := min(answer.Extra, a.partDeficit())
	a.part += toPart
	if loan := answer.Extra - toPart; loan > 0 {
		// A loan that another request brought meanwhile is given up: it expires sooner.
		a.loan, a.loanExpires = loan, now.Add(loanDuration)
	}
	d := a.admit(cost, FromPool)
	d.Keeper, d.Level, d.Need = answer.Keeper, answer.Level, answer.Need
	return d
}

func (a *account) admit(cost float64, source Source) Decision {
	a.admittedTotal += cost
	return Decision{OK: true, Source: source, Level: a.part, Need: cost, DemandRate: a.totalDemand, Heard: a.heard, Known: a.known}
}

func (a *account) refuse(answer LoanAnswer, source Source) Decision {
	return Decision{RetryAfter: max(answer.RetryAfter, minRetryAfter), Source: source, Keeper: answer.Keeper, Level: answer.Level, Need: answer.Need, DemandRate: a.totalDemand, Heard: a.heard, Known: a.known}
}

// ownPart returns this gateway's own part of the allotment.
func (a *account) ownPart() allotment {
	if !a.counted {
		return allotment{}
	}
	return a.scaled(1 / float64(a.known))
}

// partDeficit returns what this gateway's own part lacks. Loans fill it up, because its own refill takes
// minutes.
func (a *account) partDeficit() float64 { return max(0, a.ownPart().partsSize-a.part) }

// fillPart refills this gateway's own part up to now.
func (a *account) fillPart(now time.Time) {
	part := a.ownPart()
	a.part = min(a.part+part.partsRate*passed(&a.partFilledAt, now), part.partsSize)
}
