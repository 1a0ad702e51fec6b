package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// BenchmarkQuota measures the cost of applying the reports of n other gateways on one account and
// of admitting one request. docs/CAPACITY.md is computed from it.
func BenchmarkQuota(b *testing.B) {
	for _, n := range []int{8, 90, 330} {
		f := newFleet(n, 160_000)
		f.exchange()
		g := f.gateways[0]
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				g.limiter.ApplyReports([]routetable.Account{f.limit}, f.now)
			}
		})
		b.Run(fmt.Sprintf("admit/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				g.limiter.Admit(&f.limit, 1, f.now)
			}
		})
	}
}
