// Package concurrency finds how many requests one gateway may have in flight
// at one upstream, from the latency that it observes there.
//
// The limit follows the ratio of a goal, by default some times the unloaded
// latency, to the observed latency (a gradient): as long as answers come within
// the goal it grows by an allowance for a short queue; when they come later it
// shrinks in proportion. A dropped request shrinks it at once. Gateways that
// share an upstream need not talk: all see the same latency. The package is
// pure.
package concurrency

import (
	"math"
	"time"
)

// Defaults of Config.
const (
	DefaultInitial   = 8
	DefaultMin       = 1
	DefaultMax       = 256
	DefaultTolerance = 2.0
)

const (
	// smoothing is the weight of one sample in the limit.
	smoothing = 0.1
	// minGradient bounds how much one sample can shrink the limit.
	minGradient = 0.5
	// dropFactor shrinks the limit when a request was dropped.
	dropFactor = 0.9
	// fastLatencyShare of the goal is a latency at which the limit grows by at
	// least easyStep a sample, so that it recovers soon after a rush.
	fastLatencyShare = 0.5
	minFastStep      = 0.5
	// minUsedShare of the limit has to be in flight before it may grow: an
	// upstream that is not asked for much proves nothing about more.
	minUsedShare = 0.5
	// baselineDrift lets a measured baseline rise again per sample, so that
	// one lucky answer, or a version that was faster, is forgotten.
	baselineDrift = 0.001
)

// Config bounds a limit.
type Config struct {
	Initial, Min, Max float64
	// Tolerance is how many times the unloaded latency is still taken as
	// no queue, 1 or more.
	Tolerance float64
}

func (c Config) withDefaults() Config {
	if c.Initial <= 0 {
		c.Initial = DefaultInitial
	}
	if c.Min <= 0 {
		c.Min = DefaultMin
	}
	if c.Max <= 0 {
		c.Max = DefaultMax
	}
	if c.Tolerance < 1 {
		c.Tolerance = DefaultTolerance
	}
	return c
}

// Sample is one ended request.
type Sample struct {
	// Latency to the first token, or to the answer of a plain service.
	Latency time.Duration
	// Goal is the latency that is still fine. 0: Tolerance times Unloaded.
	Goal time.Duration
	// Unloaded is the latency expected of an idle upstream. 0: use the
	// least that was observed.
	Unloaded time.Duration
	// InFlight at this upstream from this gateway when it was sent.
	InFlight int
	// Dropped: refused for load, timed out, or failed without an answer.
	Dropped bool
}

// Limit is the limit of one upstream. See New.
type Limit struct {
	config          Config
	value           float64
	baselineSeconds float64
}

// New returns a limit at its initial value.
func New(config Config) *Limit {
	config = config.withDefaults()
	return &Limit{config: config, value: config.Initial}
}

// Value returns how many requests may be in flight.
func (l *Limit) Value() int { return int(l.value) }

// Observe takes in one ended request.
func (l *Limit) Observe(s Sample) {
	if s.Dropped {
		l.set(l.value * dropFactor)
		return
	}
	if s.Latency <= 0 {
		return
	}
	room := l.goalSeconds(s) / s.Latency.Seconds()
	next := l.value*min(max(room, minGradient), 1) + math.Sqrt(l.value)
	if next > l.value && float64(s.InFlight) < minUsedShare*l.value {
		return
	}
	step := smoothing * (next - l.value)
	if room > 1/fastLatencyShare {
		step = max(step, minFastStep)
	}
	l.set(l.value + step)
}

// goalSeconds returns the latency that is still fine, in seconds.
func (l *Limit) goalSeconds(s Sample) float64 {
	if s.Goal > 0 {
		return s.Goal.Seconds()
	}
	return l.config.Tolerance * l.unloadedSeconds(s)
}

func (l *Limit) set(value float64) {
	l.value = min(max(value, l.config.Min), l.config.Max)
}

// unloadedSeconds returns the baseline in seconds.
func (l *Limit) unloadedSeconds(s Sample) float64 {
	if s.Unloaded > 0 {
		return s.Unloaded.Seconds()
	}
	latency := s.Latency.Seconds()
	if l.baselineSeconds == 0 || latency < l.baselineSeconds {
		l.baselineSeconds = latency
	} else {
		l.baselineSeconds += baselineDrift * (latency - l.baselineSeconds)
	}
	return l.baselineSeconds
}
