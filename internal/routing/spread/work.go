package spread

import (
	"math"
	"time"
)

const (
	// reportAge is how old the other gateways' loads are on average.
	reportAge = 300 * time.Millisecond
	// sampleWeight is the weight of the newest sample in the mean.
	sampleWeight = 0.1
)

// Work learns how long a service's requests take in a slot. The zero value knows nothing.
type Work struct{ mean time.Duration }

// Learn adds a request that took so long at an upstream with so many slots and others before it, some of
// which it may have waited for.
func (w *Work) Learn(elapsed time.Duration, before, slots int) {
	rounds := max(1, float64(before+1)/float64(max(1, slots)))
	work := time.Duration(float64(elapsed) / rounds)
	if w.mean == 0 {
		w.mean = work
		return
	}
	w.mean += time.Duration(sampleWeight * float64(work-w.mean))
}

// Mean returns the mean time that requests take in a slot; 0 if it isn't known.
func (w *Work) Mean() time.Duration { return w.mean }

// Kept returns the part of the requests in progress at the time of the others' reports that still are.
func (w *Work) Kept() float64 {
	if w.mean <= 0 {
		return 0
	}
	return math.Exp(-reportAge.Seconds() / w.mean.Seconds())
}
