// Package metering counts the requests that began to run, by client account and
// window of true time, over all gateways, and reports them once a window.
package metering

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Counts is how many requests of each account began to run.
type Counts map[ident.ClientAccount]int64

func (c Counts) total() int64 {
	sum := int64(0)
	for _, n := range c {
		sum += n
	}
	return sum
}

// maxCounterWindows is how many windows of counts a gateway keeps: the newest one, and
// those whose report may still be due.
const maxCounterWindows = 5

// Counter counts at one gateway. It is safe for concurrent use.
type Counter struct {
	length time.Duration
	// trueTime returns the time of day as most gateways have it.
	trueTime func() time.Time

	mu      sync.Mutex
	windows map[int64]Counts
}

// NewCounter returns a counter of windows of a length.
func NewCounter(length time.Duration, trueTime func() time.Time) *Counter {
	return &Counter{length: length, trueTime: trueTime, windows: make(map[int64]Counts)}
}

// Window numbers the window that holds an instant: window k begins k times its
// length after the start of 1970.
func Window(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// Began implements forward.Meter. It counts by the true time of day: what a clock
// shows wrongly is corrected by the other gateways'.
func (c *Counter) Began(account ident.ClientAccount) {
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

// keepNewest drops the oldest windows beyond a number.
func keepNewest[V any](windows map[int64]V, most int) {
	for len(windows) > most {
		delete(windows, slices.Min(slices.Collect(maps.Keys(windows))))
	}
}

// Windows returns a copy of the counts.
func (c *Counter) Windows() map[int64]map[ident.ClientAccount]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int64]map[ident.ClientAccount]int64, len(c.windows))
	for window, counts := range c.windows {
		out[window] = maps.Clone(counts)
	}
	return out
}

// Pending are counts of windows that are not decided yet, by window and by the life
// of the gateway that counted: a life is one incarnation of an instance.
type Pending map[int64]map[string]Counts

// pendingByIncarnation is the same by life and window, so that each life is named once.
type pendingByIncarnation map[string]map[int64]map[ident.ClientAccount]int64

func (p Pending) byIncarnation() pendingByIncarnation {
	out := make(pendingByIncarnation)
	for window, lives := range p {
		for life, counts := range lives {
			if out[life] == nil {
				out[life] = make(map[int64]map[ident.ClientAccount]int64)
			}
			out[life][window] = counts
		}
	}
	return out
}

// Ledger joins the gateways' counts. A gateway that is gone keeps its part, so
// that what it began is not forgotten with it. It is safe for concurrent use.
type Ledger struct {
	mu     sync.Mutex
	counts Pending
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{counts: make(Pending)} }

// Hear takes in one life's counts. They only grow, so that the largest is the
// newest, whichever way it came.
func (l *Ledger) Hear(life string, windows map[int64]map[ident.ClientAccount]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, counts := range windows {
		l.merge(window, life, counts)
	}
	keepNewest(l.counts, maxLedgerWindows)
}

// MergePending takes in what another ledger held.
func (l *Ledger) MergePending(pending Pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, lives := range pending {
		for life, counts := range lives {
			l.merge(window, life, counts)
		}
	}
	keepNewest(l.counts, maxLedgerWindows)
}

func (l *Ledger) merge(window int64, life string, counts map[ident.ClientAccount]int64) {
	lives := l.counts[window]
	if lives == nil {
		lives = make(map[string]Counts)
		l.counts[window] = lives
	}
	known := lives[life]
	if known == nil {
		known = make(Counts, len(counts))
		lives[life] = known
	}
	for account, n := range counts {
		known[account] = max(known[account], n)
	}
}

// PendingAfter returns a copy of the counts of the windows after one.
func (l *Ledger) PendingAfter(window int64) Pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(Pending)
	for w, lives := range l.counts {
		if w <= window {
			continue
		}
		out[w] = make(map[string]Counts, len(lives))
		for life, counts := range lives {
			out[w][life] = maps.Clone(counts)
		}
	}
	return out
}

// maxLedgerWindows bounds the ledger, also against a gateway with a wild clock.
const maxLedgerWindows = 24

// Sum returns a window's counts over all gateways, without accounts of none.
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
