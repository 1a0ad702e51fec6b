package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// BenchmarkRequestChecks measures the cost of the checks of one request while the Tracker is empty, and
// while it holds as many crashes as it can; and the cost of Refresh.
func BenchmarkRequestChecks(b *testing.B) {
	b.Run("quiet", func(b *testing.B) {
		tr := newTestTracker()
		for b.Loop() {
			if !tr.KnowsNone() {
				b.Fatal("a new tracker is not empty")
			}
		}
	})
	tr := newTestTracker()
	for i := range maxCrashes {
		for k := range 64 {
			tr.crashWith(fmt.Sprint("u", i), content(i*64+k+1))
		}
	}
	tr.advance(settleTime)
	b.Run("unlike any", func(b *testing.B) {
		for b.Loop() {
			if tr.KnowsNone() || tr.Knows(contentHash(1<<30).Outline()) {
				b.Fatal("a content with no crash is known")
			}
		}
	})
	for _, c := range []struct {
		name    string
		feature ident.Feature
	}{{"another request", content(1 << 30)}, {"a suspect", content(5)}} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if tr.Admit([]ident.Feature{c.feature}, 0).Step != Send {
					b.Fatal("request not admitted")
				}
				tr.Started("u", []ident.Feature{c.feature})()
			}
		})
	}
	for _, n := range []int{3, 64} {
		var parts []ident.Feature
		for i := range n {
			parts = append(parts, part(uint64(1<<20+i)))
		}
		b.Run(fmt.Sprint("unknown parts, ", n), func(b *testing.B) {
			for b.Loop() {
				if len(tr.AppendKnownParts(nil, parts)) > 0 {
					b.Fatal("a part with no crash is known")
				}
			}
		})
		b.Run(fmt.Sprint("served parts, ", n), func(b *testing.B) {
			for b.Loop() {
				tr.Served(parts)
			}
		})
	}
	b.Run("refresh", func(b *testing.B) {
		for b.Loop() {
			tr.dirty = true
			tr.advance(time.Microsecond)
		}
	})
}
