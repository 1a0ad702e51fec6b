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

// localState is what this gateway knows of one upstream by its own dealings with
// it. All fields are atomic: many requests use a slot at once.
type localState struct {
	// outstanding counts the attempts that have not ended.
	outstanding atomic.Int64
	// lastSent is when the newest attempt was sent, as an epoch.
	lastSent atomic.Int64
	// learnedBatch is the learnt size of the upstream's batch.
	learnedBatch average
	// sentBuckets holds, by time of sending, the attempts whose first token has not
	// come, and their uncached tokens. Each word is epoch, count and tokens.
	sentBuckets [bucketCount]atomic.Uint64
}

// sentWork is work that a report does not know of yet.
type sentWork struct {
	requests int
	tokens   int
}

func (s *localState) addSent(epoch int64, tokens int) {
	s.outstanding.Add(1)
	if epoch > s.lastSent.Load() {
		s.lastSent.Store(epoch)
	}
	s.updateBucket(epoch, func(l sentWork) sentWork {
		return sentWork{requests: min(l.requests+1, requestMask), tokens: min(l.tokens+tokens, tokenMask)}
	})
}

// removeSent removes work from the bucket in which it was added, unless the
// bucket has been used again since.
func (s *localState) removeSent(epoch int64, tokens int) {
	word := &s.sentBuckets[epoch%bucketCount]
	if int64(word.Load()>>epochShift) != epoch&epochMask {
		return
	}
	s.updateBucket(epoch, func(l sentWork) sentWork {
		return sentWork{requests: max(l.requests-1, 0), tokens: max(l.tokens-tokens, 0)}
	})
}

// updateBucket replaces one bucket's contents; an older epoch counts as empty.
func (s *localState) updateBucket(epoch int64, update func(sentWork) sentWork) {
	word := &s.sentBuckets[epoch%bucketCount]
	for {
		old := word.Load()
		next := update(unpackBucket(old, epoch))
		packed := uint64(epoch&epochMask)<<epochShift | uint64(next.requests)<<tokenBits | uint64(next.tokens)
		if word.CompareAndSwap(old, packed) {
			return
		}
	}
}

// unpackBucket returns a bucket's contents if they belong to the epoch.
func unpackBucket(word uint64, epoch int64) sentWork {
	if int64(word>>epochShift) != epoch&epochMask {
		return sentWork{}
	}
	return sentWork{requests: int(word >> tokenBits & requestMask), tokens: int(word & tokenMask)}
}

// awaitingFirstToken sums what was sent from one epoch to another and still waits for its
// first token.
func (s *localState) awaitingFirstToken(from, to int64) sentWork {
	var sum sentWork
	to = min(to, s.lastSent.Load())
	from = max(from, to-bucketCount+1, 0)
	for epoch := from; epoch <= to; epoch++ {
		l := unpackBucket(s.sentBuckets[epoch%bucketCount].Load(), epoch)
		sum.requests += l.requests
		sum.tokens += l.tokens
	}
	return sum
}

// localStates maps instances to their slots. It is replaced as a whole when an
// instance is added, so that readers need no lock.
type localStates map[ident.Instance]*localState

// Ticket follows one attempt from Started to Finished. It belongs to the one
// goroutine that runs the attempt. The zero value does nothing.
type Ticket struct {
	local          *localState
	epoch          int64
	uncachedTokens int
	priority       int
	// waiting: the first token has not come.
	waiting   bool
	sent      time.Time
	predicted time.Duration
}
