package gate

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/fairshare"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/returntime"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

const (
	// retryReserveShare is the part of a target that first tries leave to
	// requests that were told to return.
	retryReserveShare = 0.25
	// waitSafetyFactor is what a predicted wait is multiplied by: a request that is
	// refused after it waited has lost more than one refused at once.
	waitSafetyFactor = 1.5
	// minFirstAttemptShare is the part of an account's drain rate that first
	// tries can count on, however many requests return.
	minFirstAttemptShare = 0.1
	// bookedDrainShare is the part of a drain rate that is booked for returns. A
	// returning request has mostly missed its target already, and one served
	// in its place would have met it; so in a rush most turns go to first
	// tries, and those refused hear a time at which they will find room.
	// While all slots are taken, accounts that ask for no more than their
	// part are booked at their full rate. While there are slots, what was
	// refused is what upstreams cannot answer in time, whoever asks.
	bookedDrainShare = 0.03
	// retryTargetFactor is how many times its target a returning request may
	// take: for its caller late is better than refused again.
	retryTargetFactor = 2
	// overShareReserve is the part of a target that accounts beyond their part
	// leave to the others while upstreams are late.
	overShareReserve = 0.6
	// noUpstreamRetryAfter is the return time while no upstream is there.
	noUpstreamRetryAfter = 2 * time.Second
)

// The sentences that callers hear.
const (
	messageRateLimit       = "The client account sends more requests a second than its limit."
	messageInFlightLimit   = "The client account has as many requests in progress as its limit."
	messageNoUpstream = "No upstream can serve the request now."
	messageOverloaded = "The answer would come later than its class allows."
	messageDeadline   = "The request's deadline would pass before its answer."
	messageCancelled  = "The caller gave the request up before it ran."
)

// fillItem fills the entry's place in the queue.
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
		Retry:   r.isRetry(),
	}
}

// firstTokenTarget is the time that the class allows up to the first token. A request
// that would miss it on an idle upstream is measured by twice its own best:
// refusing it now and at every return would be untruthful.
func firstTokenTarget(r *Request) time.Duration {
	if r.Class.FirstToken <= 0 {
		return 0
	}
	t := max(r.Class.FirstToken, 2*r.Unloaded)
	if r.isRetry() {
		t *= retryTargetFactor
	}
	return t
}

// predictedFirstToken is the time from grant to first token to count on: the late bound
// of a prediction counts only for less urgent priorities, and only while some
// of their answers do come late or for accounts beyond their part.
func (g *Gate) predictedFirstToken(r *Request) time.Duration {
	own := g.bands.forPriority(r.Class.Priority)
	if own == g.bands.byPriority[0] || own.mostlyInTime() && !g.exceedsTimelyShare(g.clients[r.Account]) {
		return r.Predicted
	}
	return max(r.Predicted, r.PredictedBy)
}

// latestStart is the last moment at which a grant still meets the class's
// targets and the caller's deadline.
func (g *Gate) latestStart(now time.Time, r *Request) time.Time {
	wait := g.config.MaxWait
	bounded := false
	predicted := g.predictedFirstToken(r)
	if t := firstTokenTarget(r); t > 0 {
		wait, bounded = t-predicted, true
	}
	if r.Class.Completion > 0 {
		left := r.Class.Completion - predicted - r.Remaining
		if !bounded || left < wait {
			wait = left
		}
	}
	latest := now.Add(wait)
	if byDeadline := r.Deadline.Add(-predicted - r.Remaining); !r.Deadline.IsZero() && byDeadline.Before(latest) {
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

// checkTime refuses a request that cannot start in time.
func (g *Gate) checkTime(now time.Time, c *client, u *priorityUsage, e *Entry) (outcome.Outcome, bool) {
	r := &e.Request
	if !r.Deadline.IsZero() && !now.Add(r.Predicted).Before(r.Deadline) {
		return g.deadlineRefusal(now, u, e), true
	}
	if g.slots == 0 {
		after := returntime.Spread(noUpstreamRetryAfter, r.ID)
		return outcome.NewNotRun(outcome.ReasonNoUpstream, messageNoUpstream, after), true
	}
	budget := e.Item.LatestStart.Sub(now)
	wait := g.predictWait(now, u, e)
	if wait > 0 && !r.isRetry() && now.Before(g.bands.forPriority(e.Item.Priority).bookedUntil) {
		// Without this reserve a first try takes each place as it appears,
		// and those who return as told find none.
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

// predictWait predicts how long a request waits for a slot: by what goes before it
// in all accounts, or by its own account's part after the lead of the others,
// whichever is sooner. A first try also waits for those who return meanwhile.
func (g *Gate) predictWait(now time.Time, u *priorityUsage, e *Entry) time.Duration {
	if g.canGrantNow(e) {
		return 0
	}
	total, own := g.queue.CostAhead(&e.Item)
	band := g.bands.forPriority(e.Item.Priority)
	drain, share := g.drainRate(e), g.accountDrainRate(now, e)
	byAll := (total + band.meanCost()) / drain
	byOwn := own/share + (band.meanCost()+g.queue.LeadCost(&e.Item))/drain
	if !e.Request.isRetry() {
		byAll /= max(minFirstAttemptShare, 1-band.retries.rate(now)/drain)
		byOwn /= max(minFirstAttemptShare, 1-u.retries.rate(now)/share)
	}
	return secondsToDuration(waitSafetyFactor * min(byAll, byOwn))
}

// drainRate is the cost a second that is served of the entry's priority.
func (g *Gate) drainRate(e *Entry) float64 {
	return g.bands.availableSlots(e.Item.Priority, g.slots) / g.holdTimes.perCost().Seconds()
}

// accountDrainRate is the cost a second that is served of the entry's account and
// priority: the account's part of the slots, less what its less urgent
// requests hold and what its more urgent ones ask for.
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
	all := g.bands.availableSlots(e.Item.Priority, g.slots)
	least := all * fair / float64(max(g.slots, 1))
	return min(max(slots, least), all) / g.holdTimes.perCost().Seconds()
}

// overloadRefusal refuses for load, with a turn after the excess has drained.
func (g *Gate) overloadRefusal(now time.Time, u *priorityUsage, e *Entry, excess time.Duration) outcome.Outcome {
	return outcome.NewNotRun(outcome.ReasonOverloaded, messageOverloaded, g.bookTurn(now, u, e, excess))
}

// deadlineRefusal refuses for the caller's own deadline.
func (g *Gate) deadlineRefusal(now time.Time, u *priorityUsage, e *Entry) outcome.Outcome {
	return outcome.NewNotRun(outcome.ReasonDeadline, messageDeadline, g.bookTurn(now, u, e, 0))
}

// lateRefusal is what a caller hears whose turn did not come in time.
func (g *Gate) lateRefusal(now time.Time, e *Entry) outcome.Outcome {
	u := g.clients[e.Item.Account].usageOf(e.Item.Priority)
	if d := e.Request.Deadline; !d.IsZero() && !now.Add(e.Request.Predicted+e.Request.Remaining).Before(d) {
		return g.deadlineRefusal(now, u, e)
	}
	return g.overloadRefusal(now, u, e, 0)
}

// bookTurn gives a refused request a turn of its own.
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

// secondsToDuration converts without overflow.
func secondsToDuration(s float64) time.Duration {
	const most = float64(returntime.Max/time.Second) * 10
	return time.Duration(min(s, most) * float64(time.Second))
}
