package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// maxLimitBytes bounds how many bytes per round limits add to what the median gateway
// exchanges, with 50 upstreams that have a limit.
const maxLimitBytes = 200

// Guards against messages that grow by kilobytes with the rate limits of upstreams, and against
// uses that are lost, counted twice or assigned to another upstream.
func TestLimitsCostFewBytes(t *testing.T) {
	runVirtualTime(t, func(t *testing.T) {
		const (
			gateways = 195
			limits   = 50
			watched  = 2 * time.Second
		)
		f := newFleet(t, gateways, 6)
		time.Sleep(settleTime)
		bytesPerRound := func() int {
			before := f.bytes()
			time.Sleep(watched)
			after := f.bytes()
			for i := range after {
				after[i] -= before[i]
			}
			slices.Sort(after)
			return after[len(after)/2] / int(watched/Interval)
		}
		without := bytesPerRound()
		set := func(limits int, differ bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.limits, f.limitsDiffer = limits, differ
		}
		set(limits, false)
		time.Sleep(settleTime)
		extra := bytesPerRound() - without
		t.Logf("%d limits add %d bytes per gateway and round", limits, extra)
		if extra > maxLimitBytes {
			t.Errorf("%d limits add %d bytes per gateway and round, at most %d allowed", limits, extra, maxLimitBytes)
		}
		f.expectUses(limits)
		set(limits, true)
		time.Sleep(settleTime)
		f.expectUses(limits)
	})
}

// expectUses checks that the view of each gateway includes the limit uses of all others, once
// each.
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
			if got := uses[limitedKey(i)]; got.Demand != want || got.Sent != want/4 {
				f.t.Fatalf("the view of %s has uses %+v of limited upstream %d, want demand %v", n.contact.Node, got, i, want)
			}
		}
	}
}
