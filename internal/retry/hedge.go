package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the percentile of the latencies after which a hedge is sent. Normally
	// about one request in twenty is hedged.
	hedgePercentile = 95
	// hedgeMinSamples is the number of latencies below which a percentile means nothing.
	hedgeMinSamples = 50
	// hedgeWindow is the number of latencies after which the percentile is read again and a new
	// window begins. The percentile is that of the last two windows.
	hedgeWindow = 200
	// minHedgeDelay is the shortest time before a hedge is sent.
	minHedgeDelay = 10 * time.Millisecond
	// maxLatencyMicros and latencyDigits (significant decimal digits) bound the histogram's memory.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// Latencies holds recent latencies of one kind of request. It is safe for concurrent use.
type Latencies struct {
	mu     sync.Mutex
	recent *hdrhistogram.WindowedHistogram
	count  int
	// hedgeAfter is the percentile as last read, or 0 while it is unknown.
	hedgeAfter time.Duration
}

// NewLatencies returns a Latencies without any latencies.
func NewLatencies() *Latencies {
	return &Latencies{recent: hdrhistogram.NewWindowed(2, 1, maxLatencyMicros, latencyDigits)}
}

// Observe records the latency of a first attempt.
func (l *Latencies) Observe(latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only for a value outside the histogram's range, and this one is inside.
	_ = l.recent.Current.RecordValue(micros)
	l.count++
	if l.count == hedgeMinSamples || l.count%hedgeWindow == 0 {
		l.hedgeAfter = time.Duration(l.recent.Merge().ValueAtQuantile(hedgePercentile)) * time.Microsecond
	}
	if l.count%hedgeWindow == 0 {
		l.recent.Rotate()
	}
}

// HedgeAfter returns how long to wait for a first attempt before sending a hedge. It returns false
// while too few latencies are known.
func (l *Latencies) HedgeAfter() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.hedgeAfter, minHedgeDelay), l.hedgeAfter > 0
}

// HedgeState is the state of a request on which the decision to hedge depends.
type HedgeState struct {
	Idempotent bool
	// Short is set if the request is of a short latency class, for which a second attempt costs
	// little.
	Short bool
	// Answered is set once a first token or byte has arrived.
	Answered bool
	// Hedged is set once a hedge was sent for this request.
	Hedged bool
	// Waited is the time since the first attempt was sent.
	Waited time.Duration
	// Left is the time until the deadline.
	Left time.Duration
}

// ShouldHedge reports whether to send a second attempt now, where after is the result of
// HedgeAfter. The caller must take the attempt from the budget with Spend. There is no hedge when
// too little time is left for an answer: it would only add load.
func ShouldHedge(s HedgeState, after time.Duration) bool {
	if !s.Idempotent || !s.Short || s.Answered || s.Hedged {
		return false
	}
	return s.Waited >= after && s.Left > after/2
}
