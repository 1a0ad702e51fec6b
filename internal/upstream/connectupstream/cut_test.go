package connectupstream_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// cutServer answers with the first answer of a handler, in a framing and broken off.
type cutServer struct {
	server  *testkit.RawServer
	handler http.Handler
	whole   *httptest.ResponseRecorder
}

func newCutServer(t *testing.T, handler http.Handler) *cutServer {
	t.Helper()
	return &cutServer{server: testkit.NewRawServer(t), handler: handler}
}

// breakOff makes later answers break off after cut bytes; with a negative cut they are whole.
func (s *cutServer) breakOff(framing testkit.Framing, cut int, reset bool) {
	s.server.SetAnswer(func(r *http.Request) testkit.RawAnswer {
		if s.whole == nil {
			s.whole = httptest.NewRecorder()
			s.handler.ServeHTTP(s.whole, r)
		}
		return testkit.RawAnswer{
			Status: s.whole.Code, HeaderLines: "Content-Type: " + s.whole.Header().Get("Content-Type") + "\r\n",
			Framing: framing, Body: s.whole.Body.String(), Cut: cut, Reset: reset,
		}
	})
}

func newCutEngine(t *testing.T) (*cutServer, upstream.Engine) {
	t.Helper()
	parameters := engine.DefaultParameters()
	parameters.StepBase = time.Millisecond
	fake := engine.New(engine.Config{Instance: "e-1", Incarnation: 2, Parameters: parameters})
	t.Cleanup(fake.Close)
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, fake)
	server := newCutServer(t, mux)
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	return server, connectupstream.NewEngine(clients, "http://"+server.server.Address())
}

// Guards against a token stream that an engine broke off and that ends as if it were whole, whatever
// frames the answer. The frame with Done is its end; what comes after it is not waited for.
func TestABrokenOffTokenStreamIsNotWhole(t *testing.T) {
	const tokens = 3
	want := answer.Tokens(promptText, tokens)
	for _, framing := range testkit.Framings() {
		t.Run(string(framing), func(t *testing.T) {
			t.Parallel()
			server, subject := newCutEngine(t)
			run := func(cut int, reset bool) streamResult {
				server.breakOff(framing, cut, reset)
				stream, err := subject.Generate(t.Context(), upstream.GenerateRequest{Request: "r", Attempt: 1, Prompt: promptText, MaxTokens: tokens})
				if err != nil {
					return streamResult{err: err}
				}
				defer stream.Close()
				return collect(t, stream, 1, 0)
			}
			if got := run(-1, false); !errors.Is(got.err, io.EOF) || !cmp.Equal(got.tokens, want) {
				t.Fatalf("whole: %v, error %v", got.tokens, got.err)
			}
			broken := 0
			for cut := range len(framing.Frame(server.whole.Body.String())) {
				for _, reset := range []bool{false, true} {
					switch got := run(cut, reset); {
					case got.err == io.EOF && !cmp.Equal(got.tokens, want):
						t.Errorf("cut after %d bytes, reset %v: %v ends as whole", cut, reset, got.tokens)
					case got.err != io.EOF:
						broken++
						if !upstream.MayHaveRun(got.err) {
							t.Errorf("cut after %d bytes, reset %v: %v says that it did not run", cut, reset, got.err)
						}
					}
				}
			}
			if broken == 0 {
				t.Error("no cut was noticed")
			}
		})
	}
}

// Guards against a broken-off answer of a plain service, or report of an engine, that is used as if it
// were whole. Without length and chunks a message that is cut between two of its fields can't be told
// from a whole one, so that only the other framings are tried, and resets.
func TestABrokenOffAnswerIsNotUsed(t *testing.T) {
	for name, newCall := range map[string]func(*testing.T) (*cutServer, func(context.Context) error){
		"report": func(t *testing.T) (*cutServer, func(context.Context) error) {
			server, subject := newCutEngine(t)
			return server, func(ctx context.Context) error {
				_, err := subject.Report(ctx)
				return err
			}
		},
		"cache events": func(t *testing.T) (*cutServer, func(context.Context) error) {
			server, subject := newCutEngine(t)
			return server, func(ctx context.Context) error {
				_, err := subject.CacheEvents(ctx, 0)
				return err
			}
		},
		"answer": func(t *testing.T) (*cutServer, func(context.Context) error) {
			mux := http.NewServeMux()
			connectupstream.MountPlain(mux, echo{})
			server := newCutServer(t, mux)
			clients := connectupstream.NewClients(nil, nil)
			t.Cleanup(clients.Close)
			subject := connectupstream.NewPlain(clients, "http://"+server.server.Address())
			return server, func(ctx context.Context) error {
				got, err := subject.Invoke(ctx, upstream.InvokeRequest{Method: "m", Payload: []byte("payload")})
				if err == nil && string(got.Payload) != "payload" {
					t.Errorf("payload %q", got.Payload)
				}
				if err != nil && !upstream.MayHaveRun(err) {
					t.Errorf("%v says that it did not run", err)
				}
				return err
			}
		},
	} {
		for _, framing := range testkit.Framings() {
			t.Run(name+" by "+string(framing), func(t *testing.T) {
				t.Parallel()
				server, call := newCall(t)
				server.breakOff(framing, -1, false)
				if err := call(t.Context()); err != nil {
					t.Fatalf("whole: %v", err)
				}
				for cut := range len(framing.Frame(server.whole.Body.String())) {
					server.breakOff(framing, cut, true)
					if err := call(t.Context()); err == nil {
						t.Errorf("reset after %d bytes: no error", cut)
					}
					if framing == testkit.UntilClose {
						continue
					}
					server.breakOff(framing, cut, false)
					if err := call(t.Context()); err == nil {
						t.Errorf("closed after %d bytes: no error", cut)
					}
				}
			})
		}
	}
}

// echo is a plain service that answers with the payload.
type echo struct{ upstream.Plain }

func (echo) Invoke(_ context.Context, r upstream.InvokeRequest) (upstream.Answer, error) {
	return upstream.Answer{Payload: r.Payload}, nil
}
