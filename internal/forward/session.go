package forward

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
)

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
	// retryDecision is the retry budget's decision on whether another attempt follows the current one; nil
	// while there is none. The timer of an attempt sets it.
	retryDecision atomic.Pointer[retry.Decision]
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
	// interruptedBefore: an upstream crashed, or may have, while it had the call. The timer of an attempt
	// reads it too.
	interruptedBefore atomic.Bool
	// evidence is what the end of the last attempt showed of its upstream's process; zero if it was complete.
	evidence poison.Evidence
	// hopeless: no upstream can take the call now, and none is known that will.
	hopeless bool
	// noRoom: this gateway had no memory for the answer to the last attempt, which says nothing of its upstream.
	noRoom bool
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
	// share is what it makes the process hold until it is delivered.
	share *answerbudget.Share
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
		if result != Done && (s.noRoom || s.f.cfg.Network.Lost(choice.Upstream)) {
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
				"last_event", s.lastEvent, "bytes_after", s.ended.BytesAfter, "evidence", s.evidence.String(), "answer", s.ended.Verdict().String(), "budget", s.retryDecision.Load().String())
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
		s.reason = cmp.Or(s.blocked.String(), "no upstream takes work")
		s.hopeless = s.blocked.lasts()
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
	if s.unresumable.Load() || s.interruptedBefore.Load() && !s.f.cfg.Guard.MayResend(s.call.Features()) {
		return false
	}
	if s.nextAttemptPaid.Swap(false) {
		return true
	}
	d := s.f.cfg.Budget.Spend(s.call.Service.Name, s.f.cfg.Now())
	s.retryDecision.Store(&d)
	return d.OK
}

// takePlace reserves a place at an upstream, or waits for one, and reports whether it got one.
func (s *session) takePlace() (Choice, bool) {
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
