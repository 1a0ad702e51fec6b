package engine

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// ErrEnded is returned after the engine's instance ended; its streams are lost.
var ErrEnded = errors.New("engine ended")

// ErrReplaced ends a stream that a later attempt of the same request replaced.
var ErrReplaced = errors.New("replaced by a later attempt")

// defaultHeartbeat is the default of Config.Heartbeat.
const defaultHeartbeat = time.Second

// Config configures an Engine.
type Config struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Parameters  Parameters
	// Model and Version are what is loaded at the start.
	Model, Version string
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is how long another model or version takes to load.
	LoadTime time.Duration
	// Heartbeat is the time without tokens after which a stream sends a heartbeat
	// frame; 0 means a second.
	Heartbeat time.Duration
}

// Engine runs a Model in real time. It implements upstream.Engine and is safe
// for concurrent use. Its timers are those of package time, so that it works
// in a testing/synctest bubble.
type Engine struct {
	config Config
	// wake holds a signal while work may be waiting that run has not seen.
	wake chan struct{}
	// closing is closed by Close, and stopped when run has returned.
	closing chan struct{}
	stopped chan struct{}
	once    sync.Once

	mu      sync.Mutex
	model   *Model
	streams map[ident.Request]*tokenStream
	// fence is the fencing number of the last order that was applied.
	fence ident.Fence
	// loaded is the model in use. target is the last one ordered: the same, or
	// one that is still loading.
	loaded loadedModel
	target loadedModel
	closed bool
}

var _ upstream.Engine = (*Engine)(nil)

// loadedModel is a model and when it has finished loading.
type loadedModel struct {
	model, version string
	usableFrom     time.Time
}

// New starts an engine. The caller must close it.
func New(c Config) *Engine {
	if c.Heartbeat <= 0 {
		c.Heartbeat = defaultHeartbeat
	}
	first := loadedModel{model: c.Model, version: c.Version}
	e := &Engine{
		config:  c,
		wake:    make(chan struct{}, 1),
		closing: make(chan struct{}),
		stopped: make(chan struct{}),
		model:   NewModel(c.Parameters),
		streams: make(map[ident.Request]*tokenStream),
		loaded:  first,
		target:  first,
	}
	go e.run()
	return e
}

// Close ends the engine at once, as the end of its instance does: streams and new
// requests fail with ErrEnded.
func (e *Engine) Close() {
	e.once.Do(func() {
		e.mu.Lock()
		e.closed = true
		for _, s := range e.streams {
			s.fail(ErrEnded)
		}
		clear(e.streams)
		e.mu.Unlock()
		close(e.closing)
	})
	<-e.stopped
}

// Leave makes the engine refuse new requests, as after a reclaim notice. Its
// streams continue until Close.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.Leave(time.Now())
}

// SetSlowdown sets the factor by which steps are slower than reports show.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.model.SetSlowdown(factor)
}

// run executes one step after the other until Close, and waits for work in between.
func (e *Engine) run() {
	defer close(e.stopped)
	for {
		tokens, d := e.step()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-e.closing:
				return
			}
		}
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
			e.deliver(tokens)
		case <-e.closing:
			timer.Stop()
			return
		}
	}
}

func (e *Engine) step() ([]Token, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model.Step(time.Now(), nil)
}

// deliver sends the tokens of a step to the streams of their attempts.
func (e *Engine) deliver(tokens []Token) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range tokens {
		s := e.streams[t.ID]
		if s == nil || int(s.req.Attempt) != t.Tag {
			continue
		}
		s.push(t)
		if t.Done {
			delete(e.streams, t.ID)
		}
	}
}

// Generate queues a request and returns its stream. Errors are
// upstream.ErrNotSent if ctx has ended, upstream.ErrLeaving,
// upstream.ErrRefused, and ErrEnded after Close.
func (e *Engine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	if err := ctx.Err(); err != nil {
		return nil, errors.Join(upstream.ErrNotSent, err)
	}
	s := newTokenStream(ctx, e, req)
	if len(req.Delivered) >= int(req.MaxTokens) {
		s.push(Token{Done: true})
		return s, nil
	}
	if err := e.submit(s); err != nil {
		return nil, err
	}
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s, nil
}

func (e *Engine) submit(s *tokenStream) error {
	req := s.req
	w := Attempt{
		ID:            req.Request,
		Tag:           int(req.Attempt),
		Priority:      req.Priority,
		Blocks:        prompt.Blocks(req.Prompt),
		ContextTokens: max(1, prompt.Tokens(req.Prompt)+len(req.Delivered)),
		OutputTokens:  int(req.MaxTokens) - len(req.Delivered),
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrEnded
	}
	e.cancelEarlierAttempt(req)
	if err := e.model.Submit(time.Now(), w); err != nil {
		return err
	}
	e.streams[w.ID] = s
	return nil
}

// cancelEarlierAttempt ends an earlier attempt of the same request. If that
// attempt's connection went dead, its cancellation never arrives. The engine would
// then refuse the attempt that follows on a new connection, and the request would
// lose the prefix that is cached here. The caller holds e.mu.
func (e *Engine) cancelEarlierAttempt(req upstream.GenerateRequest) {
	old := e.streams[req.Request]
	if old == nil || old.req.Attempt >= req.Attempt || e.model.leaving {
		return
	}
	old.fail(ErrReplaced)
	delete(e.streams, req.Request)
	e.model.Cancel(time.Now(), req.Request)
}

// cancel ends a stream that its reader closed or gave up.
func (e *Engine) cancel(s *tokenStream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.req.Request] != s {
		return
	}
	delete(e.streams, s.req.Request)
	e.model.Cancel(time.Now(), s.req.Request)
}

// Report returns the load as it was Parameters.ReportLag ago.
func (e *Engine) Report(context.Context) (upstream.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return upstream.Report{}, ErrEnded
	}
	r := e.model.Report(time.Now())
	// Leaving is reported without lag, since an engine knows its own notice.
	r.Leaving = e.model.leaving
	r.Instance, r.Incarnation = e.config.Instance, e.config.Incarnation
	e.activateLoaded()
	r.Model, r.Version = e.loaded.model, e.loaded.version
	r.AppliedFence = e.fence
	return r, nil
}

// activateLoaded makes the target the model in use if it has finished loading. The
// caller holds e.mu.
func (e *Engine) activateLoaded() {
	if !e.target.usableFrom.After(time.Now()) {
		e.loaded = e.target
	}
}

// CacheEvents returns the readable cache events above a sequence number.
func (e *Engine) CacheEvents(_ context.Context, after uint64) ([]upstream.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, ErrEnded
	}
	return e.model.CacheEvents(after, time.Now()), nil
}

// ExportCache returns the KV cache of a stream, after the time that its transfer
// takes. The error is upstream.ErrRefused if there is no such stream or nothing
// was computed for it.
func (e *Engine) ExportCache(ctx context.Context, id ident.Request) ([]byte, error) {
	e.mu.Lock()
	exported, ok := e.model.Export(id)
	gone := e.closed
	e.mu.Unlock()
	if gone {
		return nil, ErrEnded
	}
	if !ok {
		return nil, upstream.ErrRefused
	}
	if err := e.transfer(ctx, exported.Tokens); err != nil {
		return nil, err
	}
	return json.Marshal(exported)
}

// ImportCache stores a KV cache for a request that is sent next, after the time
// that its transfer takes. It returns how many context tokens the cache covers.
func (e *Engine) ImportCache(ctx context.Context, id ident.Request, cache []byte) (int, error) {
	var exported ExportedCache
	if err := json.Unmarshal(cache, &exported); err != nil {
		return 0, errors.Join(upstream.ErrRefused, err)
	}
	if err := e.transfer(ctx, exported.Tokens); err != nil {
		return 0, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.model.leaving {
		return 0, upstream.ErrLeaving
	}
	e.model.Import(id, exported)
	return exported.Tokens, nil
}

// transfer waits for as long as the transfer of the KV cache of so many tokens
// takes.
func (e *Engine) transfer(ctx context.Context, tokens int) error {
	e.mu.Lock()
	duration := e.model.Transfer(time.Now(), tokens)
	e.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.closing:
		return ErrEnded
	}
}

// Apply applies an order and begins to load its model if that is another one. The
// error is upstream.ErrOldFence if the engine checks fencing numbers and the
// order's is old, and ErrEnded after Close.
func (e *Engine) Apply(_ context.Context, o upstream.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return ErrEnded
	}
	if e.config.ChecksFencing && o.Fence < e.fence {
		return upstream.ErrOldFence
	}
	e.fence = o.Fence
	e.activateLoaded()
	if o.Model == e.target.model && o.Version == e.target.version {
		return nil
	}
	e.target = loadedModel{model: o.Model, version: o.Version, usableFrom: time.Now().Add(e.config.LoadTime)}
	return nil
}
