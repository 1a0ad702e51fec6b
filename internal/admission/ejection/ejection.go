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
	DefaultFailures    = 5
	DefaultSlowFactor  = 3.0
	DefaultSlowSamples = 10
	DefaultBase        = 5 * time.Second
	DefaultLongest     = 60 * time.Second
	DefaultProbes      = 3
	DefaultProbeLimit  = 30 * time.Second
)

const (
	// ejectedPart bounds the ejected: one in this many.
	ejectedPart = 3
	// latencyMemory is the weight of one sample in an upstream's latency.
	latencyMemory = 0.2
	// fewestPeers is how many others are needed to tell what is slow.
	fewestPeers = 2
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
	c.Failures = positiveOr(c.Failures, DefaultFailures)
	c.SlowSamples = positiveOr(c.SlowSamples, DefaultSlowSamples)
	c.Probes = positiveOr(c.Probes, DefaultProbes)
	c.Base = positiveOr(c.Base, DefaultBase)
	c.Longest = positiveOr(c.Longest, DefaultLongest)
	c.ProbeLimit = positiveOr(c.ProbeLimit, DefaultProbeLimit)
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

// peer is what is known of one upstream.
type peer struct {
	state    State
	failures int
	latency  float64
	samples  int
	// ejections in a row, with less than Config.Longest of health between.
	ejections int
	// until is when an ejection ends, or when health was proved.
	until time.Time
	// probeStarted is zero when no probe is under way.
	probeStarted time.Time
	proved       int
}

// Set is the upstreams of one service. See New.
type Set struct {
	config Config
	peers  map[ident.Instance]*peer
	// medians is scratch space.
	medians []float64
}

// New returns a set without upstreams.
func New(config Config) *Set {
	return &Set{config: config.withDefaults(), peers: map[ident.Instance]*peer{}}
}

// SetUpstreams says which upstreams there are. New ones are healthy.
func (s *Set) SetUpstreams(ids []ident.Instance) {
	wanted := make(map[ident.Instance]bool, len(ids))
	for _, id := range ids {
		wanted[id] = true
	}
	for id := range s.peers {
		if !wanted[id] {
			delete(s.peers, id)
		}
	}
	for _, id := range ids {
		if s.peers[id] == nil {
			s.peers[id] = &peer{}
		}
	}
	s.keepFloor()
}

// keepFloor readmits those whose ejection ends first until no more than a
// third is out. Upstreams can leave while others are ejected; without this,
// the ejected could come to outnumber the rest.
func (s *Set) keepFloor() {
	for s.out()*ejectedPart > len(s.peers) {
		var first ident.Instance
		for id, p := range s.peers {
			if p.state != Healthy && (first == "" || s.sooner(id, p, first)) {
				first = id
			}
		}
		s.peers[first] = &peer{}
	}
}

func (s *Set) sooner(id ident.Instance, p *peer, than ident.Instance) bool {
	other := s.peers[than]
	if !p.until.Equal(other.until) {
		return p.until.Before(other.until)
	}
	return id < than
}

// State returns the state of an upstream; unknown ones are healthy.
func (s *Set) State(id ident.Instance) State {
	if p := s.peers[id]; p != nil {
		return p.state
	}
	return Healthy
}

// Excluded returns the upstreams that must get no request now, in order.
func (s *Set) Excluded(now time.Time) []ident.Instance {
	var ids []ident.Instance
	for id, p := range s.peers {
		if !s.allows(p, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// allows reports whether a request may go to an upstream.
func (s *Set) allows(p *peer, now time.Time) bool {
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
	for _, p := range s.peers {
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
	p := s.peers[id]
	if p == nil || p.state == Healthy || !s.allows(p, now) {
		return
	}
	p.state = Probing
	p.probeStarted = now
}

// Ended takes in an ended request.
func (s *Set) Ended(now time.Time, id ident.Instance, sample Sample) {
	p := s.peers[id]
	if p == nil {
		return
	}
	p.learn(sample)
	switch p.state {
	case Probing:
		s.judgeProbe(now, p, sample)
	case Healthy:
		if p.failures >= s.config.Failures || s.slow(p) {
			s.eject(now, p)
		}
	}
}

func (p *peer) learn(sample Sample) {
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
		p.latency = sample.Latency
		return
	}
	p.latency += latencyMemory * (sample.Latency - p.latency)
}

// slow reports whether an upstream is far slower than its healthy peers.
func (s *Set) slow(p *peer) bool {
	if p.samples < s.config.SlowSamples {
		return false
	}
	median, known := s.peerMedian(p)
	return known && p.latency > s.config.SlowFactor*median
}

// peerMedian returns the median latency of the other healthy upstreams.
func (s *Set) peerMedian(except *peer) (float64, bool) {
	s.medians = s.medians[:0]
	for _, p := range s.peers {
		if p != except && p.state == Healthy && p.samples > 0 {
			s.medians = append(s.medians, p.latency)
		}
	}
	if len(s.medians) < fewestPeers {
		return 0, false
	}
	slices.Sort(s.medians)
	return s.medians[len(s.medians)/2], true
}

// eject takes an upstream out unless a third already is.
func (s *Set) eject(now time.Time, p *peer) {
	if (s.out()+1)*ejectedPart > len(s.peers) {
		return
	}
	s.ejectFor(now, p)
}

func (s *Set) ejectFor(now time.Time, p *peer) {
	if p.state == Healthy && now.Sub(p.until) >= s.config.Longest {
		p.ejections = 0
	}
	length := s.config.Base << min(p.ejections, 20)
	if length <= 0 || length > s.config.Longest {
		length = s.config.Longest
	}
	*p = peer{state: Ejected, ejections: p.ejections + 1, until: now.Add(length)}
}

// out counts the upstreams that are not healthy.
func (s *Set) out() int {
	n := 0
	for _, p := range s.peers {
		if p.state != Healthy {
			n++
		}
	}
	return n
}

// judgeProbe returns an upstream to service after enough good probes, or
// ejects it again after a bad one.
func (s *Set) judgeProbe(now time.Time, p *peer, sample Sample) {
	if !sample.Started.IsZero() && sample.Started.Before(p.probeStarted) {
		return
	}
	p.probeStarted = time.Time{}
	median, known := s.peerMedian(p)
	slow := known && sample.Latency > s.config.SlowFactor*median
	if sample.Failed || slow {
		s.ejectFor(now, p)
		return
	}
	p.proved++
	if p.proved >= s.config.Probes {
		*p = peer{ejections: p.ejections, until: now}
	}
}
