package forward

import (
	"net/http"
	"time"
)

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
		delivered := s.buffered.share.Deliver(s.caller.Interrupt)
		s.caller.Answer(s.buffered.status, s.buffered.header, s.buffered.body, s.buffered.share.Progress)
		delivered()
	case Refuse:
		s.outcome.Status = http.StatusServiceUnavailable
		s.caller.Refuse(s.reason, s.retryAfter())
	case TimeOut:
		s.outcome.Status = http.StatusGatewayTimeout
		s.caller.TimeOut()
	case Abandon:
		// The caller has gone, or has shut down its side and reads on: without a break, the server would
		// complete an answer that no upstream gave.
		s.caller.Break()
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
