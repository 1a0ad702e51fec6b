package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/singleflight"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// mostBuffered bounds an answer that is held back until it is whole. A longer
	// one counts as broken. The users' answers are below 5 KiB.
	mostBuffered = 1 << 20
	// waitPart of the objective is how long a request waits for an upstream
	// that takes work; after that it is refused, so that the caller can come
	// back within its deadline. Holding is free for the users up to an eighth.
	waitPart = 8
	// waitStep is how often a waiting request looks again.
	waitStep = 10 * time.Millisecond
	// leastLeft is how much time makes a further attempt worth while: an
	// upstream in another domain answers no sooner.
	leastLeft = 20 * time.Millisecond
)

var (
	errExpired = errors.New("the request's time is over")
	errSlow    = errors.New("the upstream is silent")
)

// Config is what a Forwarder works with. All fields are required.
type Config struct {
	Now       boottime.Clock
	Pool      *httpconn.Pool
	Dialect   Dialect
	Placement Placement
	Budget    Budget
	Guard     Guard
	Limits    Limits
	Meter     Meter
	Log       hclog.Logger
	Tracer    trace.Tracer
	// RetryAfter is when a refused caller should come back.
	RetryAfter func(call *Call) time.Duration
}

// Forwarder sends calls to upstreams. It is safe for concurrent use.
type Forwarder struct {
	cfg Config
	// asked joins the looks at an upstream that broke several answers off.
	asked singleflight.Group
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder { return &Forwarder{cfg: cfg} }

// Serve forwards one call and delivers its answer. ctx ends when the caller
// leaves.
func (f *Forwarder) Serve(ctx context.Context, call *Call, caller Caller) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(call.Remaining(f.cfg.Now()), func() { cancel(errExpired) })
	defer timer.Stop()
	s := &session{f: f, call: call, caller: caller, ctx: ctx, state: NewState(call.Route), lastEvent: call.LastEvent}
	s.run()
	return s.outcome
}

// session is the work on one call.
type session struct {
	f       *Forwarder
	call    *Call
	caller  Caller
	ctx     context.Context
	state   *State
	outcome Outcome

	// began: a part of the answer was delivered.
	began bool
	// lastEvent is the ID of the last event that was delivered, and partAt when it was.
	lastEvent string
	partAt    time.Time
	// paid: the next attempt was taken out of the budget already.
	paid atomic.Bool
	// counted: the first attempt was paid into the budget.
	counted bool
	// metered: a run was counted for the account; a call counts once.
	metered bool
	// failure is the last answer of an upstream that ran the request and
	// failed, kept to be delivered if nothing better comes.
	failure *wholeAnswer
	reason  string
	// onlyLimits: nothing but limits that upstreams named kept the call from one.
	onlyLimits bool
	// ended: an upstream ended under the call. The timer of an attempt reads it too.
	ended atomic.Bool
	// barredFor is when the call may come back; 0 if it is not barred.
	barredFor time.Duration
}

type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run tries upstreams until the call has ended.
func (s *session) run() {
	for {
		avoid, admitted := s.admitted()
		if !admitted {
			s.finish(s.giveUp())
			return
		}
		choice, found := s.chooseApart(avoid)
		if !found {
			s.finish(s.withoutUpstream())
			return
		}
		result := s.attempt(choice)
		s.f.cfg.Placement.Finished(choice, result, s.f.cfg.Now())
		step := s.state.After(choice.Upstream, result, s.spend)
		if result != Done {
			s.f.cfg.Log.Info("attempt ended", "id", s.call.ID, "upstream", choice.Upstream, "why", choice.Why,
				"result", result.String(), "cause", s.reason, "next", step.String(), "attempt", s.state.Attempts(),
				"left_ms", s.call.Remaining(s.f.cfg.Now()).Milliseconds(), "content", s.call.Content())
		}
		if step != TryAnother && step != Resume {
			s.finish(step)
			return
		}
		if s.call.Remaining(s.f.cfg.Now()) < leastLeft {
			s.finish(s.giveUp())
			return
		}
		if step == Resume {
			s.outcome.Resumed++
		}
	}
}

// giveUp ends a call for which there is no further attempt.
func (s *session) giveUp() Step {
	switch {
	case s.began:
		return Break
	case s.failure != nil:
		return Deliver
	}
	return s.state.GiveUp()
}

// withoutUpstream ends a call for which no upstream was found.
func (s *session) withoutUpstream() Step {
	switch context.Cause(s.ctx) {
	case nil:
		s.reason = "no upstream takes work"
		if s.onlyLimits {
			s.reason = "all upstreams are at the limits that they named"
		}
	case errExpired:
		if !s.state.MayHaveRun() {
			s.reason = "its time was over before an upstream took it"
			return Refuse
		}
		return TimeOut
	default:
		return Abandon
	}
	return s.giveUp()
}

func (s *session) spend() bool {
	if s.ended.Load() && !s.f.cfg.Guard.Resend(s.call.Content()) {
		return false
	}
	if s.paid.Swap(false) {
		return true
	}
	return s.f.cfg.Budget.Spend(s.call.Service.Name, s.f.cfg.Now())
}

// choose takes a place at an upstream. It waits a little where none takes work.
func (s *session) choose() (Choice, bool) {
	waitUntil := s.call.Received.Add(s.call.Route.Objective / waitPart)
	for {
		now := s.f.cfg.Now()
		choice, found := s.f.cfg.Placement.Choose(s.call, s.state.Tried, now)
		if len(choice.AtLimit) > 0 {
			s.outcome.AtLimit = choice.AtLimit
		}
		s.onlyLimits = choice.OnlyLimits
		if found || choice.OnlyLimits || !now.Before(waitUntil) || s.ctx.Err() != nil {
			return choice, found && s.ctx.Err() == nil
		}
		pause.For(s.ctx, waitStep) // the next look sees whether the call has ended
	}
}

// attempt sends the call to one upstream and delivers what comes.
func (s *session) attempt(choice Choice) Result {
	ctx, span := s.f.cfg.Tracer.Start(s.ctx, "attempt", trace.WithAttributes(
		attribute.String("request", string(s.call.ID)), attribute.String("upstream", string(choice.Upstream))))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := s.watch(choice, cancel)
	defer patience.stop()
	if !s.counted {
		s.counted = true
		s.f.cfg.Budget.FirstTry(s.call.Service.Name, s.f.cfg.Now())
	}
	target := httpconn.Target{ID: choice.Upstream, Address: choice.Address, MaxConnections: choice.MaxConnections}
	if s.call.KnownTo(s.f.cfg.Guard) {
		defer s.f.cfg.Guard.Started(choice.Upstream, s.call.Content())()
	}
	result := s.exchange(ctx, choice, target, patience)
	span.SetAttributes(attribute.String("result", result.String()))
	if (result == Broken || result == Cut) && ctx.Err() == nil && s.f.ended(ctx, target) {
		s.upstreamEnded(choice, result)
	}
	if result == Done && s.call.KnownTo(s.f.cfg.Guard) {
		s.f.cfg.Guard.Completed(s.call.Content())
	}
	return result
}

// exchange sends the call and delivers what comes.
func (s *session) exchange(ctx context.Context, choice Choice, target httpconn.Target, patience *patience) Result {
	answer, failure := s.f.cfg.Pool.Send(ctx, target, s.f.cfg.Dialect.Request(s.call, Attempt{
		Upstream: choice.Name, Left: s.call.Remaining(s.f.cfg.Now()), LastEvent: s.lastEvent,
	}))
	if failure != nil {
		if probablyBegan(failure) {
			s.meter()
		}
		return s.afterFailure(choice, failure)
	}
	defer answer.Close()
	return s.read(choice, answer, patience)
}

// probablyBegan reports whether an exchange that failed counts for usage as a run that
// began: the upstream, or its end, broke it off. Of one that stayed silent it is as
// likely that the request never arrived. That an upstream drops an idle connection at
// the very moment is rarer by far. Without it usage would lack the runs whose answers
// were lost.
func probablyBegan(failure *httpconn.Failure) bool {
	return failure.Sent && !errors.Is(failure, errSlow) && !errors.Is(failure, errExpired)
}

// afterFailure says what a failed exchange means.
func (s *session) afterFailure(choice Choice, failure *httpconn.Failure) Result {
	s.reason = failure.Error()
	over := s.over()
	if !failure.Sent && over != CallerGone {
		return NoConnection
	}
	if over != 0 {
		return over
	}
	if errors.Is(failure, errSlow) {
		s.f.cfg.Pool.Distrust(choice.Upstream)
	}
	return s.brokenOff()
}

// brokenOff is the result of an answer that did not come, or broke off.
func (s *session) brokenOff() Result {
	if s.began {
		return Cut
	}
	return Broken
}

// over returns the result of a call that ended from the caller's side, or 0.
func (s *session) over() Result {
	if s.ctx.Err() == nil {
		return 0
	}
	if errors.Is(context.Cause(s.ctx), errExpired) {
		return Expired
	}
	return CallerGone
}

// read takes an answer whose header has come.
func (s *session) read(choice Choice, answer *httpconn.Answer, patience *patience) Result {
	reading := s.f.cfg.Dialect.Read(answer.Status, answer.Header)
	if !reading.Other {
		s.f.cfg.Limits.Hear(choice.Upstream, s.call.ID, reading.Limit)
	}
	if reading.NotRun {
		s.reason = "status " + http.StatusText(answer.Status)
		s.drain(answer)
		return Rejected
	}
	// Every other answer is of a run that began, whether or not it is delivered.
	s.meter()
	if answer.Status/100 == 2 && reading.Stream && s.call.Route.Kind == routetable.Streaming {
		return s.readStream(choice, answer, reading, patience)
	}
	if s.began {
		// The rest of a stream was asked for, and something else came.
		s.reason = "status " + http.StatusText(answer.Status) + " instead of the stream's rest"
		return Cut
	}
	return s.readWhole(choice, answer, reading)
}

// drain reads the rest of a rejection, so that its connection can be kept.
func (s *session) drain(answer *httpconn.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, mostBuffered)); err != nil {
		s.f.cfg.Log.Debug("rest of a rejection not read", "id", s.call.ID, "error", err)
	}
}

// readWhole reads an answer to its end before any of it is delivered, so that
// one that breaks off can still be replaced.
func (s *session) readWhole(choice Choice, answer *httpconn.Answer, reading Reading) Result {
	body, err := io.ReadAll(io.LimitReader(answer, mostBuffered+1))
	if err != nil {
		s.reason = err.Error()
		return s.overOr(Broken)
	}
	if len(body) > mostBuffered {
		s.reason = "the answer is too long to be held"
		return Broken
	}
	if !reading.Genuine && answer.Status/100 == 2 {
		s.reason = "a success without the upstream's signature"
		return Broken
	}
	whole := &wholeAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError || answer.Status/100 != 2 && !reading.Genuine {
		s.failure = whole
		s.reason = "status " + http.StatusText(answer.Status)
		return Failed
	}
	s.f.cfg.Placement.Began(choice, s.f.cfg.Now())
	s.failure = whole
	return Done
}

func (s *session) overOr(result Result) Result {
	if over := s.over(); over != 0 {
		return over
	}
	return result
}

func (s *session) meter() {
	if !s.metered {
		s.metered = true
		s.f.cfg.Meter.Began(s.call.Account)
	}
}

// finish gives the caller the final answer.
func (s *session) finish(step Step) {
	s.outcome.Step, s.outcome.Reason = step, s.reason
	s.outcome.Attempts, s.outcome.Tried = s.state.Attempts(), s.state.Tried
	if s.began {
		s.finishParts(step)
		return
	}
	switch step {
	case Deliver:
		s.outcome.Status = s.failure.status
		s.outcome.FirstPart = s.f.cfg.Now().Sub(s.call.Received)
		s.caller.Answer(s.failure.status, s.failure.header, s.failure.body)
	case Refuse:
		s.outcome.Status = http.StatusServiceUnavailable
		s.caller.Refuse(s.reason, s.returnAfter())
	case TimeOut:
		s.outcome.Status = http.StatusGatewayTimeout
		s.caller.TimeOut()
	case Abandon:
		// Nobody is there to hear an answer.
	default:
		s.outcome.Status = http.StatusBadGateway
		s.caller.Fail(s.reason)
	}
}

// returnAfter is when a refused caller should come back.
func (s *session) returnAfter() time.Duration {
	if s.barredFor > 0 {
		return s.barredFor
	}
	return s.f.cfg.RetryAfter(s.call)
}

// finishParts ends an answer of which a part was delivered.
func (s *session) finishParts(step Step) {
	if step == Deliver {
		s.caller.End()
		return
	}
	s.caller.Break()
}
