package outcome

import (
	"context"
	"errors"
	"testing"
	"time"
)

// Guards against callers who are told that they gave up themselves, where their gateway had to stop.
func TestEndReason(t *testing.T) {
	causeOf := func(cause error) context.Context {
		ctx, cancel := context.WithCancelCause(t.Context())
		cancel(cause)
		return ctx
	}
	late := func(ctx context.Context) context.Context {
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(-time.Second))
		cancel()
		return ctx
	}
	for name, c := range map[string]struct {
		ctx  context.Context
		want Reason
	}{
		"the caller has gone":                 {causeOf(nil), ReasonCancelled},
		"another cause":                       {causeOf(errors.New("replaced")), ReasonCancelled},
		"the deadline has passed":             {late(t.Context()), ReasonDeadline},
		"the gateway leaves":                  {causeOf(ErrLeaving), ReasonLeaving},
		"the gateway leaves, with a deadline": {late(causeOf(ErrLeaving)), ReasonLeaving},
		"the gateway leaves, wrapped":         {causeOf(errors.Join(ErrLeaving, errors.New("at once"))), ReasonLeaving},
	} {
		if got := EndReason(c.ctx); got != c.want {
			t.Errorf("%s: got %q, want %q", name, got, c.want)
		}
	}
}
