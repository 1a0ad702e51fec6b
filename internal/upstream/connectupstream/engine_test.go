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
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

const promptText = "Summarize the profile of the Tremblay family."

// endlessTokens is more tokens than an engine generates during a test, and no more than
// its memory holds.
const endlessTokens = 100_000

// onEachEngine runs a contract test on the stand-in engine in memory and on the
// Connect adapter over a loopback socket.
func onEachEngine(t *testing.T, test func(t *testing.T, fake *engine.Engine, subject upstream.Engine)) {
	parameters := engine.DefaultParameters()
	parameters.StepBase = time.Millisecond
	parameters.EventLag = 0
	parameters.ReportLag = 0
	config := engine.Config{Instance: "e-1", Incarnation: 2, Parameters: parameters, ChecksFencing: true}
	t.Run("memory", func(t *testing.T) {
		fake := engine.New(config)
		t.Cleanup(fake.Close)
		test(t, fake, fake)
	})
	t.Run("connect", func(t *testing.T) {
		fake := engine.New(config)
		t.Cleanup(fake.Close)
		mux := http.NewServeMux()
		connectupstream.MountEngine(mux, fake)
		clients := connectupstream.NewClients(nil, nil)
		t.Cleanup(clients.Close)
		test(t, fake, connectupstream.NewEngine(clients, testkit.Serve(t, mux)))
	})
}

// streamResult is what a stream delivered until it ended.
type streamResult struct {
	tokens    []string
	prefilled uint32
	err       error
}

// collect reads a stream to its end and checks the order of its frames.
func collect(t *testing.T, stream upstream.TokenStream, attempt uint32, next int) streamResult {
	t.Helper()
	var got streamResult
	for {
		frame, err := stream.Next()
		if err != nil {
			got.err = err
			return got
		}
		if frame.Attempt != attempt {
			t.Errorf("frame of attempt %d, want %d", frame.Attempt, attempt)
		}
		if !frame.Heartbeat && int(frame.Index) != next+len(got.tokens) {
			t.Errorf("frame at index %d after %d tokens", frame.Index, next+len(got.tokens))
		}
		got.tokens = append(got.tokens, frame.Tokens...)
		got.prefilled += frame.PrefilledTokens
	}
}

func TestEngineGeneratesTheRestOfAnAnswer(t *testing.T) {
	onEachEngine(t, func(t *testing.T, _ *engine.Engine, subject upstream.Engine) {
		whole := answer.Tokens(promptText, 12)
		for attempt, delivered := range []int{0, 5} {
			req := upstream.GenerateRequest{
				Request: "r-1", Attempt: uint32(attempt) + 1, Prompt: promptText,
				Delivered: whole[:delivered], MaxTokens: 12,
			}
			stream, err := subject.Generate(t.Context(), req)
			if err != nil {
				t.Fatal(err)
			}
			got := collect(t, stream, req.Attempt, delivered)
			if !errors.Is(got.err, io.EOF) || !cmp.Equal(got.tokens, whole[delivered:]) {
				t.Errorf("after %d tokens: got %v, %v", delivered, got.tokens, got.err)
			}
			if got.prefilled == 0 {
				t.Error("no frame reported prefilled tokens")
			}
			if err := errors.Join(stream.Close(), stream.Close()); err != nil {
				t.Error(err)
			}
		}
	})
}

func TestEngineRefusesWhenLeaving(t *testing.T) {
	onEachEngine(t, func(t *testing.T, fake *engine.Engine, subject upstream.Engine) {
		fake.Leave()
		_, err := subject.Generate(t.Context(), upstream.GenerateRequest{Request: "r-1", Prompt: promptText, MaxTokens: 1})
		if !errors.Is(err, upstream.ErrLeaving) || upstream.MayHaveRun(err) {
			t.Errorf("got %v, want ErrLeaving", err)
		}
		report, err := subject.Report(t.Context())
		if err != nil || !report.Leaving || report.Instance != "e-1" || report.Incarnation != 2 {
			t.Errorf("report %+v, %v", report, err)
		}
	})
}

// If an engine's instance ends in the middle of a stream, the adapter must not report
// the end of the connection as the end of the answer: the caller would take half an
// answer for the whole.
func TestEngineLossIsNotTheEndOfTheAnswer(t *testing.T) {
	onEachEngine(t, func(t *testing.T, fake *engine.Engine, subject upstream.Engine) {
		stream, err := subject.Generate(t.Context(), upstream.GenerateRequest{
			Request: "r-1", Attempt: 1, Prompt: promptText, MaxTokens: endlessTokens,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Close() }()
		if _, err := stream.Next(); err != nil {
			t.Fatal(err)
		}
		go fake.Close()
		got := collect(t, stream, 1, 0)
		if errors.Is(got.err, io.EOF) || !upstream.MayHaveRun(got.err) {
			t.Errorf("got %v; the request did run and its answer is not whole", got.err)
		}
	})
}

// When a stream is closed or its context ends while another goroutine waits for the
// next frame, the cancellation must reach the engine. Otherwise the engine goes on
// computing for callers who left.
func TestCancellationReachesTheEngine(t *testing.T) {
	cancels := map[string]func(upstream.TokenStream, context.CancelFunc){
		"stream closed": func(s upstream.TokenStream, _ context.CancelFunc) { _ = s.Close() },
		"context ended": func(_ upstream.TokenStream, cancel context.CancelFunc) { cancel() },
	}
	for story, end := range cancels {
		t.Run(story, func(t *testing.T) {
			onEachEngine(t, func(t *testing.T, _ *engine.Engine, subject upstream.Engine) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				stream, err := subject.Generate(ctx, upstream.GenerateRequest{
					Request: "r-1", Attempt: 1, Prompt: promptText, MaxTokens: endlessTokens,
				})
				if err != nil {
					t.Fatal(err)
				}
				awaitRunningStreams(t, subject, 1)
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					collect(t, stream, 1, 0)
				}()
				end(stream, cancel)
				<-ended
				awaitRunningStreams(t, subject, 0)
			})
		})
	}
}

// awaitRunningStreams returns once the engine reports the given number of running
// streams.
func awaitRunningStreams(t *testing.T, subject upstream.Engine, running int) {
	t.Helper()
	for {
		report, err := subject.Report(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if report.Running == running {
			return
		}
	}
}

func TestEngineAppliesOrders(t *testing.T) {
	onEachEngine(t, func(t *testing.T, _ *engine.Engine, subject upstream.Engine) {
		wanted := upstream.Order{Fence: 7, Model: "spool", Version: "2"}
		if err := subject.Apply(t.Context(), wanted); err != nil {
			t.Fatal(err)
		}
		late := upstream.Order{Fence: 6, Model: "spool", Version: "1"}
		if err := subject.Apply(t.Context(), late); !errors.Is(err, upstream.ErrOldFence) || upstream.MayHaveRun(err) {
			t.Errorf("got %v, want ErrOldFence", err)
		}
		report, err := subject.Report(t.Context())
		if err != nil || report.AppliedFence != 7 || report.Model != "spool" || report.Version != "2" {
			t.Errorf("report %+v, %v", report, err)
		}
	})
}

func TestEngineMovesCaches(t *testing.T) {
	onEachEngine(t, func(t *testing.T, _ *engine.Engine, subject upstream.Engine) {
		if _, err := subject.ExportCache(t.Context(), "nobody"); !errors.Is(err, upstream.ErrRefused) {
			t.Errorf("an unknown request: got %v, want ErrRefused", err)
		}
		stream, err := subject.Generate(t.Context(), upstream.GenerateRequest{
			Request: "r-1", Attempt: 1, Prompt: promptText, MaxTokens: endlessTokens,
		})
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = stream.Close() }()
		awaitToken(t, stream)
		cache, err := subject.ExportCache(t.Context(), "r-1")
		if err != nil {
			t.Fatal(err)
		}
		tokens, err := subject.ImportCache(t.Context(), "r-2", cache)
		if err != nil || tokens == 0 {
			t.Errorf("imported %d tokens, %v", tokens, err)
		}
	})
}

func awaitToken(t *testing.T, stream upstream.TokenStream) {
	t.Helper()
	for {
		frame, err := stream.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !frame.Heartbeat {
			return
		}
	}
}
