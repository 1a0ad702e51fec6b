package waiting

import (
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/runningmean"
)

const (
	// maxSampleRatio bounds one answer in the mean, and the cost of one call, as a multiple of the mean.
	maxSampleRatio = 2
	// minCost is the least that a call costs, in seconds.
	minCost = 0.001
)

// costs estimates what calls cost in seconds of a slot, from how long the calls of their routes held one. It
// is safe for concurrent use.
type costs struct {
	mu     sync.Mutex
	routes map[string]*routeCost
}

// routeCost is what the answers of one route took.
type routeCost struct {
	// seconds is the mean time for which a slot was held after the prompt was read, and maxTokens the mean of the
	// answers' largest sizes.
	seconds, maxTokens runningmean.Mean
}

// of returns a call's cost in seconds. reading is the time to read its prompt; 0 if it has none. Until an
// answer of its route has ended, a call costs its objective.
func (c *costs) of(call *forward.Call, reading time.Duration) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[call.Route.Name]
	if r == nil {
		return max(minCost, reading.Seconds()+call.Route.Objective.Seconds())
	}
	return max(minCost, reading.Seconds()+r.generating(call.MaxTokens))
}

// generating returns the seconds for an answer of at most this size. A size that callers declare may be
// far larger than any answer, so the mean bounds it.
func (r *routeCost) generating(maxTokens int) float64 {
	if maxTokens <= 0 || r.maxTokens.Value <= 0 {
		return r.seconds.Value
	}
	return r.seconds.Value * min(float64(maxTokens)/r.maxTokens.Value, maxSampleRatio)
}

// learn records that an answer to a call held its slot for a time, of which reading its prompt took a part.
func (c *costs) learn(call *forward.Call, held, reading time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.routes == nil {
		c.routes = make(map[string]*routeCost)
	}
	r := c.routes[call.Route.Name]
	if r == nil {
		r = &routeCost{}
		c.routes[call.Route.Name] = r
	}
	r.seconds.AddBounded(max(0, (held-reading).Seconds()), maxSampleRatio)
	r.maxTokens.Add(float64(call.MaxTokens))
}

// keep drops the routes for which inUse returns false.
func (c *costs) keep(inUse func(route string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.routes {
		if !inUse(name) {
			delete(c.routes, name)
		}
	}
}
