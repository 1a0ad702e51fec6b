package placement

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// workMemory is over how long the work of a service is averaged: two or three
	// seconds show a burst before its queues have grown.
	workMemory = 2500 * time.Millisecond
	// usualMemory is over how many answers a route's usual time is averaged: some ten
	// seconds of want of engines hardly move it.
	usualMemory = 200
	// usualClip bounds what one answer counts, in times of the usual one.
	usualClip = 2
)

// workOf is the work that callers ask of a service through this gateway: what engines
// would have to do if there were enough of them. What goes wrong if what they have in
// progress were counted instead: where they are short, all answers take several times as
// long, and on-demand engines would be ordered for work that nobody asks for.
type workOf struct {
	// prompt is tokens to be read a second; it decays.
	prompt float64
	at     time.Time
	routes map[string]*routeWork
}

// routeWork is the generating that one route asks for.
type routeWork struct {
	// rate is requests a second; it decays.
	rate float64
	// usual is how long an answer takes from its first event to its end, in seconds,
	// of so many samples.
	usual   float64
	samples int
}

// moveTo lets time pass.
func (w *workOf) moveTo(now time.Time) {
	elapsed := now.Sub(w.at)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / workMemory.Seconds())
	w.prompt *= keep
	for _, r := range w.routes {
		r.rate *= keep
	}
	w.at = now
}

// began notes a call that is sent for the first time, with the tokens that it asks to be
// read.
func (w *workOf) began(call *forward.Call, now time.Time) {
	w.moveTo(now)
	w.prompt += float64(offered(call)) / workMemory.Seconds()
	w.route(call.Route.Name).rate += 1 / workMemory.Seconds()
}

// ended notes how long a whole answer of a route took from its first event on.
func (w *workOf) ended(route string, generating time.Duration) {
	w.route(route).learn(generating.Seconds())
}

func (w *workOf) route(name string) *routeWork {
	if w.routes == nil {
		w.routes = make(map[string]*routeWork)
	}
	return at(w.routes, name)
}

func (r *routeWork) learn(seconds float64) {
	r.samples++
	if r.samples == 1 {
		r.usual = seconds
		return
	}
	weight := 1 / float64(min(r.samples, usualMemory))
	r.usual += weight * (min(seconds, usualClip*r.usual) - r.usual)
}

// generating is how many requests would be generating at their usual speed.
func (w *workOf) generating() float64 {
	sum := 0.0
	for _, r := range w.routes {
		sum += r.rate * r.usual
	}
	return sum
}

// usualsOfDrain times the usual answer nearly all answers last.
const usualsOfDrain = 3

// Drain returns how long nearly all answers of a service take that have begun.
func (c *Chooser) Drain(service ident.Service) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := 0.0
	for _, r := range at(c.work, service).routes {
		longest = max(longest, r.usual)
	}
	return time.Duration(usualsOfDrain * longest * float64(time.Second))
}

// offered is how many prompt tokens a call asks to be read: those that the home of its
// parts lacks. Where engines are short, requests are sent away from their homes and sent
// again, and three times as many are read.
func offered(call *forward.Call) int {
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
	w := at(c.work, service)
	w.moveTo(now)
	return Demand{Prompt: w.prompt, Generating: w.generating()}
}
