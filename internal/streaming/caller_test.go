package streaming

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// reportLog collects the reports of all attempts.
type reportLog struct {
	mu      sync.Mutex
	reports []AttemptReport
}

func (l *reportLog) AttemptEnded(r AttemptReport) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports = append(l.reports, r)
}

func (l *reportLog) all() []AttemptReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.reports)
}

// testEngine is an engine that a fakePicker can pick.
type testEngine interface {
	upstream.Engine
	name() ident.Instance
	watchNotice() <-chan Notice
}

// fakePicker picks the first engine in its order that is not excluded. The one
// that served the request last goes first, since it may have the prefix in its
// cache.
type fakePicker struct {
	mu      sync.Mutex
	engines []testEngine
	refusal *Refusal
	held    int
}

func (p *fakePicker) Pick(ctx context.Context, req PickRequest) (Target, error) {
	if err := ctx.Err(); err != nil {
		return Target{}, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refusal != nil {
		return Target{}, p.refusal
	}
	order := slices.Clone(p.engines)
	slices.SortStableFunc(order, func(a, b testEngine) int {
		return rank(a, req.LastInstance) - rank(b, req.LastInstance)
	})
	for _, e := range order {
		if !slices.Contains(req.Exclude, e.name()) {
			p.held++
			return Target{Instance: e.name(), Engine: e, Notice: e.watchNotice(), Release: p.release}, nil
		}
	}
	return Target{}, fmt.Errorf("all %d engines are excluded", len(order))
}

func rank(e testEngine, served ident.Instance) int {
	if e.name() == served {
		return 0
	}
	return 1
}

func (p *fakePicker) release(Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held--
}

// heldTargets returns how many targets were picked and not released.
func (p *fakePicker) heldTargets() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// fakeCaller collects a stream's tokens and checks each event as it arrives.
type fakeCaller struct {
	req  Request
	slow time.Duration
	// unchecked: the tokens are not those of tokenAfter; the test compares them
	// itself.
	unchecked bool

	mu         sync.Mutex
	tokens     []string
	hash       uint64
	heartbeats int
	problem    string
}

// sink is one connection of a caller.
type sink struct {
	caller *fakeCaller
	ctx    context.Context
}

func (s sink) Tokens(index uint32, tokens []string) error {
	if err := s.ctx.Err(); err != nil {
		return err
	}
	s.caller.receive(index, tokens)
	if s.caller.slow == 0 {
		return nil
	}
	select {
	case <-time.After(s.caller.slow):
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

func (s sink) Heartbeat() error {
	s.caller.mu.Lock()
	defer s.caller.mu.Unlock()
	s.caller.heartbeats++
	return s.ctx.Err()
}

func (c *fakeCaller) receive(index uint32, tokens []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if int(index) != len(c.tokens) && c.problem == "" {
		c.problem = fmt.Sprintf("frame begins at %d, the caller has %d", index, len(c.tokens))
	}
	c.tokens = append(c.tokens, tokens...)
	var problem string
	c.hash, problem = checkTokens(c.hash, tokens)
	if c.problem == "" && !c.unchecked {
		c.problem = problem
	}
}

// held returns a copy of the tokens so far.
func (c *fakeCaller) held() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.tokens)
}

// check returns what is wrong with the caller's stream, or "".
func (c *fakeCaller) check(o outcome.Outcome) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.problem != "" {
		return c.problem
	}
	if o.Kind == outcome.Completed && len(c.tokens) != int(c.req.Params.MaxTokens) {
		return fmt.Sprintf("completed with %d tokens of %d", len(c.tokens), c.req.Params.MaxTokens)
	}
	return ""
}

func (c *fakeCaller) generate(ctx context.Context, g *Registry) (outcome.Outcome, error) {
	return g.Generate(ctx, c.req, sink{caller: c, ctx: ctx})
}

// fork returns a caller of the same request that has the first n tokens.
func (c *fakeCaller) fork(n int, slow time.Duration) *fakeCaller {
	tokens := c.held()[:n]
	req := c.req
	req.Deadline = time.Time{}
	return &fakeCaller{req: req, slow: slow, tokens: tokens, hash: answerHash(c.req.Params.Prompt, tokens)}
}

// resume requests the rest and sends all that the caller has.
func (c *fakeCaller) resume(ctx context.Context, g *Registry) (outcome.Outcome, error) {
	held := c.held()
	original := c.req
	return g.Resume(ctx, ResumeRequest{
		Key: c.req.Key, NextIndex: uint32(len(held)), Original: &original, Delivered: held,
	}, sink{caller: c, ctx: ctx})
}

// resumeByID requests the rest by the request's key alone.
func (c *fakeCaller) resumeByID(ctx context.Context, g *Registry) (outcome.Outcome, error) {
	return g.Resume(ctx, ResumeRequest{Key: c.req.Key, NextIndex: uint32(len(c.held()))}, sink{caller: c, ctx: ctx})
}

func newCaller(account, request string, maxTokens uint32) *fakeCaller {
	prompt := "Dossier of lot " + account + " " + request
	return &fakeCaller{hash: answerHash(prompt, nil), req: Request{
		Key: Key{Account: ident.ClientAccount(account), Request: ident.Request(request)},
		Params: Params{
			Service:   "spool-llm",
			Class:     "short",
			Prompt:    prompt,
			MaxTokens: maxTokens,
		},
	}}
}
