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
	// maxBufferedBytes bounds an answer that is held back until it is whole. A longer
	// one counts as broken. The users' answers are below 5 KiB.
	maxBufferedBytes = 1 << 20
	// waitDivisor of the objective is how long a request waits for an upstream
	// that takes work; after that it is refused, so that the caller can come
	// back within its deadline. Holding is free for the users up to an eighth.
	waitDivisor = 8
	// waitInterval is how often a waiting request looks again.
	waitInterval = 10 * time.Millisecond
	// minTimeForAttempt is how much time makes a further attempt worth while: an
	// upstream in another domain answers no sooner.
	minTimeForAttempt = 20 * time.Millisecond
)

var (
	errExpired = errors.New("the request's time is over")
	errSilent  = errors.New("the upstream is silent")
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
	// probes joins the looks at an upstream that broke several answers off.
	probes singleflight.Group
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
	answerBegan bool
	// lastEvent is the ID of the last event that was delivered, and partAt when it was.
	lastEvent  string
	lastPartAt time.Time
	// paid: the next attempt was taken out of the budget already.
	nextAttemptPaid atomic.Bool
	// counted: the first attempt was paid into the budget.
	firstAttemptCounted bool
	// metered: a run was counted for the account; a call counts once.
	metered bool
	// buffered is the last answer of an upstream that ran the request and
	// failed, kept to be delivered if nothing better comes.
	buffered *bufferedAnswer
	reason   string
	// onlyLimits: nothing but limits that upstreams named kept the call from one.
	onlyLimits bool
	// ended: an upstream ended under the call. The timer of an attempt reads it too.
	upstreamCrashed atomic.Bool
	// barredFor is when the call may come back; 0 if it is not barred.
	barredFor time.Duration
}

type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// run tries upstreams until the call has ended.
func (s *session) run() {
	for {
		avoid, admitted := s.waitForAdmission()
		if !admitted {
			s.finish(s.giveUp())
			return
		}
		choice, found := s.chooseAvoiding(avoid)
		if !found {
			s.finish(s.endWithoutUpstream())
			return
		}
		result := s.attempt(choice)
		s.f.cfg.Placement.Finished(choice, result, s.f.cfg.Now())
		step := s.state.After(choice.Upstream, result, s.spendRetry)
		if result != Done {
			s.f.cfg.Log.Info("attempt ended", "id", s.call.ID, "upstream", choice.Upstream, "why", choice.Why,
				"result", result.String(), "cause", s.reason, "next", step.String(), "attempt", s.state.Attempts(),
				"left_ms", s.call.Remaining(s.f.cfg.Now()).Milliseconds(), "content", s.call.Content())
		}
		if step != TryAnother && step != Resume {
			s.finish(step)
			return
		}
		if s.call.Remaining(s.f.cfg.Now()) < minTimeForAttempt {
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
	case s.answerBegan:
		return Break
	case s.buffered != nil:
		return Deliver
	}
	return s.state.GiveUp()
}

// endWithoutUpstream ends a call for which no upstream was found.
func (s *session) endWithoutUpstream() Step {
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

func (s *session) spendRetry() bool {
	if s.upstreamCrashed.Load() && !s.f.cfg.Guard.Resend(s.call.Content()) {
		return false
	}
	if s.nextAttemptPaid.Swap(false) {
		return true
	}
	return s.f.cfg.Budget.Spend(s.call.Service.Name, s.f.cfg.Now())
}

// chooseOrWait takes a place at an upstream. It waits a little where none takes work.
func (s *session) chooseOrWait() (Choice, bool) {
	waitUntil := s.call.Received.Add(s.call.Route.Objective / waitDivisor)
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
		pause.For(s.ctx, waitInterval) // the next look sees whether the call has ended
	}
}

// attempt sends the call to one upstream and delivers what comes.
func (s *session) attempt(choice Choice) Result {
	ctx, span := s.f.cfg.Tracer.Start(s.ctx, "attempt", trace.WithAttributes(
		attribute.String("request", string(s.call.ID)), attribute.String("upstream", string(choice.Upstream))))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	patience := s.watchForSilence(choice, cancel)
	defer patience.stop()
	if !s.firstAttemptCounted {
		s.firstAttemptCounted = true
		s.f.cfg.Budget.FirstTry(s.call.Service.Name, s.f.cfg.Now())
	}
	target := httpconn.Target{ID: choice.Upstream, Address: choice.Address, MaxConnections: choice.MaxConnections}
	if s.call.KnownTo(s.f.cfg.Guard) {
		defer s.f.cfg.Guard.Started(choice.Upstream, s.call.Content())()
	}
	result := s.exchange(ctx, choice, target, patience)
	span.SetAttributes(attribute.String("result", result.String()))
	if (result == Broken || result == Cut) && ctx.Err() == nil && s.f.processEnded(ctx, target) {
		s.recordUpstreamEnd(choice, result)
	}
	if result == Done && s.call.KnownTo(s.f.cfg.Guard) {
		s.f.cfg.Guard.Completed(s.call.Content())
	}
	return result
}

// exchange sends the call and delivers what comes.
func (s *session) exchange(ctx context.Context, choice Choice, target httpconn.Target, patience *silenceTimer) Result {
	answer, failure := s.f.cfg.Pool.Send(ctx, target, s.f.cfg.Dialect.Request(s.call, Attempt{
		Upstream: choice.Name, Left: s.call.Remaining(s.f.cfg.Now()), LastEvent: s.lastEvent,
	}))
	if failure != nil {
		if countsAsStarted(failure) {
			s.countForUsage()
		}
		return s.resultOfFailure(choice, failure)
	}
	defer answer.Close()
	return s.readAnswer(choice, answer, patience)
}

// countsAsStarted reports whether an exchange that failed counts for usage as a run that
// began: the upstream, or its end, broke it off. Of one that stayed silent it is as
// likely that the request never arrived. That an upstream drops an idle connection at
// the very moment is rarer by far. Without it usage would lack the runs whose answers
// were lost.
func countsAsStarted(failure *httpconn.Failure) bool {
	return failure.Sent && !errors.Is(failure, errSilent) && !errors.Is(failure, errExpired)
}

// resultOfFailure says what a failed exchange means.
func (s *session) resultOfFailure(choice Choice, failure *httpconn.Failure) Result {
	s.reason = failure.Error()
	over := s.callEnded()
	if !failure.Sent && over != CallerGone {
		return NoConnection
	}
	if over != 0 {
		return over
	}
	if errors.Is(failure, errSilent) {
		s.f.cfg.Pool.Distrust(choice.Upstream)
	}
	return s.interrupted()
}

// interrupted is the result of an answer that did not come, or broke off.
func (s *session) interrupted() Result {
	if s.answerBegan {
		return Cut
	}
	return Broken
}

// callEnded returns the result of a call that ended from the caller's side, or 0.
func (s *session) callEnded() Result {
	if s.ctx.Err() == nil {
		return 0
	}
	if errors.Is(context.Cause(s.ctx), errExpired) {
		return Expired
	}
	return CallerGone
}

// readAnswer takes an answer whose header has come.
func (s *session) readAnswer(choice Choice, answer *httpconn.Answer, patience *silenceTimer) Result {
	reading := s.f.cfg.Dialect.Read(answer.Status, answer.Header)
	if !reading.Other {
		s.f.cfg.Limits.Hear(choice.Upstream, s.call.ID, reading.Limit)
	}
	if reading.NotRun {
		s.reason = "status " + http.StatusText(answer.Status)
		s.drainRejection(answer)
		return Rejected
	}
	// Every other answer is of a run that began, whether or not it is delivered.
	s.countForUsage()
	if answer.Status/100 == 2 && reading.Stream && s.call.Route.Kind == routetable.Streaming {
		return s.readStream(choice, answer, reading, patience)
	}
	if s.answerBegan {
		// The rest of a stream was asked for, and something else came.
		s.reason = "status " + http.StatusText(answer.Status) + " instead of the stream's rest"
		return Cut
	}
	return s.readWhole(choice, answer, reading)
}

// drainRejection reads the rest of a rejection, so that its connection can be kept.
func (s *session) drainRejection(answer *httpconn.Answer) {
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxBufferedBytes)); err != nil {
		s.f.cfg.Log.Debug("rest of a rejection not read", "id", s.call.ID, "error", err)
	}
}

// readWhole reads an answer to its end before any of it is delivered, so that
// one that breaks off can still be replaced.
func (s *session) readWhole(choice Choice, answer *httpconn.Answer, reading Reading) Result {
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes+1))
	if err != nil {
		s.reason = err.Error()
		return s.callEndedOr(Broken)
	}
	if len(body) > maxBufferedBytes {
		s.reason = "the answer is too long to be held"
		return Broken
	}
	if !reading.Genuine && answer.Status/100 == 2 {
		s.reason = "a success without the upstream's signature"
		return Broken
	}
	whole := &bufferedAnswer{status: answer.Status, header: answer.Header, body: body}
	if answer.Status >= http.StatusInternalServerError || answer.Status/100 != 2 && !reading.Genuine {
		s.buffered = whole
		s.reason = "status " + http.StatusText(answer.Status)
		return Failed
	}
	s.f.cfg.Placement.Began(choice, s.f.cfg.Now())
	s.buffered = whole
	return Done
}

func (s *session) callEndedOr(result Result) Result {
	if over := s.callEnded(); over != 0 {
		return over
	}
	return result
}

func (s *session) countForUsage() {
	if !s.metered {
		s.metered = true
		s.f.cfg.Meter.Began(s.call.Account)
	}
}

// finish gives the caller the final answer.
func (s *session) finish(step Step) {
	s.outcome.Step, s.outcome.Reason = step, s.reason
	s.outcome.Attempts, s.outcome.Tried = s.state.Attempts(), s.state.Tried
	if s.answerBegan {
		s.finishStream(step)
		return
	}
	switch step {
	case Deliver:
		s.outcome.Status = s.buffered.status
		s.outcome.FirstPart = s.f.cfg.Now().Sub(s.call.Received)
		s.caller.Answer(s.buffered.status, s.buffered.header, s.buffered.body)
	case Refuse:
		s.outcome.Status = http.StatusServiceUnavailable
		s.caller.Refuse(s.reason, s.retryAfter())
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

// retryAfter is when a refused caller should come back.
func (s *session) retryAfter() time.Duration {
	if s.barredFor > 0 {
		return s.barredFor
	}
	return s.f.cfg.RetryAfter(s.call)
}

// finishStream ends an answer of which a part was delivered.
func (s *session) finishStream(step Step) {
	if step == Deliver {
		s.caller.End()
		return
	}
	s.caller.Break()
}
