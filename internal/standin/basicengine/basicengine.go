// Package basicengine is the smallest stand-in for a model engine: it knows no
// batches and no cache, and gives one token a step.
package basicengine

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Options are an Engine's identity and speed.
type Options struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	// Step is the time that one token takes.
	Step time.Duration
	// PrefillRate is reported, in tokens a second.
	PrefillRate float64
}

// Engine is an upstream.Engine in memory.
type Engine struct {
	options Options

	mu      sync.Mutex
	leaving bool
	running int
	idle    chan struct{}
	order   upstream.Order
}

var _ upstream.Engine = (*Engine)(nil)

// New returns an idle engine.
func New(options Options) *Engine { return &Engine{options: options} }

// SetLeaving makes the engine refuse new streams, or ends that.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Drain refuses new streams and waits until those that run have ended.
func (e *Engine) Drain(ctx context.Context) error {
	e.mu.Lock()
	e.leaving = true
	if e.running == 0 {
		e.mu.Unlock()
		return nil
	}
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	idle := e.idle
	e.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Generate implements upstream.Engine.
func (e *Engine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, upstream.ErrLeaving
	}
	e.running++
	ctx, cancel := context.WithCancel(ctx)
	return &stream{ctx: ctx, cancel: cancel, engine: e, req: req, next: uint32(len(req.Delivered)), first: true}, nil
}

// Report implements upstream.Engine.
func (e *Engine) Report(ctx context.Context) (upstream.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return upstream.Report{
		Instance:     e.options.Instance,
		Incarnation:  e.options.Incarnation,
		Leaving:      e.leaving,
		Running:      e.running,
		Model:        e.order.Model,
		Version:      e.order.Version,
		PrefillRate:  e.options.PrefillRate,
		Step:         e.options.Step,
		AppliedFence: e.order.Fence,
	}, ctx.Err()
}

// CacheEvents implements upstream.Engine; there are never any.
func (e *Engine) CacheEvents(ctx context.Context, _ uint64) ([]upstream.CacheEvent, error) {
	return nil, ctx.Err()
}

// ExportCache implements upstream.Engine; it always refuses.
func (e *Engine) ExportCache(context.Context, ident.Request) ([]byte, error) {
	return nil, upstream.ErrRefused
}

// ImportCache implements upstream.Engine; it always refuses.
func (e *Engine) ImportCache(context.Context, ident.Request, []byte) (int, error) {
	return 0, upstream.ErrRefused
}

// Apply implements upstream.Engine.
func (e *Engine) Apply(ctx context.Context, order upstream.Order) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if order.Fence < e.order.Fence {
		return upstream.ErrOldFence
	}
	e.order = order
	return nil
}

func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if e.running == 0 && e.idle != nil {
		close(e.idle)
		e.idle = nil
	}
}

// stream is one running attempt.
type stream struct {
	ctx    context.Context
	cancel context.CancelFunc
	engine *Engine
	req    upstream.GenerateRequest
	next   uint32
	first  bool
	done   bool
	once   sync.Once
}

// Next implements upstream.TokenStream.
func (s *stream) Next() (upstream.Frame, error) {
	if s.done {
		return upstream.Frame{}, io.EOF
	}
	timer := time.NewTimer(s.engine.options.Step)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
		return upstream.Frame{}, s.ctx.Err()
	case <-timer.C:
	}
	frame := upstream.Frame{Attempt: s.req.Attempt, Index: s.next}
	if s.next < s.req.MaxTokens {
		frame.Tokens = []string{answer.Token(s.req.Prompt, int(s.next))}
		s.next++
	}
	if s.first {
		frame.Prefilled = uint32(prompt.Tokens(s.req.Prompt) + len(s.req.Delivered))
		s.first = false
	}
	frame.Done = s.next >= s.req.MaxTokens
	s.done = frame.Done
	return frame, nil
}

// Close implements upstream.TokenStream.
func (s *stream) Close() error {
	s.once.Do(func() {
		s.cancel()
		s.engine.finish()
	})
	return nil
}
