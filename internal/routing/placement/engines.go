package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// fitInterval is how often the estimate of a service's engines are worked out anew. The other
// gateways' reports come about as often, and a request moves the estimate by a few in a
// hundred.
const fitInterval = 250 * time.Millisecond

// loggedRateChange is by which part the reading rate must have changed for a log line.
const loggedRateChange = 0.25

// serviceEngines is what is known of the engines of one service.
type serviceEngines struct {
	// own is what this gateway's requests saw.
	own      enginemodel.Sums
	estimate  enginemodel.Figures
	fittedAt time.Time
	// loggedRate is the reading rate that the log has.
	loggedRate float64
}

// learnEngineSpeed takes in what a request saw of its engine.
func (c *Chooser) learnEngineSpeed(p *reservation, now time.Time) {
	if p.unreadTokens == 0 {
		return // an application, or a prompt that nobody counted
	}
	estimate := c.engineEstimate(p.service, now)
	getOrCreate(c.engines, p.service).own.Learn(enginemodel.Sample{
		Own: float64(p.unreadTokens), Ahead: float64(p.loadAhead.Unread), Running: float64(p.loadAhead.Running), First: p.firstEventLatency,
	}, estimate)
}

// engineEstimate returns what all gateways' requests together say of a service's engines.
func (c *Chooser) engineEstimate(service ident.Service, now time.Time) enginemodel.Figures {
	e := getOrCreate(c.engines, service)
	if e.fittedAt.IsZero() || now.Sub(e.fittedAt) >= fitInterval {
		sums := e.own
		sums.Add(c.cfg.Engines(service))
		e.estimate, e.fittedAt = sums.Fit(), now
		c.logEngineEstimate(service, e)
	}
	return e.estimate
}

// logEngineEstimate logs a reading rate that differs from the one that was logged last.
func (c *Chooser) logEngineEstimate(service ident.Service, e *serviceEngines) {
	rate := e.estimate.Rate()
	if e.estimate.Samples == 0 || rate > e.loggedRate*(1-loggedRateChange) && rate < e.loggedRate*(1+loggedRateChange) {
		return
	}
	e.loggedRate = rate
	c.cfg.Log.Info("fitted the engine model", "service", service, "tokens_per_s", int(rate), "base_ms", e.estimate.Base.Milliseconds(),
		"ahead_us_per_token", e.estimate.Ahead*1e6, "running_ms", e.estimate.Running*1e3, "samples", int(e.estimate.Samples))
}

// EngineFigures returns what is known of a service's engines.
func (c *Chooser) EngineFigures(service ident.Service, now time.Time) enginemodel.Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.engineEstimate(service, now)
}

// Engines returns what this gateway's requests saw of each service's engines.
func (c *Chooser) Engines() map[ident.Service]enginemodel.Sums {
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
