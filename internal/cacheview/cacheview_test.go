package cacheview

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func init() { testkit.FixSeed() }

var start = time.Unix(1000, 0)

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
		v := New(Params{Blocks: 64, Lifetime: time.Hour, Distrusted: 0.5}, start)
		blocks := hashes(8)
		model := make(map[uint64]bool)
		count := rapid.IntRange(1, 40).Draw(t, "events")
		for i := range count {
			b := rapid.SampledFrom(blocks).Draw(t, "block")
			stored := rapid.Bool().Draw(t, "stored")
			event := upstream.CacheEvent{Sequence: uint64(i + 1), Stored: stored, Block: b}
			v.Apply([]upstream.CacheEvent{event, event}, start)
			model[b] = stored
		}
		want := 0
		for want < len(blocks) && model[blocks[want]] {
			want++
		}
		if got := v.Cached(blocks, start); got != float64(want) {
			t.Fatalf("believes in %v leading blocks, want %d", got, want)
		}
	})
}

// Symptom: requests go where their prefix was evicted long ago.
// Sequence: the upstream evicts; the eviction's event is lost; the numbers of
// the later events show a hole. Cause: belief outlives what it rests on.
func TestGapAndAgeLowerTheBelief(t *testing.T) {
	blocks := hashes(4)
	v := New(Params{Blocks: 64, Lifetime: 100 * time.Second, Distrusted: 0.5}, start)
	v.Placed(blocks, start)
	fresh := v.Cached(blocks, start)
	later := start.Add(50 * time.Second)
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

// Symptom: a gateway that runs for long sends prompts where their prefix was
// evicted weeks ago, and forgets what was placed just now.
// Sequence: a view lasts longer than its stamps count; a block was confirmed
// before their end, others are after it.
// Cause: stamps that start again were compared as if they had not, and the last
// one before the start ran over into the fingerprint.
func TestViewOutlivesItsStamps(t *testing.T) {
	turn := start.Add(time.Duration(1<<stampBits) << stampShift)
	old := hashes(1)
	for _, moment := range []time.Time{turn.Add(-time.Millisecond), turn, turn.Add(time.Hour)} {
		// One set, so that a new block needs the place of the oldest.
		v := New(Params{Blocks: 1, Lifetime: 10 * time.Minute, Distrusted: 0.5}, start)
		v.Placed(old, turn.Add(-24*time.Hour))
		if got := v.Cached(old, moment); got != 0 {
			t.Errorf("%v after the turn: belief in a block of the day before is %v, want 0", moment.Sub(turn), got)
		}
		for i, b := range hashes(1 + 2*ways)[1:] {
			at := moment.Add(time.Duration(i) * time.Second)
			v.Placed([]uint64{b}, at)
			if got := v.Cached([]uint64{b}, at); got != 1 {
				t.Errorf("%v after the turn: belief in the block placed now is %v, want 1", at.Sub(turn), got)
			}
			// A reader may have taken its time before the block was placed.
			if got := v.Cached([]uint64{b}, at.Add(-time.Second)); got != 1 {
				t.Errorf("%v after the turn: a reader of a second before believes %v, want 1", at.Sub(turn), got)
			}
		}
		if _, ok := v.find(old[0]); ok {
			t.Errorf("%v after the turn: the oldest block kept its place", moment.Sub(turn))
		}
	}
}
