package connectupstream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

const (
	// shortTimeout is how long a caller waits for an answer that never comes.
	shortTimeout = 100 * time.Millisecond
	// longTimeout is longer than any answer takes.
	longTimeout = 5 * time.Second
)

// A kept connection can go silent for good while new ones work. A call that may not be
// repeated must not be sent on such a connection, and a connection on which a call was
// given up must not be used again. Otherwise one booking after the other ends as
// unknown although the service is healthy.
func TestInvokeOverASilentConnection(t *testing.T) {
	keyed := bidRequest
	unkeyed := bidRequest
	unkeyed.Key = ""
	cases := []struct {
		story string
		// first, if set, is a call that opens a connection before the silence.
		first *upstream.InvokeRequest
		// during is whether the silence begins while the call is running.
		during bool
		call   upstream.InvokeRequest
		// ran is whether the call is given up and may have run.
		ran     bool
		effects int
	}{
		{"kept connection silent, call that may not be repeated", &unkeyed, false, keyed, false, 1},
		{"kept connection silent, call that may be repeated", &unkeyed, false, unkeyed, true, 1},
		{"silent while the call runs", nil, true, keyed, true, 1},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			fake := plain.New(plain.Options{FindsOutcomes: true})
			mux := http.NewServeMux()
			connectupstream.MountPlain(mux, fake)
			relay := testkit.NewRelay(t, testkit.Serve(t, mux))
			clients := connectupstream.NewClients(nil, nil)
			t.Cleanup(clients.Close)
			subject := connectupstream.NewPlain(clients, relay.URL())
			if c.first != nil {
				if _, err := subject.Invoke(t.Context(), *c.first); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			silence := func() {
				relay.Silence()
				if c.ran {
					time.AfterFunc(shortTimeout, cancel)
				}
			}
			if c.during {
				fake.SetDelays(plain.Delays{AfterEffect: 10 * shortTimeout})
				go func() {
					for fake.Running() == 0 {
						time.Sleep(time.Millisecond)
					}
					silence()
				}()
			} else {
				silence()
			}
			_, err := subject.Invoke(ctx, c.call)
			if (err != nil && upstream.MayHaveRun(err)) != c.ran {
				t.Errorf("got %v; want that the call may have run: %v", err, c.ran)
			}
			if err := fake.Drain(t.Context()); err != nil {
				t.Fatal(err)
			}
			if got := fake.Effects(c.call.Key); got != c.effects {
				t.Errorf("%d effects, want %d", got, c.effects)
			}
			fake.SetLeaving(false)
			ctx, cancel = context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			if _, err := subject.Find(ctx, callKey, 0); err != nil {
				t.Errorf("cannot find the outcome: %v", err)
			}
		})
	}
}

// When the connection of a token stream goes silent for good, the reader must be
// unblocked by Close, and the next attempt must use another connection. Otherwise the
// caller waits for its next token forever.
func TestTokenStreamOverASilentConnection(t *testing.T) {
	fake := engine.New(engine.Config{Parameters: engine.DefaultParameters()})
	t.Cleanup(fake.Close)
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, fake)
	relay := testkit.NewRelay(t, testkit.Serve(t, mux))
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	subject := connectupstream.NewEngine(clients, relay.URL())
	req := upstream.GenerateRequest{Request: "r-1", Attempt: 1, Prompt: promptText, MaxTokens: endlessTokens}
	stream, err := subject.Generate(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	relay.Silence()
	time.AfterFunc(shortTimeout, func() { _ = stream.Close() })
	got := collect(t, stream, 1, 0)
	if errors.Is(got.err, io.EOF) {
		t.Error("the silence was taken for the end of the answer")
	}
	req.Attempt, req.Delivered = 2, got.tokens
	req.MaxTokens = uint32(len(got.tokens)) + 3
	again, err := subject.Generate(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = again.Close() }()
	rest := collect(t, again, 2, len(got.tokens))
	if want := answer.Tokens(promptText, int(req.MaxTokens))[len(got.tokens):]; !cmp.Equal(rest.tokens, want) {
		t.Errorf("got %v, want %v", rest.tokens, want)
	}
}

// Requests that follow a silence of all open connections must be sent on new
// connections. On a kept one, a healthy upstream would be taken for dead, or a stream
// would wait for its first frame.
func TestRequestsAfterASilence(t *testing.T) {
	fake := engine.New(engine.Config{Parameters: engine.DefaultParameters()})
	t.Cleanup(fake.Close)
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, fake)
	connectupstream.MountPlain(mux, plain.New(plain.Options{FindsOutcomes: true}))
	relay := testkit.NewRelay(t, testkit.Serve(t, mux))
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	e := connectupstream.NewEngine(clients, relay.URL())
	p := connectupstream.NewPlain(clients, relay.URL())
	requests := map[string]func(context.Context) error{
		"report":  func(ctx context.Context) error { _, err := e.Report(ctx); return err },
		"order":   func(ctx context.Context) error { return e.Apply(ctx, upstream.Order{}) },
		"health":  func(ctx context.Context) error { _, err := p.Health(ctx); return err },
		"outcome": func(ctx context.Context) error { _, err := p.Find(ctx, callKey, 0); return err },
		"stream": func(ctx context.Context) error {
			stream, err := e.Generate(ctx, upstream.GenerateRequest{Request: "r-1", Prompt: promptText, MaxTokens: 1})
			if err != nil {
				return err
			}
			return stream.Close()
		},
	}
	for story, request := range requests {
		t.Run(story, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), longTimeout)
			defer cancel()
			if _, err := e.Report(ctx); err != nil {
				t.Fatal(err)
			}
			if _, err := p.Health(ctx); err != nil {
				t.Fatal(err)
			}
			relay.Silence()
			if err := request(ctx); err != nil {
				t.Error(err)
			}
		})
	}
}

// singleStreamEngine is an engine that answers every request with the same stream.
type singleStreamEngine struct {
	upstream.Engine
	stream upstream.TokenStream
}

func (s singleStreamEngine) Generate(context.Context, upstream.GenerateRequest) (upstream.TokenStream, error) {
	return s.stream, nil
}

// serveStream serves an engine that answers with the given stream, and returns its
// client.
func serveStream(t *testing.T, stream upstream.TokenStream) upstream.Engine {
	t.Helper()
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, singleStreamEngine{stream: stream})
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	return connectupstream.NewEngine(clients, testkit.Serve(t, mux))
}

// silentStream is a stream that delivers nothing until it is closed.
type silentStream struct{ closed chan struct{} }

func (s silentStream) Next() (upstream.Frame, error) {
	<-s.closed
	return upstream.Frame{}, io.ErrClosedPipe
}

func (s silentStream) Close() error {
	close(s.closed)
	return nil
}

// While an engine computes a long prefill and sends nothing, heartbeats must show that
// the connection works. Otherwise the streams of a slow engine are taken for dead
// connections.
func TestSilentEngineIsNotASilentConnection(t *testing.T) {
	subject := serveStream(t, silentStream{make(chan struct{})})
	stream, err := subject.Generate(t.Context(), upstream.GenerateRequest{Attempt: 3})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	for range 3 {
		frame, err := stream.Next()
		if err != nil || !frame.Heartbeat || frame.Attempt != 3 {
			t.Errorf("got %+v, %v, want a heartbeat", frame, err)
		}
	}
}

// truncatedStream is a stream that ends without an error before its last frame.
type truncatedStream struct{}

func (truncatedStream) Next() (upstream.Frame, error) { return upstream.Frame{}, io.EOF }
func (truncatedStream) Close() error                  { return nil }

// The end of a stream before its last frame must not be taken for the end of the
// answer. Otherwise the caller takes half an answer for the whole.
func TestStreamWithoutItsLastFrameIsNotWhole(t *testing.T) {
	subject := serveStream(t, truncatedStream{})
	stream, err := subject.Generate(t.Context(), upstream.GenerateRequest{Attempt: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if got := collect(t, stream, 1, 0); errors.Is(got.err, io.EOF) {
		t.Errorf("got %v, want an error for the missing last frame", got.err)
	}
}
