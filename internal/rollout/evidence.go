package rollout

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// RouteKey is the hash of a route's name that gateways exchange.
type RouteKey uint32

// KeyOf returns the key of a route's name.
func KeyOf(route string) RouteKey { return RouteKey(xxhash.Sum64String(route)) }

// Side is the group of a service's upstreams that a request went to.
type Side int

// The new version's upstreams are judged in two halves, so that a single faulty upstream does
// not make the version look bad.
const (
	Old Side = iota
	NewA
	NewB
	numSides
)

// Tally counts requests and their answers.
type Tally struct {
	// Sent counts the requests, without those whose end says nothing about the version. Failure
	// rates are relative to it, not to Answers: failures end sooner than successes, so that a
	// version with a growing number of requests would seem to fail more often than it does.
	Sent int
	// Answers counts the requests that ended, Failures those of them that failed.
	Answers, Failures int
	// Times counts the answers whose duration is meaningful, by its class.
	Times map[TimeClass]int
}

// TimeClass is a logarithmic class of durations. It grows by two with each doubling.
type TimeClass int

// maxClass bounds the absolute value of a class: a factor of a million either way.
const maxClass = 40

// Valid reports whether a class is within its bounds.
func (c TimeClass) Valid() bool { return -maxClass <= c && c <= maxClass }

// TimeClassOf returns the class of a duration, in any unit that all gateways share.
func TimeClassOf(x float64) TimeClass {
	if x <= 0 {
		return -maxClass
	}
	return TimeClass(min(max(math.Round(2*math.Log2(x)), -maxClass), maxClass))
}

// Evidence holds the tallies of one route, by side.
type Evidence [numSides]Tally

// EvidenceByRoute is the evidence about an order's versions, by route.
type EvidenceByRoute map[RouteKey]*Evidence

// Answer is the outcome of one request.
type Answer struct {
	Failed bool
	// Timed means that Time is meaningful. Time is relative to the expected duration or
	// absolute, in the same way for all answers of a route.
	Timed bool
	Time  float64
}

// tally returns the tally of a route and a side, and adds it if there is none.
func (m EvidenceByRoute) tally(route RouteKey, side Side) *Tally {
	e := m[route]
	if e == nil {
		e = new(Evidence)
		m[route] = e
	}
	return &e[side]
}

// CountSent counts a request that was sent.
func (m EvidenceByRoute) CountSent(route RouteKey, side Side) { m.tally(route, side).Sent++ }

// UncountSent takes back a request whose end says nothing about the version.
func (m EvidenceByRoute) UncountSent(route RouteKey, side Side) { m.tally(route, side).Sent-- }

// CountAnswer counts the answer to a request that CountSent counted.
func (m EvidenceByRoute) CountAnswer(route RouteKey, side Side, a Answer) {
	t := m.tally(route, side)
	t.Answers++
	if a.Failed {
		t.Failures++
	}
	if a.Timed {
		if t.Times == nil {
			t.Times = make(map[TimeClass]int)
		}
		t.Times[TimeClassOf(a.Time)]++
	}
}

// Merge adds other evidence.
func (m EvidenceByRoute) Merge(o EvidenceByRoute) {
	for route, evidence := range o {
		for side := range evidence {
			m.tally(route, Side(side)).merge(&evidence[side])
		}
	}
}

func (t *Tally) merge(o *Tally) {
	t.Sent += o.Sent
	t.Answers += o.Answers
	t.Failures += o.Failures
	for class, n := range o.Times {
		if t.Times == nil {
			t.Times = make(map[TimeClass]int)
		}
		t.Times[class] += n
	}
}

// Clone returns a deep copy.
func (m EvidenceByRoute) Clone() EvidenceByRoute {
	out := make(EvidenceByRoute, len(m))
	out.Merge(m)
	return out
}

// newVersionAnswers counts the answers of the new version on all routes.
func (m EvidenceByRoute) newVersionAnswers() int {
	n := 0
	for _, e := range m {
		n += e[NewA].Answers + e[NewB].Answers
	}
	return n
}
