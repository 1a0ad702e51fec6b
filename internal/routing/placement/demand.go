package placement

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/runningmean"
)

const (
	// demandWindow is the time constant of a service's average demand. Two or three
	// seconds show a burst before its queues have grown.
	demandWindow = 2500 * time.Millisecond
	// maxSampleRatio bounds the time of one answer that enters the mean, as a multiple of
	// the mean.
	maxSampleRatio = 2
)

// serviceDemand estimates the work that callers ask of a service through this
// gateway: what its engines would have to do if there were enough of them.
//
// It does not count the requests in progress. While there are too few engines, all
// answers take several times as long, and on-demand engines would be ordered for work
// that nobody asks for.
type serviceDemand struct {
	// promptRate is the number of prompt tokens to be read per second, as of updatedAt.
	promptRate float64
	updatedAt  time.Time
	routes     map[string]*routeDemand
}

// routeDemand is the demand of one route for generating answers.
type routeDemand struct {
	// requestRate is the number of requests per second, as of updatedAt of the service.
	requestRate float64
	// answer is the mean time of an answer from its first event to its end, in seconds. A shortage of engines for
	// some ten seconds hardly changes it.
	answer runningmean.Mean
}

// decayTo lets the rates decay until now.
func (d *serviceDemand) decayTo(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		return
	}
	keep := math.Exp(-elapsed.Seconds() / demandWindow.Seconds())
	d.promptRate *= keep
	for _, r := range d.routes {
		r.requestRate *= keep
	}
	d.updatedAt = now
}

// callStarted records a call that is sent for the first time.
func (d *serviceDemand) callStarted(call *forward.Call, now time.Time) {
	d.decayTo(now)
	d.promptRate += float64(prefillTokens(call)) / demandWindow.Seconds()
	d.route(call.Route.Name).requestRate += 1 / demandWindow.Seconds()
}

// answerFinished records how long a whole answer of a route took from its first
// event to its end.
func (d *serviceDemand) answerFinished(route string, generating time.Duration) {
	d.route(route).answer.AddBounded(generating.Seconds(), maxSampleRatio)
}

func (d *serviceDemand) route(name string) *routeDemand {
	if d.routes == nil {
		d.routes = make(map[string]*routeDemand)
	}
	return getOrCreate(d.routes, name)
}

// generating returns how many requests would be generating an answer at a time if
// each took the mean time of its route.
func (d *serviceDemand) generating() float64 {
	sum := 0.0
	for _, r := range d.routes {
		sum += r.requestRate * r.answer.Value
	}
	return sum
}

// drainFactor is the multiple of the mean answer time within which nearly all
// answers end.
const drainFactor = 3

// DrainTime returns the time within which nearly all answers of a service that have begun
// will end.
func (c *Chooser) DrainTime(service ident.Service) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := 0.0
	for _, r := range getOrCreate(c.demands, service).routes {
		longest = max(longest, r.answer.Value)
	}
	return time.Duration(drainFactor * longest * float64(time.Second))
}

// prefillTokens returns how many prompt tokens a call asks to be read: those that
// the home of its shared parts does not have. The number that is really read is no
// measure of demand: while there are too few engines, requests are sent elsewhere than
// to their homes and sent again, and three times as many tokens are read.
func prefillTokens(call *forward.Call) int {
	return call.PromptTokens - sharedTokens(call)
}

// Demand is the work that callers ask of a service's engines: what the engines would
// have to do if there were enough of them.
type Demand struct {
	// PromptTokensPerSecond is the number of prompt tokens to be read per second.
	PromptTokensPerSecond float64
	// Generating is how many requests would be generating an answer at a time if each
	// took its usual time.
	Generating float64
}

// Plus returns the sum of two demands.
func (d Demand) Plus(o Demand) Demand {
	return Demand{d.PromptTokensPerSecond + o.PromptTokensPerSecond, d.Generating + o.Generating}
}

// Minus returns the demand without a part of it, at least 0.
func (d Demand) Minus(o Demand) Demand {
	return Demand{max(0, d.PromptTokensPerSecond-o.PromptTokensPerSecond), max(0, d.Generating-o.Generating)}
}

// Demand returns the demand of this gateway's callers for a service.
func (c *Chooser) Demand(service ident.Service, now time.Time) Demand {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := getOrCreate(c.demands, service)
	d.decayTo(now)
	return Demand{PromptTokensPerSecond: d.promptRate, Generating: d.generating()}
}
