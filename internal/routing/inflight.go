package routing

import (
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// bucketWidth times bucketCount is how far back a localState records what
	// was sent. A report that is older is corrected only by the work of that
	// period.
	bucketWidth = 64 * time.Millisecond
	bucketCount = 128

	// A bucket is one word: the low bits of its epoch, the number of requests
	// and the number of tokens, from high bits to low.

	tokenBits   = 28
	requestBits = 12
	tokenMask   = 1<<tokenBits - 1
	requestMask = 1<<requestBits - 1
	epochShift  = tokenBits + requestBits
	epochMask   = 1<<(64-epochShift) - 1
)

// localState is what this gateway knows about one upstream from the attempts
// that it sent there. All fields are atomic, because concurrent requests use it.
type localState struct {
	// outstanding counts the attempts that have not ended.
	outstanding atomic.Int64
	// lastSent is the epoch in which the newest attempt was sent.
	lastSent atomic.Int64
	// learnedBatch is the learned batch size of the upstream; see learnBatch.
	learnedBatch average
	// sentBuckets counts the attempts that wait for their first token, and their
	// uncached tokens, by the epoch of sending.
	sentBuckets [bucketCount]atomic.Uint64
}

// sentWork counts attempts that were sent and wait for their first token.
type sentWork struct {
	requests int
	// tokens is the sum of the attempts' uncached prompt tokens.
	tokens int
}

// addSent records an attempt that is sent in an epoch.
func (s *localState) addSent(epoch int64, tokens int) {
	s.outstanding.Add(1)
	if epoch > s.lastSent.Load() {
		s.lastSent.Store(epoch)
	}
	s.updateBucket(epoch, func(w sentWork) sentWork {
		return sentWork{requests: min(w.requests+1, requestMask), tokens: min(w.tokens+tokens, tokenMask)}
	})
}

// removeSent removes an attempt from the bucket of its epoch, unless the bucket
// has been reused for a later epoch since.
func (s *localState) removeSent(epoch int64, tokens int) {
	word := &s.sentBuckets[epoch%bucketCount]
	if int64(word.Load()>>epochShift) != epoch&epochMask {
		return
	}
	s.updateBucket(epoch, func(w sentWork) sentWork {
		return sentWork{requests: max(w.requests-1, 0), tokens: max(w.tokens-tokens, 0)}
	})
}

// updateBucket applies update to the bucket of an epoch. A bucket that holds
// another epoch counts as empty.
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

// unpackBucket returns a bucket's contents if they belong to the epoch, else the
// zero value.
func unpackBucket(word uint64, epoch int64) sentWork {
	if int64(word>>epochShift) != epoch&epochMask {
		return sentWork{}
	}
	return sentWork{requests: int(word >> tokenBits & requestMask), tokens: int(word & tokenMask)}
}

// awaitingFirstToken sums the attempts that were sent from one epoch to another,
// both included, and still wait for their first token.
func (s *localState) awaitingFirstToken(from, to int64) sentWork {
	var sum sentWork
	to = min(to, s.lastSent.Load())
	from = max(from, to-bucketCount+1, 0)
	for epoch := from; epoch <= to; epoch++ {
		w := unpackBucket(s.sentBuckets[epoch%bucketCount].Load(), epoch)
		sum.requests += w.requests
		sum.tokens += w.tokens
	}
	return sum
}

// localStates maps instances to their states. The map is replaced as a whole
// when instances are added, so that readers need no lock.
type localStates map[ident.Instance]*localState

// Ticket identifies one attempt from Router.Started to Router.Finished. Only the
// goroutine that runs the attempt may use it. The methods of Router ignore the
// zero value.
type Ticket struct {
	local          *localState
	epoch          int64
	uncachedTokens int
	priority       int
	// waiting is true until the first token arrives or the attempt ends.
	waiting   bool
	sent      time.Time
	predicted time.Duration
}
