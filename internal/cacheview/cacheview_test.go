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

// Without gaps in the events and within the table's size, the view agrees with a
// plain set.
func TestViewFollowsEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := New(Params{Blocks: 64, Lifetime: time.Hour, DistrustFactor: 0.5}, start)
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
			t.Fatalf("%v leading blocks cached, want %d", got, want)
		}
	})
}

// Guards against requests being sent where their prefix was evicted long ago. The
// event of the eviction is lost, and only a gap in the numbers of later events
// shows that. So the confidence in entries must fall with their age and after gaps.
func TestGapAndAgeLowerTheConfidence(t *testing.T) {
	blocks := hashes(4)
	v := New(Params{Blocks: 64, Lifetime: 100 * time.Second, DistrustFactor: 0.5}, start)
	v.Placed(blocks, start)
	fresh := v.Cached(blocks, start)
	later := start.Add(50 * time.Second)
	aged := v.Cached(blocks, later)
	v.Apply([]upstream.CacheEvent{{Sequence: 7, Stored: true, Block: 99}}, later)
	gap := v.Cached(blocks, later)
	v.Placed(blocks, later)
	again := v.Cached(blocks, later)
	if fresh != 4 || aged < 1.9 || aged > 2.1 || gap != aged/2 || again != 4 {
		t.Errorf("cached blocks: fresh %v, aged %v, after a gap %v, confirmed again %v; want 4, about 2, half of that, 4", fresh, aged, gap, again)
	}
	if old := v.Cached(blocks, later.Add(101*time.Second)); old != 0 {
		t.Errorf("%v blocks cached past their lifetime, want 0", old)
	}
}

// Guards against a long-running gateway that sends prompts where their prefix was
// evicted weeks ago, and forgets what was placed just now. A view lives longer than
// its stamps count: one block is confirmed before the stamps wrap around, others
// after it. The causes were stamps that were compared without regard to the wrap, and
// the last stamp before it, which overflowed into the fingerprint.
func TestViewOutlivesItsStamps(t *testing.T) {
	wrap := start.Add(time.Duration(1<<stampBits) << stampShift)
	old := hashes(1)
	for _, moment := range []time.Time{wrap.Add(-time.Millisecond), wrap, wrap.Add(time.Hour)} {
		// There is only one set, so that new blocks replace the oldest.
		v := New(Params{Blocks: 1, Lifetime: 10 * time.Minute, DistrustFactor: 0.5}, start)
		v.Placed(old, wrap.Add(-24*time.Hour))
		if got := v.Cached(old, moment); got != 0 {
			t.Errorf("%v after the wrap-around: %v blocks of the day before cached, want 0", moment.Sub(wrap), got)
		}
		for i, b := range hashes(1 + 2*ways)[1:] {
			at := moment.Add(time.Duration(i) * time.Second)
			v.Placed([]uint64{b}, at)
			if got := v.Cached([]uint64{b}, at); got != 1 {
				t.Errorf("%v after the wrap-around: %v blocks placed now cached, want 1", at.Sub(wrap), got)
			}
			// A reader may have read the clock before the block was placed.
			if got := v.Cached([]uint64{b}, at.Add(-time.Second)); got != 1 {
				t.Errorf("%v after the wrap-around: %v blocks cached for a reader whose clock was read a second before, want 1", at.Sub(wrap), got)
			}
		}
		if _, ok := v.findWord(old[0]); ok {
			t.Errorf("%v after the wrap-around: the oldest block was not replaced", moment.Sub(wrap))
		}
	}
}
