// Package metering counts the requests that began to run, by client account and time window, over
// all gateways, and reports the counts once a window. Windows are in true time: the time of day as
// most gateways have it.
package metering

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Counts is the number of requests of each account that began to run.
type Counts map[ident.ClientAccount]int64

func (c Counts) total() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// maxCounterWindows is how many windows a Counter keeps: the current one, and earlier ones whose
// report may still be due.
const maxCounterWindows = 5

// Counter counts requests at one gateway. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	// trueTime returns the time of day as most gateways have it.
	trueTime func() time.Time

	mu      sync.Mutex
	windows map[int64]Counts
}

// NewCounter returns a Counter with windows of the given length.
func NewCounter(length time.Duration, trueTime func() time.Time) *Counter {
	return &Counter{length: length, trueTime: trueTime, windows: make(map[int64]Counts)}
}

// Window returns the number of the window that contains a time. Window k begins k window lengths
// after the start of 1970 (UTC).
func Window(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// CountStarted implements forward.Meter. The window is chosen by true time, so that a gateway whose clock
// is wrong counts in the same window as the others.
func (c *Counter) CountStarted(account ident.ClientAccount) {
	if account == "" {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	window := Window(c.trueTime(), c.length)
	counts := c.windows[window]
	if counts == nil {
		counts = make(Counts)
		c.windows[window] = counts
		keepNewest(c.windows, maxCounterWindows)
	}
	counts[account]++
}

// keepNewest deletes the oldest windows until at most limit are left.
func keepNewest[V any](windows map[int64]V, limit int) {
	for len(windows) > limit {
		delete(windows, slices.Min(slices.Collect(maps.Keys(windows))))
	}
}

// Windows returns a copy of the counts by window.
func (c *Counter) Windows() map[int64]map[ident.ClientAccount]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int64]map[ident.ClientAccount]int64, len(c.windows))
	for window, counts := range c.windows {
		out[window] = maps.Clone(counts)
	}
	return out
}

// Pending holds the counts of windows that are not decided yet, by window and by the incarnation of
// the gateway that counted.
type Pending map[int64]map[string]Counts

// pendingByIncarnation holds the same by incarnation and window, so that each incarnation's ID is
// written once.
type pendingByIncarnation map[string]map[int64]map[ident.ClientAccount]int64

func (p Pending) byIncarnation() pendingByIncarnation {
	out := make(pendingByIncarnation)
	for window, incarnations := range p {
		for incarnation, counts := range incarnations {
			if out[incarnation] == nil {
				out[incarnation] = make(map[int64]map[ident.ClientAccount]int64)
			}
			out[incarnation][window] = counts
		}
	}
	return out
}

// Ledger merges the gateways' counts. The counts of a gateway that is gone are kept, so that the
// requests it began stay counted. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	counts Pending
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{counts: make(Pending)} }

// MergeCounts merges the counts of one incarnation of a gateway. Its counts only grow, so the larger of
// two is the newer, in whatever order they arrive.
func (l *Ledger) MergeCounts(incarnation string, windows map[int64]map[ident.ClientAccount]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, counts := range windows {
		l.merge(window, incarnation, counts)
	}
	keepNewest(l.counts, maxLedgerWindows)
}

// MergePending merges the counts of another ledger.
func (l *Ledger) MergePending(pending Pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, incarnations := range pending {
		for incarnation, counts := range incarnations {
			l.merge(window, incarnation, counts)
		}
	}
	keepNewest(l.counts, maxLedgerWindows)
}

func (l *Ledger) merge(window int64, incarnation string, counts map[ident.ClientAccount]int64) {
	incarnations := l.counts[window]
	if incarnations == nil {
		incarnations = make(map[string]Counts)
		l.counts[window] = incarnations
	}
	known := incarnations[incarnation]
	if known == nil {
		known = make(Counts, len(counts))
		incarnations[incarnation] = known
	}
	for account, n := range counts {
		known[account] = max(known[account], n)
	}
}

// PendingAfter returns a copy of the counts of all windows after the given one.
func (l *Ledger) PendingAfter(window int64) Pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(Pending)
	for w, incarnations := range l.counts {
		if w <= window {
			continue
		}
		out[w] = make(map[string]Counts, len(incarnations))
		for incarnation, counts := range incarnations {
			out[w][incarnation] = maps.Clone(counts)
		}
	}
	return out
}

// maxLedgerWindows bounds the ledger's size, also if a gateway's clock is far off.
const maxLedgerWindows = 24

// Sum returns a window's counts over all gateways. It has no entry for accounts without requests.
func (l *Ledger) Sum(window int64) Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(Counts)
	for _, counts := range l.counts[window] {
		for account, n := range counts {
			out[account] += n
		}
	}
	return out
}
