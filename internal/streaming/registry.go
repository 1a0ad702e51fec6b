package streaming

import (
	"context"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Registry keeps the token streams in progress at this gateway, and for a
// while those that have ended. A stream outlives its caller's connection, so
// that the caller can come back for the rest.
type Registry struct {
	config Config
	runner *Runner
	runs   sync.WaitGroup

	mu      sync.Mutex
	entries map[Key]*entry
	idle    idleEntries
	leaving bool
	// told: the hand-over is over, and callers may hear of it.
	handOverDone bool
}

// NewRegistry returns a registry whose streams are served by runner.
func NewRegistry(config Config, runner *Runner) *Registry {
	return &Registry{
		config:  config,
		runner:  runner,
		entries: make(map[Key]*entry),
		idle:    newIdleEntries(),
	}
}

// ResumeRequest asks for the rest of a token stream.
type ResumeRequest struct {
	Key Key
	// Next is the index of the first token that the caller does not have.
	Next uint32
	// Original is the request as it was first sent, without Delivered, or
	// nil when the caller left it out.
	Original *Request
	// Delivered are the Next tokens that the caller has, or nil when the
	// caller left them out.
	Delivered []string
}

// Generate serves a request from its first token on. A second Generate with
// the same key and the same Ask follows the same answer.
//
// Errors: InvalidArgument. All else is told as an outcome.
func (g *Registry) Generate(ctx context.Context, req Request, sink Sink) (outcome.Outcome, error) {
	req.Delivered = nil
	if err := req.validate(g.config.MaxTokens); err != nil {
		return outcome.Outcome{}, err
	}
	e, refused := g.findOrStart(ctx, req)
	if refused != nil {
		return *refused, nil
	}
	return g.follow(ctx, e, 0, sink), nil
}

// Resume serves the rest of a request. A stream of another client account and
// one that does not exist give the same error.
//
// Errors: InvalidArgument, NotFound. All else is told as an outcome.
func (g *Registry) Resume(ctx context.Context, resume ResumeRequest, sink Sink) (outcome.Outcome, error) {
	if err := resume.validate(g.config.MaxTokens); err != nil {
		return outcome.Outcome{}, err
	}
	e, refused, err := g.findOrResume(ctx, resume)
	if err != nil {
		return outcome.Outcome{}, err
	}
	if refused != nil {
		return *refused, nil
	}
	return g.follow(ctx, e, resume.Next, sink), nil
}

// Holds reports whether the gateway keeps the stream. Resuming one that it does
// not keep begins a run like a new request, and should be admitted as such.
func (g *Registry) Holds(key Key) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.entries[key] != nil
}

// Close cancels every stream and waits for their runs to end.
func (g *Registry) Close() {
	g.mu.Lock()
	g.leaving = true
	for key, e := range g.entries {
		e.cancel(errAbandoned)
		g.remove(key, e)
	}
	g.mu.Unlock()
	g.runs.Wait()
}

// Stats are a registry's figures.
type Stats struct {
	// Streams that are kept.
	Streams int
	// Idle streams have no caller.
	Idle int
}

// Stats returns the figures at this moment.
func (g *Registry) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := Stats{Streams: len(g.entries)}
	for account := range g.idle.byAccount {
		stats.Idle += g.idle.count(account)
	}
	return stats
}

// follow delivers an entry's answer to one caller.
func (g *Registry) follow(ctx context.Context, e *entry, next uint32, sink Sink) outcome.Outcome {
	defer g.removeCaller(e)
	final, err := e.answer.follow(ctx, next, sink, g.config)
	if err != nil {
		return outcome.NewInterrupted(outcome.ReasonCancelled, "the caller has gone: "+err.Error(), 0)
	}
	return final
}

// findOrStart finds or starts the entry of a new request, and counts the caller in.
func (g *Registry) findOrStart(ctx context.Context, req Request) (*entry, *outcome.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[req.Key]
	if refused := g.refusalOf(e, req.Ask); refused != nil {
		return nil, refused
	}
	switch {
	case e == nil:
		e = g.start(ctx, req, nil)
	case !e.mayComplete():
		// Given up on before: go on from where it got to.
		req.Delivered = e.tokens()
		e = g.start(ctx, req, e)
	}
	g.addCaller(e)
	return e, nil
}

// findOrResume finds or starts the entry of a resumed request, and counts the
// caller in.
func (g *Registry) findOrResume(ctx context.Context, resume ResumeRequest) (*entry, *outcome.Outcome, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[resume.Key]
	if e == nil && resume.Original == nil {
		return nil, nil, notFound()
	}
	req := resume.request(e)
	if refused := g.refusalOf(e, req.Ask); refused != nil {
		return nil, refused, nil
	}
	e, err := g.continueFrom(ctx, e, req, resume)
	if err != nil {
		return nil, nil, err
	}
	g.addCaller(e)
	return e, nil, nil
}

// continueFrom returns the entry that goes on from what the caller has.
func (g *Registry) continueFrom(ctx context.Context, e *entry, req Request, resume ResumeRequest) (*entry, error) {
	held := resume.hasAllDelivered()
	if !held && (e == nil || int(resume.Next) > len(e.tokens())) {
		return nil, notFound()
	}
	if e == nil {
		req.Delivered = resume.Delivered
		return g.start(ctx, req, nil), nil
	}
	// A caller that went on at another gateway may have other tokens than
	// those here. Going on from the ones here would give it a mix of two
	// answers, so the caller's tokens win.
	if held && !e.hasPrefix(resume.Delivered) {
		req.Delivered = resume.Delivered
		if err := req.validate(g.config.MaxTokens); err != nil {
			return nil, err
		}
		e.cancel(errReplaced)
		return g.start(ctx, req, e), nil
	}
	if !e.mayComplete() {
		req.Delivered = e.tokens()
		return g.start(ctx, req, e), nil
	}
	return e, nil
}

// refusalOf returns why a request cannot be served here, or nil.
func (g *Registry) refusalOf(e *entry, ask Ask) *outcome.Outcome {
	var refused outcome.Outcome
	switch {
	case e != nil && e.req.Ask != ask:
		refused = outcome.NewNotRun(outcome.ReasonKeyReused, "the request ID belongs to a different request", 0)
	case g.leaving && e != nil:
		refused = leavingOutcome()
	case g.leaving:
		refused = outcome.NewNotRun(outcome.ReasonLeaving, "this gateway is leaving; ask any other", 0)
	case e == nil && !g.makeRoom():
		refused = outcome.NewNotRun(outcome.ReasonOverloaded, "too many token streams at this gateway", jitter(g.config.MinRetryAfter))
	default:
		return nil
	}
	return &refused
}

func notFound() error {
	return errcode.New(errcode.NotFound, "no such request here; send original and delivered to resume it")
}

// validate returns an invalid-argument error, or nil.
func (r ResumeRequest) validate(maxTokens uint32) error {
	if r.Delivered != nil && len(r.Delivered) != int(r.Next) {
		return errcode.Errorf(errcode.InvalidArgument, "next_index is %d and delivered has %d tokens", r.Next, len(r.Delivered))
	}
	if r.Original == nil {
		return nil
	}
	original := *r.Original
	original.Delivered = r.Delivered
	if original.Key != r.Key {
		return errcode.New(errcode.InvalidArgument, "original has another request_id")
	}
	return original.validate(maxTokens)
}

// hasAllDelivered reports whether the caller showed every token that it has.
func (r ResumeRequest) hasAllDelivered() bool { return len(r.Delivered) == int(r.Next) }

// request returns the request to serve, from the caller's copy or the entry's.
func (r ResumeRequest) request(e *entry) Request {
	if r.Original != nil {
		return *r.Original
	}
	return e.req
}
