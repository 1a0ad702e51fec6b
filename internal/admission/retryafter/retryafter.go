// Package retryafter computes retry-after times: how long a caller whose request
// was refused should wait before it sends the request again.
//
// If all refused callers were given the same time, they would retry together
// and be refused again. A Schedule gives each refused request a turn of its own,
// and spaces the turns as the service can take them; Spread adds jitter where no
// drain rate is known. Both are pure and derive the jitter from the request ID
// instead of a random source, so that a run can be repeated.
package retryafter

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// The bounds of every retry-after time. A shorter time costs more than it gains;
// a longer one would be a guess.
const (
	Min = 50 * time.Millisecond
	Max = 10 * time.Minute
)

// jitterShare is the largest jitter that Spread adds, as a share of the base.
const jitterShare = 0.5

// Fraction maps a request ID evenly onto [0, 1).
func Fraction(id ident.Request) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
}

// Clamp bounds a retry-after time to Min and Max.
func Clamp(d time.Duration) time.Duration { return min(max(d, Min), Max) }

// Spread returns a retry-after time between base and 1.5 times base, within Min
// and Max. The request ID determines it.
func Spread(base time.Duration, id ident.Request) time.Duration {
	base = Clamp(base)
	return Clamp(base + time.Duration(float64(base)*jitterShare*Fraction(id)))
}

// Schedule books turns for refused requests. The zero value is an empty
// schedule. It is not safe for concurrent use.
type Schedule struct {
	// nextFree is when the first turn that isn't booked begins.
	nextFree time.Time
}

// Book books a turn for a refused request and returns its retry-after time. The
// turn begins no sooner than earliest from now, and after all turns that were
// booked before. Its length is gap, the time that the service needs for one such
// request. The request ID determines the time within the turn.
func (s *Schedule) Book(now time.Time, earliest, gap time.Duration, id ident.Request) time.Duration {
	turn := now.Add(max(earliest, Min))
	if s.nextFree.After(turn) {
		turn = s.nextFree
	}
	if latest := now.Add(Max); turn.After(latest) {
		// Turns beyond Max aren't kept apart: otherwise one long overload
		// would book turns for hours ahead.
		turn = latest
	}
	gap = max(gap, 0)
	s.nextFree = turn.Add(gap)
	return Clamp(turn.Sub(now) + time.Duration(float64(gap)*Fraction(id)))
}
