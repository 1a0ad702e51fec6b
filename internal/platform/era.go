package platform

import (
	"context"
	"sync"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Eras keeps the newest era of the store that this process knows, from the store's own answers and from
// other gateways. It is safe for concurrent use.
type Eras struct {
	mu     sync.Mutex
	newest ident.Era
	risen  chan struct{}
	onRise func(before, now ident.Era)
}

// NewEras returns an Eras that knows no era yet.
func NewEras() *Eras { return &Eras{risen: make(chan struct{})} }

// OnRise sets a function that is called, one call at a time, when a newer era becomes known.
func (e *Eras) OnRise(call func(before, now ident.Era)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onRise = call
}

// Observe records that an era exists, and returns the newest known one.
func (e *Eras) Observe(era ident.Era) ident.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	if era > e.newest {
		before := e.newest
		e.newest = era
		close(e.risen)
		e.risen = make(chan struct{})
		if e.onRise != nil {
			e.onRise(before, era)
		}
	}
	return e.newest
}

// Newest returns the newest known era.
func (e *Eras) Newest() ident.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest
}

// During returns a context that ends with ctx, and when an era later than the given one becomes known.
func (e *Eras) During(ctx context.Context, era ident.Era) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	e.mu.Lock()
	newest, risen := e.newest, e.risen
	e.mu.Unlock()
	if newest > era {
		cancel()
		return ctx, cancel
	}
	go func() {
		defer cancel()
		select {
		case <-risen:
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
