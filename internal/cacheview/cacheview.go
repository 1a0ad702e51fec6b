// Package cacheview estimates what an upstream holds in its prefix cache, from the
// upstream's events, which arrive late and with gaps, and from the prompts that this
// gateway sent there.
//
// A View is a fixed-size, set-associative table of atomic words: requests read it
// without a lock while events are applied, and its memory does not grow. A block
// whose set is full replaces the entry that was confirmed longest ago.
package cacheview

import (
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

const (
	// ways is the number of words in a set. A block belongs to one set.
	ways = 4
	// wordsPerBlock is how many words there are for each expected block. With 2,
	// few sets overflow.
	wordsPerBlock = 2

	// A word holds a fingerprint of the block's hash in its high bits and the stamp
	// of the block's last confirmation in its low stampBits. Two blocks of a set are
	// mistaken for each other with a probability of 2^-40.
	stampBits = 24
	stampMask = 1<<stampBits - 1
	// stampShift makes a tick 2^28 ns. A stamp is the low bits of a tick, so stamps
	// wrap around after 52 days.
	stampShift = 28
	// clockSlackTicks is how many ticks a confirmation may be later than the current
	// time of a reader that read the clock before. Such a confirmation has age 0;
	// without the slack it would have an age of 52 days.
	clockSlackTicks = 64
	// emptyAge is the age of an empty word, above that of any block.
	emptyAge = stampMask + 1
)

// Params set the size of a View and the confidence in its entries.
type Params struct {
	// Blocks is how many blocks the upstream may hold.
	Blocks int
	// Lifetime is the age at which the confidence in an entry that was not confirmed
	// again is 0. Until then the confidence falls linearly from 1.
	Lifetime time.Duration
	// DistrustFactor multiplies the confidence in entries that are older than a gap in
	// the events.
	DistrustFactor float64
}

// DefaultParams returns the default parameters.
func DefaultParams() Params {
	return Params{Blocks: 4096, Lifetime: 10 * time.Minute, DistrustFactor: 0.5}
}

// View estimates the prefix cache of one incarnation of one upstream. Only one
// goroutine may call Apply; the other methods are safe for concurrent use.
type View struct {
	params    Params
	createdAt time.Time
	// sets is the number of sets; words holds them one after the other.
	sets  uint64
	words []atomic.Uint64
	// lastSequence is the sequence number of the newest event that was applied.
	lastSequence atomic.Uint64
	// gapTick is the tick at which the last gap in the events was found; 0 if none.
	gapTick atomic.Uint64
}

var _ blackboard.CachedPrefix = (*View)(nil)

// New returns an empty View. now is the current time.
func New(p Params, now time.Time) *View {
	sets := uint64(max(1, p.Blocks*wordsPerBlock/ways))
	return &View{params: p, createdAt: now, sets: sets, words: make([]atomic.Uint64, sets*ways)}
}

// LastSequence returns the sequence number of the newest event that was applied. Apply
// ignores events with this number or a lower one.
func (v *View) LastSequence() uint64 { return v.lastSequence.Load() }

// Apply applies events, which must be in order. A gap in their sequence numbers
// means that evictions may have been missed, so the confidence in all older entries
// falls until they are confirmed again. Events that were applied before are ignored.
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

// Placed records that this gateway sends a prompt with these blocks to the upstream,
// which will then hold them.
func (v *View) Placed(blocks []uint64, now time.Time) {
	for _, b := range blocks {
		v.confirm(b, now)
	}
}

// Cached returns the estimated number of leading blocks that are cached: the sum of
// the confidence in them, up to the first block that is not in the table.
func (v *View) Cached(blocks []uint64, now time.Time) float64 {
	present := v.tick(now)
	gap := v.gapTick.Load()
	lifetime := float64(v.params.Lifetime >> stampShift)
	sum := 0.0
	for _, b := range blocks {
		word, ok := v.findWord(b)
		if !ok {
			break
		}
		age := ageOf(word, present)
		confidence := 1 - float64(age)/lifetime
		if present-min(age, present) < gap {
			confidence *= v.params.DistrustFactor
		}
		if confidence <= 0 {
			break
		}
		sum += confidence
	}
	return sum
}

// tick returns the number of ticks from the creation of the View to now.
func (v *View) tick(now time.Time) uint64 {
	return uint64(max(0, now.Sub(v.createdAt)) >> stampShift)
}

// ageOf returns how many ticks ago a word was confirmed, or emptyAge if it is empty.
//
// Stamps are subtracted modulo their range. If they were compared as numbers,
// entries from before a wrap-around would count as fresh for ever and would never be
// replaced, and prompts would be sent where nothing of them is cached.
func ageOf(word, present uint64) uint64 {
	if word == 0 {
		return emptyAge
	}
	return max((present+clockSlackTicks-word)&stampMask, clockSlackTicks) - clockSlackTicks
}

// setOf returns the words of the set that a block belongs to.
func (v *View) setOf(block uint64) []atomic.Uint64 {
	i := block % v.sets * ways
	return v.words[i : i+ways]
}

// fingerprint distinguishes the blocks of a set. It is never 0, so that the word of
// an entry is never mistaken for an empty one, whatever its stamp.
func fingerprint(block uint64) uint64 { return block>>stampBits | 1 }

// findWord returns the word of a block, and whether the block is in the table.
func (v *View) findWord(block uint64) (word uint64, ok bool) {
	set := v.setOf(block)
	for i := range set {
		word := set[i].Load()
		if word != 0 && word>>stampBits == fingerprint(block) {
			return word, true
		}
	}
	return 0, false
}

// confirm records that the upstream holds a block now.
func (v *View) confirm(block uint64, now time.Time) {
	set := v.setOf(block)
	present := v.tick(now)
	word := fingerprint(block)<<stampBits | present&stampMask
	for {
		target, old := victim(set, fingerprint(block), present)
		if target.CompareAndSwap(old, word) {
			return
		}
	}
}

// victim returns the word of a set to replace for a block with a fingerprint, and
// the word's value: the block's own word, an empty one, or the one that was confirmed
// longest ago.
func victim(set []atomic.Uint64, print, present uint64) (target *atomic.Uint64, old uint64) {
	oldest := uint64(0)
	for i := range set {
		word := set[i].Load()
		if word != 0 && word>>stampBits == print {
			return &set[i], word
		}
		if age := ageOf(word, present); target == nil || age > oldest {
			target, old, oldest = &set[i], word, age
		}
	}
	return target, old
}

// remove removes a block, if it is in the table.
func (v *View) remove(block uint64) {
	set := v.setOf(block)
	for i := range set {
		word := set[i].Load()
		if word != 0 && word>>stampBits == fingerprint(block) {
			set[i].CompareAndSwap(word, 0)
		}
	}
}
