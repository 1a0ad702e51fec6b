package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

// usesUnprovenVersion reports whether the upstream has a version whose rollout is
// still in trial. The answers of such an upstream show nothing about the others, so
// they must not change the predicted queues, the time after which attempts are slow,
// or the number of engines that is ordered.
func (r *reservation) usesUnprovenVersion() bool {
	return r.split != nil && r.split.Unproven(r.upstream.SoftwareVersion)
}

// reportToRollout reports to the rollout, if there is one, how the request ended.
// demand is that of the service; nil if nothing was recorded yet.
func (r *reservation) reportToRollout(result forward.Result, demand *serviceDemand, now time.Time) {
	if r.split == nil {
		return
	}
	answer, counts := r.rolloutAnswer(result, demand, now)
	if !counts {
		r.split.Withdrawn(r.route, r.side)
		return
	}
	r.split.Ended(&r.upstream, r.route, r.side, r.sentAt, answer)
}

// rolloutAnswer returns what a result shows about the upstream's version. It returns
// false if the result shows nothing: if the upstream did not run the request, if it
// ended during the request, or if the caller gave up or the request expired, unless
// the first event was slow to arrive by then.
func (r *reservation) rolloutAnswer(result forward.Result, demand *serviceDemand, now time.Time) (rollout.Answer, bool) {
	elapsed := now.Sub(r.sentAt)
	if r.upstreamEnded || r.pathLost {
		// Another request may have crashed the upstream and so broken off this one, or the path did.
		return rollout.Answer{}, false
	}
	switch result {
	case forward.NoConnection, forward.Withdrawn, forward.Rejected, forward.Declined:
		return rollout.Answer{}, false
	case forward.Done:
		return rollout.Answer{Timed: !r.maybePartial, Time: r.slowness(elapsed, demand)}, true
	case forward.CallerGone, forward.Expired:
		if r.gotFirstEvent || elapsed < slowFactor*r.referenceLatency() {
			return rollout.Answer{}, false
		}
		// No first event arrived within slowFactor times the expected time.
		return rollout.Answer{Timed: true, Time: elapsed.Seconds() / r.referenceLatency().Seconds()}, true
	}
	return rollout.Answer{Failed: true}, true
}

// slowFactor is how many times referenceLatency must have passed without a first
// event for the answer to count as slow, even if the caller gave up or the request
// expired.
const slowFactor = 2

// referenceLatency returns the time that the first event is expected to take. At a
// plain upstream this is the time of an idle one. The upstream's own speed does not
// count, because a slow version would hide behind it.
func (r *reservation) referenceLatency() time.Duration { return r.modelFirstEvent + idleAnswerTime }

// slowness returns how slow the answer was: the larger of two ratios, that of the
// first event's time to the expected one, and that of the rest of the answer's time
// to the mean of the route.
func (r *reservation) slowness(elapsed time.Duration, demand *serviceDemand) float64 {
	first := r.firstEventLatency.Seconds() / r.referenceLatency().Seconds()
	if demand == nil {
		return first
	}
	route := demand.route(r.route)
	if route.answer.Samples < minSamples || route.answer.Value <= 0 {
		return first
	}
	return max(first, (elapsed-r.firstEventLatency).Seconds()/route.answer.Value)
}
