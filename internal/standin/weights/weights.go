// Package weights is an in-memory stand-in for the rate-limited weight store.
package weights

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
)

// Options configure a Store.
type Options struct {
	// ModelBytes is the size of every model.
	ModelBytes uint64
	// BytesPerSecond is the rate of the store. Transfers run one after the other.
	BytesPerSecond float64
}

// Store is a platform.Weights in memory. Its embedded Injector makes it fail.
type Store struct {
	fault.Injector

	options Options

	mu sync.Mutex
	// freeAt is when the transfers granted so far end.
	freeAt time.Time
}

var _ platform.Weights = (*Store)(nil)

// New returns a store without transfers.
func New(options Options) *Store { return &Store{options: options} }

// Reserve implements platform.Weights. A transfer's duration includes the wait for
// the transfers that were granted before it.
func (s *Store) Reserve(ctx context.Context, _, _ string) (platform.Transfer, error) {
	if err := s.Begin(ctx); err != nil {
		return platform.Transfer{}, err
	}
	var transfer platform.Transfer
	err := s.Run(func() error {
		transfer = s.reserve()
		return nil
	})
	if err != nil {
		return platform.Transfer{}, err
	}
	return transfer, nil
}

func (s *Store) reserve() platform.Transfer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	seconds := float64(s.options.ModelBytes) / s.options.BytesPerSecond
	s.freeAt = s.freeAt.Add(time.Duration(seconds * float64(time.Second)))
	return platform.Transfer{Bytes: s.options.ModelBytes, Duration: s.freeAt.Sub(now)}
}
