package engine

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// tokenStream delivers the tokens of one attempt.
type tokenStream struct {
	ctx    context.Context
	engine *Engine
	req    upstream.GenerateRequest
	// ready holds a signal when frames or err may have changed.
	ready chan struct{}

	mu     sync.Mutex
	frames []upstream.Frame
	err    error
}

func newTokenStream(ctx context.Context, e *Engine, req upstream.GenerateRequest) *tokenStream {
	return &tokenStream{ctx: ctx, engine: e, req: req, ready: make(chan struct{}, 1)}
}

// push adds a token without blocking, so that a slow reader never holds up the
// engine.
func (s *tokenStream) push(t Token) {
	index := len(s.req.Delivered) + t.Index
	f := upstream.Frame{Attempt: s.req.Attempt, Index: uint32(index), Done: t.Done}
	if index < int(s.req.MaxTokens) {
		f.Tokens = []string{answer.Token(s.req.Prompt, index)}
	}
	if t.Index == 0 {
		f.PrefilledTokens = uint32(t.Prefilled)
	}
	s.mu.Lock()
	s.frames = append(s.frames, f)
	if t.Done {
		s.err = io.EOF
	}
	s.mu.Unlock()
	s.signal()
}

// fail ends the stream with an error, which the reader gets after the frames that
// were pushed before.
func (s *tokenStream) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.signal()
}

func (s *tokenStream) signal() {
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

// Next returns the next frame, or a heartbeat if there is none for
// Config.Heartbeat. If the stream's context ends first, it cancels the attempt.
func (s *tokenStream) Next() (upstream.Frame, error) {
	timer := time.NewTimer(s.engine.config.Heartbeat)
	defer timer.Stop()
	for {
		if f, ok, err := s.takeFrame(); ok || err != nil {
			return f, err
		}
		select {
		case <-s.ready:
		case <-timer.C:
			return upstream.Frame{Attempt: s.req.Attempt, Heartbeat: true}, nil
		case <-s.ctx.Done():
			s.engine.cancel(s)
			return upstream.Frame{}, s.ctx.Err()
		}
	}
}

// takeFrame removes and returns the first frame, or returns the stream's error if
// there is none.
func (s *tokenStream) takeFrame() (upstream.Frame, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.frames) == 0 {
		return upstream.Frame{}, false, s.err
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, true, nil
}

// Close cancels the attempt at the engine.
func (s *tokenStream) Close() error {
	s.fail(io.EOF)
	s.engine.cancel(s)
	return nil
}
