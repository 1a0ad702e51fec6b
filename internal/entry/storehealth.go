package entry

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/pause"
)

const (
	// minRetryPause and retryMost bound the pause after a failed call; the pause is
	// drawn between half of it and the whole, so that gateways that lost the
	// store together do not come back together.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 1200 * time.Millisecond
)

// retryPause returns the pause after a number of failures in a row.
func retryPause(failures int) time.Duration {
	pause := min(minRetryPause<<min(failures, 5), maxRetryPause)
	return pause/2 + rand.N(pause/2+1)
}

// storeHealth follows a topic of the store. It tells when the store stops to answer and
// when it is back, once each.
type storeHealth struct {
	log   hclog.Logger
	topic string
	// failures in a row.
	failures atomic.Int64
}

const (
	// maxPollInterval is how often a follower looks at least whether a read is due. What
	// others say changes that, and mostly puts it off.
	maxPollInterval = 200 * time.Millisecond
	// minPollInterval is the least time between two looks: a gateway at rest mostly looks.
	minPollInterval = 50 * time.Millisecond
)

// follow reads whenever it is due until ctx ends. step reports after how long the next read
// is due by what is known now, 0 where it read, and how that ended.
func (h *storeHealth) follow(ctx context.Context, step func(context.Context) (idle time.Duration, err error)) {
	for ctx.Err() == nil {
		idle, err := step(ctx)
		switch {
		case idle > 0:
			pause.For(ctx, min(max(idle, minPollInterval), maxPollInterval))
		case err != nil:
			h.recordFailure(ctx, err)
		default:
			h.recordAnswer()
		}
	}
}

// failing reports whether the store did not answer the last call.
func (h *storeHealth) failing() bool { return h.failures.Load() > 0 }

// recordAnswer notes a call that the store answered.
func (h *storeHealth) recordAnswer() {
	if failures := h.failures.Swap(0); failures > 0 {
		h.log.Info("store answers again", "topic", h.topic, "failures", failures)
	}
}

// recordFailure notes a call that failed, and waits until the next one is due or ctx has
// ended.
func (h *storeHealth) recordFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	failures := h.failures.Add(1)
	if failures == 1 {
		h.log.Warn("store does not answer", "topic", h.topic, "error", err)
	}
	pause.For(ctx, retryPause(int(failures)))
}

// ageOf is how long ago a view was confirmed; an hour, if never.
func ageOf(confirmed, now time.Time) time.Duration {
	if confirmed.IsZero() {
		return time.Hour
	}
	return now.Sub(confirmed)
}
