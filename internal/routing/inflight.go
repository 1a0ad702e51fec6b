package routing

import (
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// bucketWidth and bucketCount bound how far back this gateway remembers
	// when it sent what: reports older than the product are corrected only
	// by the newest part.
	bucketWidth = 64 * time.Millisecond
	bucketCount = 128

	tokenBits   = 28
	requestBits = 12
	tokenMask   = 1<<tokenBits - 1
	requestMask = 1<<requestBits - 1
	epochShift  = tokenBits + requestBits
	epochMask   = 1<<(64-epochShift) - 1
)

// slot is what this gateway knows of one upstream by its own dealings with
// it. All fields are atomic: many requests use a slot at once.
type slot struct {
	// outstanding counts the attempts that have not ended.
	outstanding atomic.Int64
	// lastSent is when the newest attempt was sent, as an epoch.
	lastSent atomic.Int64
	// batch is the learnt size of the upstream's batch.
	batch average
	// sent holds, by time of sending, the attempts whose first token has not
	// come, and their uncached tokens. Each word is epoch, count and tokens.
	sent [bucketCount]atomic.Uint64
}

// load is work that a report does not know of yet.
type load struct {
	requests int
	tokens   int
}

func (s *slot) add(epoch int64, tokens int) {
	s.outstanding.Add(1)
	if epoch > s.lastSent.Load() {
		s.lastSent.Store(epoch)
	}
	s.change(epoch, func(l load) load {
		return load{requests: min(l.requests+1, requestMask), tokens: min(l.tokens+tokens, tokenMask)}
	})
}

// settle removes work from the bucket in which it was added, unless the
// bucket has been used again since.
func (s *slot) settle(epoch int64, tokens int) {
	word := &s.sent[epoch%bucketCount]
	if int64(word.Load()>>epochShift) != epoch&epochMask {
		return
	}
	s.change(epoch, func(l load) load {
		return load{requests: max(l.requests-1, 0), tokens: max(l.tokens-tokens, 0)}
	})
}

// change replaces one bucket's contents; an older epoch counts as empty.
func (s *slot) change(epoch int64, update func(load) load) {
	word := &s.sent[epoch%bucketCount]
	for {
		old := word.Load()
		next := update(unpack(old, epoch))
		packed := uint64(epoch&epochMask)<<epochShift | uint64(next.requests)<<tokenBits | uint64(next.tokens)
		if word.CompareAndSwap(old, packed) {
			return
		}
	}
}

// unpack returns a bucket's contents if they belong to the epoch.
func unpack(word uint64, epoch int64) load {
	if int64(word>>epochShift) != epoch&epochMask {
		return load{}
	}
	return load{requests: int(word >> tokenBits & requestMask), tokens: int(word & tokenMask)}
}

// since sums what was sent from one epoch to another and still waits for its
// first token.
func (s *slot) since(from, to int64) load {
	var sum load
	to = min(to, s.lastSent.Load())
	from = max(from, to-bucketCount+1, 0)
	for epoch := from; epoch <= to; epoch++ {
		l := unpack(s.sent[epoch%bucketCount].Load(), epoch)
		sum.requests += l.requests
		sum.tokens += l.tokens
	}
	return sum
}

// slots maps instances to their slots. It is replaced as a whole when an
// instance is added, so that readers need no lock.
type slots map[ident.Instance]*slot

// Ticket follows one attempt from Started to Finished. It belongs to the one
// goroutine that runs the attempt. The zero value does nothing.
type Ticket struct {
	slot     *slot
	epoch    int64
	tokens   int
	priority int
	// waiting: the first token has not come.
	waiting   bool
	sent      time.Time
	predicted time.Duration
}
