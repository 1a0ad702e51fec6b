package rollout

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// RouteKey stands for a route's name between gateways.
type RouteKey uint32

// KeyOf returns a route's key.
func KeyOf(route string) RouteKey { return RouteKey(xxhash.Sum64String(route)) }

// Side is which upstreams of a service a request went to.
type Side int

// The sides. The new version's upstreams are judged in two halves: one upstream that
// fails by itself must not condemn a version.
const (
	Old Side = iota
	NewA
	NewB
	numSides
)

// Tally counts requests and their answers.
type Tally struct {
	// Sent counts the requests, but those of which nothing can be said: failures come
	// sooner than answers, and of a version that gets more and more of the requests the
	// answered ones alone would seem to fail more often.
	Sent int
	// Answers are those that ended, Failures those of them that failed.
	Answers, Failures int
	// Times counts the answers whose time tells something, by its class.
	Times map[Class]int
}

// Class of a time grows by two with each doubling.
type Class int

// maxClass bounds classes: a factor of a million either way.
const maxClass = 40

// Valid reports whether a class can be.
func (c Class) Valid() bool { return -maxClass <= c && c <= maxClass }

// ClassOf returns the class of a time, in any unit that all gateways share.
func ClassOf(x float64) Class {
	if x <= 0 {
		return -maxClass
	}
	return Class(min(max(math.Round(2*math.Log2(x)), -maxClass), maxClass))
}

// Evidence is what a route's requests saw of both versions.
type Evidence [numSides]Tally

// Seen is what gateways saw of an order's versions, by route.
type Seen map[RouteKey]*Evidence

// Answer is what one request saw of its upstream.
type Answer struct {
	Failed bool
	// Timed: Time tells something. It is relative to what is expected, or absolute, but
	// the same for all answers of a route.
	Timed bool
	Time  float64
}

// tally returns what was seen of a route and a side.
func (s Seen) tally(route RouteKey, side Side) *Tally {
	e := s[route]
	if e == nil {
		e = new(Evidence)
		s[route] = e
	}
	return &e[side]
}

// Send counts a request, and Withdraw takes one back whose end says nothing.
func (s Seen) Send(route RouteKey, side Side)        { s.tally(route, side).Sent++ }
func (s Seen) UncountSent(route RouteKey, side Side) { s.tally(route, side).Sent-- }

// Add counts an answer to a request that was counted.
func (s Seen) Add(route RouteKey, side Side, a Answer) {
	t := s.tally(route, side)
	t.Answers++
	if a.Failed {
		t.Failures++
	}
	if a.Timed {
		if t.Times == nil {
			t.Times = make(map[Class]int)
		}
		t.Times[ClassOf(a.Time)]++
	}
}

// Join adds what others saw.
func (s Seen) Join(o Seen) {
	for route, evidence := range o {
		for side := range evidence {
			s.tally(route, Side(side)).merge(&evidence[side])
		}
	}
}

func (t *Tally) merge(o *Tally) {
	t.Sent += o.Sent
	t.Answers += o.Answers
	t.Failures += o.Failures
	for class, n := range o.Times {
		if t.Times == nil {
			t.Times = make(map[Class]int)
		}
		t.Times[class] += n
	}
}

// Clone returns a copy that shares nothing.
func (s Seen) Clone() Seen {
	out := make(Seen, len(s))
	out.Join(s)
	return out
}

// newVersionAnswers counts what the new version answered.
func (s Seen) newVersionAnswers() int {
	n := 0
	for _, e := range s {
		n += e[NewA].Answers + e[NewB].Answers
	}
	return n
}
