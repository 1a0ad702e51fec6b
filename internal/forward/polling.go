package forward

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

const (
	// waitDivisor divides the route's objective: a request waits for at most an eighth of
	// it until an upstream accepts work. After that it is refused, so that the caller can
	// retry within its deadline. Waiting up to an eighth costs the users nothing.
	waitDivisor = 8
	// waitInterval is how often a waiting request checks again.
	waitInterval = 10 * time.Millisecond
)

// Polling implements Places: a call that waits asks a Placement again and again.
type Polling struct {
	Now       boottime.Clock
	Placement Placement
}

// Take implements Places. A call waits for up to an eighth of the route's objective after it was received.
func (p Polling) Take(ctx context.Context, call *Call, exclude []ident.Instance) (Choice, bool) {
	waitUntil := call.Received.Add(call.Route.Objective / waitDivisor)
	for {
		now := p.Now()
		choice, found := p.Placement.Choose(call, exclude, now)
		if found || choice.BlockedPast(waitUntil) || !now.Before(waitUntil) || ctx.Err() != nil {
			return choice, found && ctx.Err() == nil
		}
		sleep.For(ctx, waitInterval) // the loop checks whether the call has ended
	}
}
