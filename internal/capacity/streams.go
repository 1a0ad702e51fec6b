package capacity

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// answerTokens is the mean answer: 1.5 million tokens and 4,200 requests a
// second.
const answerTokens = 357

// tokenEngine answers without delay, up to a token from which it is silent.
type tokenEngine struct {
	upstream.Engine
	stopAt uint32
}

// Generate implements upstream.Engine.
func (e tokenEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	return &tokenStream{ctx: ctx, req: req, stopAt: e.stopAt}, nil
}

// Pick implements streaming.Picker.
func (e tokenEngine) Pick(context.Context, streaming.PickRequest) (streaming.Target, error) {
	return streaming.Target{Instance: "i-1", Engine: e}, nil
}

type tokenStream struct {
	ctx          context.Context
	req          upstream.GenerateRequest
	next, stopAt uint32
}

// Next implements upstream.TokenStream. Each token is a string of its own, as
// a decoder of messages makes it.
func (s *tokenStream) Next() (upstream.Frame, error) {
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
func (s *tokenStream) Close() error { return nil }

// tokenSink calls done once a number of tokens has come.
type tokenSink struct {
	left int
	done func()
}

// Tokens implements streaming.Sink.
func (s *tokenSink) Tokens(_ uint32, tokens []string) error {
	s.left -= len(tokens)
	if s.left == 0 {
		s.done()
	}
	return nil
}

// Heartbeat implements streaming.Sink.
func (s *tokenSink) Heartbeat() error { return nil }

func newStreams(e tokenEngine) *streaming.Registry {
	config := streaming.DefaultConfig()
	config.IdleStreams = 1
	return streaming.NewRegistry(config, streaming.NewRunner(config, e, nil, nil))
}

func streamRequest(i int, tokens uint32) streaming.Request {
	return streaming.Request{
		Key: streaming.Key{Account: "registrar", Request: ident.Request(strconv.Itoa(i))},
		Ask: streaming.Ask{Service: service, Prompt: "dossier", MaxTokens: tokens},
	}
}

// tokensCost is one whole stream with a number of tokens, from the engine's
// frames to the caller's sink, among as many as a gateway has at once.
func tokensCost(tokens int) (float64, error) {
	const streams = 200
	g := newStreams(tokenEngine{stopAt: uint32(tokens) + 1})
	defer g.Close()
	round := 0
	used := cost(func() {
		var all sync.WaitGroup
		for i := range streams {
			all.Go(func() {
				_, _ = g.Generate(context.Background(), streamRequest(round*streams+i, uint32(tokens)), &tokenSink{left: tokens, done: func() {}})
			})
		}
		all.Wait()
		round++
	})
	return used / streams, nil
}

// streamsMemory is what open streams hold that wait for their next token half
// way through the answer.
func streamsMemory(streams int) (float64, error) {
	const tokens = answerTokens / 2
	g := newStreams(tokenEngine{stopAt: tokens})
	defer g.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var here, callers sync.WaitGroup
	used := held(func() any {
		for i := range streams {
			here.Add(1)
			callers.Go(func() {
				_, _ = g.Generate(ctx, streamRequest(i, tokens+1), &tokenSink{left: tokens, done: here.Done})
			})
		}
		here.Wait()
		return g
	})
	cancel()
	callers.Wait()
	return used, nil
}

// The series of token streams.
const (
	StreamCost   ID = "streaming.cpu"
	StreamMemory ID = "streaming.memory"
)

func streamSeries() []Series {
	return []Series{
		{ID: StreamCost, What: "one whole stream among 200, without the network", Package: "streaming", Size: "tokens", Unit: Microseconds,
			Sizes: []int{64, 128, answerTokens, 1024}, Measure: tokensCost},
		{ID: StreamMemory, What: "open streams at token 178, without buffers of the network", Package: "streaming", Size: "streams", Unit: Bytes,
			Sizes: []int{50, 200, 800, 2000}, Measure: streamsMemory},
	}
}
