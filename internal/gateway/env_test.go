package gateway

import (
	"context"
	"crypto/sha256"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/admission"
	"github.com/goldcrestspool/goldcrestspool/internal/auth"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// The client accounts of a test environment, and their tokens.
const (
	registrar      ident.ClientAccount = "registrar"
	trader         ident.ClientAccount = "trader"
	registrarToken                     = "secret-token-registrar"
	traderToken                        = "secret-token-trader"
)

// The services of a test environment.
const (
	plainService = "auktion-app"
	modelService = "spool-llm"
)

// spans are the spans of all test environments, because the parts use OpenTelemetry's
// global providers. Only requests that carry a caller's trace have spans.
var spans = tracetest.NewInMemoryExporter()

func init() {
	otel.SetTracerProvider(sdktrace.NewTracerProvider(
		sdktrace.WithSyncer(spans), sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.NeverSample()))))
	otel.SetTextMapPropagator(propagation.TraceContext{})
}

// invocation is a call that reached a fakePlain.
type invocation struct {
	ctx     context.Context
	request upstream.InvokeRequest
}

// fakePlain is a plain service whose answers the test sets.
type fakePlain struct {
	// answer is called for each call; nil echoes the payload.
	answer func(invocation) (upstream.Answer, error)

	mu   sync.Mutex
	seen []invocation
}

func (f *fakePlain) Invoke(ctx context.Context, req upstream.InvokeRequest) (upstream.Answer, error) {
	i := invocation{ctx: ctx, request: req}
	f.mu.Lock()
	f.seen = append(f.seen, i)
	answer := f.answer
	f.mu.Unlock()
	if answer == nil {
		return upstream.Answer{Payload: req.Payload}, nil
	}
	return answer(i)
}

func (f *fakePlain) Find(context.Context, string, ident.Fence) (upstream.FindResult, error) {
	return upstream.FindResult{}, upstream.ErrRefused
}

func (f *fakePlain) Health(context.Context) (upstream.Health, error) { return upstream.Health{}, nil }

// calls returns the calls received so far.
func (f *fakePlain) calls() []invocation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]invocation(nil), f.seen...)
}

// fakeDialer returns upstreams by their address.
type fakeDialer struct {
	plains  map[string]upstream.Plain
	engines map[string]upstream.Engine
}

func (d fakeDialer) Plain(address string) upstream.Plain   { return d.plains[address] }
func (d fakeDialer) Engine(address string) upstream.Engine { return d.engines[address] }

// noNotes ignores leaving upstreams.
type noNotes struct{}

func (noNotes) NoteLeaving(ident.Instance, ident.Incarnation) {}

// testEnv is the real handler with its real parts, behind a real HTTP server. The
// upstreams and the log are in memory.
type testEnv struct {
	url     string
	board   *blackboard.Board
	handler *handler
	first   *fakePlain
	second  *fakePlain
	log     *logstore.Log
	output  *testkit.LogBuffer
	client  callerv1connect.CallerServiceClient
}

// envOptions configure a test environment.
type envOptions struct {
	// limit is the limit of every client account.
	limit document.AccountLimit
	// admission configures admission, such as the slots of each upstream.
	admission admission.Config
	// budget is the retry budget of the plain service; zero is the default.
	budget retry.BudgetConfig
	// plain and engine replace the upstreams in memory if they are set.
	plain  upstream.Plain
	engine upstream.Engine
	// peers returns the other gateways; nil is none.
	peers  func(*testEnv) calls.Peers
	limits settings.Limits
	// memory bounds what callers make the process hold; nil is ampleMemory.
	memory *membudget.Budget
	// level is the level of the log; zero logs everything.
	level hclog.Level
}

// tracedContext returns a context with a caller's trace.
func tracedContext() (context.Context, trace.SpanContext) {
	caller := trace.NewSpanContext(trace.SpanContextConfig{
		TraceID: trace.TraceID(uuid.New()), SpanID: trace.SpanID{1}, TraceFlags: trace.FlagsSampled,
	})
	return trace.ContextWithSpanContext(context.Background(), caller), caller
}

// traceText returns the contents of a trace's spans as text.
func traceText(id trace.TraceID) string {
	var text strings.Builder
	for _, span := range spans.GetSpans() {
		if span.SpanContext.TraceID() == id {
			fmt.Fprintf(&text, "%s %v %v %v\n", span.Name, span.Attributes, span.Events, span.Status)
		}
	}
	return text.String()
}

func envDocuments(limit document.AccountLimit) *document.Set {
	plain := &document.Document{Service: plainService, Kind: document.Plain, DefaultAccount: limit, Methods: []document.Method{
		{Name: "find_lot", Idempotent: true, Timeout: 20 * time.Second},
		{Name: "place_bid", Timeout: 20 * time.Second},
		{Name: "quick_bid", Timeout: 300 * time.Millisecond},
	}}
	model := &document.Document{Service: modelService, Kind: document.Model, DefaultAccount: limit, Classes: []document.Class{
		{Name: "short", Completion: 20 * time.Second},
	}}
	return &document.Set{Revision: 1, Services: map[ident.Service]document.Entry{
		plainService: {Revision: 1, Document: plain},
		modelService: {Revision: 1, Document: model},
	}}
}

func envUpstreams() *blackboard.Upstreams {
	at := func(id ident.Instance, role platform.Role, service ident.Service) blackboard.Upstream {
		return blackboard.Upstream{State: blackboard.Alive, AsOf: time.Now(), Instance: platform.Instance{
			ID: id, Incarnation: 1, Role: role, Service: service, Address: string(id), FailureDomain: "hall-a", State: platform.Live,
		}}
	}
	return &blackboard.Upstreams{ByService: map[ident.Service][]blackboard.Upstream{
		plainService: {at("app-1", platform.RolePlain, plainService), at("app-2", platform.RolePlain, plainService)},
		modelService: {at("engine-1", platform.RoleEngine, modelService)},
	}}
}

func envLimits() settings.Limits {
	return settings.Limits{MaxBody: 64 << 10, MaxHeader: 8 << 10, HeaderTimeout: 5 * time.Second, MaxStreams: 2000}
}

// newEngine returns a stand-in engine with short steps.
func newEngine(t testing.TB) *engine.Engine {
	parameters := engine.DefaultParameters()
	parameters.StepBase = time.Millisecond
	parameters.StepPerStream = 0
	e := engine.New(engine.Config{Instance: "engine-1", Incarnation: 1, Parameters: parameters})
	t.Cleanup(e.Close)
	return e
}

func newTestEnv(t testing.TB, o envOptions) *testEnv {
	t.Helper()
	env := &testEnv{
		board:  blackboard.NewBoard(),
		first:  &fakePlain{},
		second: &fakePlain{},
		log:    logstore.New(logstore.Options{}),
		output: &testkit.LogBuffer{},
	}
	if o.engine == nil {
		o.engine = newEngine(t)
	}
	if o.limits == (settings.Limits{}) {
		o.limits = envLimits()
	}
	env.board.Documents.Publish(envDocuments(o.limit))
	env.board.Upstreams.Publish(envUpstreams())
	env.wire(t, o)
	if o.memory == nil {
		o.memory = ampleMemory()
	}
	env.serve(t, o.limits, o.memory)
	return env
}

// wire creates the parts as Process.wireRequests does.
func (env *testEnv) wire(t testing.TB, o envOptions) {
	log := hclog.New(&hclog.LoggerOptions{Level: max(o.level, hclog.Trace), Output: env.output, JSONFormat: true})
	tracer := otel.Tracer("gateway")
	dialer := fakeDialer{
		plains:  map[string]upstream.Plain{"app-1": env.first, "app-2": env.second, "app-3": env.second},
		engines: map[string]upstream.Engine{"engine-1": o.engine},
	}
	if o.plain != nil {
		dialer.plains = map[string]upstream.Plain{"app-1": o.plain, "app-2": o.plain}
	}
	var peers calls.Peers
	if o.peers != nil {
		peers = o.peers(env)
	}
	admitted := admission.New(o.admission)
	admitted.SetUpstreams(plainService, []ident.Instance{"app-1", "app-2"})
	admitted.SetUpstreams(modelService, []ident.Instance{"engine-1"})
	attempts := &admissionRecorder{admission: admitted}
	router := &upstreamRouter{board: env.board, domain: "hall-a", ejections: admitted}
	recorder := explain.NewRecorder(64)
	dispatcher := &plainDispatcher{documents: env.board.Documents, router: router, dialer: dialer, leaving: noNotes{}, attempts: attempts,
		budgets: &retryBudgets{}, backoff: retry.DefaultBackoff, explain: recorder, tracer: tracer}
	dispatcher.budgets.byService.Store(ident.Service(plainService), retry.NewBudget(o.budget, time.Now()))
	coordinator := calls.New(calls.Config{Instance: "entry-1", Incarnation: 1, Log: env.log, Dispatcher: dispatcher, Peers: peers,
		Documents: env.board.Documents, Health: env.board.Journal, Limits: calls.Limits{AppendInterval: time.Millisecond}, Logger: log})
	config := streaming.DefaultConfig()
	runner := streaming.NewRunner(config, &enginePicker{documents: env.board.Documents, router: router, dialer: dialer, leaving: noNotes{},
		notices: newNoticeBoard(), attempts: attempts, explain: recorder, tracer: tracer}, dispatcher.budgets, nil)
	streams := streaming.NewRegistry(config, runner)
	env.handler = &handler{documents: env.board.Documents, stopping: env.board.Stopping, admission: admitted, router: router, dispatcher: dispatcher,
		calls: coordinator, streams: streams, explain: recorder, log: log, tracer: tracer, auth: auth.New([]auth.Credential{
			{Account: registrar, Token: sha256.Sum256([]byte(registrarToken))},
			{Account: trader, Token: sha256.Sum256([]byte(traderToken))},
		})}
	env.run(t, coordinator, streams)
}

// run runs the calls coordinator until the test ends. It returns once the journal is
// read.
func (env *testEnv) run(t testing.TB, coordinator *calls.Coordinator, streams *streaming.Registry) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = coordinator.Run(ctx) })
	t.Cleanup(func() {
		streams.Close()
		cancel()
		running.Wait()
	})
	limit, end := context.WithTimeout(ctx, 20*time.Second)
	defer end()
	for snapshot := env.board.Journal.Load(); !snapshot.Value.Ready; {
		next, err := env.board.Journal.Wait(limit, snapshot.Version)
		if err != nil {
			t.Fatal("the journal is not ready:", err)
		}
		snapshot = next
	}
}

func (env *testEnv) serve(t testing.TB, limits settings.Limits, memory *membudget.Budget) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newCallersServer(env.handler, limits, memory)
	go func() { _ = server.Serve(memory.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	env.url = "http://" + listener.Addr().String()
	env.client = env.clientWithToken(t, registrarToken)
}

// ampleMemory returns a budget that refuses nobody.
func ampleMemory() *membudget.Budget { return memoryOf(1 << 30) }

// memoryOf returns a budget of so many bytes.
func memoryOf(bytes int64) *membudget.Budget {
	return membudget.New(membudget.Config{Now: time.Now, Log: hclog.NewNullLogger(), Bytes: bytes, Connections: 1 << 20, ConnectionBytes: 1, MetersHeads: true})
}
