// Package forward sends a caller's request to an upstream, retries it at other
// upstreams where that is allowed, and delivers the answer.
//
// State decides after each attempt what to do next and does no I/O. Forwarder
// sends requests, reads answers and delivers them.
package forward

import (
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Result is how one attempt at an upstream ended.
type Result int

// The results.
const (
	// NoConnection: no connection to the upstream was made, and nothing was sent.
	NoConnection Result = iota + 1
	// Withdrawn: before anything was sent, the upstream announced that it takes no requests from
	// this gateway.
	Withdrawn
	// Rejected: the upstream answered that it did not run the request.
	Rejected
	// Declined is like Rejected, and the upstream announced that it takes no requests from this
	// gateway.
	Declined
	// Failed: the upstream ran the request and answered with an error.
	Failed
	// Broken: the request was sent, but no valid answer was received. It may have run.
	Broken
	// Cut: the answer broke off after a part of it was delivered to the caller.
	Cut
	// Done: the whole answer was received.
	Done
	// Expired: the request's deadline passed.
	Expired
	// CallerGone: the caller closed its connection.
	CallerGone
)

var resultNames = map[Result]string{
	NoConnection: "no_connection", Withdrawn: "withdrawn", Rejected: "rejected", Declined: "declined", Failed: "failed", Broken: "broken",
	Cut: "cut", Done: "done", Expired: "expired", CallerGone: "caller_gone",
}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// Step is what to do next.
type Step int

// The steps.
const (
	// Deliver the answer that was received, which ends the request.
	Deliver Step = iota + 1
	// TryAnother sends the request to another upstream.
	TryAnother
	// Resume the stream at another upstream after the last delivered event.
	Resume
	// Refuse: the request has not run and will not; tell the caller when to retry.
	Refuse
	// Fail: the request may have run, but there is no answer to deliver.
	Fail
	// TimeOut: the request's deadline passed, and it may have run.
	TimeOut
	// Break cuts the caller's answer off: a part was delivered, and the rest cannot be.
	Break
	// Abandon: the caller has gone, so nothing is delivered.
	Abandon
)

var stepNames = map[Step]string{
	Deliver: "deliver", TryAnother: "try_another", Resume: "resume", Refuse: "refuse",
	Fail: "fail", TimeOut: "time_out", Break: "break", Abandon: "abandon",
}

// String returns the step's name in logs.
func (s Step) String() string { return stepNames[s] }

const (
	// maxUnsentAttempts bounds the attempts of one request that reach no upstream.
	// With a quarter of the upstreams down, one request in a thousand fails to
	// connect five times in a row.
	maxUnsentAttempts = 5
	// maxRejections bounds the upstreams that may reject one request: each
	// rejection costs a part of the retry budget that all gateways share, and where
	// three upstreams are full, the fourth is likely to be full too.
	maxRejections = 3
)

// State records the attempts of one request and decides what to do after each.
type State struct {
	route *routetable.Route
	// possibleRuns counts the attempts in which the request may have run.
	possibleRuns int
	// unsent counts the attempts that reached no upstream, and rejected those that an
	// upstream rejected. The request did not run in either.
	unsent, rejected int
	// Tried lists the upstreams of all attempts in order.
	Tried []ident.Instance
}

// NewState returns the state of a request that has not been sent yet.
func NewState(route *routetable.Route) *State { return &State{route: route} }

// MayHaveRun reports whether an upstream may have run the request.
func (s *State) MayHaveRun() bool { return s.possibleRuns > 0 }

// Attempts returns the number of attempts so far.
func (s *State) Attempts() int { return len(s.Tried) }

// After records the result of an attempt at an upstream and returns what to do next.
// spend takes one retry out of the retry budget and reports whether the budget allowed
// it; it is called only where the decision depends on it.
func (s *State) After(upstream ident.Instance, result Result, spend func() bool) Step {
	s.Tried = append(s.Tried, upstream)
	switch result {
	case Done:
		return Deliver
	case CallerGone:
		return Abandon
	case Expired:
		s.possibleRuns++
		return TimeOut
	case NoConnection, Withdrawn:
		s.unsent++
		return s.anotherIf(s.unsent < maxUnsentAttempts)
	case Rejected:
		s.rejected++
		return s.anotherIf(s.rejected < maxRejections && spend())
	case Declined:
		// It does not count towards maxRejections: the upstream gets no more requests for now, and
		// others may well have room.
		return s.anotherIf(spend())
	}
	s.possibleRuns++
	return s.afterPossibleRun(result, spend)
}

// anotherIf returns TryAnother if the request may go to another upstream.
func (s *State) anotherIf(allowed bool) Step {
	if allowed {
		return TryAnother
	}
	return s.GiveUp()
}

// afterPossibleRun decides after an attempt in which the request may have run. Only
// idempotent requests and resumable streams may run once more, at no more
// upstreams than the route allows, and within the retry budget.
func (s *State) afterPossibleRun(result Result, spend func() bool) Step {
	mayRepeat := s.route.Resumable || s.route.Repeatable() && result != Cut
	again := mayRepeat && s.possibleRuns < s.route.Attempts && spend()
	switch {
	case again && result == Cut:
		return Resume
	case again:
		return TryAnother
	case result == Cut:
		return Break
	case result == Failed:
		return Deliver
	}
	return Fail
}

// GiveUp returns how to end a request that no further upstream will get.
func (s *State) GiveUp() Step {
	if s.MayHaveRun() {
		return Fail
	}
	return Refuse
}
