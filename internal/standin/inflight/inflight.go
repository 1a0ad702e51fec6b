// Package inflight counts running work, so that a stop can wait for its end.
package inflight

import (
	"context"
	"sync"
)

// Counter counts running work. Its zero value counts none.
type Counter struct {
	mu      sync.Mutex
	running int
	// idle is closed when running becomes 0; nil while nobody waits.
	idle chan struct{}
}

// Begin counts one piece of work.
func (c *Counter) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running++
}

// End takes back one Begin.
func (c *Counter) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
	if c.running == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// Running returns how much work runs.
func (c *Counter) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// Wait returns nil once nothing runs, or the context's error.
func (c *Counter) Wait(ctx context.Context) error {
	select {
	case <-c.whenIdle():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

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
