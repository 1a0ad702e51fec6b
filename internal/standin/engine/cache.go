package engine

import (
	"container/list"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// eventsPerGap is the number of consecutive cache events that are lost together.
const eventsPerGap = 32

// block is a prefix block in memory.
type block struct {
	hash uint64
	// users is the number of running streams that use the block.
	users int
	// idleElement is the block's element in cache.idle while nobody uses it,
	// else nil.
	idleElement *list.Element
}

// cache is the engine's KV memory. It consists of blocks with a prefix hash, which
// streams share, and of private blocks, each of which belongs to one running
// stream.
type cache struct {
	capacity      int
	privateBlocks int
	blocks        map[uint64]*block
	// idle holds the blocks that no stream uses, least recently used at the back.
	idle   *list.List
	events eventLog
}

func newCache(p Parameters) cache {
	return cache{
		capacity: p.MemoryBlocks,
		blocks:   make(map[uint64]*block),
		idle:     list.New(),
		events:   eventLog{lag: p.EventLag, gapEvery: p.EventGapEvery, maxKept: p.MaxKeptEvents},
	}
}

// cachedPrefix returns the number of leading blocks that are in memory.
func (c *cache) cachedPrefix(blocks []uint64) int {
	for i, h := range blocks {
		if c.blocks[h] == nil {
			return i
		}
	}
	return len(blocks)
}

// reserve allocates n private blocks and evicts unused blocks if it has to. It
// changes nothing and returns false if there is not enough room.
func (c *cache) reserve(n int, now time.Time) bool {
	excess := len(c.blocks) + c.privateBlocks + n - c.capacity
	if excess > c.idle.Len() {
		return false
	}
	for ; excess > 0; excess-- {
		c.evict(now)
	}
	c.privateBlocks += n
	return true
}

// evict removes the least recently used of the unused blocks.
func (c *cache) evict(now time.Time) {
	e := c.idle.Back()
	b := c.idle.Remove(e).(*block)
	delete(c.blocks, b.hash)
	c.events.add(now, false, b.hash)
}

// acquire marks a block in memory as used by one more stream.
func (c *cache) acquire(hash uint64) {
	b := c.blocks[hash]
	if b.idleElement != nil {
		c.idle.Remove(b.idleElement)
		b.idleElement = nil
	}
	b.users++
}

// store turns one private block of a stream into a shared block that the stream
// uses. If the cache has that block already, the private one becomes free.
func (c *cache) store(hash uint64, now time.Time) {
	c.privateBlocks--
	if c.blocks[hash] == nil {
		c.blocks[hash] = &block{hash: hash}
		c.events.add(now, true, hash)
	}
	c.acquire(hash)
}

// release ends the use of blocks by one stream. Of these, the last one is evicted
// first, since a block is worth nothing without those before it.
func (c *cache) release(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		b := c.blocks[blocks[i]]
		b.users--
		if b.users == 0 {
			b.idleElement = c.idle.PushFront(b)
		}
	}
}

// eventLog holds the cache events, which become readable after a lag and have
// gaps.
type eventLog struct {
	lag time.Duration
	// gapEvery is the mean number of runs of eventsPerGap events of which one is
	// lost; 0 loses none.
	gapEvery uint64
	// maxKept is how many events are kept at least; up to twice as many are.
	maxKept      int
	lastSequence uint64
	events       []event
}

type event struct {
	upstream.CacheEvent
	at time.Time
}

func (l *eventLog) add(now time.Time, stored bool, hash uint64) {
	l.lastSequence++
	if l.isLost(l.lastSequence) {
		return
	}
	if len(l.events) >= 2*l.maxKept {
		l.events = append(l.events[:0], l.events[len(l.events)-l.maxKept:]...)
	}
	e := upstream.CacheEvent{Sequence: l.lastSequence, Stored: stored, Block: hash}
	l.events = append(l.events, event{CacheEvent: e, at: now})
}

// isLost reports whether an event is in a gap. Gaps are spread over the sequence
// numbers evenly but not regularly.
func (l *eventLog) isLost(sequence uint64) bool {
	if l.gapEvery == 0 {
		return false
	}
	const mix = 0x9e3779b97f4a7c15
	run := (sequence / eventsPerGap) * mix
	return (run>>32)%l.gapEvery == 0
}

// readableAfter returns the readable events above a sequence number.
func (l *eventLog) readableAfter(sequence uint64, now time.Time) []upstream.CacheEvent {
	first := l.firstAbove(sequence)
	readable := now.Add(-l.lag)
	end := len(l.events)
	for end > first && l.events[end-1].at.After(readable) {
		end--
	}
	found := make([]upstream.CacheEvent, 0, end-first)
	for _, e := range l.events[first:end] {
		found = append(found, e.CacheEvent)
	}
	return found
}

// firstAbove returns the index of the first event above a sequence number.
func (l *eventLog) firstAbove(sequence uint64) int {
	low, high := 0, len(l.events)
	for low < high {
		mid := (low + high) / 2
		if l.events[mid].Sequence > sequence {
			high = mid
		} else {
			low = mid + 1
		}
	}
	return low
}
