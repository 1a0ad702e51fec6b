package retry

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile of the observed latency after which a hedge is sent:
	// about one request in twenty is hedged in normal times.
	hedgePercentile = 95
	// hedgeMinSamples are needed before a percentile means anything.
	hedgeMinSamples = 50
	// hedgeWindow is how many latencies are counted before the percentile
	// is read again; two windows are kept.
	hedgeWindow = 200
	// minHedgeDelay bounds how early a hedge is sent.
	minHedgeDelay = 10 * time.Millisecond
	// maxLatencyMicros and latencyDigits bound the histogram's memory.
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 2
)

// Latencies remembers recent latencies of one kind of request. It is safe for
// concurrent use.
type Latencies struct {
	mu     sync.Mutex
	recent *hdrhistogram.WindowedHistogram
	count  int
	// hedgeAfter is the percentile read last; 0 is not known yet.
	hedgeAfter time.Duration
}

// NewLatencies returns an empty memory.
func NewLatencies() *Latencies {
	return &Latencies{recent: hdrhistogram.NewWindowed(2, 1, maxLatencyMicros, latencyDigits)}
}

// Observe adds the latency of a first attempt.
func (l *Latencies) Observe(latency time.Duration) {
	micros := min(max(latency.Microseconds(), 1), maxLatencyMicros)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the histogram's range, the only cause of an error.
	_ = l.recent.Current.RecordValue(micros)
	l.count++
	if l.count == hedgeMinSamples || l.count%hedgeWindow == 0 {
		l.hedgeAfter = time.Duration(l.recent.Merge().ValueAtQuantile(hedgePercentile)) * time.Microsecond
	}
	if l.count%hedgeWindow == 0 {
		l.recent.Rotate()
	}
}

// HedgeAfter returns how long to wait for a first attempt before a hedge, and
// false while too little is known.
func (l *Latencies) HedgeAfter() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(l.hedgeAfter, minHedgeDelay), l.hedgeAfter > 0
}

// HedgeState is what the decision to hedge depends on.
type HedgeState struct {
	Idempotent bool
	// Short: the request's class is a short one, whose second attempt costs
	// little.
	Short bool
	// Answered: a first token or byte has arrived.
	Answered bool
	// Hedged: this request has had its hedge.
	Hedged bool
	// Waited since the first attempt was sent.
	Waited time.Duration
	// Left until the deadline.
	Left time.Duration
}

// ShouldHedge reports whether a second attempt is worth making now; its sender
// has to Spend it from the budget. A hedge that cannot be answered in the time
// left would only add load.
func ShouldHedge(s HedgeState, after time.Duration) bool {
	if !s.Idempotent || !s.Short || s.Answered || s.Hedged {
		return false
	}
	return s.Waited >= after && s.Left > after/2
}
