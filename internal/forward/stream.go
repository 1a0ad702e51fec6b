package forward

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/completion"
	"github.com/goldcrestspool/goldcrestspool/internal/eventstream"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
)

// streamBufferBytes is how much is read from a stream at a time; an event has some 80 bytes.
const streamBufferBytes = 4 << 10

// silenceTimer cancels an attempt whose upstream is silent for too long, where the call
// may be sent to another upstream. Each event that is received restarts it. The zero value
// never fires.
type silenceTimer struct {
	timer *time.Timer
	// afterEvent is the longest silence allowed after an event.
	afterEvent time.Duration
	// resets counts the restarts: events may arrive while the timer waits for the retry budget.
	resets atomic.Int64
}

// watchForSilence starts the silence timer of an attempt. A call that no further upstream may
// run gets no timer, because then only the silent upstream can still answer. When the timer
// fires, it cancels the attempt only if the call has time left for another one and the retry
// budget allows it.
func (s *session) watchForSilence(choice Choice, cancel context.CancelCauseFunc) *silenceTimer {
	route := s.call.Route
	if !route.Repeatable() && !route.Resumable || choice.SilenceTimeout <= 0 || s.state.possibleRuns+1 >= route.Attempts {
		return &silenceTimer{}
	}
	t := &silenceTimer{afterEvent: max(silentGapFactor*route.GapObjective, choice.SilenceTimeout)}
	t.timer = time.AfterFunc(choice.SilenceTimeout, func() {
		resets := t.resets.Load()
		if s.call.Remaining(s.f.cfg.Now()) <= choice.SilenceTimeout || !s.spendRetry() {
			return
		}
		s.nextAttemptPaid.Store(true)
		if t.resets.Load() == resets {
			cancel(errSilent)
		}
	})
	return t
}

// silentGapFactor is the multiple of the route's gap objective (the longest pause between two
// events that is on time) after which a stream counts as silent. The users' callers go away
// after eight times the objective.
const silentGapFactor = 3

// reset restarts the timer after an event was received.
func (t *silenceTimer) reset() {
	if t.timer != nil {
		t.resets.Add(1)
		t.timer.Reset(t.afterEvent)
	}
}

func (t *silenceTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// readStream reads a stream and delivers its events as they arrive.
func (s *session) readStream(choice Choice, answer *httpconn.Answer, info AnswerInfo, silence *silenceTimer) Result {
	if !info.Signed {
		s.reason = "a stream without the upstream's signature"
		return s.interrupted()
	}
	var scanner eventstream.Scanner
	s.earlierEvents = s.outcome.Events
	buffer := make([]byte, streamBufferBytes)
	first, continues := true, s.answerBegan
	var padding paddingLimit
	for {
		n, err := answer.Read(buffer)
		events := scanner.Add(buffer[:n])
		tooMuchPadding := padding.exceeded(&scanner, events)
		if len(events) > 0 {
			silence.reset()
			if first {
				first = false
				if s.mayBeOtherSoftware(choice) {
					s.reason = "a later process has taken the upstream's name"
					return s.interrupted()
				}
				if continues {
					events = eventstream.TrimMark(events)
				}
				s.f.cfg.Placement.FirstEventArrived(choice, s.f.cfg.Now())
			}
			delivered := answer.Share().Deliver(s.caller.Interrupt)
			ok := s.deliver(choice, answer, &scanner, events)
			delivered()
			if !ok {
				s.observeStreamEnd(answer, &scanner)
				s.ended.Ending = completion.Abandoned
				return CallerGone
			}
		}
		if err != nil {
			silence.stop()
			s.observeStreamEnd(answer, &scanner)
			s.doubtEnd(choice, answer)
			return s.endStream(choice, answer, &scanner, err)
		}
		if err := s.holdEvent(answer, &scanner); err != nil {
			s.observeStreamEnd(answer, &scanner)
			s.reason, s.noRoom = err.Error(), errors.Is(err, answerbudget.ErrNoRoom)
			return s.callEndedOr(s.interrupted())
		}
		if tooMuchPadding {
			s.observeStreamEnd(answer, &scanner)
			s.reason = "comments and empty lines without an event"
			return s.interrupted()
		}
		if len(scanner.Rest()) > maxBufferedBytes {
			s.observeStreamEnd(answer, &scanner)
			s.reason = "an event is too long to be held"
			return s.interrupted()
		}
	}
}

// holdEvent reserves room for an event of which a part has come, with what its buffer takes as it grows.
func (s *session) holdEvent(answer *httpconn.Answer, scanner *eventstream.Scanner) error {
	const growth = 9.0 / 4
	held := int64(growth * float64(scanner.Held()))
	if held <= streamBufferBytes {
		answer.Drop(held)
		return nil
	}
	return answer.Hold(held)
}

// maxPaddingBytes bounds the comments and empty lines between two events. They keep a connection alive, some
// bytes now and then; an upstream that sends more than this makes no events.
const maxPaddingBytes = 64 << 10

// paddingLimit counts the bytes of whole comments and empty lines since the last event.
type paddingLimit struct {
	events, bytes int
}

// exceeded adds a part that the scanner has returned, and reports whether there were too many bytes without an
// event.
func (l *paddingLimit) exceeded(scanner *eventstream.Scanner, part []byte) bool {
	if events := scanner.Events(); events != l.events {
		l.events, l.bytes = events, 0
		return false
	}
	l.bytes += len(part)
	return l.bytes > maxPaddingBytes
}

// observeStreamEnd records how a stream ended.
func (s *session) observeStreamEnd(answer *httpconn.Answer, scanner *eventstream.Scanner) {
	s.ended = AnswerEnd{End: answer.End(scanner.Position()), BytesAfter: len(scanner.Rest())}
}

// endStream ends a stream whose reading ended with err. Only a complete one is completed for
// the caller; the comments after the last event are a part of it.
func (s *session) endStream(choice Choice, answer *httpconn.Answer, scanner *eventstream.Scanner, err error) Result {
	if err == io.EOF {
		s.recordTrailer(choice, answer)
	}
	if s.ended.Verdict() != completion.Complete {
		s.reason = s.whyIncomplete(err)
		return s.callEndedOr(s.interrupted())
	}
	if rest := scanner.Rest(); len(rest) > 0 && !s.deliver(choice, answer, scanner, rest) {
		return CallerGone
	}
	if !s.answerBegan {
		s.beginStream(choice, answer)
	}
	return Done
}

// deliver sends a part of a stream to the caller and reports whether the caller is still
// there.
func (s *session) deliver(choice Choice, answer *httpconn.Answer, scanner *eventstream.Scanner, part []byte) bool {
	now := s.f.cfg.Now()
	if !s.answerBegan {
		s.beginStream(choice, answer)
	} else {
		s.outcome.LongestPause = max(s.outcome.LongestPause, now.Sub(s.lastPartAt))
	}
	s.lastPartAt = now
	if id := scanner.LastID(); id != "" {
		s.lastEvent = id
		s.unresumable.Store(scanner.EventsAfterID() > 0)
	} else if scanner.Events() > 0 {
		s.unresumable.Store(true)
	}
	s.outcome.Events = s.earlierEvents + scanner.Events()
	if err := s.caller.Part(part); err != nil {
		s.reason = err.Error()
		return false
	}
	return true
}

// beginStream starts the caller's answer with the status and header of the upstream's. From then on
// only the same software may go on with it.
func (s *session) beginStream(choice Choice, answer *httpconn.Answer) {
	s.answerBegan = true
	s.recordOrigin(choice)
	s.outcome.FirstPart = s.f.cfg.Now().Sub(s.call.Received)
	s.outcome.Status = answer.Status
	s.caller.Begin(answer.Status, answer.Header)
}
