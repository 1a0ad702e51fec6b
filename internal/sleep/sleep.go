// Package sleep waits for a time or until a context ends.
package sleep

import (
	"context"
	"time"
)

// For waits for d and returns true, or returns false as soon as ctx ends. With a d that
// is not positive it does not wait.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
