package placement

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// FirstEventArrived implements forward.Placement. It learns from the time that the first
// event took, unless the upstream has a version that is still in trial.
func (c *Chooser) FirstEventArrived(choice forward.Choice, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := choice.Reservation.(*reservation)
	if r.gotFirstEvent {
		return
	}
	r.gotFirstEvent = true
	c.cfg.Pauses.Served(choice.Upstream, r.sentAt)
	r.firstEventLatency = now.Sub(r.sentAt)
	getOrCreate(c.own, choice.Upstream).load.UnreadTokens -= r.unreadTokens
	if r.usesUnprovenVersion() {
		return
	}
	getOrCreate(c.firstEventTimings, r.service).learn(r.firstEventLatency - r.expectedFirstEvent)
	c.learnEngineSpeed(r, now)
	c.recordSpeed(choice.Upstream, r, now)
}

// UpstreamEnded implements forward.Placement. The end was expected if the upstream had
// announced that it leaves, or if its entry has been gone for as long as one that did not may serve on.
func (c *Chooser) UpstreamEnded(choice forward.Choice) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	choice.Reservation.(*reservation).upstreamEnded = true
	u, known := c.cfg.View().Upstream(choice.Upstream)
	if !known {
		return c.cfg.EndedEarly(choice.Upstream)
	}
	return u.State == directory.Ready
}

// Replaced implements forward.Placement.
func (c *Chooser) Replaced(choice forward.Choice) bool {
	if choice.Upstream == choice.Name {
		return false // each process has a name of its own
	}
	r := choice.Reservation.(*reservation)
	return slices.ContainsFunc(c.cfg.View().Of(r.service), func(u directory.Upstream) bool {
		return u.Name == choice.Name && u.Born > r.upstream.Born
	})
}

// PathLost implements forward.Placement.
func (c *Chooser) PathLost(choice forward.Choice) {
	choice.Reservation.(*reservation).pathLost = true
}

// Finished implements forward.Placement.
func (c *Chooser) Finished(choice forward.Choice, result forward.Result, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := choice.Reservation.(*reservation)
	o := getOrCreate(c.own, choice.Upstream)
	c.recordRejection(o, choice.Upstream, result, now)
	o.load.Running--
	if result == forward.Done && r.expectedFirstEvent == 0 {
		getOrCreate(c.work, r.service).Learn(now.Sub(r.sentAt), r.loadAhead.Running, r.upstream.Slots)
	}
	r.reportToRollout(result, c.demands[r.service], now)
	if result == forward.Done && r.gotFirstEvent && !r.maybePartial && !r.usesUnprovenVersion() {
		getOrCreate(c.demands, r.service).answerFinished(r.route, now.Sub(r.sentAt)-r.firstEventLatency)
	}
	if !r.gotFirstEvent {
		o.load.UnreadTokens -= r.unreadTokens
	}
	c.updateAvoidance(o, choice.Upstream, result, now)
	if !r.pathLost && (result == forward.NoConnection || result == forward.Broken || result == forward.Cut) {
		c.lastUnreachable[r.domain] = now
	}
	if sample, counts := ejectionSample(r, result, now.Sub(r.sentAt)); counts {
		c.ejectionSet(r.service).RecordAttemptEnd(now, choice.Upstream, sample)
		c.logEjectionChange(r.service, choice.Upstream)
	}
}

// maybePartial reports whether the answer to a call may be the rest of a stream: its
// caller resumes one, or the call was sent before and one may have begun there. The rest
// takes a part of the time of a whole answer. exclude lists the upstreams to which the
// call was sent before.
func maybePartial(call *forward.Call, exclude []ident.Instance) bool {
	return call.LastEventID != "" || call.Route.Resumable && len(exclude) > 0
}

// ejectionSample returns what a result says about its upstream, which had the request for
// the given time. It returns false for results that say nothing: those of requests that
// the caller cancelled, or that expired after their first event or before it was due. A
// request that another upstream broke off may come with hardly any time left.
func ejectionSample(r *reservation, result forward.Result, elapsed time.Duration) (ejection.Sample, bool) {
	sample := ejection.Sample{Started: r.sentAt}
	if r.upstreamEnded || r.pathLost {
		// The request itself may have crashed the upstream, or never have reached it, which shows
		// nothing about how the upstream serves other requests.
		return sample, false
	}
	switch result {
	case forward.CallerGone, forward.Withdrawn, forward.Declined:
		// To leave or to ask for a pause is no failure.
		return sample, false
	case forward.Expired:
		if r.gotFirstEvent || elapsed < r.dueLatency() {
			return sample, false
		}
		sample.Failed = true
	case forward.Done:
		sample.Latency = r.firstEventLatency.Seconds() / r.dueLatency().Seconds()
	default:
		sample.Failed = true
	}
	return sample, true
}

// idleAnswerTime is what an idle upstream takes to answer, apart from reading the
// prompt. It is added to predictions, so that short requests do not look slow.
const idleAnswerTime = 60 * time.Millisecond

// dueLatency returns the time that the first event is expected to take at this upstream.
func (r *reservation) dueLatency() time.Duration {
	return r.expectedFirstEvent + time.Duration(max(1, r.factor)*float64(idleAnswerTime))
}

// updateAvoidance avoids the upstream for a while if the connection failed. It logs the first failure
// and the first connection after it; what the other gateways have in progress there tells an
// upstream that is down from one that this gateway alone does not reach.
func (c *Chooser) updateAvoidance(o *ownWork, id ident.Instance, result forward.Result, now time.Time) {
	if result != forward.NoConnection {
		if o.failures > 0 {
			c.cfg.Log.Info("upstream connects again", "upstream", id, "failures", o.failures, "result", result.String())
		}
		o.failures = 0
		return
	}
	if o.failures == 0 {
		c.cfg.Log.Info("upstream does not connect", "upstream", id, "others_running", c.cfg.OtherLoad(id).Running)
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
