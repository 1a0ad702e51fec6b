package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// BenchmarkChoose measures the choice for one request by the number of engines. It
// gives the slope in docs/CAPACITY.md.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{9, 64, 690} {
		f := newFixture()
		var list []directory.Upstream
		for i := range n {
			list = append(list, directory.Upstream{
				ID: ident.Instance(fmt.Sprintf("i-%08x", i)), Name: ident.Instance(fmt.Sprintf("i-%08x", i)), Service: "svc", FailureDomain: ident.FailureDomain(rune('a' + i%5)), Slots: 64, State: directory.Ready,
			})
		}
		f.view = directory.NewView(list)
		call := f.call(engine, 7)
		choose := func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				choice, _ := f.Choose(call, nil, f.now)
				f.Finished(choice, forward.Done, f.now)
			}
		}
		b.Run(fmt.Sprint(n), choose)
		f.cfg.Slowness = slownessOf(list)
		b.Run(fmt.Sprintf("%d, all of their own speeds", n), choose)
		f.cfg.Slowness = func(ident.Instance) float64 { return 1 }
		for i := range min(n, 50) / 2 {
			f.limits.RecordStatement(list[2*i].ID, "", upstreamlimit.LimitedTo(1))
		}
		b.Run(fmt.Sprintf("%d, some with limits", n), choose)
		for i := range min(n, 50) / 2 {
			f.limits.RecordStatement(list[2*i].ID, "", upstreamlimit.Statement{})
			f.pause(time.Hour, list[2*i].ID)
		}
		b.Run(fmt.Sprintf("%d, some with pauses", n), choose)
	}
}

// slownessOf returns factors for all upstreams, as package speed holds them.
func slownessOf(list []directory.Upstream) func(ident.Instance) float64 {
	factors := make(map[ident.Instance]float64)
	for i, u := range list {
		factors[u.ID] = 0.6 + float64(i%11)/10
	}
	return func(id ident.Instance) float64 { return factors[id] }
}
