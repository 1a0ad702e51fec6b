package spread_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/fleetsim/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/spread"
)

// maxLatePer1000 is a tenth of what users saw late at a third of the load where all gateways took the least
// loaded upstream.
const maxLatePer1000 = 16

// Guards against an upstream that refuses calls while others are idle: gateways that hear the same loads a
// quarter of a second late all take the upstream that was least loaded.
func TestManyGatewaysDoNotAllAskTheSameUpstream(t *testing.T) {
	for _, c := range []plain.Case{
		{Gateways: 89, Load: 0.3}, {Gateways: 89, Load: 0.3, SlowSpells: true}, {Gateways: 89, Load: 0.8}, {Gateways: 89, Load: 0.8, SlowSpells: true},
		{Gateways: 89, Load: 1}, {Gateways: 89, Load: 1.5}, {Gateways: 330, Load: 0.8},
	} {
		for _, queue := range []int{6, 24} {
			c.Upstreams, c.Slots, c.Queue, c.Seed, c.LeastLoaded = 6, 6, queue, 1, false
			drawn := plain.Run(c)
			c.LeastLoaded = true
			least := plain.Run(c)
			name := fmt.Sprintf("%d gateways, load %.1f, queue %d, slow spells %v", c.Gateways, c.Load, queue, c.SlowSpells)
			t.Logf("%s\n  least loaded: %v\n  drawn:        %v", name, least, drawn)
			// At a third of the load the most asked one of six is asked that often by chance alone.
			if c.Load >= 0.8 && drawn.MostAsked > 1.5 {
				t.Errorf("%s: most asked %.2f times the mean", name, drawn.MostAsked)
			}
			if 1000*drawn.Late > maxLatePer1000*drawn.Offered && c.Load < 0.8 {
				t.Errorf("%s: %d of %d late", name, drawn.Late, drawn.Offered)
			}
			if drawn.RefusedByUpstream > least.RefusedByUpstream || drawn.Served < least.Served {
				t.Errorf("%s: served less than at the least loaded", name)
			}
		}
	}
}

// Guards against a change where each gateway has a slot: the least loaded upstream is chosen as before.
func TestFewGatewaysChooseTheLeastLoaded(t *testing.T) {
	for _, c := range []plain.Case{{Gateways: 8}, {Gateways: 36}} {
		for _, load := range []float64{0.3, 1.5} {
			c.Upstreams, c.Slots, c.Queue, c.Load, c.Seed, c.LeastLoaded = 6, 6, 6, load, 2, false
			got := plain.Run(c)
			c.LeastLoaded = true
			if want := plain.Run(c); got != want {
				t.Errorf("%d gateways, load %.1f:\n%v, want\n%v", c.Gateways, load, got, want)
			}
		}
	}
}

// Guards against an upstream that is drawn more often than its room allows, and against one without room
// that is drawn before others.
func TestDrawsFollowTheRoom(t *testing.T) {
	rooms := map[ident.Instance]float64{"a": 1, "b": 3, "c": 0}
	const calls = 10_000
	first := make(map[ident.Instance]int)
	for i := range calls {
		draw := spread.Of(ident.Request(fmt.Sprint("call-", i)), 7)
		best, lowest := ident.Instance(""), 1e9
		for name, room := range rooms {
			if score := draw.Score(name, room); score < lowest {
				best, lowest = name, score
			}
		}
		first[best]++
	}
	if share := float64(first["b"]) / calls; share < 0.73 || share > 0.77 || first["c"] > 0 {
		t.Errorf("drawn %v, want a quarter a, three quarters b, and never c", first)
	}
}

// Guards against old reports that are taken for the present where requests are short, and against forgetting
// them where requests are long.
func TestReportsAgeByTheTimeThatRequestsTake(t *testing.T) {
	var short, long spread.Work
	for range 100 {
		short.Learn(120*time.Millisecond, 11, 6) // half of it waiting
		long.Learn(30*time.Second, 0, 6)
	}
	if kept := short.Kept(); kept > 0.02 {
		t.Errorf("of requests of 60 ms %.2f are kept", kept)
	}
	if kept := long.Kept(); kept < 0.95 {
		t.Errorf("of requests of 30 s %.2f are kept", kept)
	}
	fleet := spread.Fleet{Running: 30, Slots: 36, Kept: 0.5}
	if got := fleet.Now(15, 6); got != 10 {
		t.Errorf("%d requests, want half-way from the 15 reported to the mean of 5", got)
	}
	if spread.Needed(36, 36, false) || !spread.Needed(37, 36, false) || spread.Needed(89, 0, false) || spread.Needed(89, 0, true) {
		t.Error("needed only where gateways outnumber known slots")
	}
}

// Guards against a decision that flips with each gateway that comes or goes, so that a part of the gateways lease
// slots and the others don't.
func TestSpreadingStopsWellBelowWhereItBegins(t *testing.T) {
	needed, changes := false, 0
	for _, gateways := range []int{36, 37, 36, 37, 35, 37, 30, 36, 28, 36, 35} {
		if now := spread.Needed(gateways, 36, needed); now != needed {
			needed = now
			changes++
		}
	}
	if needed || changes != 2 {
		t.Errorf("needed %v after %d changes, want one beginning above 36 gateways and one end at 28", needed, changes)
	}
}
