package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Began implements forward.Placement.
func (c *Chooser) Began(choice forward.Choice, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := choice.Place.(*reservation)
	if p.gotFirstEvent {
		return
	}
	p.gotFirstEvent = true
	p.firstEventLatency = now.Sub(p.sentAt)
	getOrCreate(c.own, choice.Upstream).load.Unread -= p.unreadTokens
	if p.usesUnprovenVersion() {
		return
	}
	getOrCreate(c.firstEventTimings, p.service).learn(p.firstEventLatency - p.expectedFirstEvent)
	c.learnEngineSpeed(p, now)
}

// Ended implements forward.Placement. An upstream that had said that it leaves, or whose
// entry is gone, was expected to end.
func (c *Chooser) Ended(choice forward.Choice) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice.Place.(*reservation).upstreamEnded = true
	u, known := c.cfg.View().Upstream(choice.Upstream)
	return known && u.State == directory.Ready
}

// Finished implements forward.Placement.
func (c *Chooser) Finished(choice forward.Choice, result forward.Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := choice.Place.(*reservation)
	o := getOrCreate(c.own, choice.Upstream)
	o.load.Running--
	p.reportToRollout(result, c.demands[p.service], now)
	if result == forward.Done && p.gotFirstEvent && !p.usesUnprovenVersion() {
		getOrCreate(c.demands, p.service).answerFinished(p.route, now.Sub(p.sentAt)-p.firstEventLatency)
	}
	if !p.gotFirstEvent {
		o.load.Unread -= p.unreadTokens
	}
	c.updateAvoidance(o, result, now)
	if result == forward.NoConnection || result == forward.Broken || result == forward.Cut {
		c.lastUnreachable[p.domain] = now
	}
	if sample, counts := ejectionSample(p, result); counts {
		c.ejectionSet(p.service).Ended(now, choice.Upstream, sample)
		c.logEjectionChange(p.service, choice.Upstream)
	}
}

// ejectionSample returns what a result says about its upstream. What the caller or the
// clock ended says nothing.
func ejectionSample(p *reservation, result forward.Result) (ejection.Sample, bool) {
	sample := ejection.Sample{Started: p.sentAt}
	if p.upstreamEnded {
		// What ended it may be the request: that says nothing of how it serves others.
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

// idleAnswerTime is what an idle upstream takes beside reading the prompt; it keeps
// short requests from looking slow.
const idleAnswerTime = 60 * time.Millisecond

func (c *Chooser) updateAvoidance(o *ownWork, result forward.Result, now time.Time) {
	if result != forward.NoConnection {
		o.failures = 0
		return
	}
	wait := min(minAvoidance<<min(o.failures, 8), maxAvoidance)
	o.failures++
	o.avoidUntil = now.Add(wait)
}

// logEjectionChange logs a change of an upstream's state.
func (c *Chooser) logEjectionChange(service ident.Service, id ident.Instance) {
	state := c.ejectionSet(service).State(id)
	if c.loggedStates[id] == state {
		return
	}
	c.loggedStates[id] = state
	c.cfg.Log.Info("upstream's standing changed", "upstream", id, "service", service,
		"standing", [...]string{"healthy", "ejected", "probing"}[state])
}
