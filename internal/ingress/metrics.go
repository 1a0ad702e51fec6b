package ingress

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
)

// Metrics counts callers' requests by route kind and outcome, and records how long the
// first part of their answers took. It is safe for concurrent use.
type Metrics struct {
	mu sync.Mutex
	// counts maps the name of a counter, with its labels, to its value.
	counts map[string]int64
	// firstPartTimes are in microseconds, by route kind.
	firstPartTimes map[string]*hdrhistogram.Histogram
	// unlogged counts the successes without a log line.
	unlogged int64
}

// The histograms record up to a minute, in microseconds, with two significant digits.
const (
	maxMicroseconds = 60_000_000
	histogramDigits = 2
)

// NewMetrics returns Metrics in which nothing is counted yet.
func NewMetrics() *Metrics {
	return &Metrics{counts: make(map[string]int64), firstPartTimes: make(map[string]*hdrhistogram.Histogram)}
}

// Refused counts a request that was not forwarded, by its HTTP status.
func (m *Metrics) Refused(status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[fmt.Sprintf("requests_refused_total{status=%q}", fmt.Sprint(status))]++
}

// Unlogged counts a successful request that was not logged.
func (m *Metrics) Unlogged() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unlogged++
}

// Ended counts a call that was forwarded, and records the time to its first part.
func (m *Metrics) Ended(call *forward.Call, outcome forward.Outcome, took time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	kind := call.Route.Kind.String()
	m.counts[fmt.Sprintf("requests_ended_total{kind=%q,step=%q,status=\"%d\"}", kind, outcome.Step, outcome.Status)]++
	m.counts[fmt.Sprintf("attempts_total{kind=%q}", kind)] += int64(outcome.Attempts)
	m.counts[fmt.Sprintf("streams_resumed_total{kind=%q}", kind)] += int64(outcome.Resumed)
	for _, end := range outcome.Ends {
		m.counts[fmt.Sprintf("answers_ended_total{framing=%q,ending=%q,position=%q,answer=%q}", end.Framing, end.Ending, end.Position, end.Verdict())]++
	}
	if outcome.FirstPart <= 0 {
		return
	}
	h := m.firstPartTimes[kind]
	if h == nil {
		h = hdrhistogram.New(1, maxMicroseconds, histogramDigits)
		m.firstPartTimes[kind] = h
	}
	// A value beyond the histogram's bounds is recorded as the bound, so that there is
	// no error.
	_ = h.RecordValue(min(max(outcome.FirstPart.Microseconds(), 1), maxMicroseconds))
}

// Write prints the metrics as text, one per line.
func (m *Metrics) Write(w io.Writer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(m.counts)) {
		fmt.Fprintf(w, "%s %d\n", name, m.counts[name])
	}
	fmt.Fprintf(w, "requests_unlogged_total %d\n", m.unlogged)
	for _, kind := range slices.Sorted(maps.Keys(m.firstPartTimes)) {
		h := m.firstPartTimes[kind]
		for _, q := range []float64{50, 95, 99} {
			fmt.Fprintf(w, "first_part_seconds{kind=%q,quantile=\"%g\"} %.4f\n", kind, q/100, float64(h.ValueAtQuantile(q))/1e6)
		}
	}
}
