// Package rounds repeats the work of a controller.
package rounds

import (
	"context"
	"time"
)

// Run calls round at once and then every interval until ctx ends, and returns
// the error of ctx. It never cancels a round and never runs two at the same time: a
// round that takes longer than interval delays the next one.
func Run(ctx context.Context, interval time.Duration, round func()) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		round()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
