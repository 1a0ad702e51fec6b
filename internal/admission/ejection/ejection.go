// Package ejection keeps requests from upstreams that fail or are far slower
// than their peers, whatever they report of themselves.
//
// An upstream is healthy, ejected for a time, or probed with one request at a
// time until it has proved itself. Never more than a third is ejected: when
// everything is slow the cause is load or a cut, and sending all work to the
// few that look best would bring these down too. The package is pure.
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
	// upstreamsPerEjected bounds the ejected: one in this many.
	upstreamsPerEjected = 3
	// latencySmoothing is the weight of one sample in an upstream's latency.
	latencySmoothing = 0.2
	// minOthers is how many others are needed to tell what is slow.
	minOthers = 2
)

// Config sets when an upstream is ejected and for how long.
type Config struct {
	// Failures in a row that eject.
	Failures int
	// SlowFactor times the median of the peers' latency ejects, once
	// SlowSamples were seen.
	SlowFactor  float64
	SlowSamples int
	// Base is the first ejection's time; each further one doubles it up to
	// Longest.
	Base, Longest time.Duration
	// Probes is how many in a row have to succeed.
	Probes int
	// ProbeLimit ends a probe that no one reports on.
	ProbeLimit time.Duration
}

func (c Config) withDefaults() Config {
	c.Failures = positiveOr(c.Failures, DefaultConsecutiveFailures)
	c.SlowSamples = positiveOr(c.SlowSamples, DefaultSlowSamples)
	c.Probes = positiveOr(c.Probes, DefaultProbes)
	c.Base = positiveOr(c.Base, DefaultBaseEjectionTime)
	c.Longest = positiveOr(c.Longest, DefaultMaxEjectionTime)
	c.ProbeLimit = positiveOr(c.ProbeLimit, DefaultProbeTimeout)
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

// State of an upstream.
type State int

// The states.
const (
	// Healthy: the upstream gets requests.
	Healthy State = iota
	// Ejected: it gets none until its time is over; then one, as a probe.
	Ejected
	// Probing: it gets one request at a time.
	Probing
)

// Sample is one ended request at an upstream.
type Sample struct {
	// Failed: no answer, or a refusal that is not for its being asked to
	// leave. A call that the application itself failed is a success.
	Failed bool
	// Latency to the first token over what is expected of an idle upstream
	// for this request, so that long prompts do not look slow; or any
	// latency, if requests are alike. 0 is not measured.
	Latency float64
	// Started is when the request was sent. While probing, requests sent
	// before the probe prove nothing. Zero counts as the probe's own.
	Started time.Time
}

// upstream is what is known of one upstream.
type upstream struct {
	state          State
	failures       int
	latencyAverage float64
	samples        int
	// ejections in a row, with less than Config.Longest of health between.
	ejections int
	// until is when an ejection ends, or when health was proved.
	until time.Time
	// probeStarted is zero when no probe is under way.
	probeStarted time.Time
	goodProbes   int
}

// Set is the upstreams of one service. See New.
type Set struct {
	config    Config
	upstreams map[ident.Instance]*upstream
	// latencies is scratch space.
	latencies []float64
}

// New returns a set without upstreams.
func New(config Config) *Set {
	return &Set{config: config.withDefaults(), upstreams: map[ident.Instance]*upstream{}}
}

// SetUpstreams says which upstreams there are. New ones are healthy.
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

// enforceEjectionLimit readmits those whose ejection ends first until no more than a
// third is out. Upstreams can leave while others are ejected; without this,
// the ejected could come to outnumber the rest.
func (s *Set) enforceEjectionLimit() {
	for s.notHealthy()*upstreamsPerEjected > len(s.upstreams) {
		var first ident.Instance
		for id, p := range s.upstreams {
			if p.state != Healthy && (first == "" || s.endsSooner(id, p, first)) {
				first = id
			}
		}
		s.upstreams[first] = &upstream{}
	}
}

func (s *Set) endsSooner(id ident.Instance, p *upstream, than ident.Instance) bool {
	other := s.upstreams[than]
	if !p.until.Equal(other.until) {
		return p.until.Before(other.until)
	}
	return id < than
}

// State returns the state of an upstream; unknown ones are healthy.
func (s *Set) State(id ident.Instance) State {
	if p := s.upstreams[id]; p != nil {
		return p.state
	}
	return Healthy
}

// Excluded returns the upstreams that must get no request now, in order.
func (s *Set) Excluded(now time.Time) []ident.Instance {
	var ids []ident.Instance
	for id, p := range s.upstreams {
		if !s.allows(p, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// allows reports whether a request may go to an upstream.
func (s *Set) allows(p *upstream, now time.Time) bool {
	switch p.state {
	case Ejected:
		return !now.Before(p.until)
	case Probing:
		return p.probeStarted.IsZero() || now.Sub(p.probeStarted) >= s.config.ProbeLimit
	}
	return true
}

// NextChange returns when Excluded changes by time alone; zero is never.
func (s *Set) NextChange(now time.Time) time.Time {
	var next time.Time
	for _, p := range s.upstreams {
		at := p.until
		if p.state == Probing && !p.probeStarted.IsZero() {
			at = p.probeStarted.Add(s.config.ProbeLimit)
		}
		if p.state != Healthy && at.After(now) && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// Started says that a request goes to an upstream. At an upstream whose
// ejection is over it is a probe.
func (s *Set) Started(now time.Time, id ident.Instance) {
	p := s.upstreams[id]
	if p == nil || p.state == Healthy || !s.allows(p, now) {
		return
	}
	p.state = Probing
	p.probeStarted = now
}

// Ended takes in an ended request.
func (s *Set) Ended(now time.Time, id ident.Instance, sample Sample) {
	p := s.upstreams[id]
	if p == nil {
		return
	}
	p.record(sample)
	switch p.state {
	case Probing:
		s.recordProbe(now, p, sample)
	case Healthy:
		if p.failures >= s.config.Failures || s.slow(p) {
			s.ejectWithinLimit(now, p)
		}
	}
}

func (p *upstream) record(sample Sample) {
	if sample.Failed {
		p.failures++
		return
	}
	p.failures = 0
	if sample.Latency <= 0 {
		return
	}
	p.samples++
	if p.samples == 1 {
		p.latencyAverage = sample.Latency
		return
	}
	p.latencyAverage += latencySmoothing * (sample.Latency - p.latencyAverage)
}

// slow reports whether an upstream is far slower than its healthy peers.
func (s *Set) slow(p *upstream) bool {
	if p.samples < s.config.SlowSamples {
		return false
	}
	median, known := s.medianOfOthers(p)
	return known && p.latencyAverage > s.config.SlowFactor*median
}

// medianOfOthers returns the median latency of the other healthy upstreams.
func (s *Set) medianOfOthers(except *upstream) (float64, bool) {
	s.latencies = s.latencies[:0]
	for _, p := range s.upstreams {
		if p != except && p.state == Healthy && p.samples > 0 {
			s.latencies = append(s.latencies, p.latencyAverage)
		}
	}
	if len(s.latencies) < minOthers {
		return 0, false
	}
	slices.Sort(s.latencies)
	return s.latencies[len(s.latencies)/2], true
}

// ejectWithinLimit takes an upstream out unless a third already is.
func (s *Set) ejectWithinLimit(now time.Time, p *upstream) {
	if (s.notHealthy()+1)*upstreamsPerEjected > len(s.upstreams) {
		return
	}
	s.startEjection(now, p)
}

func (s *Set) startEjection(now time.Time, p *upstream) {
	if p.state == Healthy && now.Sub(p.until) >= s.config.Longest {
		p.ejections = 0
	}
	length := s.config.Base << min(p.ejections, 20)
	if length <= 0 || length > s.config.Longest {
		length = s.config.Longest
	}
	*p = upstream{state: Ejected, ejections: p.ejections + 1, until: now.Add(length)}
}

// notHealthy counts the upstreams that are not healthy.
func (s *Set) notHealthy() int {
	n := 0
	for _, p := range s.upstreams {
		if p.state != Healthy {
			n++
		}
	}
	return n
}

// recordProbe returns an upstream to service after enough good probes, or
// ejects it again after a bad one.
func (s *Set) recordProbe(now time.Time, p *upstream, sample Sample) {
	if !sample.Started.IsZero() && sample.Started.Before(p.probeStarted) {
		return
	}
	p.probeStarted = time.Time{}
	median, known := s.medianOfOthers(p)
	slow := known && sample.Latency > s.config.SlowFactor*median
	if sample.Failed || slow {
		s.startEjection(now, p)
		return
	}
	p.goodProbes++
	if p.goodProbes >= s.config.Probes {
		*p = upstream{ejections: p.ejections, until: now}
	}
}
