// Package inflight counts requests in flight, so that a planned stop can wait
// until they have ended.
package inflight

import (
	"context"
	"sync"
)

// Counter counts requests in flight. Its zero value is ready for use, and it is
// safe for concurrent use.
type Counter struct {
	mu      sync.Mutex
	running int
	// idle is closed when running becomes 0; nil while nobody waits.
	idle chan struct{}
}

// Begin counts the start of a request.
func (c *Counter) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
}

// End counts the end of a request; it is called once for each Begin.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if c.running == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Running returns the number of requests in flight.
func (c *Counter) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// Wait returns nil once no request is in flight, or the context's error.
func (c *Counter) Wait(ctx context.Context) error {
	select {
	case <-c.whenIdle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// whenIdle returns a channel that is closed once no request is in flight.
func (c *Counter) whenIdle() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running == 0 {
		idle := make(chan struct{})
		close(idle)
		return idle
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	return c.idle
}
