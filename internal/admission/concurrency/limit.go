// Package concurrency adapts how many requests one gateway may have in flight at
// one upstream to the latency that it observes there.
//
// The limit follows a gradient, the ratio of a latency goal to the observed
// latency; the goal is by default a multiple of the unloaded latency. While
// answers come within the goal, the limit grows by an allowance for a short
// queue; when they come later, it shrinks in proportion. A dropped request
// shrinks it at once. Gateways that share an upstream need not communicate,
// since all of them see the same latency. The package is pure.
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
	// minGradient is the smallest gradient that is applied. It bounds how much
	// one sample can shrink the limit.
	minGradient = 0.5
	// dropFactor multiplies the limit when a request was dropped.
	dropFactor = 0.9
	// fastLatencyShare is the share of the goal below which a latency counts
	// as fast. The limit then grows by at least minFastStep per sample, so
	// that it recovers soon after a load spike.
	fastLatencyShare = 0.5
	minFastStep      = 0.5
	// minUsedShare is the share of the limit that must be in flight for the
	// limit to grow: the latency at an upstream with little load says nothing
	// about a higher load.
	minUsedShare = 0.5
	// baselineDrift is the weight of one sample with a higher latency in the
	// measured baseline. It lets the baseline rise again, so that a single
	// fast answer, or an earlier version that was faster, is forgotten.
	baselineDrift = 0.001
)

// Config bounds a limit. Zero fields take the defaults.
type Config struct {
	// Initial, Min and Max are numbers of requests in flight.
	Initial, Min, Max float64
	// Tolerance is how many times the unloaded latency a request may take and
	// still count as not queued; 1 or more.
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
	// Latency is the time to the first token, or to the answer of a plain
	// service. 0 means that there was none.
	Latency time.Duration
	// Goal is the latency up to which the upstream counts as not overloaded.
	// 0 means Config.Tolerance times Unloaded.
	Goal time.Duration
	// Unloaded is the latency expected of an idle upstream. 0 means the
	// lowest latency that was observed.
	Unloaded time.Duration
	// InFlight is how many requests this gateway had in flight at the
	// upstream when this one was sent.
	InFlight int
	// Dropped reports that the request was refused because of load, timed out
	// or failed without an answer.
	Dropped bool
}

// Limit is the concurrency limit of one upstream. It is not safe for concurrent
// use. See New.
type Limit struct {
	config Config
	value  float64
	// baselineSeconds is the lowest observed latency, which drifts up slowly;
	// 0 until a sample without Unloaded was recorded.
	baselineSeconds float64
}

// New returns a limit at its initial value.
func New(config Config) *Limit {
	config = config.withDefaults()
	return &Limit{config: config, value: config.Initial}
}

// Value returns how many requests may be in flight.
func (l *Limit) Value() int { return int(l.value) }

// Observe updates the limit with one ended request.
func (l *Limit) Observe(s Sample) {
	if s.Dropped {
		l.set(l.value * dropFactor)
		return
	}
	if s.Latency <= 0 {
		return
	}
	gradient := l.goalSeconds(s) / s.Latency.Seconds()
	next := l.value*min(max(gradient, minGradient), 1) + math.Sqrt(l.value)
	if next > l.value && float64(s.InFlight) < minUsedShare*l.value {
		return
	}
	step := smoothing * (next - l.value)
	if gradient > 1/fastLatencyShare {
		step = max(step, minFastStep)
	}
	l.set(l.value + step)
}

// goalSeconds returns the sample's latency goal in seconds.
func (l *Limit) goalSeconds(s Sample) float64 {
	if s.Goal > 0 {
		return s.Goal.Seconds()
	}
	return l.config.Tolerance * l.unloadedSeconds(s)
}

func (l *Limit) set(value float64) {
	l.value = min(max(value, l.config.Min), l.config.Max)
}

// unloadedSeconds returns the unloaded latency in seconds: the sample's own, or
// else the baseline, which it updates.
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
