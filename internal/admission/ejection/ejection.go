// Package ejection detects upstreams that fail or are far slower than the
// others, whatever they report about themselves, and excludes them from
// receiving requests for a while (outlier ejection).
//
// An upstream is healthy, ejected for a time, or probed with one request at a
// time until enough probes have succeeded. Never more than a third of the
// upstreams is unhealthy: if everything is slow, the cause is load or a network
// partition, and sending all requests to the few that look best would bring
// these down too. The package is pure: time is passed in.
package ejection

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Defaults of Config.
const (
	DefaultConsecutiveFailures = 5
	DefaultSlowFactor          = 3.0
	DefaultSlowSamples         = 10
	DefaultBaseEjectionTime    = 5 * time.Second
	DefaultMaxEjectionTime     = 60 * time.Second
	DefaultProbes              = 3
	DefaultProbeTimeout        = 30 * time.Second
)

const (
	// upstreamsPerEjected bounds the upstreams that aren't healthy: at most
	// one in this many.
	upstreamsPerEjected = 3
	// latencySmoothing is the weight of one sample in the moving average of an
	// upstream's latency.
	latencySmoothing = 0.2
	// minOthers is how many other healthy upstreams with samples are needed to
	// tell whether an upstream is slow.
	minOthers = 2
)

// Config sets when an upstream is ejected and for how long. Zero fields take
// the defaults.
type Config struct {
	// ConsecutiveFailures is the number of consecutive failures that eject an upstream.
	ConsecutiveFailures int
	// SlowFactor ejects an upstream whose average latency exceeds this many
	// times the median of the others, once SlowSamples latencies of it were
	// recorded. 1 or less takes the default.
	SlowFactor  float64
	SlowSamples int
	// BaseEjectionTime is the length of the first ejection. Each further one is twice as
	// long, up to MaxEjectionTime.
	BaseEjectionTime, MaxEjectionTime time.Duration
	// Probes is how many consecutive probes must succeed before an upstream is
	// healthy again.
	Probes int
	// ProbeTimeout is the time after which a probe without a reported result is
	// given up and another one may be sent.
	ProbeTimeout time.Duration
}

func (c Config) withDefaults() Config {
	c.ConsecutiveFailures = positiveOr(c.ConsecutiveFailures, DefaultConsecutiveFailures)
	c.SlowSamples = positiveOr(c.SlowSamples, DefaultSlowSamples)
	c.Probes = positiveOr(c.Probes, DefaultProbes)
	c.BaseEjectionTime = positiveOr(c.BaseEjectionTime, DefaultBaseEjectionTime)
	c.MaxEjectionTime = positiveOr(c.MaxEjectionTime, DefaultMaxEjectionTime)
	c.ProbeTimeout = positiveOr(c.ProbeTimeout, DefaultProbeTimeout)
	if c.SlowFactor <= 1 {
		c.SlowFactor = DefaultSlowFactor
	}
	return c
}

func positiveOr[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}

// State is the state of an upstream.
type State int

// The states of an upstream.
const (
	// Healthy upstreams get requests.
	Healthy State = iota
	// Ejected upstreams get no request until the ejection is over, and then
	// one, as a probe.
	Ejected
	// Probing upstreams get one request at a time.
	Probing
)

// Sample is one ended request at an upstream.
type Sample struct {
	// Failed reports that the upstream gave no answer, or refused for another
	// reason than that it is about to leave. An application error counts as
	// success.
	Failed bool
	// Latency is the time to the first token divided by the time that an idle
	// upstream is expected to take for this request, so that long prompts
	// don't look slow. If all requests are alike, it may be any measure of
	// latency. 0 means not measured.
	Latency float64
	// Started is when the request was sent. While an upstream is being
	// probed, requests sent before the probe are ignored. Zero means that the
	// request is the probe.
	Started time.Time
}

// upstream is the state of one upstream.
type upstream struct {
	state State
	// failures is the number of consecutive failures.
	failures int
	// latencyAverage is the moving average of Sample.Latency over samples.
	latencyAverage float64
	samples        int
	// ejections counts ejections that followed each other with less than
	// Config.MaxEjectionTime of health in between.
	ejections int
	// until is when the ejection ends, or, for a healthy upstream, when it
	// became healthy again.
	until time.Time
	// probeStarted is when the present probe was sent; zero if none is under
	// way.
	probeStarted time.Time
	goodProbes   int
}

// Set holds the upstreams of one service. It is not safe for concurrent use.
// See New.
type Set struct {
	config    Config
	upstreams map[ident.Instance]*upstream
	// latencies is scratch space of medianOfOthers.
	latencies []float64
}

// New returns a set without upstreams.
func New(config Config) *Set {
	return &Set{config: config.withDefaults(), upstreams: map[ident.Instance]*upstream{}}
}

// SetUpstreams sets the upstreams of the service. New ones are healthy.
func (s *Set) SetUpstreams(ids []ident.Instance) {
	wanted := make(map[ident.Instance]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	for id := range s.upstreams {
		if !wanted[id] {
			delete(s.upstreams, id)
		}
	}
	for _, id := range ids {
		if s.upstreams[id] == nil {
			s.upstreams[id] = &upstream{}
		}
	}
	s.enforceEjectionLimit()
}

// enforceEjectionLimit makes upstreams healthy again, those whose ejection ends
// first, until no more than a third is unhealthy. Upstreams can leave while
// others are ejected; without this, the ejected ones could outnumber the rest.
func (s *Set) enforceEjectionLimit() {
	for s.notHealthy()*upstreamsPerEjected > len(s.upstreams) {
		var first ident.Instance
		for id, u := range s.upstreams {
			if u.state != Healthy && (first == "" || s.endsSooner(id, u, first)) {
				first = id
			}
		}
		s.upstreams[first] = &upstream{}
	}
}

// endsSooner reports whether the ejection of upstream id ends before that of
// otherID. It breaks ties by ID so that the order is the same in each run.
func (s *Set) endsSooner(id ident.Instance, u *upstream, otherID ident.Instance) bool {
	other := s.upstreams[otherID]
	if !u.until.Equal(other.until) {
		return u.until.Before(other.until)
	}
	return id < otherID
}

// State returns the state of an upstream. An unknown upstream is healthy.
func (s *Set) State(id ident.Instance) State {
	if u := s.upstreams[id]; u != nil {
		return u.state
	}
	return Healthy
}

// Excluded returns the upstreams that must not get a request now, sorted by ID.
func (s *Set) Excluded(now time.Time) []ident.Instance {
	var ids []ident.Instance
	for id, u := range s.upstreams {
		if !s.allows(u, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// allows reports whether a request may be sent to an upstream now.
func (s *Set) allows(u *upstream, now time.Time) bool {
	switch u.state {
	case Ejected:
		return !now.Before(u.until)
	case Probing:
		return u.probeStarted.IsZero() || now.Sub(u.probeStarted) >= s.config.ProbeTimeout
	}
	return true
}

// NextChange returns the next time at which Excluded changes merely because time
// passes; zero means never.
func (s *Set) NextChange(now time.Time) time.Time {
	var next time.Time
	for _, u := range s.upstreams {
		at := u.until
		if u.state == Probing && !u.probeStarted.IsZero() {
			at = u.probeStarted.Add(s.config.ProbeTimeout)
		}
		if u.state != Healthy && at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// RecordAttemptStart records that a request is sent to an upstream. If the
// upstream's ejection is over and no probe is under way, the request is a probe.
func (s *Set) RecordAttemptStart(now time.Time, id ident.Instance) {
	u := s.upstreams[id]
	if u == nil || u.state == Healthy || !s.allows(u, now) {
		return
	}
	u.state = Probing
	u.probeStarted = now
}

// RecordAttemptEnd records the result of a request. It may eject the upstream
// or, after a probe, make it healthy again.
func (s *Set) RecordAttemptEnd(now time.Time, id ident.Instance, sample Sample) {
	u := s.upstreams[id]
	if u == nil {
		return
	}
	u.record(sample)
	switch u.state {
	case Probing:
		s.recordProbe(now, u, sample)
	case Healthy:
		if u.failures >= s.config.ConsecutiveFailures || s.slow(u) {
			s.ejectWithinLimit(now, u)
		}
	}
}

func (u *upstream) record(sample Sample) {
	if sample.Failed {
		u.failures++
		return
	}
	u.failures = 0
	if sample.Latency <= 0 {
		return
	}
	u.samples++
	if u.samples == 1 {
		u.latencyAverage = sample.Latency
		return
	}
	u.latencyAverage += latencySmoothing * (sample.Latency - u.latencyAverage)
}

// slow reports whether an upstream is far slower than the other healthy ones.
func (s *Set) slow(u *upstream) bool {
	if u.samples < s.config.SlowSamples {
		return false
	}
	median, known := s.medianOfOthers(u)
	return known && u.latencyAverage > s.config.SlowFactor*median
}

// medianOfOthers returns the median of the average latencies of the other healthy
// upstreams, and false if fewer than minOthers have samples.
func (s *Set) medianOfOthers(except *upstream) (float64, bool) {
	s.latencies = s.latencies[:0]
	for _, u := range s.upstreams {
		if u != except && u.state == Healthy && u.samples > 0 {
			s.latencies = append(s.latencies, u.latencyAverage)
		}
	}
	if len(s.latencies) < minOthers {
		return 0, false
	}
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)/2], true
}

// ejectWithinLimit ejects an upstream unless more than a third of the upstreams
// would be unhealthy then.
func (s *Set) ejectWithinLimit(now time.Time, u *upstream) {
	if (s.notHealthy()+1)*upstreamsPerEjected > len(s.upstreams) {
		return
	}
	s.startEjection(now, u)
}

// startEjection ejects an upstream for twice as long as the last time, at most
// Config.MaxEjectionTime, or for Config.BaseEjectionTime if it has been healthy
// for Config.MaxEjectionTime since.
func (s *Set) startEjection(now time.Time, u *upstream) {
	if u.state == Healthy && now.Sub(u.until) >= s.config.MaxEjectionTime {
		u.ejections = 0
	}
	length := s.config.BaseEjectionTime << min(u.ejections, 20)
	if length <= 0 || length > s.config.MaxEjectionTime {
		length = s.config.MaxEjectionTime
	}
	*u = upstream{state: Ejected, ejections: u.ejections + 1, until: now.Add(length)}
}

// notHealthy returns the number of upstreams that are ejected or being probed.
func (s *Set) notHealthy() int {
	n := 0
	for _, u := range s.upstreams {
		if u.state != Healthy {
			n++
		}
	}
	return n
}

// recordProbe records the result of a probe. It makes the upstream healthy after
// enough consecutive good probes, and ejects it again after a failed or slow one.
func (s *Set) recordProbe(now time.Time, u *upstream, sample Sample) {
	if !sample.Started.IsZero() && sample.Started.Before(u.probeStarted) {
		return
	}
	u.probeStarted = time.Time{}
	median, known := s.medianOfOthers(u)
	slow := known && sample.Latency > s.config.SlowFactor*median
	if sample.Failed || slow {
		s.startEjection(now, u)
		return
	}
	u.goodProbes++
	if u.goodProbes >= s.config.Probes {
		*u = upstream{ejections: u.ejections, until: now}
	}
}
