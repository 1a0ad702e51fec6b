package testkit

import (
	"sort"
	"time"
)

// RetryRule bounds the retries of a service that arrive in any window: Ratio times its requests, and Slack on top.
type RetryRule struct {
	Ratio, Slack float64
	Window       time.Duration
}

// Allowed returns how many retries may arrive in the window that ends at an instant. The requests are counted in
// that window, in the one before, or in the one half a window earlier, whichever has most; they are sorted.
func (r RetryRule) Allowed(requests []time.Time, end time.Time) float64 {
	most := 0
	for _, earlier := range []time.Duration{0, r.Window / 2, r.Window} {
		most = max(most, CountBetween(requests, end.Add(-earlier-r.Window), end.Add(-earlier)))
	}
	return r.Ratio*float64(most) + r.Slack
}

// Arrived returns how many of the retries, which are sorted, arrived in the window that ends at an instant.
func (r RetryRule) Arrived(retries []time.Time, end time.Time) int {
	return CountBetween(retries, end.Add(-r.Window), end)
}

// Worst returns the retries in the window that has the largest share of what is allowed, and what is allowed
// there. Both lists are sorted.
func (r RetryRule) Worst(requests, retries []time.Time) (arrived int, allowed float64) {
	allowed = 1
	for _, end := range retries {
		n, limit := r.Arrived(retries, end), r.Allowed(requests, end)
		if float64(n)/limit > float64(arrived)/allowed {
			arrived, allowed = n, limit
		}
	}
	return arrived, allowed
}

// CountBetween counts the sorted times after one instant and not after another.
func CountBetween(times []time.Time, after, until time.Time) int {
	index := func(t time.Time) int {
		return sort.Search(len(times), func(i int) bool { return times[i].After(t) })
	}
	return index(until) - index(after)
}
