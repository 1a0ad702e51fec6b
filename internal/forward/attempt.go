package forward

import (
	"context"
	"errors"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
)

// attempt makes one attempt at an upstream: it runs the exchange, and records the attempt
// with the retry budget, the guard and the trace.
func (s *session) attempt(choice Choice) Result {
	ctx, span := s.f.cfg.Tracer.Start(s.ctx, "attempt", trace.WithAttributes(
		attribute.String("request", string(s.call.ID)), attribute.String("upstream", string(choice.Upstream))))
	defer span.End()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.retryDecision.Store(nil)
	s.evidence, s.noRoom = 0, false
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
	switch result {
	case Done:
		s.recordCompletion(choice, sent)
	case Broken, Cut, Expired, CallerGone:
		s.recordInterruption(choice, result, ctx.Err() == nil && !s.noRoom)
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
	s.noRoom = errors.Is(failure, answerbudget.ErrNoRoom)
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
