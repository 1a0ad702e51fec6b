package gate

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/fairshare"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/retryafter"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

const (
	// retryReserveShare is the part of the first-token target by which first
	// attempts must start earlier while turns are booked for retries.
	retryReserveShare = 0.25
	// waitSafetyFactor multiplies a predicted wait: a request that is refused
	// after it waited has lost more than one that is refused at once.
	waitSafetyFactor = 1.5
	// minFirstAttemptShare is the part of the drain rate that first attempts
	// can count on, however many retries arrive.
	minFirstAttemptShare = 0.1
	// bookedDrainShare is the part of the drain rate that is booked for
	// retries. A retry has mostly missed its target already, while a first
	// attempt served in its place can still meet it. So under overload most
	// turns go to first attempts, and refused callers are given a
	// retry-after time at which a slot will be free.
	//
	// While slots are scarce, accounts that ask for no more than their fair
	// share are booked at their full rate. While there are enough slots, a
	// refusal means that upstreams can't answer in time, whichever account
	// asks, so the share applies to all.
	bookedDrainShare = 0.03
	// retryTargetFactor is how many times its target a retry may take: for
	// its caller, a late answer is better than another refusal.
	retryTargetFactor = 2
	// overShareReserve is the part of the first-token target that accounts
	// beyond their fair share leave to the others while upstreams are late.
	overShareReserve = 0.6
	// noUpstreamRetryAfter is the base of the retry-after time while there is
	// no upstream; callers are spread beyond it.
	noUpstreamRetryAfter = 2 * time.Second
)

// Messages of the refusals that callers receive.
const (
	messageRateLimit     = "The client account sends more requests a second than its limit."
	messageInFlightLimit = "The client account has as many requests in progress as its limit."
	messageNoUpstream    = "No upstream can serve the request now."
	messageOverloaded    = "The answer would come later than its class allows."
	messageDeadline      = "The request's deadline would pass before its answer."
	messageCancelled     = "The caller gave the request up before it ran."
)

// fillItem sets the entry's queue item from its request.
func (g *Gate) fillItem(now time.Time, e *Entry) {
	r := &e.Request
	cost := r.Cost
	if cost <= 0 {
		cost = 1
	}
	e.Item = fairshare.Item{
		Account:     r.Account,
		Weight:      r.Limit.Share,
		Priority:    r.Class.Priority,
		Cost:        cost,
		LatestStart: g.latestStart(now, r),
		Retry:       r.isRetry(),
	}
}

// firstTokenTarget returns the time that the class allows up to the first
// token; 0 if it sets none. A request that would miss the class's target even on
// an idle upstream gets twice its unloaded time instead: otherwise it would be
// refused at every retry, and no retry-after time would be true. Retries get
// retryTargetFactor times the target.
func firstTokenTarget(r *Request) time.Duration {
	if r.Class.FirstToken <= 0 {
		return 0
	}
	t := max(r.Class.FirstToken, 2*r.UnloadedFirstToken)
	if r.isRetry() {
		t *= retryTargetFactor
	}
	return t
}

// predictedFirstToken returns the time from the grant to the first token to
// plan with. For all priorities but the most urgent, it is the late bound,
// Request.PredictedFirstTokenP80, if answers of the priority have come late
// recently, if none was reported yet, or if the account is beyond its fair share.
// Otherwise it is Request.PredictedFirstToken.
func (g *Gate) predictedFirstToken(r *Request) time.Duration {
	own := g.bands.forPriority(r.Class.Priority)
	if own == g.bands.byPriority[0] || own.mostlyInTime() && !g.exceedsTimelyShare(g.clients[r.Account]) {
		return r.PredictedFirstToken
	}
	return max(r.PredictedFirstToken, r.PredictedFirstTokenP80)
}

// latestStart returns the latest time at which a grant still meets the class's
// targets and the caller's deadline.
func (g *Gate) latestStart(now time.Time, r *Request) time.Time {
	wait := g.config.MaxWait
	bounded := false
	predicted := g.predictedFirstToken(r)
	if t := firstTokenTarget(r); t > 0 {
		wait, bounded = t-predicted, true
	}
	if r.Class.Completion > 0 {
		left := r.Class.Completion - predicted - r.PredictedAfterFirstToken
		if !bounded || left < wait {
			wait = left
		}
	}
	latest := now.Add(wait)
	if byDeadline := r.Deadline.Add(-predicted - r.PredictedAfterFirstToken); !r.Deadline.IsZero() && byDeadline.Before(latest) {
		latest = byDeadline
	}
	return latest
}

// checkLimits refuses a request that exceeds its account's limits.
func (g *Gate) checkLimits(now time.Time, c *client, e *Entry) (outcome.Outcome, bool) {
	if c.quota.AtMaxInFlight() {
		limit := c.quota.Limit().MaxInFlight
		gap := g.holdTimes.expected(e.Item.Cost) / time.Duration(limit)
		after := c.limitTurns.Book(now, gap, gap, e.Request.ID)
		return outcome.NewNotRun(outcome.ReasonRateLimited, messageInFlightLimit, after), true
	}
	if delay := c.quota.Delay(now, e.Request.isRetry()); delay > 0 {
		after := c.limitTurns.Book(now, delay, c.quota.RequestInterval(), e.Request.ID)
		return outcome.NewNotRun(outcome.ReasonRateLimited, messageRateLimit, after), true
	}
	return outcome.Outcome{}, false
}

// checkTime refuses a request that can't start in time.
func (g *Gate) checkTime(now time.Time, c *client, u *priorityUsage, e *Entry) (outcome.Outcome, bool) {
	r := &e.Request
	if !r.Deadline.IsZero() && !now.Add(r.PredictedFirstToken).Before(r.Deadline) {
		return g.deadlineRefusal(now, u, e), true
	}
	if g.slots == 0 {
		after := retryafter.Spread(noUpstreamRetryAfter, r.ID)
		return outcome.NewNotRun(outcome.ReasonNoUpstream, messageNoUpstream, after), true
	}
	budget := e.Item.LatestStart.Sub(now)
	wait := g.predictWait(now, u, e)
	if wait > 0 && !r.isRetry() && now.Before(g.bands.forPriority(e.Item.Priority).bookedUntil) {
		// Without this reserve, first attempts would take each slot as it
		// becomes free, and callers that retry at their retry-after time would
		// find none.
		budget -= time.Duration(retryReserveShare * float64(firstTokenTarget(r)))
	}
	if wait == 0 && g.exceedsTimelyShare(c) {
		budget -= time.Duration(overShareReserve * float64(firstTokenTarget(r)))
	}
	if wait > budget {
		g.lastLateRefusal = now
		return g.overloadRefusal(now, u, e, wait-budget), true
	}
	return outcome.Outcome{}, false
}

// predictWait predicts how long a request waits for a slot. It takes the
// shorter of two estimates: the cost ahead of it in all accounts, drained at the
// rate of its priority; and the cost ahead of it in its own account, drained at
// the account's share of that rate, after the lead that other accounts may have.
// A first attempt also waits for the retries that arrive in the meantime.
func (g *Gate) predictWait(now time.Time, u *priorityUsage, e *Entry) time.Duration {
	if g.canGrantNow(e) {
		return 0
	}
	total, own := g.queue.CostAhead(&e.Item)
	band := g.bands.forPriority(e.Item.Priority)
	drain, accountDrain := g.drainRate(e), g.accountDrainRate(now, e)
	byAll := (total + band.meanCost()) / drain
	byOwn := own/accountDrain + (band.meanCost()+g.queue.LeadCost(&e.Item))/drain
	if !e.Request.isRetry() {
		byAll /= max(minFirstAttemptShare, 1-band.retries.rate(now)/drain)
		byOwn /= max(minFirstAttemptShare, 1-u.retries.rate(now)/accountDrain)
	}
	return secondsToDuration(waitSafetyFactor * min(byAll, byOwn))
}

// drainRate estimates the cost per second that is served for the entry's
// priority.
func (g *Gate) drainRate(e *Entry) float64 {
	return g.bands.availableSlots(e.Item.Priority, g.slots) / g.holdTimes.perCost().Seconds()
}

// accountDrainRate estimates the cost per second that is served for the entry's
// account and priority. It counts the account's fair share of the slots, less
// the slots that its less urgent requests hold and those that its more urgent
// requests ask for.
func (g *Gate) accountDrainRate(now time.Time, e *Entry) float64 {
	c := g.clients[e.Item.Account]
	fair := g.fairSlots(c)
	slots := fair
	for _, u := range c.usages {
		if u.priority < e.Item.Priority {
			slots -= float64(u.inFlight)
		}
	}
	urgent := c.costRateFrom(now, e.Item.Priority+1) * g.holdTimes.perCost().Seconds()
	slots -= min(urgent, fair*(1-g.queue.ClassShare()))
	available := g.bands.availableSlots(e.Item.Priority, g.slots)
	atLeast := available * fair / float64(max(g.slots, 1))
	return min(max(slots, atLeast), available) / g.holdTimes.perCost().Seconds()
}

// overloadRefusal returns a refusal because of load. Its retry-after time lies
// after the excess, the part of the wait that is too long, has drained.
func (g *Gate) overloadRefusal(now time.Time, u *priorityUsage, e *Entry, excess time.Duration) outcome.Outcome {
	return outcome.NewNotRun(outcome.ReasonOverloaded, messageOverloaded, g.bookTurn(now, u, e, excess))
}

// deadlineRefusal returns a refusal because the caller's deadline would pass.
func (g *Gate) deadlineRefusal(now time.Time, u *priorityUsage, e *Entry) outcome.Outcome {
	return outcome.NewNotRun(outcome.ReasonDeadline, messageDeadline, g.bookTurn(now, u, e, 0))
}

// lateRefusal returns the refusal of an entry that waited and wasn't granted a
// slot in time.
func (g *Gate) lateRefusal(now time.Time, e *Entry) outcome.Outcome {
	u := g.clients[e.Item.Account].usageOf(e.Item.Priority)
	if d := e.Request.Deadline; !d.IsZero() && !now.Add(e.Request.PredictedFirstToken+e.Request.PredictedAfterFirstToken).Before(d) {
		return g.deadlineRefusal(now, u, e)
	}
	return g.overloadRefusal(now, u, e, 0)
}

// bookTurn books a turn for a refused request and returns its retry-after time.
// The turn begins no sooner than earliest from now.
func (g *Gate) bookTurn(now time.Time, u *priorityUsage, e *Entry, earliest time.Duration) time.Duration {
	rate := g.accountDrainRate(now, e)
	if c := g.clients[e.Item.Account]; c.demand > g.fairSlots(c) || math.IsInf(g.slotsPerWeight, 1) {
		rate *= bookedDrainShare
	}
	after := u.overloadTurns.Book(now, earliest, secondsToDuration(e.Item.Cost/rate), e.Request.ID)
	b := g.bands.forPriority(e.Item.Priority)
	if until := now.Add(after); until.After(b.bookedUntil) {
		b.bookedUntil = until
	}
	return after
}

// secondsToDuration converts seconds to a duration. It caps them at ten times
// the longest retry-after time so that the conversion can't overflow.
func secondsToDuration(s float64) time.Duration {
	const maxSeconds = float64(retryafter.Max/time.Second) * 10
	return time.Duration(min(s, maxSeconds) * float64(time.Second))
}
