// Package cacheview believes what an upstream holds in its prefix cache, from
// the upstream's late and gappy events and from this gateway's own placements.
//
// A View is a fixed-size table of atomic words: the data path reads it without
// a lock while the events are applied, and its memory does not grow. Blocks
// that find no room replace the least recently confirmed of their set.
package cacheview

import (
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

const (
	// ways is the size of a set in which a block may stand.
	ways = 4
	// wordsPerBlock is how many words there are for each expected block, so that few
	// sets overflow.
	wordsPerBlock = 2

	// A word is a fingerprint of the block's hash above the stamp of its last
	// confirmation. Two blocks of a set are taken for each other with a
	// probability of 2^-40.
	stampBits = 24
	stampMask = 1<<stampBits - 1
	// stampShift makes a tick 2^28 ns. A stamp is the low bits of a tick, so
	// that stamps start again after 52 days.
	stampShift = 28
	// clockSlackTicks is how many ticks a confirmation may lie after the present of
	// a reader that took its time earlier. It counts as age 0 and not as 52
	// days.
	clockSlackTicks = 64
	// emptyAge is above the age of any block.
	emptyAge = stampMask + 1
)

// Params tell how far a View believes its entries.
type Params struct {
	// Blocks is how many blocks the upstream may hold.
	Blocks int
	// Lifetime is the age at which an unconfirmed entry is worth nothing; its
	// worth falls linearly until then.
	Lifetime time.Duration
	// Distrusted is the worth of an entry older than a gap in the events, as
	// a share of what it would be worth otherwise.
	Distrusted float64
}

// DefaultParams returns the measured defaults.
func DefaultParams() Params {
	return Params{Blocks: 4096, Lifetime: 10 * time.Minute, Distrusted: 0.5}
}

// View is what is believed of one incarnation of one upstream. Apply has one
// caller; the other methods are safe for concurrent use.
type View struct {
	params    Params
	createdAt time.Time
	sets      uint64
	words     []atomic.Uint64
	// lastSequence is the sequence number of the newest event applied.
	lastSequence atomic.Uint64
	// gapTick is the tick of the last gap.
	gapTick atomic.Uint64
}

var _ blackboard.CachedPrefix = (*View)(nil)

// New returns an empty View; now is the present.
func New(p Params, now time.Time) *View {
	sets := uint64(max(1, p.Blocks*wordsPerBlock/ways))
	return &View{params: p, createdAt: now, sets: sets, words: make([]atomic.Uint64, sets*ways)}
}

// After returns the sequence number above which events are wanted.
func (v *View) After() uint64 { return v.lastSequence.Load() }

// Apply takes events in, which are in order. A hole in their numbers means
// that evictions may have been missed: all that is older is believed less
// until it is confirmed again.
func (v *View) Apply(events []upstream.CacheEvent, now time.Time) {
	for _, e := range events {
		last := v.lastSequence.Load()
		if e.Sequence <= last {
			continue
		}
		if e.Sequence != last+1 {
			v.gapTick.Store(v.tick(now))
		}
		v.lastSequence.Store(e.Sequence)
		if e.Stored {
			v.confirm(e.Block, now)
		} else {
			v.remove(e.Block)
		}
	}
}

// Placed notes that this gateway sends a prompt with these blocks, which the
// upstream will then hold.
func (v *View) Placed(blocks []uint64, now time.Time) {
	for _, b := range blocks {
		v.confirm(b, now)
	}
}

// Cached returns how many leading blocks are believed cached, weighed by how
// much that belief is worth.
func (v *View) Cached(blocks []uint64, now time.Time) float64 {
	present := v.tick(now)
	distrust := v.gapTick.Load()
	lifetime := float64(v.params.Lifetime >> stampShift)
	sum := 0.0
	for _, b := range blocks {
		word, ok := v.find(b)
		if !ok {
			break
		}
		age := ageOf(word, present)
		worth := 1 - float64(age)/lifetime
		if present-min(age, present) < distrust {
			worth *= v.params.Distrusted
		}
		if worth <= 0 {
			break
		}
		sum += worth
	}
	return sum
}

// tick numbers the times since the View began.
func (v *View) tick(now time.Time) uint64 {
	return uint64(max(0, now.Sub(v.createdAt)) >> stampShift)
}

// ageOf returns how many ticks before the present a word was confirmed.
//
// Stamps are subtracted modulo their range. Compared as numbers, the entries of
// before their new start would count as fresh for ever and keep their places,
// which shows as prompts that are sent where nothing of them is cached.
func ageOf(word, present uint64) uint64 {
	if word == 0 {
		return emptyAge
	}
	return max((present+clockSlackTicks-word)&stampMask, clockSlackTicks) - clockSlackTicks
}

// set returns the words where a block may stand.
func (v *View) set(block uint64) []atomic.Uint64 {
	i := block % v.sets * ways
	return v.words[i : i+ways]
}

// fingerprint tells the blocks of a set apart. It is never 0, so that the word
// of an entry is never taken for an empty one, whatever its stamp.
func fingerprint(block uint64) uint64 { return block>>stampBits | 1 }

func (v *View) find(block uint64) (word uint64, ok bool) {
	set := v.set(block)
	for i := range set {
		word := set[i].Load()
		if word != 0 && word>>stampBits == fingerprint(block) {
			return word, true
		}
	}
	return 0, false
}

// confirm notes a block as present now.
func (v *View) confirm(block uint64, now time.Time) {
	set := v.set(block)
	present := v.tick(now)
	word := fingerprint(block)<<stampBits | present&stampMask
	for {
		place, old := victim(set, fingerprint(block), present)
		if place.CompareAndSwap(old, word) {
			return
		}
	}
}

// victim returns the word to replace: the block's own, an empty one, or the
// one that was confirmed longest ago.
func victim(set []atomic.Uint64, print, present uint64) (place *atomic.Uint64, old uint64) {
	oldest := uint64(0)
	for i := range set {
		word := set[i].Load()
		if word != 0 && word>>stampBits == print {
			return &set[i], word
		}
		if age := ageOf(word, present); place == nil || age > oldest {
			place, old, oldest = &set[i], word, age
		}
	}
	return place, old
}

func (v *View) remove(block uint64) {
	set := v.set(block)
	for i := range set {
		word := set[i].Load()
		if word != 0 && word>>stampBits == fingerprint(block) {
			set[i].CompareAndSwap(word, 0)
		}
	}
}
