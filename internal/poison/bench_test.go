package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// BenchmarkAsk is what a request costs at its gateway: while nothing is known, and while as
// much is remembered as can be.
func BenchmarkAsk(b *testing.B) {
	b.Run("quiet", func(b *testing.B) {
		d := newTestTracker()
		for b.Loop() {
			if !d.Quiet() {
				b.Fatal("something is known")
			}
		}
	})
	d := newTestTracker()
	for i := range maxCrashes {
		for k := range 64 {
			d.crashWith(fmt.Sprint("u", i), content(i*64+k+1))
		}
	}
	d.advance(settleTime)
	b.Run("unlike any", func(b *testing.B) {
		for b.Loop() {
			if d.Quiet() || d.Knows(content(1<<30).Outline()) {
				b.Fatal("known")
			}
		}
	})
	for _, c := range []struct {
		name    string
		content ident.Content
	}{{"another request", content(1 << 30)}, {"a suspect", content(5)}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if d.Admit(c.content, 0).Step != Send {
					b.Fatal("not sent")
				}
				d.Started("u", c.content)()
			}
		})
	}
	b.Run("refresh", func(b *testing.B) {
		for b.Loop() {
			d.dirty = true
			d.advance(time.Microsecond)
		}
	})
}
