package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/pause"
)

const (
	// retryLeast and retryMost bound the pause after a failed call; the pause is
	// drawn between half of it and the whole, so that gateways that lost the
	// store together do not come back together.
	retryLeast = 150 * time.Millisecond
	retryMost  = 1200 * time.Millisecond
)

// retryPause returns the pause after a number of failures in a row.
func retryPause(failures int) time.Duration {
	pause := min(retryLeast<<min(failures, 5), retryMost)
	return pause/2 + rand.N(pause/2+1)
}

// storeHealth tells when the store stops to answer and when it is back, once each.
type storeHealth struct {
	log   hclog.Logger
	topic string
	// failures in a row.
	failures int
}

// answered notes a call that the store answered.
func (h *storeHealth) answered() {
	if h.failures > 0 {
		h.log.Info("store answers again", "topic", h.topic, "failures", h.failures)
	}
	h.failures = 0
}

// failed notes a call that failed, and waits until the next one is due or ctx has
// ended.
func (h *storeHealth) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if h.failures == 0 {
		h.log.Warn("store does not answer", "topic", h.topic, "error", err)
	}
	h.failures++
	pause.For(ctx, retryPause(h.failures))
}
