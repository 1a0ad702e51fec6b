package cacheview

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func init() { testkit.FixSeed() }

var began = time.Unix(1000, 0)

// hashes returns n block hashes that look random.
func hashes(n int) []uint64 {
	const mix = 0x9e3779b97f4a7c15
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = uint64(i+1) * mix
	}
	return blocks
}

// Without gaps and within the table's size the view agrees with a plain set.
func TestViewFollowsEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New(Params{Blocks: 64, Lifetime: time.Hour, Distrusted: 0.5}, began)
		blocks := hashes(8)
		model := make(map[uint64]bool)
		count := rapid.IntRange(1, 40).Draw(t, "events")
		for i := range count {
			b := rapid.SampledFrom(blocks).Draw(t, "block")
			stored := rapid.Bool().Draw(t, "stored")
			event := upstream.CacheEvent{Sequence: uint64(i + 1), Stored: stored, Block: b}
			v.Apply([]upstream.CacheEvent{event, event}, began)
			model[b] = stored
		}
		want := 0
		for want < len(blocks) && model[blocks[want]] {
			want++
		}
		if got := v.Cached(blocks, began); got != float64(want) {
			t.Fatalf("believes in %v leading blocks, want %d", got, want)
		}
	})
}

// Symptom: requests go where their prefix was evicted long ago.
// Sequence: the upstream evicts; the eviction's event is lost; the numbers of
// the later events show a hole. Cause: belief outlives what it rests on.
func TestGapAndAgeLowerTheBelief(t *testing.T) {
	blocks := hashes(4)
	v := New(Params{Blocks: 64, Lifetime: 100 * time.Second, Distrusted: 0.5}, began)
	v.Placed(blocks, began)
	fresh := v.Cached(blocks, began)
	later := began.Add(50 * time.Second)
	aged := v.Cached(blocks, later)
	v.Apply([]upstream.CacheEvent{{Sequence: 7, Stored: true, Block: 99}}, later)
	gap := v.Cached(blocks, later)
	v.Placed(blocks, later)
	again := v.Cached(blocks, later)
	if fresh != 4 || aged < 1.9 || aged > 2.1 || gap != aged/2 || again != 4 {
		t.Errorf("belief fresh %v, aged %v, after a gap %v, confirmed %v; want 4, about 2, half of it, 4", fresh, aged, gap, again)
	}
	if old := v.Cached(blocks, later.Add(101*time.Second)); old != 0 {
		t.Errorf("belief past its lifetime is %v, want 0", old)
	}
}
