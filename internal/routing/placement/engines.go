package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
)

// fitInterval is how often the engine model of a service is fitted. The reports
// of the other gateways arrive about as often, and one request changes the model
// by only a few percent.
const fitInterval = 250 * time.Millisecond

// loggedRateChange is the relative change of the prefill rate that is logged.
const loggedRateChange = 0.25

// serviceEngines is what is known about the engines of one service.
type serviceEngines struct {
	// own sums the samples of this gateway's requests.
	own enginemodel.Sums
	// estimate is the model that was fitted at fittedAt to the samples of all
	// gateways.
	estimate enginemodel.Estimate
	fittedAt time.Time
	// loggedRate is the prefill rate that was logged last, in tokens per second.
	loggedRate float64
}

// learnEngineSpeed adds a request's sample of its engine.
func (c *Chooser) learnEngineSpeed(r *reservation, now time.Time) {
	if r.unreadTokens == 0 {
		return // a plain service, or a prompt whose tokens were not counted
	}
	estimate := c.engineEstimate(r.service, now)
	getOrCreate(c.engines, r.service).own.AddSample(enginemodel.Sample{
		OwnTokens: float64(r.unreadTokens), TokensAhead: float64(r.loadAhead.UnreadTokens), Running: float64(r.loadAhead.Running), FirstEvent: r.firstEventLatency,
	}, estimate)
}

// recordSpeed records how long an upstream took, and what the model of its service predicts without the
// upstream's factor.
func (c *Chooser) recordSpeed(id ident.Instance, r *reservation, now time.Time) {
	if r.sentAt.Before(r.upstream.WarmAt) {
		return // it is slow for a while only
	}
	sample := speed.Sample{
		Upstream: id, Service: r.service, Route: r.route, Observed: r.firstEventLatency,
		Load: float64(r.loadAhead.Running) / float64(max(1, r.upstream.Slots)),
	}
	if r.expectedFirstEvent > 0 {
		estimate := c.engineEstimate(r.service, now)
		if r.unreadTokens == 0 || estimate.Samples < minSamples {
			return
		}
		sample.Fixed = estimate.Base
		sample.Predicted = estimate.FirstEvent(float64(r.unreadTokens), float64(r.loadAhead.UnreadTokens), float64(r.loadAhead.Running))
	}
	c.cfg.RecordSpeed(sample, now)
}

// modelFirstEvent returns the predicted time to the call's first event without the upstream's factor; 0
// at a plain upstream.
func (x *candidate) modelFirstEvent(estimate *enginemodel.Estimate) time.Duration {
	if x.firstEventSeconds == 0 {
		return 0
	}
	return estimate.FirstEvent(float64(x.prefillTokens), float64(x.load.UnreadTokens), float64(x.load.Running))
}

// engineEstimate returns the model of a service's engines that is fitted to the
// samples of all gateways.
func (c *Chooser) engineEstimate(service ident.Service, now time.Time) enginemodel.Estimate {
	e := getOrCreate(c.engines, service)
	if e.fittedAt.IsZero() || now.Sub(e.fittedAt) >= fitInterval {
		sums := e.own
		sums.Add(c.cfg.OtherEngineSums(service))
		e.estimate, e.fittedAt = sums.Fit(), now
		c.logEngineEstimate(service, e)
	}
	return e.estimate
}

// logEngineEstimate logs the model if its prefill rate differs from the one that
// was logged last by loggedRateChange or more.
func (c *Chooser) logEngineEstimate(service ident.Service, e *serviceEngines) {
	rate := e.estimate.Rate()
	if e.estimate.Samples == 0 || rate > e.loggedRate*(1-loggedRateChange) && rate < e.loggedRate*(1+loggedRateChange) {
		return
	}
	e.loggedRate = rate
	c.cfg.Log.Info("fitted the engine model", "service", service, "tokens_per_s", int(rate), "base_ms", e.estimate.Base.Milliseconds(),
		"ahead_us_per_token", e.estimate.SecondsPerTokenAhead*1e6, "running_ms", e.estimate.SecondsPerRunning*1e3, "samples", int(e.estimate.Samples))
}

// EngineEstimate returns the current model of a service's engines.
func (c *Chooser) EngineEstimate(service ident.Service, now time.Time) enginemodel.Estimate {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engineEstimate(service, now)
}

// IdleFirstEvent returns the time that an idle engine takes to a call's first event; 0 at a plain service, and
// while too little is known about the engines.
func (c *Chooser) IdleFirstEvent(call *forward.Call, now time.Time) time.Duration {
	if call.Service.Engine == nil {
		return 0
	}
	estimate := c.EngineEstimate(call.Service.Name, now)
	if estimate.Samples < minSamples {
		return 0
	}
	return estimate.FirstEvent(float64(prefillTokens(call)), 0, 0)
}

// EngineSums returns the samples of this gateway's requests for each service.
func (c *Chooser) EngineSums() map[ident.Service]enginemodel.Sums {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[ident.Service]enginemodel.Sums)
	for service, e := range c.engines {
		if e.own.Weight > 0 {
			out[service] = e.own
		}
	}
	return out
}
