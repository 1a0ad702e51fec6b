package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// maxLimitBytes bounds what limits add to what a gateway in the middle exchanges in a round, at
// 50 upstreams that have one.
const maxLimitBytes = 200

// Guards against messages that grow by kilobytes with the limits that upstreams name, and
// against uses that are lost, counted twice, or taken for those of other upstreams.
func TestLimitsCostFewBytes(t *testing.T) {
	bubble(t, func(t *testing.T) {
		const (
			gateways = 195
			limits   = 50
			watched  = 2 * time.Second
		)
		f := newFleet(t, gateways, 6)
		time.Sleep(settleTime)
		rate := func() int {
			before := f.bytes()
			time.Sleep(watched)
			after := f.bytes()
			for i := range after {
				after[i] -= before[i]
			}
			slices.Sort(after)
			return after[len(after)/2] / int(watched/Interval)
		}
		none := rate()
		set := func(limits int, differ bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.limits, f.limitsDiffer = limits, differ
		}
		set(limits, false)
		time.Sleep(settleTime)
		more := rate() - none
		t.Logf("%d bytes more a gateway and round for %d limits", more, limits)
		if more > maxLimitBytes {
			t.Errorf("%d bytes more a gateway and round for %d limits, at most %d", more, limits, maxLimitBytes)
		}
		f.expectUses(limits)
		set(limits, true)
		time.Sleep(settleTime)
		f.expectUses(limits)
	})
}

// expectUses checks that each gateway hears the uses of all others, once each.
func (f *fleet) expectUses(limits int) {
	f.t.Helper()
	for _, n := range f.order {
		uses := upstreamlimit.Uses{}
		for _, g := range n.gossip.View(time.Now()).Groups {
			uses.Add(g.LimitUses)
		}
		for i := range limits {
			want := 0.0
			for _, other := range f.order {
				if used := (i - other.number%limits + limits) % limits; other != n && used < usedLimits {
					want++
				}
			}
			if got := uses[limitedKey(i)]; got.Asked != want || got.Sent != want/4 {
				f.t.Fatalf("%s hears %+v of limit %d, want %v", n.contact.Node, got, i, want)
			}
		}
	}
}
