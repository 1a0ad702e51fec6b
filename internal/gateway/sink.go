package gateway

import (
	"connectrpc.com/connect"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// sink sends the events of a token stream to a caller. Generate and Resume send the
// same events in messages of different types.
type sink struct {
	tokens    func(*callerv1.TokenFrame) error
	heartbeat func() error
	outcome   func(*callerv1.Outcome) error
}

var _ streaming.Sink = (*sink)(nil)

func generateSink(out *connect.ServerStream[callerv1.GenerateResponse]) *sink {
	return &sink{
		tokens: func(frame *callerv1.TokenFrame) error {
			return out.Send(&callerv1.GenerateResponse{Event: &callerv1.GenerateResponse_Tokens{Tokens: frame}})
		},
		heartbeat: func() error {
			return out.Send(&callerv1.GenerateResponse{Event: &callerv1.GenerateResponse_Heartbeat{Heartbeat: &callerv1.Heartbeat{}}})
		},
		outcome: func(o *callerv1.Outcome) error {
			return out.Send(&callerv1.GenerateResponse{Event: &callerv1.GenerateResponse_Outcome{Outcome: o}})
		},
	}
}

func resumeSink(out *connect.ServerStream[callerv1.ResumeResponse]) *sink {
	return &sink{
		tokens: func(frame *callerv1.TokenFrame) error {
			return out.Send(&callerv1.ResumeResponse{Event: &callerv1.ResumeResponse_Tokens{Tokens: frame}})
		},
		heartbeat: func() error {
			return out.Send(&callerv1.ResumeResponse{Event: &callerv1.ResumeResponse_Heartbeat{Heartbeat: &callerv1.Heartbeat{}}})
		},
		outcome: func(o *callerv1.Outcome) error {
			return out.Send(&callerv1.ResumeResponse{Event: &callerv1.ResumeResponse_Outcome{Outcome: o}})
		},
	}
}

// Tokens implements streaming.Sink.
func (s *sink) Tokens(index uint32, tokens []string) error {
	return s.tokens(&callerv1.TokenFrame{Index: index, Tokens: tokens})
}

// Heartbeat implements streaming.Sink.
func (s *sink) Heartbeat() error { return s.heartbeat() }

// sendOutcome sends the outcome, which is the last event.
func (s *sink) sendOutcome(o outcome.Outcome) error { return s.outcome(toWire(o)) }

// firstTokenSink is a sink that calls onFirstToken before it passes the first tokens on.
type firstTokenSink struct {
	streaming.Sink
	onFirstToken func()
	notified     bool
}

// Tokens implements streaming.Sink.
func (s *firstTokenSink) Tokens(index uint32, tokens []string) error {
	if !s.notified {
		s.notified = true
		s.onFirstToken()
	}
	return s.Sink.Tokens(index, tokens)
}
