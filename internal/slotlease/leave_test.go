package slotlease

import (
	"context"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// leavesOnAnswer is a Network whose caller leaves as the answer to its ask arrives.
type leavesOnAnswer struct {
	*fakeFleet
	leave func()
}

// SendSlots implements Network.
func (n leavesOnAnswer) SendSlots(ctx context.Context, keeper gossip.Contact, data []byte) ([]byte, error) {
	answer, err := n.fakeFleet.SendSlots(context.WithoutCancel(ctx), keeper, data)
	n.leave()
	return answer, err
}

// Guards against a slot that stays taken for a call's whole time because its caller left as the lease arrived.
func TestCallerThatLeavesAsTheAnswerArrivesHoldsNoSlot(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		g := f.gateway("g", "k")
		ctx, leave := context.WithCancel(context.Background())
		g.client.cfg.Network = leavesOnAnswer{f, leave}
		if _, found := g.take(ctx); found || g.alone > 0 {
			t.Error("a caller that has gone got a place")
		}
		time.Sleep(10 * time.Millisecond)
		if n := f.leases("k"); n != 0 {
			t.Errorf("%d leases, want none", n)
		}
		time.Sleep(3 * time.Second)
	})
}
