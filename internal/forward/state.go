// Package forward takes one request of a caller to the upstreams that may run
// it, and its answer back.
//
// What may be tried after what is decided by State, which does no I/O. Forwarder
// sends, reads and delivers.
package forward

import (
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Result is how one attempt at an upstream ended.
type Result int

// The results.
const (
	// NoConnection: nothing was sent.
	NoConnection Result = iota + 1
	// Rejected: the upstream said that it did not run the request.
	Rejected
	// Failed: the upstream ran the request and answered with a failure.
	Failed
	// Broken: the request was sent, and no valid answer came. It may have run.
	Broken
	// Cut: the answer broke off after a part of it was delivered.
	Cut
	// Done: the whole answer came.
	Done
	// Expired: the request's time is over.
	Expired
	// CallerGone: the caller left.
	CallerGone
)

var resultNames = map[Result]string{
	NoConnection: "no_connection", Rejected: "rejected", Failed: "failed", Broken: "broken",
	Cut: "cut", Done: "done", Expired: "expired", CallerGone: "caller_gone",
}

// String is the result's name in logs.
func (r Result) String() string { return resultNames[r] }

// Step is what to do next.
type Step int

// The steps.
const (
	// Deliver the answer that came; nothing more is to be done.
	Deliver Step = iota + 1
	// TryAnother upstream.
	TryAnother
	// Resume the stream at another upstream after the last delivered event.
	Resume
	// Refuse: the request has not run and will not; say when to come back.
	Refuse
	// Fail: the request may have run, and there is no answer.
	Fail
	// TimeOut: its time is over, and it may have run.
	TimeOut
	// Break the caller's answer off: a part was delivered, the rest will not come.
	Break
	// Abandon: nobody is there to hear an answer.
	Abandon
)

var stepNames = map[Step]string{
	Deliver: "deliver", TryAnother: "try_another", Resume: "resume", Refuse: "refuse",
	Fail: "fail", TimeOut: "time_out", Break: "break", Abandon: "abandon",
}

// String is the step's name in logs.
func (s Step) String() string { return stepNames[s] }

const (
	// maxUnsentAttempts bounds the attempts of one request that reached no upstream.
	// With a quarter of the upstreams down, five in a row fail for one request
	// in a thousand.
	maxUnsentAttempts = 5
	// maxRejections bounds the upstreams that may turn one request down: each
	// costs a part of the budget that all gateways share, and where three are
	// full the fourth is too.
	maxRejections = 3
)

// State is what became of one request so far.
type State struct {
	route *routetable.Route
	// possibleRuns counts the attempts that may have run.
	possibleRuns int
	// unsent and rejected count those that did not.
	unsent, rejected int
	// Tried are the upstreams of all attempts.
	Tried []ident.Instance
}

// NewState returns the state of a request that was not sent yet.
func NewState(route *routetable.Route) *State { return &State{route: route} }

// MayHaveRun reports whether an upstream may have run the request.
func (s *State) MayHaveRun() bool { return s.possibleRuns > 0 }

// Attempts returns how many attempts there were.
func (s *State) Attempts() int { return len(s.Tried) }

// After takes the result of an attempt at an upstream and returns what to do.
// spend takes one further arrival out of the retry budget; it is called only
// where that is what decides.
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
	case NoConnection:
		return s.afterNoConnection()
	case Rejected:
		return s.afterRejection(spend)
	}
	s.possibleRuns++
	return s.afterPossibleRun(result, spend)
}

func (s *State) afterNoConnection() Step {
	s.unsent++
	if s.unsent < maxUnsentAttempts {
		return TryAnother
	}
	return s.GiveUp()
}

func (s *State) afterRejection(spend func() bool) Step {
	s.rejected++
	if s.rejected < maxRejections && spend() {
		return TryAnother
	}
	return s.GiveUp()
}

// afterPossibleRun decides after an attempt that may have run the request. Only
// idempotent requests and resumable streams may run once more, at no more
// upstreams than the route allows, and within the budget.
func (s *State) afterPossibleRun(result Result, spend func() bool) Step {
	again := (s.route.Repeatable() || s.route.Resumable) && s.possibleRuns < s.route.Attempts && spend()
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

// GiveUp returns how to end a request for which no upstream is left.
func (s *State) GiveUp() Step {
	if s.MayHaveRun() {
		return Fail
	}
	return Refuse
}
