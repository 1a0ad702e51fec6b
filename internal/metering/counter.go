// Package metering counts the requests that began to run, by client account and
// window of true time, over all gateways, and reports them once a window.
package metering

import (
	"maps"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Counts is how many requests of each account began to run.
type Counts map[ident.ClientAccount]int64

// keptWindows is how many windows of counts a gateway keeps: the newest one, and
// those whose report may still be due.
const keptWindows = 5

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

// Began implements forward.Meter. Time that a clock shows wrongly is corrected
// by the other gateways', so the instant that the caller knows is not used.
func (c *Counter) Began(account ident.ClientAccount, _ time.Time) {
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
		c.forget()
	}
	counts[account]++
}

// forget drops the oldest windows beyond those kept.
func (c *Counter) forget() {
	for len(c.windows) > keptWindows {
		oldest := int64(0)
		for window := range c.windows {
			if oldest == 0 || window < oldest {
				oldest = window
			}
		}
		delete(c.windows, oldest)
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

// Ledger joins the gateways' counts. A gateway that is gone keeps its part, so
// that what it began is not forgotten with it. It is safe for concurrent use.
type Ledger struct {
	mu sync.Mutex
	// counts by window, and by gateway and incarnation.
	counts map[int64]map[string]Counts
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{counts: make(map[int64]map[string]Counts)} }

// Hear takes in one gateway's counts; later ones of the same life replace them.
func (l *Ledger) Hear(gateway string, windows map[int64]map[ident.ClientAccount]int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for window, counts := range windows {
		of := l.counts[window]
		if of == nil {
			of = make(map[string]Counts)
			l.counts[window] = of
		}
		of[gateway] = counts
	}
	l.forget()
}

// ledgerWindows bounds the ledger, also against a gateway with a wild clock.
const ledgerWindows = 24

func (l *Ledger) forget() {
	for len(l.counts) > ledgerWindows {
		first := true
		oldest := int64(0)
		for window := range l.counts {
			if first || window < oldest {
				oldest, first = window, false
			}
		}
		delete(l.counts, oldest)
	}
}

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
