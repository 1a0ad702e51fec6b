package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// FirstEventArrived implements forward.Placement.
func (c *Chooser) FirstEventArrived(choice forward.Choice, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := choice.Reservation.(*reservation)
	if p.gotFirstEvent {
		return
	}
	p.gotFirstEvent = true
	p.firstEventLatency = now.Sub(p.sentAt)
	getOrCreate(c.own, choice.Upstream).load.UnreadTokens -= p.unreadTokens
	if p.usesUnprovenVersion() {
		return
	}
	getOrCreate(c.firstEventTimings, p.service).learn(p.firstEventLatency - p.expectedFirstEvent)
	c.learnEngineSpeed(p, now)
}

// UpstreamEnded implements forward.Placement. The end was expected if the upstream had
// announced that it leaves, or if its entry is gone from the directory.
func (c *Chooser) UpstreamEnded(choice forward.Choice) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice.Reservation.(*reservation).upstreamEnded = true
	u, known := c.cfg.View().Upstream(choice.Upstream)
	return known && u.State == directory.Ready
}

// Finished implements forward.Placement.
func (c *Chooser) Finished(choice forward.Choice, result forward.Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := choice.Reservation.(*reservation)
	o := getOrCreate(c.own, choice.Upstream)
	o.load.Running--
	p.reportToRollout(result, c.demands[p.service], now)
	if result == forward.Done && p.gotFirstEvent && !p.usesUnprovenVersion() {
		getOrCreate(c.demands, p.service).answerFinished(p.route, now.Sub(p.sentAt)-p.firstEventLatency)
	}
	if !p.gotFirstEvent {
		o.load.UnreadTokens -= p.unreadTokens
	}
	c.updateAvoidance(o, result, now)
	if result == forward.NoConnection || result == forward.Broken || result == forward.Cut {
		c.lastUnreachable[p.domain] = now
	}
	if sample, counts := ejectionSample(p, result); counts {
		c.ejectionSet(p.service).RecordAttemptEnd(now, choice.Upstream, sample)
		c.logEjectionChange(p.service, choice.Upstream)
	}
}

// ejectionSample returns what a result says about its upstream. It returns false
// for results that say nothing: those of requests that the caller cancelled, or
// that expired after their first event.
func ejectionSample(p *reservation, result forward.Result) (ejection.Sample, bool) {
	sample := ejection.Sample{Started: p.sentAt}
	if p.upstreamEnded {
		// The request itself may have ended the upstream, which says nothing about
		// how the upstream serves other requests.
		return sample, false
	}
	switch result {
	case forward.CallerGone:
		return sample, false
	case forward.Expired:
		if p.gotFirstEvent {
			return sample, false
		}
		sample.Failed = true
	case forward.Done:
		sample.Latency = p.firstEventLatency.Seconds() / (p.expectedFirstEvent.Seconds() + idleAnswerTime.Seconds())
	default:
		sample.Failed = true
	}
	return sample, true
}

// idleAnswerTime is what an idle upstream takes to answer, apart from reading the
// prompt. It is added to predictions, so that short requests do not look slow.
const idleAnswerTime = 60 * time.Millisecond

// updateAvoidance avoids the upstream for a while if the connection failed.
func (c *Chooser) updateAvoidance(o *ownWork, result forward.Result, now time.Time) {
	if result != forward.NoConnection {
		o.failures = 0
		return
	}
	wait := min(minAvoidance<<min(o.failures, 8), maxAvoidance)
	o.failures++
	o.avoidUntil = now.Add(wait)
}

// logEjectionChange logs the ejection state of an upstream if it has changed.
func (c *Chooser) logEjectionChange(service ident.Service, id ident.Instance) {
	state := c.ejectionSet(service).State(id)
	if c.loggedStates[id] == state {
		return
	}
	c.loggedStates[id] = state
	c.cfg.Log.Info("ejection state of upstream changed", "upstream", id, "service", service,
		"standing", [...]string{"healthy", "ejected", "probing"}[state])
}
