package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// BenchmarkQuota gives the slopes of docs/CAPACITY.md: one account's reports taken in
// from so many other gateways, and one request admitted.
func BenchmarkQuota(b *testing.B) {
	for _, n := range []int{8, 90, 330} {
		f := newFleet(n, 160_000)
		f.exchange()
		m := f.gateways[0]
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				m.keeper.Tick([]routetable.Account{f.limit}, f.now)
			}
		})
		b.Run(fmt.Sprintf("admit/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				m.keeper.Admit(&f.limit, 1, f.now)
			}
		})
	}
}
