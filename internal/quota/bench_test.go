package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTick gives the slope of docs/CAPACITY.md: one account's shares taken in
// from so many other gateways, and one request admitted.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{8, 90, 330} {
		f := newFleet(n, 160_000)
		f.exchange()
		m := f.gateways[0]
		b.Run(fmt.Sprintf("tick/%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(time.Millisecond)
				m.keeper.Admit(&f.limit, 1, f.now)
			}
		})
	}
}
