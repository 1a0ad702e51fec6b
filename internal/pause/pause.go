// Package pause waits for a time unless there is a reason to stop.
package pause

import (
	"context"
	"time"
)

// For waits and reports true, or false as soon as ctx has ended. A time that is
// not positive waits for nothing.
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
