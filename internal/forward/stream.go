package forward

import (
	"context"
	"io"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
)

// streamBufferBytes is read at once from a stream; an event has some 80 bytes.
const streamBufferBytes = 4 << 10

// silenceTimer ends an attempt that stays silent, where the call may go on
// elsewhere. Each sign of life starts it anew.
type silenceTimer struct {
	timer      *time.Timer
	afterEvent time.Duration
}

// watchForSilence starts to watch an attempt. It does nothing for calls that only one
// upstream may run: a silent upstream is then still the only one with an answer.
// Nor does it end an attempt that the budget lets nobody replace.
func (s *session) watchForSilence(choice Choice, cancel context.CancelCauseFunc) *silenceTimer {
	route := s.call.Route
	if !route.Repeatable() && !route.Resumable || choice.Slow <= 0 || s.state.possibleRuns+1 >= route.Attempts {
		return &silenceTimer{}
	}
	p := &silenceTimer{afterEvent: max(silentGapFactor*route.GapObjective, choice.Slow)}
	p.timer = time.AfterFunc(choice.Slow, func() {
		if s.call.Remaining(s.f.cfg.Now()) > choice.Slow && s.spendRetry() {
			s.nextAttemptPaid.Store(true)
			cancel(errSilent)
		}
	})
	return p
}

// silentGapFactor is how many times the longest pause that is still on time makes a
// stream count as silent. The users' callers leave after eight.
const silentGapFactor = 3

func (p *silenceTimer) reset() {
	if p.timer != nil {
		p.timer.Reset(p.afterEvent)
	}
}

func (p *silenceTimer) stop() {
	if p.timer != nil {
		p.timer.Stop()
	}
}

// readStream delivers a stream's events as they come.
func (s *session) readStream(choice Choice, answer *httpconn.Answer, reading Reading, patience *silenceTimer) Result {
	if !reading.Genuine && !s.answerBegan {
		s.reason = "a stream without the upstream's signature"
		return Broken
	}
	var scanner eventScanner
	buffer := make([]byte, streamBufferBytes)
	first := true
	for {
		n, err := answer.Read(buffer)
		events := scanner.add(buffer[:n])
		if len(events) > 0 {
			patience.reset()
			if first {
				first = false
				s.f.cfg.Placement.Began(choice, s.f.cfg.Now())
			}
			if !s.deliver(answer, events) {
				return CallerGone
			}
			scanner.discard(len(events))
		}
		if err == io.EOF {
			return s.streamEnd(answer, &scanner)
		}
		if err != nil {
			s.reason = err.Error()
			return s.callEndedOr(s.interrupted())
		}
	}
}

// streamEnd ends a stream that its upstream ended. What follows the last whole
// event belongs to the body too.
func (s *session) streamEnd(answer *httpconn.Answer, scanner *eventScanner) Result {
	if len(scanner.pending) > 0 && !s.deliver(answer, scanner.pending) {
		return CallerGone
	}
	if !s.answerBegan {
		s.beginStream(answer)
	}
	return Done
}

// deliver passes events on and reports whether the caller still takes them.
func (s *session) deliver(answer *httpconn.Answer, events []byte) bool {
	now := s.f.cfg.Now()
	if !s.answerBegan {
		s.beginStream(answer)
	} else {
		s.outcome.LongestPause = max(s.outcome.LongestPause, now.Sub(s.lastPartAt))
	}
	s.lastPartAt = now
	if id := lastID(events); id != "" {
		s.lastEvent = id
	}
	s.outcome.Events += countEvents(events)
	if err := s.caller.Part(events); err != nil {
		s.reason = err.Error()
		return false
	}
	return true
}

func (s *session) beginStream(answer *httpconn.Answer) {
	s.answerBegan = true
	s.outcome.FirstPart = s.f.cfg.Now().Sub(s.call.Received)
	s.outcome.Status = answer.Status
	s.caller.Begin(answer.Status, answer.Header)
}
