package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

// usesUnprovenVersion reports whether the upstream has a version that is tried. What it does says
// nothing of the others: their queues, patience and number must not follow it.
func (p *reservation) usesUnprovenVersion() bool {
	return p.split != nil && p.split.Unproven(p.upstream.Version)
}

// reportToRollout tells a rollout how a request ended, if there is one.
func (p *reservation) reportToRollout(result forward.Result, work *serviceDemand, now time.Time) {
	if p.split == nil {
		return
	}
	answer, counts := p.rolloutAnswer(result, work, now)
	if !counts {
		p.split.Withdrawn(p.route, p.side)
		return
	}
	p.split.Ended(&p.upstream, p.route, p.side, p.sentAt, answer)
}

// rolloutAnswer is what a result shows of the upstream's version. What it did not run, and what
// the caller ended soon, shows nothing.
func (p *reservation) rolloutAnswer(result forward.Result, work *serviceDemand, now time.Time) (rollout.Answer, bool) {
	elapsed := now.Sub(p.sentAt)
	if p.upstreamEnded {
		// One request may have ended it, and broken off all that ran beside it.
		return rollout.Answer{}, false
	}
	switch result {
	case forward.NoConnection, forward.Rejected:
		return rollout.Answer{}, false
	case forward.Done:
		return rollout.Answer{Timed: true, Time: p.slowness(elapsed, work)}, true
	case forward.CallerGone, forward.Expired:
		if p.gotFirstEvent || elapsed < slowFactor*p.referenceLatency() {
			return rollout.Answer{}, false
		}
		// Nothing came in several times what was expected.
		return rollout.Answer{Timed: true, Time: elapsed.Seconds() / p.referenceLatency().Seconds()}, true
	}
	return rollout.Answer{Failed: true}, true
}

// slowFactor times what is expected without a first event is slow, whoever ended it.
const slowFactor = 2

// referenceLatency is what the first event is expected to take, at an application by what an idle one
// takes.
func (p *reservation) referenceLatency() time.Duration { return p.expectedFirstEvent + idleAnswerTime }

// slowness is how long the answer took: its first event in times of what was expected
// behind what was there, or what followed in times of the route's usual answer, whichever
// is more.
func (p *reservation) slowness(elapsed time.Duration, work *serviceDemand) float64 {
	first := p.firstEventLatency.Seconds() / p.referenceLatency().Seconds()
	if work == nil {
		return first
	}
	usual := work.route(p.route)
	if usual.samples < minSamples || usual.meanSeconds <= 0 {
		return first
	}
	return max(first, (elapsed-p.firstEventLatency).Seconds()/usual.meanSeconds)
}
