package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

// usesUnprovenVersion reports whether the upstream has a version whose rollout is
// still in trial. Such an upstream says nothing about the others, so what it does
// must not change the predicted queues, the time after which attempts are slow, or
// the number of engines that is ordered.
func (p *reservation) usesUnprovenVersion() bool {
	return p.split != nil && p.split.Unproven(p.upstream.Version)
}

// reportToRollout reports to the rollout, if there is one, how the request ended.
// demand is that of the service; nil if nothing was recorded yet.
func (p *reservation) reportToRollout(result forward.Result, demand *serviceDemand, now time.Time) {
	if p.split == nil {
		return
	}
	answer, counts := p.rolloutAnswer(result, demand, now)
	if !counts {
		p.split.Withdrawn(p.route, p.side)
		return
	}
	p.split.Ended(&p.upstream, p.route, p.side, p.sentAt, answer)
}

// rolloutAnswer returns what a result shows about the upstream's version. It returns
// false if the result shows nothing: if the upstream did not run the request, if it
// ended during the request, or if the caller gave up or the request expired, unless
// the first event was slow to arrive by then.
func (p *reservation) rolloutAnswer(result forward.Result, demand *serviceDemand, now time.Time) (rollout.Answer, bool) {
	elapsed := now.Sub(p.sentAt)
	if p.upstreamEnded {
		// Another request may have ended the upstream and so broken off this one.
		return rollout.Answer{}, false
	}
	switch result {
	case forward.NoConnection, forward.Rejected:
		return rollout.Answer{}, false
	case forward.Done:
		return rollout.Answer{Timed: true, Time: p.slowness(elapsed, demand)}, true
	case forward.CallerGone, forward.Expired:
		if p.gotFirstEvent || elapsed < slowFactor*p.referenceLatency() {
			return rollout.Answer{}, false
		}
		// No first event arrived within slowFactor times the expected time.
		return rollout.Answer{Timed: true, Time: elapsed.Seconds() / p.referenceLatency().Seconds()}, true
	}
	return rollout.Answer{Failed: true}, true
}

// slowFactor is how many times referenceLatency must have passed without a first
// event for the answer to count as slow, even if the caller gave up or the request
// expired.
const slowFactor = 2

// referenceLatency returns the time that the first event is expected to take. At a
// plain upstream this is the time of an idle one.
func (p *reservation) referenceLatency() time.Duration { return p.expectedFirstEvent + idleAnswerTime }

// slowness returns how slow the answer was: the larger of two ratios, that of the
// first event's time to the expected one, and that of the rest of the answer's time
// to the mean of the route.
func (p *reservation) slowness(elapsed time.Duration, demand *serviceDemand) float64 {
	first := p.firstEventLatency.Seconds() / p.referenceLatency().Seconds()
	if demand == nil {
		return first
	}
	route := demand.route(p.route)
	if route.samples < minSamples || route.meanSeconds <= 0 {
		return first
	}
	return max(first, (elapsed-p.firstEventLatency).Seconds()/route.meanSeconds)
}
