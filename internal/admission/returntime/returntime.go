// Package returntime says when a refused caller should come back.
//
// A time that is the same for everybody makes the refused come back together
// and be refused again. A Schedule gives each refused request a turn of its
// own, as far apart as the service can take them; Spread spaces those for
// whom no drain rate is known. Both are pure and depend on the request ID in
// place of a random source, so that a run can be repeated.
package returntime

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// The bounds of every return time. A shorter one costs more than it gains; a
// longer one is a guess.
const (
	Min = 50 * time.Millisecond
	Max = 10 * time.Minute
)

// jitterShare is how much of a return time without a schedule is jitter.
const jitterShare = 0.5

// Fraction maps a request ID evenly onto [0, 1).
func Fraction(id ident.Request) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
}

// Clamp bounds a return time.
func Clamp(d time.Duration) time.Duration { return min(max(d, Min), Max) }

// Spread returns a time between base and 1.5 times base, fixed by the ID.
func Spread(base time.Duration, id ident.Request) time.Duration {
	base = Clamp(base)
	return Clamp(base + time.Duration(float64(base)*jitterShare*Fraction(id)))
}

// Schedule hands out turns to refused requests. The zero value is empty.
type Schedule struct {
	// nextFree is when the first free turn begins.
	nextFree time.Time
}

// Book returns how long from now a request should wait. The turn lies no
// earlier than now+earliest and after all turns booked before; gap is the
// time that the service needs for one such request. Within its turn the
// caller's place is fixed by its ID.
func (s *Schedule) Book(now time.Time, earliest, gap time.Duration, id ident.Request) time.Duration {
	turn := now.Add(max(earliest, Min))
	if s.nextFree.After(turn) {
		turn = s.nextFree
	}
	if latest := now.Add(Max); turn.After(latest) {
		// Beyond the bound turns are not kept apart any more, or one long
		// rush would book hours.
		turn = latest
	}
	gap = max(gap, 0)
	s.nextFree = turn.Add(gap)
	return Clamp(turn.Sub(now) + time.Duration(float64(gap)*Fraction(id)))
}
