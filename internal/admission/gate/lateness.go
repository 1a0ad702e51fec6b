package gate

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
)

const (
	// goalTargetShare is the part of the first-token target within which first
	// tokens must come for a band's limit to grow.
	goalTargetShare = 0.8
	// lateSmoothing is the weight of one answer in the moving average of a
	// band's share of late answers.
	lateSmoothing = 0.1
	// shrinkLateShare is the share of late answers from which on a limit
	// shrinks. A lower share points to a single slow upstream, which ejection
	// deals with.
	shrinkLateShare = 0.2
	// maxInTimeLateShare is the share of late answers below which predictions
	// need no margin.
	maxInTimeLateShare = 0.1
	// overdueSamplesPerGoal is how many times per goal's duration the oldest
	// entry without a first token is counted as late again.
	overdueSamplesPerGoal = 4
	// minBandLimit is the smallest limit of a band, in requests in flight.
	minBandLimit = 2
)

// bandLimitConfig bounds the limits of bands. They begin high, so that a band is
// held back only once its answers come late.
var bandLimitConfig = concurrency.Config{Initial: 100, Min: minBandLimit, Max: 4096}

// lateness estimates how many requests of a band upstreams can answer in time.
//
// The slots don't show this: an engine with free places in its batch may have a
// long queue of prompts. Without this estimate, the first seconds of a load
// spike fill the engines with more long requests than they can handle. All of
// these, and short requests with them, are then answered late for a minute.
type lateness struct {
	// firstTokensReported is set once any first token was reported. Until then
	// the limit isn't applied, since the caller may not report them at all.
	firstTokensReported bool
	// limit is how many requests of the band may be in flight.
	limit *concurrency.Limit
	// lateShare is the share of recent answers that came late, 0 to 1.
	lateShare float64
	// grantedEntries are the granted entries in order of their grants. Entries
	// at the front that have had their first token or have ended stay until
	// sampleOverdue removes them.
	grantedEntries []*Entry
	// overdueSampledAt is when sampleOverdue last counted an entry as late.
	overdueSampledAt time.Time
}

func newLateness() lateness { return lateness{limit: concurrency.New(bandLimitConfig)} }

// firstTokenGoal returns the time within which the first token should come; 0
// if the class sets no target.
func firstTokenGoal(r *Request) time.Duration {
	return time.Duration(goalTargetShare * float64(firstTokenTarget(r)))
}

// FirstToken reports that a granted entry's first token arrived. A gate to which
// first tokens are reported limits each priority to the number of requests that
// upstreams answer in time. Further calls for the same entry have no effect.
func (g *Gate) FirstToken(now time.Time, e *Entry) {
	if e.state != stateGranted || e.firstTokenSeen {
		return
	}
	e.firstTokenSeen = true
	own := g.bands.forPriority(e.Item.Priority)
	own.firstTokensReported = true
	g.bands.observeFirstToken(own, e, now.Sub(e.grantedAt))
}

// observeFirstToken records how long a first token took, or how long it has been
// awaited so far.
//
// If many first tokens of the entry's band come late, a late one lowers the limit
// of the least urgent band that a smaller limit would hold back, or else of the
// entry's own band. Less urgent requests can wait best, and an engine that serves
// by priority is slow for an urgent request only when it is full of them.
func (b *bands) observeFirstToken(own *band, e *Entry, took time.Duration) {
	goal := firstTokenGoal(&e.Request)
	if goal == 0 {
		return
	}
	s := concurrency.Sample{Latency: took, Goal: goal, InFlight: e.inFlightAtGrant}
	if took <= goal {
		own.lateShare -= lateSmoothing * own.lateShare
		own.limit.Observe(s)
		return
	}
	own.lateShare += lateSmoothing * (1 - own.lateShare)
	if own.lateShare < shrinkLateShare {
		return
	}
	for i := len(b.byPriority) - 1; i >= 0; i-- {
		if x := b.byPriority[i]; x == own || x.canShrink() {
			x.limit.Observe(s)
			return
		}
	}
}

// mostlyInTime reports whether first tokens are reported and hardly any recent
// one came late.
func (l *lateness) mostlyInTime() bool {
	return l.firstTokensReported && l.lateShare < maxInTimeLateShare
}

// canShrink reports whether a smaller limit would hold the band back more than
// the present one does.
func (b *band) canShrink() bool {
	return b.firstTokensReported && b.inFlight > minBandLimit && b.inFlight <= b.limit.Value()
}

// sampleOverdue counts the entry that has waited longest for its first token as
// late once it is overdue. Otherwise an answer that never comes would never
// count.
func (b *bands) sampleOverdue(now time.Time, own *band) {
	for len(own.grantedEntries) > 0 && (own.grantedEntries[0].firstTokenSeen || own.grantedEntries[0].state != stateGranted) {
		own.grantedEntries[0] = nil
		own.grantedEntries = own.grantedEntries[1:]
	}
	if !own.firstTokensReported || len(own.grantedEntries) == 0 {
		return
	}
	e := own.grantedEntries[0]
	goal, waited := firstTokenGoal(&e.Request), now.Sub(e.grantedAt)
	if goal > 0 && waited > goal && now.Sub(own.overdueSampledAt) >= goal/overdueSamplesPerGoal {
		own.overdueSampledAt = now
		b.observeFirstToken(own, e, waited)
	}
}
