package streaming_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// relay forwards connections between client and server. It can drop all further
// bytes of its open connections without telling either end.
type relay struct {
	listener net.Listener
	target   string
	ended    sync.WaitGroup

	mu       sync.Mutex
	dropping *atomic.Bool
	conns    []net.Conn
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, target: target, dropping: new(atomic.Bool)}
	r.ended.Go(r.accept)
	t.Cleanup(func() {
		_ = listener.Close()
		r.mu.Lock()
		for _, c := range r.conns {
			_ = c.Close()
		}
		r.mu.Unlock()
		r.ended.Wait()
	})
	return r
}

func (r *relay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		r.mu.Lock()
		lost := r.dropping
		r.conns = append(r.conns, client, server)
		r.mu.Unlock()
		r.ended.Go(func() { forward(client, server, lost) })
		r.ended.Go(func() { forward(server, client, lost) })
	}
}

func forward(from, to net.Conn, lost *atomic.Bool) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if lost.Load() {
			if err != nil {
				return
			}
			continue
		}
		if _, writeErr := to.Write(buffer[:n]); err != nil || writeErr != nil {
			_ = to.Close()
			return
		}
	}
}

// blackhole makes all connections so far silent for good; new ones work.
func (r *relay) blackhole() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropping.Store(true)
	r.dropping = new(atomic.Bool)
}

// onlyEngine always picks the same engine.
type onlyEngine struct{ target streaming.Target }

func (o onlyEngine) Pick(context.Context, streaming.PickRequest) (streaming.Target, error) {
	return o.target, nil
}

// attemptLog collects the reports of one stream's attempts.
type attemptLog []streaming.AttemptReport

func (a *attemptLog) AttemptEnded(r streaming.AttemptReport) { *a = append(*a, r) }

// callbackSink is a caller's connection. It calls then once, when it has
// received at tokens.
type callbackSink struct {
	tokens []string
	at     int
	then   func()
}

func (c *callbackSink) Tokens(_ uint32, tokens []string) error {
	c.tokens = append(c.tokens, tokens...)
	if c.then != nil && len(c.tokens) >= c.at {
		c.then()
		c.then = nil
	}
	return nil
}

func (c *callbackSink) Heartbeat() error { return nil }

// TestStreamGoesOnWhenConnectionsGoSilent guards against a stream that stops for
// good, and against the exclusion of its engine although the engine works. In the
// middle of an answer, a device between gateway and engine loses the state of all
// open connections, idle ones in the pool included. The failure comes about if
// nothing limits the silence of a stream, or if the next attempt takes another dead
// connection from the pool instead of dialing.
func TestStreamGoesOnWhenConnectionsGoSilent(t *testing.T) {
	const tokens = 200
	parameters := engine.DefaultParameters()
	// The engine is still working on the first attempt when the second starts.
	parameters.StepBase = 8 * time.Millisecond
	fake := engine.New(engine.Config{Instance: "hall-a-1", Parameters: parameters})
	t.Cleanup(fake.Close)
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, fake)
	between := newRelay(t, strings.TrimPrefix(testkit.Serve(t, mux), "http://"))
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	client := connectupstream.NewEngine(clients, "http://"+between.listener.Addr().String())

	config := streaming.DefaultConfig()
	config.SilenceLimit = time.Second
	seen := &attemptLog{}
	picker := onlyEngine{streaming.Target{Instance: "hall-a-1", Engine: client}}
	registry := streaming.NewRegistry(config, streaming.NewRunner(config, picker, nil, seen))
	defer registry.Close()
	req := streaming.Request{
		Key:    streaming.Key{Account: "weber", Request: "r-1"},
		Params: streaming.Params{Service: "spool-llm", Prompt: strings.Repeat("lot.", 3000), MaxTokens: tokens},
	}
	sink := &callbackSink{at: tokens / 20, then: func() {
		if _, err := client.Report(t.Context()); err != nil {
			t.Error(err)
		}
		between.blackhole()
	}}
	got, err := registry.Generate(t.Context(), req, sink)
	if err != nil || got.Kind != outcome.Completed {
		t.Fatalf("outcome %v, error %v; want completed", got, err)
	}
	if !slices.Equal(sink.tokens, answer.Tokens(req.Params.Prompt, tokens)) {
		t.Errorf("%d tokens, not the answer", len(sink.tokens))
	}
	if len(*seen) != 2 || (*seen)[1].Cause != streaming.CauseSilent {
		t.Fatalf("attempts %+v; want a first and one after the silence", *seen)
	}
	t.Logf("connection silent, upstream alive: %d tokens delivered before, %d recomputed", (*seen)[0].Tokens, (*seen)[1].Recomputed)
	if whole := prompt.Tokens(req.Params.Prompt) + (*seen)[0].Tokens; (*seen)[1].Recomputed >= whole {
		t.Errorf("recomputed all %d tokens; the prompt is cached here", whole)
	}
}
