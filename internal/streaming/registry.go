package streaming

import (
	"context"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Registry keeps the token streams in progress at this gateway, and ended ones
// for a while. A stream outlives its caller's connection, so that the caller
// can come back for the rest. A Registry is safe for concurrent use.
type Registry struct {
	config Config
	runner *Runner
	runs   sync.WaitGroup

	mu      sync.Mutex
	entries map[Key]*entry
	idle    idleEntries
	leaving bool
	// handOverDone: callers may be told that their streams were stopped.
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

// ResumeRequest is a request for the rest of a token stream.
type ResumeRequest struct {
	Key Key
	// NextIndex is the index of the first token that the caller does not have.
	NextIndex uint32
	// Original is the request as it was first sent, without Delivered; nil if
	// the caller left it out.
	Original *Request
	// Delivered are the first NextIndex tokens, which the caller has; nil if the
	// caller left them out.
	Delivered []string
}

// Generate serves a request from its first token on. A second Generate with the
// same key and the same Params follows the same answer.
//
// It returns an InvalidArgument error for an invalid request; every other
// failure is an outcome.
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

// Resume serves the rest of a request.
//
// It returns an InvalidArgument error for an invalid request, and a NotFound
// error if the gateway does not keep the stream and the request does not
// contain what is needed to go on. The error is the same whether the stream
// belongs to another client account or does not exist. Every other failure is
// an outcome.
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
	return g.follow(ctx, e, resume.NextIndex, sink), nil
}

// Holds reports whether the gateway keeps the stream. Resuming a stream that the
// gateway does not keep starts a run like a new request, and should be admitted
// like a new request.
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

// Stats are the numbers of streams in a registry.
type Stats struct {
	// Streams is the number of kept streams.
	Streams int
	// Idle is the number of those without a caller.
	Idle int
}

// Stats returns the current numbers.
func (g *Registry) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	stats := Stats{Streams: len(g.entries)}
	for account := range g.idle.byAccount {
		stats.Idle += g.idle.count(account)
	}
	return stats
}

// follow sends an entry's answer to one caller, from index next on.
func (g *Registry) follow(ctx context.Context, e *entry, next uint32, sink Sink) outcome.Outcome {
	defer g.removeCaller(e)
	final, err := e.answer.follow(ctx, next, sink, g.config)
	if err != nil {
		return outcome.NewInterrupted(outcome.ReasonCancelled, "the caller has gone: "+err.Error(), 0)
	}
	return final
}

// findOrStart returns the entry of a new request, whose run it starts if needed,
// and adds the caller to the entry. It returns an outcome instead if the request is
// refused.
func (g *Registry) findOrStart(ctx context.Context, req Request) (*entry, *outcome.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[req.Key]
	if refused := g.refusalOf(e, req.Params); refused != nil {
		return nil, refused
	}
	switch {
	case e == nil:
		e = g.start(ctx, req, nil)
	case !e.mayComplete():
		// The earlier run was given up. Continue from its tokens.
		req.Delivered = e.tokens()
		e = g.start(ctx, req, e)
	}
	g.addCaller(e)
	return e, nil
}

// findOrResume returns the entry of a resumed request, whose run it starts if
// needed, and adds the caller to the entry. It returns an outcome instead if the
// request is refused.
func (g *Registry) findOrResume(ctx context.Context, resume ResumeRequest) (*entry, *outcome.Outcome, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e := g.entries[resume.Key]
	if e == nil && resume.Original == nil {
		return nil, nil, notFound()
	}
	req := resume.request(e)
	if refused := g.refusalOf(e, req.Params); refused != nil {
		return nil, refused, nil
	}
	e, err := g.continueFrom(ctx, e, req, resume)
	if err != nil {
		return nil, nil, err
	}
	g.addCaller(e)
	return e, nil, nil
}

// continueFrom returns an entry that continues from the tokens that the caller
// has. e is the entry with the request's key, or nil.
func (g *Registry) continueFrom(ctx context.Context, e *entry, req Request, resume ResumeRequest) (*entry, error) {
	allDelivered := resume.hasAllDelivered()
	if !allDelivered && (e == nil || int(resume.NextIndex) > len(e.tokens())) {
		return nil, notFound()
	}
	if e == nil {
		req.Delivered = resume.Delivered
		return g.start(ctx, req, nil), nil
	}
	// A caller that went on at another gateway may have received other tokens
	// than the entry holds. Continuing from the entry's tokens would give the
	// caller a mix of two answers, so a new run continues from the caller's
	// tokens.
	if allDelivered && !e.hasPrefix(resume.Delivered) {
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

// refusalOf returns the outcome of a request that cannot be served here, or
// nil. e is the entry with the request's key, or nil. It may evict an idle
// stream to make room for a new one.
func (g *Registry) refusalOf(e *entry, params Params) *outcome.Outcome {
	var refused outcome.Outcome
	switch {
	case e != nil && e.req.Params != params:
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

// validate returns an InvalidArgument error, or nil.
func (r ResumeRequest) validate(maxTokens uint32) error {
	if r.Delivered != nil && len(r.Delivered) != int(r.NextIndex) {
		return errcode.Errorf(errcode.InvalidArgument, "next_index is %d and delivered has %d tokens", r.NextIndex, len(r.Delivered))
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

// hasAllDelivered reports whether the request contains every token that the
// caller has.
func (r ResumeRequest) hasAllDelivered() bool { return len(r.Delivered) == int(r.NextIndex) }

// request returns the request to serve: the caller's copy if there is one, or
// else the entry's.
func (r ResumeRequest) request(e *entry) Request {
	if r.Original != nil {
		return *r.Original
	}
	return e.req
}
