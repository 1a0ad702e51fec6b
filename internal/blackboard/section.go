// Package blackboard holds the state that controllers share, in typed sections of
// immutable snapshots. Each section has exactly one writer. Readers get a snapshot
// by one atomic load and take no lock, so requests never wait for a controller.
package blackboard

import (
	"context"
	"sync/atomic"
)

// Snapshot is one version of a section's value. The value must not be modified.
type Snapshot[T any] struct {
	// Version counts the publications of the section; the initial value has
	// version 0.
	Version uint64
	Value   T
	// changed is closed when a newer snapshot is published.
	changed chan struct{}
}

// Changed returns a channel that is closed when a newer snapshot exists.
func (s *Snapshot[T]) Changed() <-chan struct{} { return s.changed }

// Section is one part of the blackboard. Create it with NewSection. Its methods
// may be called concurrently, but Publish only by one writer.
type Section[T any] struct {
	current atomic.Pointer[Snapshot[T]]
}

// NewSection returns a section with the value initial as version 0.
func NewSection[T any](initial T) *Section[T] {
	s := &Section[T]{}
	s.current.Store(&Snapshot[T]{Value: initial, changed: make(chan struct{})})
	return s
}

// Load returns the current snapshot.
func (s *Section[T]) Load() *Snapshot[T] { return s.current.Load() }

// Value returns the current value.
func (s *Section[T]) Value() T { return s.current.Load().Value }

// Publish replaces the value and wakes all goroutines that wait for a newer
// snapshot.
// Only the section's one writer may call it.
func (s *Section[T]) Publish(value T) {
	old := s.current.Load()
	next := &Snapshot[T]{Version: old.Version + 1, Value: value, changed: make(chan struct{})}
	s.current.Store(next)
	close(old.changed)
}

// Wait blocks until there is a snapshot newer than version and returns it. It
// returns the error of ctx if that ends first.
func (s *Section[T]) Wait(ctx context.Context, version uint64) (*Snapshot[T], error) {
	for {
		snap := s.current.Load()
		if snap.Version > version {
			return snap, nil
		}
		select {
		case <-snap.changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}
