// Package zerodelay provides an engine without delay and a sink that only counts
// tokens, for benchmarks of the streaming path between them.
package zerodelay

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Engine generates tokens without delay. Of upstream.Engine it implements only what
// streams need; the other methods panic. It also implements streaming.Picker and
// picks itself.
type Engine struct {
	upstream.Engine
	// StopAt is the index of the token before which every stream goes silent
	// until its context ends.
	StopAt uint32
}

// Generate implements upstream.Engine.
func (e Engine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	return &stream{ctx: ctx, req: req, next: uint32(len(req.Delivered)), stopAt: e.StopAt}, nil
}

// Pick implements streaming.Picker.
func (e Engine) Pick(context.Context, streaming.PickRequest) (streaming.Target, error) {
	return streaming.Target{Instance: "i-1", Engine: e}, nil
}

type stream struct {
	ctx          context.Context
	req          upstream.GenerateRequest
	next, stopAt uint32
}

// Next implements upstream.TokenStream. It allocates a string for each token, as
// the decoder of a message does.
func (s *stream) Next() (upstream.Frame, error) {
	if s.next == s.stopAt {
		<-s.ctx.Done()
		return upstream.Frame{}, errors.New("closed")
	}
	if s.next == s.req.MaxTokens {
		return upstream.Frame{}, io.EOF
	}
	f := upstream.Frame{Attempt: s.req.Attempt, Index: s.next, Tokens: []string{strconv.Itoa(100_000 + int(s.next))}}
	s.next++
	return f, nil
}

// Close implements upstream.TokenStream.
func (s *stream) Close() error { return nil }

// Sink counts tokens. It implements streaming.Sink.
type Sink struct {
	// TokensLeft is the number of tokens that are still expected. OnDone is called
	// when it becomes 0.
	TokensLeft int
	OnDone     func()
}

// Tokens implements streaming.Sink.
func (s *Sink) Tokens(_ uint32, tokens []string) error {
	s.TokensLeft -= len(tokens)
	if s.TokensLeft == 0 {
		s.OnDone()
	}
	return nil
}

// Heartbeat implements streaming.Sink.
func (s *Sink) Heartbeat() error { return nil }

// NewRegistry returns a registry whose streams all come from one engine.
func NewRegistry(e Engine) *streaming.Registry {
	config := streaming.DefaultConfig()
	config.MaxIdleStreams = 1
	return streaming.NewRegistry(config, streaming.NewRunner(config, e, nil, nil))
}
