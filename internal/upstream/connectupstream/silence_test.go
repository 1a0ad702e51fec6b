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

// shortPatience is how long a caller waits for a connection that is silent.
const shortPatience = 100 * time.Millisecond

// Symptom: bookings end as unknown, one after the other, though the service is
// well. Sequence: a connection serves calls and goes silent for good while new
// ones work. Cause: calls that may not be repeated are sent on a kept
// connection, or a silent connection is kept after its call was given up on.
func TestInvokeOverASilentConnection(t *testing.T) {
	keyed := bid
	plainly := bid
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
			if c.during {
				fake.SetDelays(plain.Delays{BeforeEffect: shortPatience / 4})
				go func() {
					for fake.Running() == 0 {
						time.Sleep(time.Millisecond)
					}
					relay.Silence()
				}()
			} else {
				relay.Silence()
			}
			ctx, cancel := context.WithTimeout(t.Context(), shortPatience)
			defer cancel()
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
			if _, err := subject.Find(t.Context(), key, 0); err != nil {
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
	req := upstream.GenerateRequest{Request: "r-1", Attempt: 1, Prompt: text, MaxTokens: endless}
	stream, err := subject.Generate(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	relay.Silence()
	time.AfterFunc(shortPatience, func() { _ = stream.Close() })
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
	if want := answer.Tokens(text, int(req.MaxTokens))[len(got.tokens):]; !cmp.Equal(rest.tokens, want) {
		t.Errorf("got %v, want %v", rest.tokens, want)
	}
}

// mute is an engine whose streams give nothing until they are closed.
type mute struct{ upstream.Engine }

func (mute) Generate(ctx context.Context, _ upstream.GenerateRequest) (upstream.TokenStream, error) {
	return muteStream{ctx}, nil
}

type muteStream struct{ ctx context.Context }

func (s muteStream) Next() (upstream.Frame, error) {
	<-s.ctx.Done()
	return upstream.Frame{}, s.ctx.Err()
}

func (muteStream) Close() error { return nil }

// Symptom: a slow engine's streams are taken for dead connections.
// Sequence: the engine computes a long prefill and sends nothing.
// Cause: no heartbeats in the stream.
func TestSilentEngineIsNotASilentConnection(t *testing.T) {
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, mute{})
	clients := connectupstream.NewClients(nil)
	t.Cleanup(clients.Close)
	subject := connectupstream.NewEngine(clients, testkit.Serve(t, mux))
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
