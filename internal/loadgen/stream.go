package loadgen

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// errSilent: a stream's connection gave nothing, not even a heartbeat.
var errSilent = errors.New("stream went silent")

// streamTimes are the times of one stream, from when it was due.
type streamTimes struct {
	firstToken time.Duration
	// between are the times between tokens.
	between []time.Duration
}

// streamCaller carries one streamed request through to its end.
type streamCaller struct {
	caller
	check    tokenCheck
	original *callerv1.GenerateRequest
	due      time.Time
	// silence is how long a stream may give nothing.
	silence time.Duration
	// begun: some gateway may have taken the request.
	begun   bool
	resumes int
	times   streamTimes
	latest  time.Time
}

// tokenEvents is what Generate and Resume have in common.
type tokenEvents interface {
	receive() bool
	tokens() *callerv1.TokenFrame
	outcome() *callerv1.Outcome
	err() error
}

type generated struct {
	*connect.ServerStreamForClient[callerv1.GenerateResponse]
}

func (g generated) receive() bool                { return g.Receive() }
func (g generated) tokens() *callerv1.TokenFrame { return g.Msg().GetTokens() }
func (g generated) outcome() *callerv1.Outcome   { return g.Msg().GetOutcome() }
func (g generated) err() error                   { return g.Err() }

type resumed struct {
	*connect.ServerStreamForClient[callerv1.ResumeResponse]
}

func (r resumed) receive() bool                { return r.Receive() }
func (r resumed) tokens() *callerv1.TokenFrame { return r.Msg().GetTokens() }
func (r resumed) outcome() *callerv1.Outcome   { return r.Msg().GetOutcome() }
func (r resumed) err() error                   { return r.Err() }

// run sends the request until its answer is whole, something is wrong with it,
// it was refused maxRefusals times, or ctx ends.
func (s *streamCaller) run(ctx context.Context, maxRefusals int) *finding {
	for {
		outcome, verdict, err := s.once(ctx)
		if verdict != nil {
			return verdict
		}
		if err != nil {
			if final := rejected(err); final != nil {
				return final
			}
			if !s.broken(ctx) {
				return s.giveUp(err)
			}
			continue
		}
		switch outcome.GetKind() {
		case callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED:
			return s.check.complete()
		case callerv1.OutcomeKind_OUTCOME_KIND_FAILED:
			return fromOutcome(Failed, outcome)
		case callerv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
			s.refusals++
			// A refusal of a stream that has given nothing leaves
			// nothing to resume.
			s.begun = len(s.check.got) > 0
		}
		if s.refusals >= maxRefusals || !s.told(ctx, outcome) {
			s.last = outcome
			return s.giveUp(nil)
		}
	}
}

// once reads one stream to its outcome, a finding or the connection's end.
func (s *streamCaller) once(parent context.Context) (*callerv1.Outcome, *finding, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.silence, func() { cancel(errSilent) })
	defer watchdog.Stop()
	ctx, attempt := transport.Observe(ctx)
	events, err := s.open(ctx)
	if err != nil {
		s.begun = s.sent(attempt, err) || s.begun
		return nil, nil, err
	}
	for events.receive() {
		watchdog.Reset(s.silence)
		s.begun = true
		if frame := events.tokens(); frame != nil {
			if wrong := s.take(frame); wrong != nil {
				return nil, wrong, nil
			}
		}
		if outcome := events.outcome(); outcome != nil {
			return outcome, nil, nil
		}
	}
	err = events.err()
	if err == nil {
		err = errors.New("stream ended without an outcome")
	}
	s.begun = s.sent(attempt, err) || s.begun
	return nil, nil, err
}

// open starts the stream, or resumes it once a gateway may have taken it.
func (s *streamCaller) open(ctx context.Context) (tokenEvents, error) {
	ctx, gateway := s.try(ctx)
	if !s.begun {
		s.original.Attempt = uint32(s.refusals) + 1
		stream, err := gateway.Generate(ctx, s.original)
		return generated{stream}, err
	}
	s.resumes++
	stream, err := gateway.Resume(ctx, &callerv1.ResumeRequest{
		Service:   s.original.GetService(),
		RequestId: s.original.GetRequestId(),
		NextIndex: uint32(len(s.check.got)),
		Original:  s.original,
		Delivered: s.check.got,
	})
	return resumed{stream}, err
}

// take checks the tokens of a frame and notes their times.
func (s *streamCaller) take(frame *callerv1.TokenFrame) *finding {
	now := time.Now()
	first := len(s.check.got) == 0
	if wrong := s.check.add(frame.GetIndex(), frame.GetTokens()); wrong != nil {
		return wrong
	}
	if len(frame.GetTokens()) == 0 {
		return nil
	}
	if first {
		s.times.firstToken = now.Sub(s.due)
	} else {
		s.times.between = append(s.times.between, now.Sub(s.latest))
	}
	s.latest = now
	return nil
}
