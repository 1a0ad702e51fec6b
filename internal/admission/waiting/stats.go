package waiting

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// waitBuckets are the upper bounds of the histogram of waits.
var waitBuckets = []time.Duration{
	time.Millisecond, 5 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond, 250 * time.Millisecond, time.Second,
}

// stats counts how waits ended. It is safe for concurrent use.
type stats struct {
	mu       sync.Mutex
	services map[ident.Service]*serviceStats
}

// serviceStats are those of one service.
type serviceStats struct {
	// refusedBy counts refusals by reason.
	refusedBy map[string]int64
	// waits counts the waits that ended with a place, by the first of waitBuckets that holds them; the
	// last element counts longer ones. seconds is their sum.
	waits   []int64
	seconds float64
}

func newStats() stats { return stats{services: make(map[ident.Service]*serviceStats)} }

// of returns the counts of a service. s.mu must be held.
func (s *stats) of(service ident.Service) *serviceStats {
	counts := s.services[service]
	if counts == nil {
		counts = &serviceStats{refusedBy: make(map[string]int64), waits: make([]int64, len(waitBuckets)+1)}
		s.services[service] = counts
	}
	return counts
}

func (s *stats) granted(service ident.Service, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.of(service)
	i, _ := slices.BinarySearch(waitBuckets, wait)
	counts.waits[i]++
	counts.seconds += wait.Seconds()
}

func (s *stats) refused(service ident.Service, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.of(service).refusedBy[reason]++
}

// WriteMetrics prints the metrics of the waiting calls as text, one per line.
func (r *Room) WriteMetrics(w io.Writer) {
	for _, q := range r.allQueues() {
		fmt.Fprintf(w, "calls_waiting{service=%q} %d\n", q.service, q.waiting())
	}
	r.stats.write(w)
}

func (s *stats) write(w io.Writer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range slices.Sorted(maps.Keys(s.services)) {
		s.services[service].write(w, service)
	}
}

func (c *serviceStats) write(w io.Writer, service ident.Service) {
	for _, reason := range slices.Sorted(maps.Keys(c.refusedBy)) {
		fmt.Fprintf(w, "waits_refused_total{service=%q,reason=%q} %d\n", service, reason, c.refusedBy[reason])
	}
	total := int64(0)
	for i, bound := range waitBuckets {
		total += c.waits[i]
		fmt.Fprintf(w, "wait_granted_seconds_bucket{service=%q,le=\"%g\"} %d\n", service, bound.Seconds(), total)
	}
	total += c.waits[len(waitBuckets)]
	fmt.Fprintf(w, "wait_granted_seconds_bucket{service=%q,le=\"+Inf\"} %d\nwait_granted_seconds_sum{service=%q} %.3f\nwait_granted_seconds_count{service=%q} %d\n",
		service, total, service, c.seconds, service, total)
}
