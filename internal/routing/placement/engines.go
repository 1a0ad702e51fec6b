package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// fitEvery is how often the figures of a service's engines are worked out anew. The other
// gateways' reports come about as often, and a request moves the figures by a few in a
// hundred.
const fitEvery = 250 * time.Millisecond

// toldStep is by which part the reading rate must have changed for a log line.
const toldStep = 0.25

// engines is what is known of the engines of one service.
type engines struct {
	// own is what this gateway's requests saw.
	own     enginemodel.Sums
	figures enginemodel.Figures
	fitted  time.Time
	// told is the reading rate that the log has.
	told float64
}

// learnEngine takes in what a request saw of its engine.
func (c *Chooser) learnEngine(p *place, now time.Time) {
	if p.unread == 0 {
		return // an application, or a prompt that nobody counted
	}
	figures := c.figures(p.service, now)
	at(c.engines, p.service).own.Learn(enginemodel.Sample{
		Own: float64(p.unread), Ahead: float64(p.ahead.Unread), Running: float64(p.ahead.Running), First: p.latency,
	}, figures)
}

// figures returns what all gateways' requests together say of a service's engines.
func (c *Chooser) figures(service ident.Service, now time.Time) enginemodel.Figures {
	e := at(c.engines, service)
	if e.fitted.IsZero() || now.Sub(e.fitted) >= fitEvery {
		sums := e.own
		sums.Add(c.cfg.Engines(service))
		e.figures, e.fitted = sums.Fit(), now
		c.tellEngines(service, e)
	}
	return e.figures
}

// tellEngines logs a reading rate that differs from the one that was logged last.
func (c *Chooser) tellEngines(service ident.Service, e *engines) {
	rate := e.figures.Rate()
	if e.figures.Samples == 0 || rate > e.told*(1-toldStep) && rate < e.told*(1+toldStep) {
		return
	}
	e.told = rate
	c.cfg.Log.Info("engines' figures", "service", service, "tokens_per_s", int(rate), "base_ms", e.figures.Base.Milliseconds(),
		"ahead_us_per_token", e.figures.Ahead*1e6, "running_ms", e.figures.Running*1e3, "samples", int(e.figures.Samples))
}

// EngineFigures returns what is known of a service's engines.
func (c *Chooser) EngineFigures(service ident.Service, now time.Time) enginemodel.Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.figures(service, now)
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
