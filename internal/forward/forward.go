package forward

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"golang.org/x/sync/singleflight"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
)

const (
	// maxBufferedBytes bounds an answer that is buffered until it is complete. A longer
	// one counts as broken. The users' answers are below 5 KiB.
	maxBufferedBytes = 1 << 20
	// minTimeForAttempt is the least remaining time that makes a further attempt
	// worthwhile: an upstream in another failure domain does not answer faster.
	minTimeForAttempt = 20 * time.Millisecond
)

// ErrTimeOver is the cause with which a call's context ends when its deadline passes, or when its
// gateway ends before that.
var ErrTimeOver = errors.New("the request's time is over")

var (
	// errSilent cancels an attempt at an upstream that was silent for too long.
	errSilent = errors.New("the upstream is silent")
)

// Config holds what a Forwarder uses. All fields are required.
type Config struct {
	Now       boottime.Clock
	Network   Network
	Dialect   Dialect
	Placement Placement
	// Places is where calls get their upstreams; nil for Polling of Placement.
	Places Places
	Budget Budget
	Guard  Guard
	// Announcements gets what upstreams announce.
	Announcements Announcements
	Origins       Origins
	Meter         Meter
	Log           hclog.Logger
	Tracer        trace.Tracer
	// RetryAfter returns the retry-after time of a refused call.
	RetryAfter func(call *Call) time.Duration
}

// Forwarder sends calls to upstreams. It is safe for concurrent use.
type Forwarder struct {
	cfg Config
	// probes merges the concurrent probes of one upstream that broke off several answers.
	probes singleflight.Group
	// suspects reports whether something else than an answer's own end speaks for the end of its
	// upstream's process, so that asking is worth a connection.
	suspects func(*httpconn.Answer) bool
	// probeAfter is closingTime.
	probeAfter time.Duration
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Places == nil {
		cfg.Places = Polling{Now: cfg.Now, Placement: cfg.Placement}
	}
	return &Forwarder{cfg: cfg, suspects: (*httpconn.Answer).WorthAsking, probeAfter: closingTime}
}

// Serve forwards one call, delivers its answer and returns how it ended. ctx must end when
// the caller closes its connection.
func (f *Forwarder) Serve(ctx context.Context, call *Call, caller Caller) Outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(call.Remaining(f.cfg.Now()), func() { cancel(ErrTimeOver) })
	defer timer.Stop()
	s := &session{f: f, call: call, caller: caller, ctx: ctx, state: NewState(call.Route), lastEvent: call.LastEventID}
	if s.findOrigin() {
		s.run()
	} else {
		s.finish(s.giveUp())
	}
	return s.outcome
}

// session is the forwarding of one call.
type session struct {
	f       *Forwarder
	call    *Call
	caller  Caller
	ctx     context.Context
	state   *State
	outcome Outcome

	// answerBegan: a part of the answer was delivered.
	answerBegan bool
	// lastEvent is the ID of the last delivered event that has one. Until such an event is
	// delivered, it is the call's LastEventID.
	lastEvent string
	// earlierEvents counts the events that were delivered before the current attempt.
	earlierEvents int
	// unresumable: an event without an ID was delivered after the last one that has one, so that
	// the stream cannot be resumed without repeating it. The timer of an attempt reads it too.
	unresumable atomic.Bool
	// lastPartAt is when events were delivered last.
	lastPartAt time.Time
	// nextAttemptPaid: the next attempt was already taken out of the retry budget. The
	// timer of an attempt sets it.
	nextAttemptPaid atomic.Bool
	// firstAttemptCounted: the first attempt was recorded in the retry budget.
	firstAttemptCounted bool
	// metered: the call was counted for the account's usage; a call counts once.
	metered bool
	// buffered is the complete answer to deliver: the successful one, or the last one of
	// an upstream that ran the request and failed, kept in case no better one follows.
	buffered *bufferedAnswer
	// ended is how the answer to the last attempt ended; zero if none was received.
	ended AnswerEnd
	// reason is why the last failed attempt failed, or why no further one is made.
	reason string
	// blocked is that of the last choice.
	blocked Block
	// upstreamCrashed: an upstream crashed while it had the call. The timer of an attempt
	// reads it too.
	upstreamCrashed atomic.Bool
	// hopeless: no upstream can take the call now, and none is known that will.
	hopeless bool
	// barredFor is the retry-after time of a barred call; 0 if the call is not barred.
	barredFor time.Duration
}

// bufferedAnswer is a complete answer that has not been delivered yet.
type bufferedAnswer struct {
	status int
	// saysNotRun: the status tells callers that the request did not run.
	saysNotRun bool
	header     http.Header
	body       []byte
}

// run makes attempts until the call has ended.
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
		if result != Done && s.f.cfg.Network.Lost(choice.Upstream) {
			s.f.cfg.Placement.PathLost(choice)
		}
		s.f.cfg.Placement.Finished(choice, result, s.f.cfg.Now())
		s.outcome.SoftwareVersions = append(s.outcome.SoftwareVersions, choice.SoftwareVersion)
		step := s.state.After(choice.Upstream, result, s.spendRetry)
		if step == Fail || step == TimeOut && s.buffered != nil {
			step = s.giveUp()
		}
		if result != Done {
			s.f.cfg.Log.Info("attempt ended", "id", s.call.ID, "upstream", choice.Upstream, "software_version", choice.SoftwareVersion, "why", choice.Why,
				"result", result.String(), "cause", s.reason, "relayed_by", s.outcome.RelayedBy, "next", step.String(), "attempt", s.state.Attempts(),
				"left_ms", s.call.Remaining(s.f.cfg.Now()).Milliseconds(), "content", s.call.Content(), "parts", s.call.PartsForLog(),
				"framing", s.ended.Framing.String(), "ending", s.ended.Ending.String(), "position", s.ended.Position.String(), "process", s.ended.Process.String(),
				"last_event", s.lastEvent, "bytes_after", s.ended.BytesAfter, "answer", s.ended.Verdict().String())
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

// giveUp returns how to end a call that gets no further attempt.
func (s *session) giveUp() Step {
	switch {
	case s.answerBegan:
		return Break
	case s.buffered != nil:
		return Deliver
	}
	return s.state.GiveUp()
}

// endWithoutUpstream returns how to end a call for which no upstream was found.
func (s *session) endWithoutUpstream() Step {
	switch context.Cause(s.ctx) {
	case nil:
		s.reason = cmp.Or(blockReasons[s.blocked], "no upstream takes work")
		s.hopeless = s.blocked == BlockedBySoftware
	case ErrTimeOver:
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

// spendRetry takes one retry out of the retry budget, unless the next attempt is already
// paid for, and reports whether the call may be sent once more.
func (s *session) spendRetry() bool {
	if s.call.Remaining(s.f.cfg.Now()) < minTimeForAttempt {
		return false
	}
	if s.unresumable.Load() || s.upstreamCrashed.Load() && !s.f.cfg.Guard.MayResend(s.call.Features()) {
		return false
	}
	if s.nextAttemptPaid.Swap(false) {
		return true
	}
	return s.f.cfg.Budget.Spend(s.call.Service.Name, s.f.cfg.Now())
}

// chooseOrWait reserves a slot at an upstream and reports whether it found one.
func (s *session) chooseOrWait() (Choice, bool) {
	choice, found := s.f.cfg.Places.Take(s.ctx, s.call, s.state.Tried)
	if len(choice.AtLimit) > 0 {
		s.outcome.AtLimit = choice.AtLimit
	}
	if len(choice.Paused) > 0 {
		s.outcome.Paused = choice.Paused
	}
	s.blocked = choice.Blocked
	if !found {
		s.outcome.PassedOver = choice.PassedOver
	}
	return choice, found
}

// attempt makes one attempt at an upstream: it runs the exchange, and records the attempt
// with the retry budget, the guard and the trace.
func (s *session) attempt(choice Choice) Result {
	ctx, span := s.f.cfg.Tracer.Start(s.ctx, "attempt", trace.WithAttributes(
		attribute.String("request", string(s.call.ID)), attribute.String("upstream", string(choice.Upstream))))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := s.watchForSilence(choice, cancel)
	defer silence.stop()
	if !s.firstAttemptCounted {
		s.firstAttemptCounted = true
		s.f.cfg.Budget.RecordFirstAttempt(s.call.Service.Name, s.f.cfg.Now())
	}
	if known := s.call.FeaturesKnownTo(s.f.cfg.Guard); len(known) > 0 {
		defer s.f.cfg.Guard.Started(choice.Upstream, known)()
	}
	sent := s.f.cfg.Now()
	result := s.exchange(ctx, choice, silence)
	if span.IsRecording() {
		span.SetAttributes(attribute.String("result", result.String()), attribute.String("framing", s.ended.Framing.String()),
			attribute.String("ending", s.ended.Ending.String()), attribute.String("position", s.ended.Position.String()))
	}
	if (result == Broken || result == Cut) && ctx.Err() == nil && s.upstreamEnded(choice, false) {
		s.recordUpstreamEnd(choice, result)
	}
	if result == Done {
		s.recordCompletion(choice, sent)
	}
	return result
}

// exchange sends the call to an upstream and reads its answer. The events of a stream are
// delivered as they arrive.
func (s *session) exchange(ctx context.Context, choice Choice, silence *silenceTimer) Result {
	s.ended, s.outcome.RelayedBy = AnswerEnd{}, ""
	request := s.f.cfg.Dialect.Request(s.call, Attempt{
		Upstream: choice.Name, TimeLeft: s.call.Remaining(s.f.cfg.Now()), LastEventID: s.lastEvent,
	})
	request.BeforeSend = func() error { return s.checkAccepts(choice) }
	request.OnOtherHeader = func(header http.Header) { s.recordFields(choice, header) }
	answer, failure := s.f.cfg.Network.Send(ctx, choice.target(), Exchange{
		Request: request, ID: s.call.ID, TimeLeft: s.call.Remaining(s.f.cfg.Now()), SuspectAfter: choice.SilenceTimeout,
	})
	if failure != nil {
		if countsAsStarted(failure) {
			s.countForUsage()
		}
		return s.resultOfFailure(choice, failure)
	}
	defer answer.Close()
	if answer.Relayed != nil {
		s.outcome.RelayedBy = answer.Relayed.By
	}
	s.ended.End = answer.End(completion.NotAStream)
	result := s.readAnswer(choice, answer, silence)
	s.outcome.Ends = append(s.outcome.Ends, s.ended)
	return result
}

// countsAsStarted reports whether a failed exchange counts for usage as a request that
// began to run: it was sent, and the upstream or its crash broke the connection off. If
// such exchanges did not count, usage would lack the runs whose answers were lost. An
// upstream may also have closed an idle connection at the very moment of sending, but that
// is far rarer. An exchange that stayed silent does not count: the request may just as well
// never have arrived.
func countsAsStarted(failure *httpconn.Failure) bool {
	return failure.MaybeSent && !errors.Is(failure, errSilent) && !errors.Is(failure, ErrTimeOver)
}

// resultOfFailure returns the result of an attempt whose exchange failed.
func (s *session) resultOfFailure(choice Choice, failure *httpconn.Failure) Result {
	s.reason = failure.Error()
	ended := s.callEnded()
	if errors.Is(failure, errWithdrawn) && ended != CallerGone {
		return Withdrawn
	}
	if !failure.MaybeSent && ended != CallerGone {
		return NoConnection
	}
	if ended != 0 {
		return ended
	}
	if errors.Is(failure, errSilent) {
		s.f.cfg.Network.CloseIdle(choice.Upstream)
	}
	return s.interrupted()
}

// interrupted returns the result of an attempt whose answer is missing or broke off.
func (s *session) interrupted() Result {
	if s.answerBegan {
		return Cut
	}
	return Broken
}

// callEnded returns Expired if the call's deadline passed, CallerGone if the caller closed
// its connection, and 0 otherwise.
func (s *session) callEnded() Result {
	if s.ctx.Err() == nil {
		return 0
	}
	if errors.Is(context.Cause(s.ctx), ErrTimeOver) {
		return Expired
	}
	return CallerGone
}

// callEndedOr returns the result of a call that has ended, and otherwise the given result.
func (s *session) callEndedOr(result Result) Result {
	if ended := s.callEnded(); ended != 0 {
		return ended
	}
	return result
}

// countForUsage counts the call for the account's usage, once.
func (s *session) countForUsage() {
	if !s.metered {
		s.metered = true
		s.f.cfg.Meter.CountStarted(s.call.Account)
	}
}

// finish ends the call with a step that is final, and delivers the answer or an error.
func (s *session) finish(step Step) {
	if step == Deliver && !s.answerBegan && s.buffered.saysNotRun && !s.mayRepeat() {
		// The upstream ran it: its caller would send it again and have it run twice.
		step = Fail
	}
	s.outcome.Step, s.outcome.Reason = step, s.reason
	s.outcome.Attempts, s.outcome.Tried = s.state.Attempts(), s.state.Tried
	s.outcome.LastEvent = s.lastEvent
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
		// The caller has gone.
	default:
		s.outcome.Status = http.StatusBadGateway
		s.caller.Fail(s.reason)
	}
}

// mayRepeat reports whether the call may run more than once.
func (s *session) mayRepeat() bool { return s.call.Route.Repeatable() || s.call.Route.Resumable }

// retryAfter returns the retry-after time of a refused call; 0 if nothing is known by which it might be
// served later.
func (s *session) retryAfter() time.Duration {
	if s.barredFor > 0 {
		return s.barredFor
	}
	if s.hopeless {
		return 0
	}
	return s.f.cfg.RetryAfter(s.call)
}

// finishStream completes a stream of which a part was delivered, or cuts it off.
func (s *session) finishStream(step Step) {
	if step == Deliver {
		s.caller.End()
		return
	}
	s.caller.Break()
}
