package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	upstreamv1 "github.com/goldcrestspool/goldcrestspool/api/upstream/v1"
	"github.com/goldcrestspool/goldcrestspool/api/upstream/v1/upstreamv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/admission"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

const (
	// tokenInterval and streamTokens describe the streams of the benchmark.
	tokenInterval = 40 * time.Millisecond
	streamTokens  = 50
	// minCallsPerRound is the minimum number of calls in a round.
	minCallsPerRound = 4000
)

// pacedEngine sends a token every tokenInterval.
type pacedEngine struct{ upstream.Engine }

func (pacedEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	return &pacedStream{ctx: ctx, req: req, ticker: time.NewTicker(tokenInterval)}, nil
}

type pacedStream struct {
	ctx    context.Context
	req    upstream.GenerateRequest
	ticker *time.Ticker
	next   uint32
}

func (p *pacedStream) Next() (upstream.Frame, error) {
	if p.next == p.req.MaxTokens {
		return upstream.Frame{}, io.EOF
	}
	select {
	case <-p.ticker.C:
	case <-p.ctx.Done():
		return upstream.Frame{}, p.ctx.Err()
	}
	frame := upstream.Frame{Attempt: p.req.Attempt, Index: p.next, Tokens: []string{"token"}, Done: p.next+1 == p.req.MaxTokens}
	p.next++
	return frame, nil
}

func (p *pacedStream) Close() error {
	p.ticker.Stop()
	return nil
}

// benchEnv is the gateway under test and a bare reverse proxy to the same upstream,
// both with clients of the same kind.
type benchEnv struct {
	*testEnv
	plain  upstreamv1connect.PlainServiceClient
	engine upstreamv1connect.EngineServiceClient
}

func newBenchEnv(b *testing.B) *benchEnv {
	b.Helper()
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, pacedEngine{})
	connectupstream.MountPlain(mux, &fakePlain{})
	url := testkit.Serve(b, mux)
	clients := connectupstream.NewClients(nil, nil)
	b.Cleanup(clients.Close)
	many := concurrency.Config{Initial: 4096, Min: 4096, Max: 4096}
	env := newTestEnv(b, envOptions{
		plain:     connectupstream.NewPlain(clients, url),
		engine:    connectupstream.NewEngine(clients, url),
		admission: admission.Config{Concurrency: many},
		level:     hclog.Info,
	})
	env.board.Documents.Publish(manyClasses())
	engines := manyEngines()
	env.board.Upstreams.Publish(engines)
	env.handler.admission.SetUpstreams(modelService, aliveIDs(engines.ByService[modelService]))
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: &http.Transport{Protocols: &protocols}}
	b.Cleanup(client.CloseIdleConnections)
	bare := serveBare(b, url)
	// Like the gateway, these clients ask upstreams for no compression.
	noCompression := connect.WithAcceptCompression("gzip", nil, nil)
	return &benchEnv{
		testEnv: env,
		plain:   upstreamv1connect.NewPlainServiceClient(client, bare, noCompression),
		engine:  upstreamv1connect.NewEngineServiceClient(client, bare, noCompression),
	}
}

// engineCount is how many engines the gateway knows, all of them served by the
// benchmark's one engine: the gateway would not send a thousand streams to a single
// engine.
const engineCount = 32

// classes is the number of latency classes over which the streams are spread: a gateway
// that has just started admits a hundred streams of each class at once.
const classes = 16

func className(i int) ident.Class { return ident.Class(fmt.Sprintf("class-%d", i%classes)) }

func manyClasses() *document.Set {
	set := envDocuments(document.AccountLimit{})
	model, _ := set.Find(modelService)
	for i := range classes {
		model.Classes = append(model.Classes, document.Class{Name: className(i), FirstToken: time.Minute, Priority: i})
	}
	return set
}

func manyEngines() *blackboard.Upstreams {
	upstreams := envUpstreams()
	engine := upstreams.ByService[modelService][0]
	for i := range engineCount - 1 {
		engine.Instance.ID = ident.Instance(fmt.Sprintf("engine-%d", i+2))
		upstreams.ByService[modelService] = append(upstreams.ByService[modelService], engine)
	}
	return upstreams
}

// serveBare serves a minimal reverse proxy, which copies the request to the upstream
// and the answer back.
func serveBare(b *testing.B, upstreamURL string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2048}}
	server := transport.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, upstreamURL+r.URL.Path, r.Body)
		req.Header = r.Header
		req.ContentLength = r.ContentLength
		resp, err := client.Do(req)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer func() { _ = resp.Body.Close() }()
		for key, values := range resp.Header {
			w.Header()[key] = values
		}
		w.WriteHeader(resp.StatusCode)
		copyAndFlush(w, resp.Body)
	}))
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: envLimits().MaxStreams}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() {
		_ = server.Close()
		client.CloseIdleConnections()
	})
	return "http://" + listener.Addr().String()
}

func copyAndFlush(w http.ResponseWriter, from io.Reader) {
	control := http.NewResponseController(w)
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			_, _ = w.Write(buffer[:n])
			_ = control.Flush()
		}
		if err != nil {
			return
		}
	}
}

// processorTime returns the processor time that this process has used: caller, proxy
// and upstream.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// pathCost adds up the cost of the rounds over one path.
type pathCost struct{ processor, wall time.Duration }

// addRound runs work on the given number of goroutines and adds the cost.
func (c *pathCost) addRound(b *testing.B, concurrent int, work func() error) {
	b.Helper()
	processor, began := processorTime(), time.Now()
	var all sync.WaitGroup
	for range concurrent {
		all.Go(func() {
			if err := work(); err != nil {
				b.Error(err)
			}
		})
	}
	all.Wait()
	c.processor += processorTime() - processor
	c.wall += time.Since(began)
}

// reportCost reports the cost of one operation over both paths and their ratio.
func reportCost(b *testing.B, gateway, bare pathCost, operations int, name string) {
	micros := func(d time.Duration) float64 { return d.Seconds() * 1e6 / float64(operations) }
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(micros(gateway.processor), "gateway-cpu-µs/"+name)
	b.ReportMetric(micros(bare.processor), "bare-cpu-µs/"+name)
	b.ReportMetric(gateway.processor.Seconds()/bare.processor.Seconds(), "cpu-ratio")
	b.ReportMetric(gateway.wall.Seconds()/bare.wall.Seconds(), "wall-ratio")
}

// BenchmarkOverhead compares the gateway with a bare reverse proxy to the same
// upstream, in alternating rounds of one run. Processor time counts everything that a
// request costs this process: caller, proxy and upstream.
func BenchmarkOverhead(b *testing.B) {
	for _, concurrent := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("call/%d", concurrent), func(b *testing.B) { benchmarkCalls(b, concurrent) })
		b.Run(fmt.Sprintf("token/%d", concurrent), func(b *testing.B) { benchmarkTokens(b, concurrent) })
	}
}

func benchmarkCalls(b *testing.B, concurrent int) {
	env := newBenchEnv(b)
	each := max(1, minCallsPerRound/concurrent)
	ctx := context.Background()
	payload := make([]byte, 512)
	direct := func() error {
		for range each {
			if _, err := env.plain.Invoke(ctx, &upstreamv1.InvokeRequest{Method: "find_lot", Payload: payload}); err != nil {
				return err
			}
		}
		return nil
	}
	through := func() error {
		for range each {
			resp, err := env.client.Call(ctx, lookupRequest(string(payload)))
			if err != nil {
				return err
			}
			if resp.GetOutcome().GetKind() != callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED {
				return fmt.Errorf("got outcome %v, want completed", resp.GetOutcome())
			}
		}
		return nil
	}
	var gateway, bare, warm pathCost
	warm.addRound(b, concurrent, direct)
	warm.addRound(b, concurrent, through)
	rounds := 0
	for b.Loop() {
		bare.addRound(b, concurrent, direct)
		gateway.addRound(b, concurrent, through)
		rounds++
	}
	reportCost(b, gateway, bare, rounds*each*concurrent, "call")
}

func benchmarkTokens(b *testing.B, concurrent int) {
	env := newBenchEnv(b)
	ctx := context.Background()
	direct := func() error {
		stream, err := env.engine.Generate(ctx, &upstreamv1.GenerateRequest{
			RequestId: uuid.NewString(), Attempt: 1, Prompt: "lot 7", MaxTokens: streamTokens,
		})
		if err != nil {
			return err
		}
		defer func() { _ = stream.Close() }()
		got := 0
		for stream.Receive() {
			got += len(stream.Msg().GetTokens())
		}
		if got != streamTokens {
			return fmt.Errorf("got %d tokens: %w", got, stream.Err())
		}
		return nil
	}
	var turn atomic.Int64
	through := func() error {
		req := generateRequest(uuid.NewString(), "lot 7", streamTokens)
		req.Class = string(className(int(turn.Add(1))))
		got, err := generate(ctx, env.client, req)
		if err != nil || len(got.tokens) != streamTokens {
			return fmt.Errorf("got %d tokens, outcome %v: %w", len(got.tokens), got.outcome, err)
		}
		return nil
	}
	var gateway, bare pathCost
	rounds := 0
	for b.Loop() {
		bare.addRound(b, concurrent, direct)
		gateway.addRound(b, concurrent, through)
		rounds++
	}
	reportCost(b, gateway, bare, rounds*concurrent*streamTokens, "token")
}
