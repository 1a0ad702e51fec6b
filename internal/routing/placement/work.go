package placement

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// demandWindow is over how long the work of a service is averaged: two or three
	// seconds show a burst before its queues have grown.
	demandWindow = 2500 * time.Millisecond
	// maxMeanSamples is over how many answers a route's usual time is averaged: some ten
	// seconds of want of engines hardly move it.
	maxMeanSamples = 200
	// maxSampleRatio bounds what one answer counts, in times of the usual one.
	maxSampleRatio = 2
)

// serviceDemand is the work that callers ask of a service through this gateway: what engines
// would have to do if there were enough of them. What goes wrong if what they have in
// progress were counted instead: where they are short, all answers take several times as
// long, and on-demand engines would be ordered for work that nobody asks for.
type serviceDemand struct {
	// promptRate is tokens to be read a second; it decays.
	promptRate float64
	updatedAt  time.Time
	routes     map[string]*routeDemand
}

// routeDemand is the generating that one route asks for.
type routeDemand struct {
	// requestRate is requests a second; it decays.
	requestRate float64
	// meanSeconds is how long an answer takes from its first event to its end, in seconds,
	// of so many samples.
	meanSeconds float64
	samples     int
}

// decayTo lets time pass.
func (w *serviceDemand) decayTo(now time.Time) {
	elapsed := now.Sub(w.updatedAt)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	w.promptRate *= keep
	for _, r := range w.routes {
		r.requestRate *= keep
	}
	w.updatedAt = now
}

// callStarted notes a call that is sent for the first time, with the tokens that it asks to be
// read.
func (w *serviceDemand) callStarted(call *forward.Call, now time.Time) {
	w.decayTo(now)
	w.promptRate += float64(prefillTokens(call)) / demandWindow.Seconds()
	w.route(call.Route.Name).requestRate += 1 / demandWindow.Seconds()
}

// answerFinished notes how long a whole answer of a route took from its first event on.
func (w *serviceDemand) answerFinished(route string, generating time.Duration) {
	w.route(route).learn(generating.Seconds())
}

func (w *serviceDemand) route(name string) *routeDemand {
	if w.routes == nil {
		w.routes = make(map[string]*routeDemand)
	}
	return getOrCreate(w.routes, name)
}

func (r *routeDemand) learn(seconds float64) {
	r.samples++
	if r.samples == 1 {
		r.meanSeconds = seconds
		return
	}
	weight := 1 / float64(min(r.samples, maxMeanSamples))
	r.meanSeconds += weight * (min(seconds, maxSampleRatio*r.meanSeconds) - r.meanSeconds)
}

// generating is how many requests would be generating at their usual speed.
func (w *serviceDemand) generating() float64 {
	sum := 0.0
	for _, r := range w.routes {
		sum += r.requestRate * r.meanSeconds
	}
	return sum
}

// drainFactor times the usual answer nearly all answers last.
const drainFactor = 3

// Drain returns how long nearly all answers of a service take that have begun.
func (c *Chooser) Drain(service ident.Service) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := 0.0
	for _, r := range getOrCreate(c.demands, service).routes {
		longest = max(longest, r.meanSeconds)
	}
	return time.Duration(drainFactor * longest * float64(time.Second))
}

// prefillTokens is how many prompt tokens a call asks to be read: those that the home of its
// parts lacks. Where engines are short, requests are sent away from their homes and sent
// again, and three times as many are read.
func prefillTokens(call *forward.Call) int {
	return call.PromptTokens - sharedTokens(call)
}

// Demand is what callers ask of a service's engines: what these would have to do if there
// were enough of them.
type Demand struct {
	// Prompt is tokens to be read a second.
	Prompt float64
	// Generating is how many requests would be generating at their usual speed.
	Generating float64
}

// Plus is what two ask together.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.Prompt + o.Prompt, d.Generating + o.Generating}
}

// Minus is what is left of a demand without a part of it.
func (d Demand) Minus(o Demand) Demand {
	return Demand{max(0, d.Prompt-o.Prompt), max(0, d.Generating-o.Generating)}
}

// Demand returns what this gateway's callers ask of a service.
func (c *Chooser) Demand(service ident.Service, now time.Time) Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := getOrCreate(c.demands, service)
	w.decayTo(now)
	return Demand{Prompt: w.promptRate, Generating: w.generating()}
}
