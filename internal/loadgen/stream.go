package loadgen

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// errSilent cancels a stream that delivered nothing, not even a heartbeat, for the
// silence timeout.
var errSilent = errors.New("stream went silent")

// streamTimes are the latencies of one stream.
type streamTimes struct {
	// firstToken counts from the time at which the request was due.
	firstToken time.Duration
	// betweenTokens are the times between consecutive frames with tokens.
	betweenTokens []time.Duration
}

// streamCaller sends one streamed request and resumes its stream until it has
// ended.
type streamCaller struct {
	caller
	check    tokenCheck
	original *callerv1.GenerateRequest
	dueAt    time.Time
	// silenceTimeout is how long a stream may deliver nothing.
	silenceTimeout time.Duration
	// maybeAccepted is set when some gateway may have accepted the request, so
	// that the next attempt has to resume it.
	maybeAccepted bool
	resumes       int
	times         streamTimes
	lastTokenAt   time.Time
}

// tokenEvents is what the streams of Generate and Resume have in common.
type tokenEvents interface {
	receive() bool
	tokens() *callerv1.TokenFrame
	outcome() *callerv1.Outcome
	err() error
}

type generateEvents struct {
	*connect.ServerStreamForClient[callerv1.GenerateResponse]
}

func (g generateEvents) receive() bool                { return g.Receive() }
func (g generateEvents) tokens() *callerv1.TokenFrame { return g.Msg().GetTokens() }
func (g generateEvents) outcome() *callerv1.Outcome   { return g.Msg().GetOutcome() }
func (g generateEvents) err() error                   { return g.Err() }

type resumeEvents struct {
	*connect.ServerStreamForClient[callerv1.ResumeResponse]
}

func (r resumeEvents) receive() bool                { return r.Receive() }
func (r resumeEvents) tokens() *callerv1.TokenFrame { return r.Msg().GetTokens() }
func (r resumeEvents) outcome() *callerv1.Outcome   { return r.Msg().GetOutcome() }
func (r resumeEvents) err() error                   { return r.Err() }

// run makes attempts until the outcome is final, a token is wrong, the request was
// refused maxRefusals times, or ctx ends.
func (s *streamCaller) run(ctx context.Context, maxRefusals int) *assessment {
	for {
		outcome, wrong, err := s.runOnce(ctx)
		if wrong != nil {
			return wrong
		}
		if err != nil {
			if final := assessRejection(err); final != nil {
				return final
			}
			if !s.backOff(ctx) {
				return s.assessUnfinished(err)
			}
			continue
		}
		switch outcome.GetKind() {
		case callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED:
			return s.check.assessComplete()
		case callerv1.OutcomeKind_OUTCOME_KIND_FAILED:
			return assessOutcome(Failed, outcome)
		case callerv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
			s.refusals++
			// If a refused stream has delivered no token, there is
			// nothing to resume.
			s.maybeAccepted = len(s.check.got) > 0
		}
		if s.refusals >= maxRefusals || !s.waitRetryAfter(ctx, outcome) {
			s.lastOutcome = outcome
			return s.assessUnfinished(nil)
		}
	}
}

// runOnce makes one attempt. It returns the outcome that the gateway sent, the
// assessment of a wrong token, or the error that ended the stream before either.
func (s *streamCaller) runOnce(parent context.Context) (*callerv1.Outcome, *assessment, error) {
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	watchdog := time.AfterFunc(s.silenceTimeout, func() { cancel(errSilent) })
	defer watchdog.Stop()
	ctx, attempt := transport.Observe(ctx)
	events, err := s.open(ctx)
	if err != nil {
		s.maybeAccepted = s.recordFailure(attempt, err) || s.maybeAccepted
		return nil, nil, err
	}
	for events.receive() {
		watchdog.Reset(s.silenceTimeout)
		s.maybeAccepted = true
		if frame := events.tokens(); frame != nil {
			if wrong := s.addFrame(frame); wrong != nil {
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
	s.maybeAccepted = s.recordFailure(attempt, err) || s.maybeAccepted
	return nil, nil, err
}

// open starts the stream, or resumes it if a gateway may have accepted the request.
func (s *streamCaller) open(ctx context.Context) (tokenEvents, error) {
	ctx, gateway := s.prepareAttempt(ctx)
	if !s.maybeAccepted {
		s.original.Attempt = uint32(s.refusals) + 1
		stream, err := gateway.Generate(ctx, s.original)
		return generateEvents{stream}, err
	}
	s.resumes++
	stream, err := gateway.Resume(ctx, &callerv1.ResumeRequest{
		Service:   s.original.GetService(),
		RequestId: s.original.GetRequestId(),
		NextIndex: uint32(len(s.check.got)),
		Original:  s.original,
		Delivered: s.check.got,
	})
	return resumeEvents{stream}, err
}

// addFrame checks the tokens of a frame and records their times. It returns an
// assessment if they are wrong, else nil.
func (s *streamCaller) addFrame(frame *callerv1.TokenFrame) *assessment {
	now := time.Now()
	first := len(s.check.got) == 0
	if wrong := s.check.add(frame.GetIndex(), frame.GetTokens()); wrong != nil {
		return wrong
	}
	if len(frame.GetTokens()) == 0 {
		return nil
	}
	if first {
		s.times.firstToken = now.Sub(s.dueAt)
	} else {
		s.times.betweenTokens = append(s.times.betweenTokens, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	return nil
}
