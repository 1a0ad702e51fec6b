package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// noPlaces is a Places that finds none, and waits for the end of the call if ends is set.
type noPlaces struct {
	choice Choice
	ends   bool
}

func (p noPlaces) Take(ctx context.Context, _ *Call, _ []ident.Instance) (Choice, bool) {
	if p.ends {
		<-ctx.Done()
	}
	return p.choice, false
}

// refusedCaller is a caller that keeps the refusal that it is given.
type refusedCaller struct {
	plainCaller
	reason string
	after  time.Duration
}

func (c *refusedCaller) Refuse(reason string, after time.Duration) {
	c.plainCaller.Refuse(reason, after)
	c.reason, c.after = reason, after
}

// Guards against callers that are told to return although nothing will have changed, or to stay away although
// there may be room soon.
func TestARefusalSaysWhyThereWasNoPlace(t *testing.T) {
	for _, c := range []struct {
		block  Block
		reason string
		after  time.Duration
	}{
		{0, "no upstream takes work", time.Second},
		{BlockedByQueue, "too many requests wait for the upstreams", time.Second},
		{BlockedByLeaving, "all upstreams leave", time.Second},
		{BlockedByRoute, "the route was removed", 0},
		{BlockedByKey, "the key was removed", 0},
	} {
		g := newGatewayUnderTest(boottime.Now)
		g.cfg.Places = noPlaces{choice: Choice{Blocked: c.block, PassedOver: []string{"full"}}}
		caller := &refusedCaller{}
		outcome := g.serveTo(t, "r", onceRoute, caller)
		if outcome.Step != Refuse || caller.reason != c.reason || caller.after != c.after || len(outcome.PassedOver) != 1 {
			t.Errorf("refused with %q and %v, outcome %+v, want %q and %v", caller.reason, caller.after, outcome, c.reason, c.after)
		}
	}
}

// Guards against calls of a leaving gateway that end without an answer, or with one that leaves open whether
// they ran, because they wait for a place.
func TestACallThatWaitsIsRefusedWhenItsGatewayLeaves(t *testing.T) {
	g := newGatewayUnderTest(boottime.Now)
	g.cfg.Places = noPlaces{ends: true}
	ctx, end := context.WithCancelCause(t.Context())
	end(ErrTimeOver)
	now := boottime.Now()
	caller := &refusedCaller{}
	call := &Call{ID: "r", Route: onceRoute, Received: now, Expires: now.Add(time.Minute)}
	if outcome := g.Serve(ctx, call, caller); outcome.Step != Refuse || caller.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, outcome %+v, want a refusal", caller.status, outcome)
	}
}
