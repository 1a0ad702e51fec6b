package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/gateway/peering"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// traceRecorder keeps the parent span of the last request at each path of the
// upstreams.
type traceRecorder struct {
	mu      sync.Mutex
	parents map[string]trace.SpanContext
}

// record returns a handler that records the trace context of each request.
func (t *traceRecorder) record(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx := propagation.TraceContext{}.Extract(context.Background(), propagation.HeaderCarrier(r.Header))
		t.mu.Lock()
		t.parents[r.URL.Path] = trace.SpanContextFromContext(ctx)
		t.mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// knowsNothing is a peer that knows no calls.
type knowsNothing struct{}

func (knowsNothing) PutOutcomes([]calls.KeyedOutcome)                {}
func (knowsNothing) FindLocal(ident.CallKey) calls.PeerAnswer        { return calls.PeerAnswer{} }
func (knowsNothing) AcceptHandOver(calls.HandOver) []journal.ClaimID { return nil }

// startPeer returns a function that starts another gateway's peer server, makes it
// known to a test environment and returns the environment's peers.
func startPeer(t *testing.T) func(*testEnv) calls.Peers {
	return func(env *testEnv) calls.Peers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		local := &peering.Local{Calls: knowsNothing{}, Stopping: blackboard.NewSection(false)}
		server, err := peer.NewServer(peer.Handlers{Calls: local}, peer.TLSFiles{})
		if err != nil {
			t.Fatal(err)
		}
		pool, err := peer.NewPool(peer.TLSFiles{})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		running.Go(func() { _ = server.Serve(ctx, listener, time.Second) })
		t.Cleanup(func() { pool.Close(); cancel(); running.Wait() })
		env.board.Members.Publish(&blackboard.Members{ByID: map[ident.Instance]blackboard.Member{"entry-2": {State: blackboard.Alive, Instance: platform.Instance{
			ID: "entry-2", Role: platform.RoleEntry, PeerAddress: listener.Addr().String(),
		}}}})
		return &peering.Peers{Self: "entry-1", Domain: "hall-a", Members: env.board.Members, Client: pool}
	}
}

// spanChains returns the spans of a trace. Each key is the names of a span and its
// parents, starting with the caller's.
func spanChains(id trace.TraceID, caller trace.SpanID) map[string]trace.SpanID {
	type link struct {
		name   string
		parent trace.SpanID
	}
	links := map[trace.SpanID]link{caller: {name: "caller"}}
	for _, span := range spans.GetSpans() {
		if span.SpanContext.TraceID() == id {
			links[span.SpanContext.SpanID()] = link{span.Name + spanKindSuffix(span.SpanKind), span.Parent.SpanID()}
		}
	}
	found := map[string]trace.SpanID{}
	for id := range links {
		path := ""
		for at := id; ; {
			l, ok := links[at]
			if !ok {
				break
			}
			path = strings.TrimSuffix(l.name+" > "+path, " > ")
			at = l.parent
		}
		found[path] = id
	}
	return found
}

func spanKindSuffix(kind trace.SpanKind) string {
	if kind == trace.SpanKindInternal {
		return ""
	}
	return "(" + kind.String() + ")"
}

func TestSpansOfEachHopContinueTheCallersTrace(t *testing.T) {
	recorder := &traceRecorder{parents: map[string]trace.SpanContext{}}
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, newEngine(t))
	connectupstream.MountPlain(mux, &fakePlain{})
	url := testkit.Serve(t, recorder.record(mux))
	clients := connectupstream.NewClients(nil, nil)
	t.Cleanup(clients.Close)
	env := newTestEnv(t, envOptions{
		plain:  connectupstream.NewPlain(clients, url),
		engine: connectupstream.NewEngine(clients, url),
		peers:  startPeer(t),
	})
	const (
		invoke   = "/goldcrestspool.upstream.v1.PlainService/Invoke"
		produce  = "/goldcrestspool.upstream.v1.EngineService/Generate"
		findPeer = "/goldcrestspool.peer.v1.PeerService/FindOutcome"
	)
	cases := map[string]struct {
		send func(context.Context) error
		want []string
		// upstream is the path of the request that carries the last span of want to the
		// upstream.
		upstream string
	}{
		"a look-up": {func(ctx context.Context) error { _, err := env.client.Call(ctx, lookupRequest("x")); return err },
			[]string{"call(server) > admission", "call(server) > routing", "call(server) > upstream attempt(client)"}, invoke},
		"a booking": {func(ctx context.Context) error {
			_, err := env.client.Call(ctx, bidRequest("traced", 1, "x"))
			return err
		},
			[]string{"call(server) > admission", "call(server) > routing", "call(server) > journal", "call(server) > upstream attempt(client)"}, invoke},
		"a token stream": {func(ctx context.Context) error {
			_, err := generate(ctx, env.client, generateRequest(streamID, "p", 3))
			return err
		},
			[]string{"generate(server) > admission", "generate(server) > routing", "generate(server) > stream attempt(client)"}, produce},
		"an outcome that a peer may know": {func(ctx context.Context) error {
			_, err := env.client.GetOutcome(ctx, &callerv1.GetOutcomeRequest{Service: plainService, IdempotencyKey: "elsewhere"})
			return err
		}, []string{"get outcome(server) > " + findPeer + "(client) > " + findPeer + "(server)"}, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, caller := tracedContext()
			if err := c.send(ctx); err != nil {
				t.Fatal(err)
			}
			found := spanChains(caller.TraceID(), caller.SpanID())
			var last trace.SpanID
			for _, want := range c.want {
				id, ok := found["caller > "+want]
				if !ok {
					t.Errorf("no span %q among %s", want, fmt.Sprint(found))
				}
				last = id
			}
			if c.upstream == "" {
				return
			}
			recorder.mu.Lock()
			defer recorder.mu.Unlock()
			got := recorder.parents[c.upstream]
			if got.TraceID() != caller.TraceID() || got.SpanID() != last {
				t.Errorf("the upstream got trace %v span %v, want span %v", got.TraceID(), got.SpanID(), last)
			}
		})
	}
}
