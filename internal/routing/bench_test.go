package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/cacheview"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
)

// sizes are numbers of upstreams of one service, from today's to the target.
var sizes = []int{9, 36, 150, 690}

// benchBlocks returns the blocks of a prefix of 3,072 tokens, the length of a
// long dossier's prefix.
func benchBlocks(prefix uint64) []uint64 {
	blocks := make([]uint64, 48)
	for i := range blocks {
		blocks[i] = (prefix<<16 + uint64(i) + 1) * 0x9e3779b97f4a7c15
	}
	return blocks
}

// BenchmarkDecide measures one decision where one upstream in nine has the
// prompt's prefix in its cache view.
func BenchmarkDecide(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			view := fleet(n)
			req := Request{PromptTokens: 4000, MaxTokens: 100, Blocks: benchBlocks(1), Class: document.Class{FirstToken: time.Second}}
			for i := range view {
				cache := cacheview.New(cacheview.DefaultParams(), time.Unix(90, 0))
				cache.Placed(benchBlocks(uint64(2+i)), present)
				if i%9 == 0 {
					cache.Placed(req.Blocks, present)
				}
				view[i].Cache = cache
			}
			r := New(DefaultParams(), time.Unix(90, 0))
			r.Decide(nil, view, req, present)
			b.ReportAllocs()
			for b.Loop() {
				r.Decide(nil, view, req, present)
			}
		})
	}
}

// BenchmarkAttempt measures the bookkeeping of an attempt without its decision.
func BenchmarkAttempt(b *testing.B) {
	view := fleet(9)
	r := New(DefaultParams(), time.Unix(90, 0))
	req := Request{PromptTokens: 4000, MaxTokens: 100, Blocks: benchBlocks(1)}
	d := r.Decide(nil, view, req, present)
	b.ReportAllocs()
	for b.Loop() {
		ticket := r.Started(d, req, present)
		r.FirstToken(&ticket, present.Add(time.Millisecond))
		r.Finished(&ticket, ResultDone, present.Add(time.Second))
	}
}

// BenchmarkPrepare measures what the first decision on a new view adds. It is
// needed once for each report of any upstream.
func BenchmarkPrepare(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("upstreams=%d", n), func(b *testing.B) {
			views := [][]blackboard.Upstream{fleet(n), fleet(n)}
			r := New(DefaultParams(), time.Unix(90, 0))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r.prepare(nil, views[i%2])
			}
		})
	}
}
