// Package blackboard holds the state that controllers share: typed sections
// of immutable snapshots. Each section has exactly one writer. Readers load a
// snapshot by one atomic load and take no lock, so the data path never waits
// for a controller.
package blackboard

import (
	"context"
	"sync/atomic"
)

// Snapshot is one version of a section. Its value must not be changed.
type Snapshot[T any] struct {
	// Version counts the publications of the section; 0 is the zero value.
	Version uint64
	Value   T
	// changed is closed when a newer snapshot is published.
	changed chan struct{}
}

// Changed returns a channel that is closed when a newer snapshot exists.
func (s *Snapshot[T]) Changed() <-chan struct{} { return s.changed }

// Section is one part of the blackboard. Create it with NewSection.
type Section[T any] struct {
	current atomic.Pointer[Snapshot[T]]
}

// NewSection returns a section that holds initial as version 0.
func NewSection[T any](initial T) *Section[T] {
	s := &Section[T]{}
	s.current.Store(&Snapshot[T]{Value: initial, changed: make(chan struct{})})
	return s
}

// Load returns the current snapshot.
func (s *Section[T]) Load() *Snapshot[T] { return s.current.Load() }

// Value returns the current value.
func (s *Section[T]) Value() T { return s.current.Load().Value }

// Publish replaces the value and wakes all watchers. Only the section's one
// writer may call it.
func (s *Section[T]) Publish(value T) {
	old := s.current.Load()
	next := &Snapshot[T]{Version: old.Version + 1, Value: value, changed: make(chan struct{})}
	s.current.Store(next)
	close(old.changed)
}

// Wait blocks until a snapshot newer than version exists and returns it, or
// returns the error of ctx.
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
