package slotlease

import (
	"context"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
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

// meanHold returns the mean time for which the keeper of the first part saw its leases held, in seconds.
func (f *fakeFleet) meanHold() float64 {
	s := f.servers["k"]
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts[partID{"svc", 0}].keeper.meanHold
}

// Guards against calls that wait in vain, or are told to return too soon: leases that no request used make slots
// seem to become free sooner than they do.
func TestOnlyRequestsThatRanTellHowLongSlotsAreHeld(t *testing.T) {
	for name, lose := range map[string]func(g *fakeGateway){
		"the caller leaves during the answer": func(g *fakeGateway) {
			ctx, leave := context.WithCancel(context.Background())
			network := g.client.cfg.Network
			g.client.cfg.Network = leavesOnAnswer{g.fakeFleet, leave}
			g.take(ctx)
			g.client.cfg.Network = network
		},
		"the upstream may not be used": func(g *fakeGateway) {
			g.unusable = true
			g.take(context.Background())
			g.unusable = false
		},
		"the caller leaves": func(g *fakeGateway) {
			choice, _ := g.take(context.Background())
			g.client.Finished(choice, forward.CallerGone, time.Now())
		},
	} {
		testkit.Bubble(t, func() {
			f := newFakeFleet("k")
			g := f.gateway("g", "k")
			choice, _ := g.take(context.Background())
			time.Sleep(60 * time.Millisecond)
			g.client.Finished(choice, forward.Done, time.Now())
			time.Sleep(10 * time.Millisecond)
			before := f.meanHold()
			lose(g)
			time.Sleep(10 * time.Millisecond)
			if n := f.leases("k"); before < 0.06 || f.meanHold() != before || n != 0 {
				t.Errorf("%s: mean hold %v s after %v s, %d leases, want it to stay and none", name, f.meanHold(), before, n)
			}
			time.Sleep(3 * time.Second)
		})
	}
}

// Guards against a call that is sent to an upstream after its key was removed while it waited for a slot.
func TestCallWhoseKeyWasRemovedGetsNoSlot(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		g := f.gateway("g", "k")
		var held []forward.Choice
		for range room(6) {
			choice, _ := g.take(context.Background())
			held = append(held, choice)
		}
		time.AfterFunc(5*time.Millisecond, func() {
			g.removed = forward.BlockedByKey
			g.client.Finished(held[0], forward.Done, time.Now())
		})
		choice, found := g.take(context.Background())
		if found || g.alone > 0 || choice.Blocked != forward.BlockedByKey {
			t.Errorf("found %v, alone %d, blocked %v, want none because of the key", found, g.alone, choice.Blocked)
		}
		time.Sleep(5 * time.Millisecond)
		if n := f.leases("k"); n != room(6)-1 {
			t.Errorf("%d leases, want %d", n, room(6)-1)
		}
		time.Sleep(3 * time.Second)
	})
}

// Guards against a gateway that is taken for silent, and not asked for what it keeps, because it keeps no slots of
// one part.
func TestGatewayThatKeepsNoSlotsOfAPartIsNotSilent(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		g := f.gateway("g", "k")
		f.set(up, true)
		if _, found := g.take(context.Background()); !found || g.alone != 1 {
			t.Errorf("found %v, alone %d, want the gateway to decide alone", found, g.alone)
		}
		f.set(up, false)
		if _, found := g.take(context.Background()); !found || g.alone != 1 {
			t.Errorf("found %v, alone %d, want a lease at once", found, g.alone)
		}
		time.Sleep(3 * time.Second)
	})
}
