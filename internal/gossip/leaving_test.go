package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// newAnnounced returns what a gateway of a fleet knows of upstreams' announcements: nothing.
func newAnnounced() *announced.Registry {
	limits := upstreamlimit.NewLimiter(upstreamlimit.Config{
		Now: time.Now, Log: hclog.NewNullLogger(), Key: func(id ident.Instance) uint32 { return uint32(UpstreamKeyOf(id)) }, Round: Interval,
	})
	return announced.NewRegistry(announced.Config{
		Now: time.Now, Log: hclog.NewNullLogger(), Limits: limits, Round: Interval, MaxPause: time.Minute,
		Listed: func(ident.Instance) bool { return true }, OnLeaving: func([]ident.Instance) {},
	})
}

// maxHearsay bounds the time until all gateways that meet know that an upstream leaves, after one of
// them has been told.
const maxHearsay = time.Second

// Guards against gateways that send to a leaving upstream for seconds because they hear of it late,
// and against a statement that is lost with the gateway that heard it.
func TestAllHearThatAnUpstreamLeaves(t *testing.T) {
	for _, size := range []struct{ gateways, domains int }{{8, 4}, {82, 4}, {195, 6}, {330, 12}} {
		counts := []int{1, 40}
		if size.gateways > 100 && !*playLarge {
			counts = []int{40}
		}
		for _, leaving := range counts {
			t.Run(fmt.Sprintf("%d gateways, %d upstreams", size.gateways, leaving), func(t *testing.T) {
				runVirtualTime(t, func(t *testing.T) {
					f := newFleet(t, size.gateways, size.domains)
					time.Sleep(settleTime)
					// The last gateway is no collector.
					told := f.order[len(f.order)-1]
					for i := range leaving {
						told.announced.Record(ident.Instance(fmt.Sprint("u", i)), "r", announced.Statement{Leaving: true})
					}
					time.Sleep(Interval + 2*wireDelay)
					told.kill()
					time.Sleep(maxHearsay - Interval - 2*wireDelay)
					unaware := 0
					for _, n := range f.running() {
						for i := range leaving {
							if !n.announced.Leaving(ident.Instance(fmt.Sprint("u", i))) {
								unaware++
							}
						}
					}
					if unaware > 0 {
						t.Errorf("%d of %d words have not arrived after %v", unaware, leaving*(size.gateways-1), maxHearsay)
					}
				})
			})
		}
	}
}
