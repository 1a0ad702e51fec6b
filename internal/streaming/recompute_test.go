package streaming

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	standin "github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// cutEngine is a stand-in engine whose connections can fall silent for good,
// and whose KV cache can be made unavailable. It runs in the test's process.
type cutEngine struct {
	*engine.Engine
	name     ident.Instance
	noExport bool

	mu   sync.Mutex
	open map[*cutStream]struct{}
}

// cutStream is one connection to a cutEngine.
type cutStream struct {
	upstream.TokenStream
	ctx context.Context
	cut chan struct{}
}

func newCutEngine(name ident.Instance) *cutEngine {
	return &cutEngine{
		Engine: engine.New(engine.Config{Instance: name, Parameters: engine.DefaultParameters()}),
		name:   name,
		open:   make(map[*cutStream]struct{}),
	}
}

func (e *cutEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	// Cancelling does not reach the engine over a silent connection.
	stream, err := e.Engine.Generate(context.WithoutCancel(ctx), req)
	if err != nil {
		return nil, err
	}
	s := &cutStream{TokenStream: stream, ctx: ctx, cut: make(chan struct{})}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open[s] = struct{}{}
	return s, nil
}

func (e *cutEngine) ExportCache(ctx context.Context, id ident.Request) ([]byte, error) {
	if e.noExport {
		return nil, errors.New("the notice leaves no time to export")
	}
	return e.Engine.ExportCache(ctx, id)
}

// silence makes every open connection silent for good.
func (e *cutEngine) silence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s := range e.open {
		close(s.cut)
	}
	clear(e.open)
}

func (s *cutStream) Next() (upstream.Frame, error) {
	f, err := s.TokenStream.Next()
	select {
	case <-s.cut:
		<-s.ctx.Done()
		return upstream.Frame{}, s.ctx.Err()
	default:
		return f, err
	}
}

func (s *cutStream) Close() error {
	select {
	case <-s.cut:
		return nil
	default:
		return s.TokenStream.Close()
	}
}

// pair is a gateway over two stand-in engines.
type pair struct {
	engines  [2]*cutEngine
	notices  [2]chan Notice
	config   Config
	registry *Registry
	mu       sync.Mutex
	reports  []AttemptReport
}

func newPair() *pair {
	p := &pair{config: DefaultConfig()}
	for i, name := range []ident.Instance{"a", "b"} {
		p.engines[i] = newCutEngine(name)
		p.notices[i] = make(chan Notice, 1)
	}
	p.registry = p.gateway()
	return p
}

func (p *pair) gateway() *Registry { return NewRegistry(p.config, NewRunner(p.config, p, nil, p)) }

// Pick implements Picker: the engine that served last, then a, then b.
func (p *pair) Pick(_ context.Context, req PickRequest) (Target, error) {
	for _, i := range []int{0, 1, 0} {
		e := p.engines[i]
		if !slices.Contains(req.Exclude, e.name) && (req.Served == "" || req.Served == e.name || slices.Contains(req.Exclude, req.Served)) {
			return Target{Instance: e.name, Engine: e, Notice: p.notices[i]}, nil
		}
	}
	return Target{}, errors.New("none is left")
}

func (p *pair) AttemptEnded(r AttemptReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reports = append(p.reports, r)
}

// recomputed sums the reports.
func (p *pair) recomputed() (attempts, recomputed, imported int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reports {
		recomputed += r.Recomputed
		imported += r.Imported
	}
	return len(p.reports), recomputed, imported
}

// leave gives notice of a reclaim and ends the engine at its deadline.
func (p *pair) leave(left time.Duration) {
	p.engines[0].Leave()
	p.notices[0] <- Notice{Deadline: time.Now().Add(left)}
	time.AfterFunc(left, p.engines[0].Close)
}

func (p *pair) close() {
	p.registry.Close()
	p.engines[0].Close()
	p.engines[1].Close()
}

const (
	promptTokens = 3000
	answerTokens = 600
	// faultAfter is when about half of the answer is delivered.
	faultAfter = 4 * time.Second
)

// Symptom: after a reclaim an engine computes a long prompt and half of its
// answer again, or a caller gets another answer than the one asked for.
// Sequence: a stand-in engine serves half of an answer; then what the case
// names happens; another engine, or a new connection, serves the rest.
// Cause: the cache stayed behind on the leaving engine, or it was told to
// cancel the stream before the cache was exported.
func TestRecomputedTokensByCase(t *testing.T) {
	cases := []struct {
		story string
		fault func(p *pair)
		// most is the bound on recomputed tokens.
		most     int
		imported bool
	}{
		{story: "nothing goes wrong", fault: func(*pair) {}, most: 0},
		{story: "upstream lost without notice", fault: func(p *pair) { p.engines[0].Close() }, most: promptTokens + answerTokens},
		{story: "notice of 30 s: the answer ends in time", fault: func(p *pair) { p.leave(30 * time.Second) }, most: 0},
		{story: "notice of 3 s: cache moved", fault: func(p *pair) { p.leave(3 * time.Second) }, most: 2 * prompt.BlockTokens, imported: true},
		{story: "notice of 3 s: no export", fault: func(p *pair) { p.engines[0].noExport = true; p.leave(3 * time.Second) }, most: promptTokens + answerTokens},
		{story: "notice of 1 s: no time to move", fault: func(p *pair) { p.leave(time.Second) }, most: promptTokens + answerTokens},
		{story: "connection silent, upstream alive", fault: func(p *pair) { p.engines[0].silence() }, most: answerTokens},
		{story: "gateway leaves, upstream stays", fault: func(*pair) {}, most: answerTokens},
	}
	t.Logf("prompt of %d tokens, answer of %d, fault after %v", promptTokens, answerTokens, faultAfter)
	t.Logf("| case | attempts | recomputed | imported | whole answer after |")
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newPair()
				defer p.close()
				caller := newCaller("weber", "r-1", answerTokens)
				caller.req.Ask.Prompt = strings.Repeat("lot.", promptTokens)
				caller.unchecked = true
				began := time.Now()
				time.AfterFunc(faultAfter, func() { c.fault(p) })
				if strings.HasPrefix(c.story, "gateway leaves") {
					time.AfterFunc(faultAfter, func() { p.handOver(t) })
				}
				p.serve(t, caller)
				if !slices.Equal(caller.tokens, standin.Tokens(caller.req.Ask.Prompt, answerTokens)) {
					t.Error("the answer is not the one asked for")
				}
				attempts, recomputed, imported := p.recomputed()
				t.Logf("| %s | %d | %d | %d | %.2f s |", c.story, attempts, recomputed, imported, time.Since(began).Seconds())
				if recomputed > c.most || (imported > 0) != c.imported {
					t.Errorf("recomputed %d tokens, imported %d; want at most %d, import %v", recomputed, imported, c.most, c.imported)
				}
			})
		})
	}
}

// serve asks until the answer is whole, at another gateway when told so.
func (p *pair) serve(t *testing.T, caller *fakeCaller) {
	t.Helper()
	got, err := caller.generate(t.Context(), p.registry)
	if err == nil && got.Reason == outcome.ReasonLeaving {
		got, err = caller.resume(t.Context(), p.registry)
	}
	if err != nil || got.Kind != outcome.Completed {
		t.Fatalf("outcome %v, error %v; want completed", got, err)
	}
}

// handOver replaces the gateway, which hands its streams to the new one.
func (p *pair) handOver(t *testing.T) {
	old := p.registry
	p.registry = p.gateway()
	report := old.Leave(t.Context(), time.Millisecond, []Peer{fakePeer{to: p.registry}})
	if report.HandedOver != 1 || report.Left != 0 {
		t.Errorf("hand-over: %+v; want one stream handed over", report)
	}
}
