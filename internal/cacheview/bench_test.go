package cacheview

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// BenchmarkNew reports the memory of one upstream's view as bytes per operation.
func BenchmarkNew(b *testing.B) {
	for _, blocks := range []int{1024, 2048, 4096, 8192} {
		b.Run(fmt.Sprintf("blocks=%d", blocks), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				New(Params{Blocks: blocks, Lifetime: time.Minute}, start)
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	v := New(DefaultParams(), start)
	blocks := hashes(8192)
	sequence := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		sequence++
		v.Apply([]upstream.CacheEvent{{Sequence: sequence, Stored: true, Block: blocks[sequence%8192]}}, start)
	}
}

func BenchmarkCached(b *testing.B) {
	v := New(DefaultParams(), start)
	for _, n := range []int{1, 16, 48} {
		blocks := hashes(n)
		v.Placed(blocks, start)
		b.Run(fmt.Sprintf("blocks=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				v.Cached(blocks, start)
			}
		})
	}
}
