package streaming

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	standin "github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

// standInEngine is the repository's stand-in engine. Its KV cache can be made
// unavailable.
type standInEngine struct {
	*engine.Engine
	noticeSender
	// noExport makes ExportCache fail.
	noExport bool
}

func (e *standInEngine) ExportCache(ctx context.Context, id ident.Request) ([]byte, error) {
	if e.noExport {
		return nil, errors.New("the notice leaves no time to export")
	}
	return e.Engine.ExportCache(ctx, id)
}

// leave gives notice of a reclaim and ends the engine at its deadline.
func (e *standInEngine) leave(left time.Duration) {
	e.Leave()
	e.announce(left)
	time.AfterFunc(left, e.Close)
}

// enginePair is a gateway with two stand-in engines.
type enginePair struct {
	reportLog
	engines  []*standInEngine
	picker   *fakePicker
	registry *Registry
}

func newEnginePair() *enginePair {
	p := &enginePair{picker: &fakePicker{}}
	for _, name := range []ident.Instance{"a", "b"} {
		e := &standInEngine{
			Engine:       engine.New(engine.Config{Instance: name, Parameters: engine.DefaultParameters()}),
			noticeSender: noticeSender{instance: name},
		}
		p.engines = append(p.engines, e)
		p.picker.engines = append(p.picker.engines, e)
	}
	p.registry = p.gateway()
	return p
}

func (p *enginePair) gateway() *Registry {
	config := DefaultConfig()
	return NewRegistry(config, NewRunner(config, p.picker, nil, p))
}

// recomputed sums up the attempts' reports.
func (p *enginePair) recomputed() (attempts, recomputed, imported int) {
	reports := p.all()
	for _, r := range reports {
		recomputed += r.Recomputed
		imported += r.Imported
	}
	return len(reports), recomputed, imported
}

func (p *enginePair) close() {
	p.registry.Close()
	p.engines[0].Close()
	p.engines[1].Close()
}

const (
	promptTokens = 3000
	answerTokens = 800
	// faultAfter is when about half of the answer has been delivered.
	faultAfter = 4 * time.Second
)

// TestRecomputedTokensByCase guards against an engine that, after a reclaim,
// computes a long prompt and half of its answer again, and against a caller that
// receives a wrong answer. A stand-in engine produces half of an answer. Then the
// fault of the case happens, and another engine or a new connection serves the
// rest. The failure comes about if the KV cache stays on the leaving engine, or if
// the stream is cancelled there before the cache is exported.
func TestRecomputedTokensByCase(t *testing.T) {
	cases := []struct {
		story string
		fault func(p *enginePair)
		// maxRecomputed is the bound on recomputed tokens.
		maxRecomputed int
		imported      bool
	}{
		{story: "nothing goes wrong", fault: func(*enginePair) {}, maxRecomputed: 0},
		{story: "upstream lost without notice", fault: func(p *enginePair) { p.engines[0].Close() }, maxRecomputed: promptTokens + answerTokens},
		{story: "notice of 30 s: the answer ends in time", fault: func(p *enginePair) { p.engines[0].leave(30 * time.Second) }, maxRecomputed: 0},
		{story: "notice of 3 s: cache moved", fault: func(p *enginePair) { p.engines[0].leave(3 * time.Second) }, maxRecomputed: 2 * prompt.BlockTokens, imported: true},
		{story: "notice of 3 s: no export", fault: func(p *enginePair) { p.engines[0].noExport = true; p.engines[0].leave(3 * time.Second) }, maxRecomputed: promptTokens + answerTokens},
		{story: "notice of 1 s: no time to move", fault: func(p *enginePair) { p.engines[0].leave(time.Second) }, maxRecomputed: promptTokens + answerTokens},
		{story: "gateway leaves, upstream stays", fault: func(*enginePair) {}, maxRecomputed: answerTokens},
	}
	t.Logf("prompt of %d tokens, answer of %d, fault after %v", promptTokens, answerTokens, faultAfter)
	t.Logf("| case | attempts | recomputed | imported | whole answer after |")
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := newEnginePair()
				defer p.close()
				caller := newCaller("weber", "r-1", answerTokens)
				caller.req.Params.Prompt = strings.Repeat("lot.", promptTokens)
				caller.unchecked = true
				began := time.Now()
				time.AfterFunc(faultAfter, func() { c.fault(p) })
				if strings.HasPrefix(c.story, "gateway leaves") {
					time.AfterFunc(faultAfter, func() { p.handOver(t) })
				}
				p.serve(t, caller)
				if !slices.Equal(caller.tokens, standin.Tokens(caller.req.Params.Prompt, answerTokens)) {
					t.Error("the answer is not the one asked for")
				}
				attempts, recomputed, imported := p.recomputed()
				t.Logf("| %s | %d | %d | %d | %.2f s |", c.story, attempts, recomputed, imported, time.Since(began).Seconds())
				if recomputed > c.maxRecomputed || (imported > 0) != c.imported {
					t.Errorf("recomputed %d tokens, imported %d; want at most %d, import %v", recomputed, imported, c.maxRecomputed, c.imported)
				}
			})
		})
	}
}

// serve requests the answer until it is complete, and resumes at another
// gateway if told to.
func (p *enginePair) serve(t *testing.T, caller *fakeCaller) {
	t.Helper()
	got, err := caller.generate(t.Context(), p.registry)
	if err == nil && got.Reason == outcome.ReasonLeaving {
		got, err = caller.resume(t.Context(), p.registry)
	}
	if err != nil || got.Kind != outcome.Completed {
		t.Fatalf("outcome %v, error %v; want completed", got, err)
	}
}

// handOver replaces the gateway, which hands its streams over to the new one.
// The engines are reversed, so the new gateway picks the engine with the cached
// prefix only because the handed-over stream names it.
func (p *enginePair) handOver(t *testing.T) {
	old := p.registry
	slices.Reverse(p.picker.engines)
	p.registry = p.gateway()
	report := old.Leave(t.Context(), time.Millisecond, []Peer{fakePeer{to: p.registry}})
	if report.HandedOver != 1 || report.NotHandedOver != 0 {
		t.Errorf("hand-over: %+v; want one stream handed over", report)
	}
}
