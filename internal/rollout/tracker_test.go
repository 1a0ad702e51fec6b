package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// testGateway is one gateway's Tracker with its own clock.
type testGateway struct {
	t             *testing.T
	now           time.Time
	ordersKnownAt time.Time
	tracker       *Tracker
}

func newTestGateway(t *testing.T) *testGateway {
	b := &testGateway{t: t, now: time.Unix(1000, 0)}
	b.ordersKnownAt = b.now
	b.tracker = New(Config{
		Limits: limits, Now: func() time.Time { return b.now }, Log: hclog.NewNullLogger(), Life: "gw", Gateways: func() int { return 1 },
		OrdersKnown: func() time.Time { return b.ordersKnownAt },
	})
	return b
}

func (b *testGateway) advance(d time.Duration) { b.now = b.now.Add(d) }

// observe sets a view with two ready upstreams of each version.
func (b *testGateway) observe(versions ...ident.Version) {
	var list []directory.Upstream
	for _, v := range versions {
		for i := range 2 {
			id := ident.Instance(fmt.Sprint(v, "-", i))
			list = append(list, directory.Upstream{ID: id, Name: id, Service: service, Version: v, State: directory.Ready, Slots: 8})
		}
	}
	b.tracker.Observe(directory.NewView(list))
}

func (b *testGateway) order(offset ident.Offset, to ident.Version) {
	b.tracker.Order(Order{Service: service, To: to, Length: 20 * time.Second, Offset: offset}, 0, "test")
}

// countSentTo sends 200 requests and returns how many go to a version, or notSplit if all
// upstreams may take any request.
func (b *testGateway) countSentTo(version ident.Version) int {
	n := 0
	for i := range 200 {
		split := b.tracker.Of(service)
		if split == nil {
			return -1
		}
		lists := split.Lists(ident.Request(fmt.Sprint(i)), "r", false, b.now)
		if len(lists.First) == 0 {
			continue
		}
		split.Sent(&lists.First[0], "r")
		if lists.First[0].Version == version {
			n++
		}
	}
	return n
}

func (b *testGateway) wantSentTo(version ident.Version, least, most int) {
	b.t.Helper()
	if got := b.countSentTo(version); got < least || got > most {
		b.t.Errorf("%d of 200 requests go to %s, want %d to %d", got, version, least, most)
	}
}

const notSplit = -1

func TestOrders(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(b *testGateway)
	}{
		{"one version, no order", func(b *testGateway) {
			b.observe("v1")
			b.wantSentTo("v1", notSplit, notSplit)
		}},
		// Guards against a bad version that gets half of all requests for a second, because
		// its ready upstreams are listed before this gateway hears of the order.
		{"upstreams come before the order", func(b *testGateway) {
			b.observe("v1")
			b.advance(time.Second)
			b.observe("v1", "v2")
			b.wantSentTo("v2", 0, 0)
			b.order(5, "v2")
			b.wantSentTo("v2", 0, 0)
		}},
		{"a mixed service without an order", func(b *testGateway) {
			b.observe("v1")
			b.advance(time.Second)
			b.observe("v1", "v2")
			b.advance(time.Second)
			b.ordersKnownAt = b.now
			b.tracker.Refresh(nil)
			b.wantSentTo("v2", notSplit, notSplit)
		}},
		{"a gateway that starts beside two versions, and knows all orders", func(b *testGateway) {
			b.observe("v1", "v2")
			b.wantSentTo("v2", notSplit, notSplit)
		}},
		{"the canary's share", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, Canary, "test")
			b.wantSentTo("v2", 1, int(limits.Share*200+slackFraction*limits.Slack))
		}},
		// Guards against a version that gets requests 5 s after its failures showed, from a
		// gateway that is disconnected from the others, but not from the upstreams.
		{"no word of the holder any more", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, Canary, "test")
			b.advance(limits.StopDue / 2)
			b.wantSentTo("v2", 0, 0)
		}},
		{"another gateway found it bad", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, Shifting, "test")
			b.tracker.Learn(Words{{Order: Order{Service: service, To: "v2", Length: time.Second, Offset: 5}, Phase: Shifting, Stopped: true}})
			b.advance(rampTime)
			b.wantSentTo("v2", 0, 0)
		}},
		{"all requests are moved", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, Shifting, "test")
			b.advance(rampTime)
			b.wantSentTo("v2", 200, 200)
		}},
		// Guards against requests that are interrupted when the old version is stopped: a
		// gateway reports to be settled, then finds the new version bad and returns to the
		// old one, and the holder, which has counted it as settled, completes the order.
		{"found bad after the others were told that nothing is at the old one", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, Draining, "test")
			b.tracker.Words(func(ident.Service, func(*directory.Upstream) bool) bool { return true })
			b.tracker.Learn(Words{{Order: Order{Service: service, To: "v2", Length: time.Second, Offset: 5}, Phase: Draining, Stopped: true}})
			b.wantSentTo("v2", 200, 200)
			b.advance(returnDelay)
			b.wantSentTo("v2", 0, 0)
		}},
		// Guards against requests to stopped upstreams: a holder whose lease expires finds the
		// version bad, but its successor has recorded the order as completed, and the holder's
		// rollback arrives last.
		{"rolled back by an earlier holder after it was completed", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			word := Word{Order: Order{Service: service, To: "v2", Length: time.Second, Offset: 5}, Phase: RolledBack, Stopped: true}
			b.tracker.Learn(Words{word})
			word.Phase = Completed
			b.tracker.Learn(Words{word})
			word.Phase = RolledBack
			b.tracker.Learn(Words{word})
			b.wantSentTo("v2", 200, 200)
		}},
		{"rolled back", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, RolledBack, "test")
			b.wantSentTo("v2", 0, 0)
		}},
		// Guards against upstreams of a later version that never get requests: long after an
		// order is completed, upstreams are replaced by ones of a third version without an
		// order, and the completed order still splits them.
		{"a third version long after an order was completed", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, Completed, "test")
			b.observe("v2")
			b.advance(time.Minute)
			b.observe("v2", "v3")
			b.advance(time.Second)
			b.ordersKnownAt = b.now
			b.tracker.Refresh(nil)
			b.wantSentTo("v3", notSplit, notSplit)
		}},
		{"the same order once more, while it runs", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, Shifting, "test")
			b.advance(rampTime)
			b.order(7, "v2")
			b.wantSentTo("v2", 200, 200)
		}},
		{"the same version again after a rollback", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, RolledBack, "test")
			b.order(7, "v2")
			b.tracker.Advance(service, 7, Canary, "test")
			b.wantSentTo("v2", 1, int(limits.Share*200+slackFraction*limits.Slack))
		}},
		{"replaced midway by another version", func(b *testGateway) {
			b.observe("v1", "v2", "v3")
			b.order(5, "v2")
			b.tracker.Advance(service, 5, Shifting, "test")
			b.advance(rampTime)
			b.order(7, "v3")
			b.wantSentTo("v1", 200, 200)
		}},
		{"an earlier order comes late", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.order(4, "v1")
			b.wantSentTo("v1", 200, 200)
		}},
		{"a version that nobody has", func(b *testGateway) {
			b.observe("v1")
			b.order(5, "v9")
			b.wantSentTo("v1", notSplit, notSplit)
		}},
		{"an order that cannot be read", func(b *testGateway) {
			b.observe("v1")
			b.advance(time.Second)
			b.tracker.Unreadable(service)
			b.advance(time.Second)
			b.observe("v1", "v2")
			b.ordersKnownAt = b.now
			b.tracker.Refresh(nil)
			b.wantSentTo("v2", 0, 0)
		}},
		{"the old version is gone", func(b *testGateway) {
			b.observe("v1", "v2")
			b.order(5, "v2")
			b.observe("v2")
			b.wantSentTo("v2", notSplit, notSplit)
		}},
	} {
		t.Run(c.name, func(t *testing.T) { c.play(newTestGateway(t)) })
	}
}

// Guards against a caller who suffers from a bad version twice: a request that failed there is
// sent again while the budget allows more, and may go to the new version again.
func TestWhatIsSentAgainGoesToTheOldVersion(t *testing.T) {
	b := newTestGateway(t)
	b.observe("v1", "v2")
	b.order(5, "v2")
	b.tracker.Advance(service, 5, Canary, "test")
	split := b.tracker.Of(service)
	if first := split.Lists("q", "r", false, b.now).First; first[0].Version != "v2" {
		t.Fatalf("the first attempt does not prefer the new version: %v", first)
	}
	lists := split.Lists("q", "r", true, b.now)
	for _, u := range append(lists.First, lists.Then...) {
		if u.Version != "v1" {
			t.Errorf("second attempt may go to %s", u.ID)
		}
	}
}
