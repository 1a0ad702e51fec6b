package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

const (
	// minRetryPause and maxRetryPause bound the exponential backoff after failed calls.
	// The pause itself is random between half of the backoff and the whole, so that
	// gateways that lost the store at the same time do not all return at the same time.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
	// maxReaderRetryPause bounds the backoff of the gateways that read the store for the others. What is
	// written right after an outage must be in force everywhere in half of the time that is allowed.
	maxReaderRetryPause = 500 * time.Millisecond
)

// draw returns a random duration below a limit.
type draw func(below time.Duration) time.Duration

// retryPause returns the pause after the given number of consecutive failures, where the backoff is at most longest.
func (d draw) retryPause(failures int, longest time.Duration) time.Duration {
	pause := min(minRetryPause<<min(failures, 5), longest)
	return pause/2 + d(pause/2+1)
}

// storeHealth drives the reading of one topic of the store with backoff. It logs once when
// the store stops answering and once when it answers again.
type storeHealth struct {
	log   hclog.Logger
	topic string
	eras  *platform.Eras
	// rank returns the gateway's rank among those that may ask the store; 0 is first.
	rank func() int
	// draw draws the random part of pauses.
	draw draw
	// failures is the number of consecutive failures.
	failures atomic.Int64
	newEra   eraWait
}

func newStoreHealth(ports Ports, topic string, rank func() int, log hclog.Logger) storeHealth {
	return storeHealth{log: log, topic: topic, rank: rank, eras: ports.Eras, draw: rand.N[time.Duration]}
}

const (
	// maxPollInterval is the longest time between two checks whether a read is due. The
	// reports of other gateways change that; mostly they postpone it.
	maxPollInterval = 200 * time.Millisecond
	// minPollInterval is the shortest time between two checks, because these checks are
	// most of what an idle gateway does.
	minPollInterval = 50 * time.Millisecond
)

// follow calls step until ctx ends. step reads if a read is due, and returns idle 0 and the
// read's error; otherwise it returns the time until the next read is due, as far as known.
func (h *storeHealth) follow(ctx context.Context, step func(context.Context) (idle time.Duration, err error)) {
	for ctx.Err() == nil {
		idle, err := step(ctx)
		switch {
		case idle > 0:
			sleep.For(ctx, min(max(idle, minPollInterval), maxPollInterval))
		case err != nil:
			h.recordFailure(ctx, err)
		default:
			h.recordAnswer()
		}
	}
}

// failing reports whether the last call of the store failed.
func (h *storeHealth) failing() bool { return h.failures.Load() > 0 }

// recordAnswer records a call that the store answered.
func (h *storeHealth) recordAnswer() {
	if failures := h.failures.Swap(0); failures > 0 {
		h.log.Info("store answers again", "topic", h.topic, "failures", failures)
	}
}

// recordFailure records a failed call, and waits for the backoff, or until ctx ends or a new era is known.
func (h *storeHealth) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	failures := h.failures.Add(1)
	if failures == 1 {
		h.log.Warn("store does not answer", "topic", h.topic, "error", err)
	}
	// A new era is news from a gateway that the store answers.
	ctx, cancel := h.eras.During(ctx, h.eras.Newest())
	defer cancel()
	sleep.For(ctx, h.draw.retryPause(int(failures), h.longestPause()))
}

func (h *storeHealth) longestPause() time.Duration {
	if h.rank() < waitingReaders {
		return maxReaderRetryPause
	}
	return maxRetryPause
}

// ageOf returns how long ago a view was confirmed, and an hour if it never was.
func ageOf(confirmed, now time.Time) time.Duration {
	if confirmed.IsZero() {
		return time.Hour
	}
	return now.Sub(confirmed)
}
