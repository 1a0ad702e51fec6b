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
	// shortTimeout is how long a caller waits where an answer never comes.
	shortTimeout = 100 * time.Millisecond
	// longTimeout is more than any answer takes.
	longTimeout = 5 * time.Second
)

// Symptom: bookings end as unknown, one after the other, though the service is
// well. Sequence: a connection serves calls and goes silent for good while new
// ones work. Cause: calls that may not be repeated are sent on a kept
// connection, or a silent connection is kept after its call was given up on.
func TestInvokeOverASilentConnection(t *testing.T) {
	keyed := bidRequest
	plainly := bidRequest
	plainly.Key = ""
	cases := []struct {
		story string
		// first warms a connection up before the silence, if set.
		first *upstream.InvokeRequest
		// during is whether the call is running when the silence begins.
		during bool
		call   upstream.InvokeRequest
		// ran: the call is given up on and may have run.
		ran     bool
		effects int
	}{
		{"kept connection silent, call that may not be repeated", &plainly, false, keyed, false, 1},
		{"kept connection silent, call that may be repeated", &plainly, false, plainly, true, 1},
		{"silent while the call runs", nil, true, keyed, true, 1},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			fake := plain.New(plain.Options{FindsOutcomes: true})
			mux := http.NewServeMux()
			connectupstream.MountPlain(mux, fake)
			relay := testkit.NewRelay(t, testkit.Serve(t, mux))
			clients := connectupstream.NewClients(nil)
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
			if (err != nil && upstream.Ran(err)) != c.ran {
				t.Errorf("got %v, want a call that may have run: %v", err, c.ran)
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
				t.Errorf("asking for the outcome: %v", err)
			}
		})
	}
}

// Symptom: a caller waits for ever for its next token.
// Sequence: the connection of a token stream goes silent for good.
// Cause: a reader that cannot be unblocked, or the next attempt on the same
// connection.
func TestTokenStreamOverASilentConnection(t *testing.T) {
	fake := engine.New(engine.Config{Parameters: engine.DefaultParameters()})
	t.Cleanup(fake.Close)
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, fake)
	relay := testkit.NewRelay(t, testkit.Serve(t, mux))
	clients := connectupstream.NewClients(nil)
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

// Symptom: an upstream that is well is taken for dead, or a stream waits for
// its first frame. Sequence: requests are answered, every open connection goes
// silent, another request follows. Cause: it is sent on a kept connection.
func TestRequestsAfterASilence(t *testing.T) {
	fake := engine.New(engine.Config{Parameters: engine.DefaultParameters()})
	t.Cleanup(fake.Close)
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, fake)
	connectupstream.MountPlain(mux, plain.New(plain.Options{FindsOutcomes: true}))
	relay := testkit.NewRelay(t, testkit.Serve(t, mux))
	clients := connectupstream.NewClients(nil)
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

// singleStreamEngine is an engine with one stream.
type singleStreamEngine struct {
	upstream.Engine
	stream upstream.TokenStream
}

func (s singleStreamEngine) Generate(context.Context, upstream.GenerateRequest) (upstream.TokenStream, error) {
	return s.stream, nil
}

// serveStream serves an engine with one stream.
func serveStream(t *testing.T, stream upstream.TokenStream) upstream.Engine {
	t.Helper()
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, singleStreamEngine{stream: stream})
	clients := connectupstream.NewClients(nil)
	t.Cleanup(clients.Close)
	return connectupstream.NewEngine(clients, testkit.Serve(t, mux))
}

// silentStream is a stream that gives nothing until it is closed.
type silentStream struct{ closed chan struct{} }

func (m silentStream) Next() (upstream.Frame, error) {
	<-m.closed
	return upstream.Frame{}, io.ErrClosedPipe
}

func (m silentStream) Close() error {
	close(m.closed)
	return nil
}

// Symptom: a slow engine's streams are taken for dead connections.
// Sequence: the engine computes a long prefill and sends nothing.
// Cause: no heartbeats in the stream.
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

// truncatedStream is a stream that ends in order, but before its last frame.
type truncatedStream struct{}

func (truncatedStream) Next() (upstream.Frame, error) { return upstream.Frame{}, io.EOF }
func (truncatedStream) Close() error                  { return nil }

// Symptom: a caller takes half an answer for the whole.
// Sequence: an engine ends a stream in order before its last frame.
// Cause: the end of the stream taken for the end of the answer.
func TestStreamWithoutItsLastFrameIsNotWhole(t *testing.T) {
	subject := serveStream(t, truncatedStream{})
	stream, err := subject.Generate(t.Context(), upstream.GenerateRequest{Attempt: 1})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	if got := collect(t, stream, 1, 0); errors.Is(got.err, io.EOF) {
		t.Errorf("got %v", got.err)
	}
}
