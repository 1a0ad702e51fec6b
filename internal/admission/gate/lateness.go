package gate

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
)

const (
	// goalTargetShare is the part of a target within which first tokens have to
	// come for a band to grow.
	goalTargetShare = 0.8
	// lateSmoothing is the weight of one answer in a band's share of late ones,
	// and lateShare the share from which on a limit shrinks: less is one
	// slow upstream, which is for ejection to find.
	lateSmoothing   = 0.1
	shrinkLateShare = 0.2
	// maxInTimeLateShare is the share of late answers below which predictions need no
	// margin.
	maxInTimeLateShare = 0.1
	// overdueSamplesPerGoal is how often in a goal's time the oldest entry without an
	// answer counts as late again.
	overdueSamplesPerGoal = 4
	// minBandLimit is the smallest limit of a band.
	minBandLimit = 2
)

// bandLimitConfig bound the limits of bands. They begin wide: a band is only held
// back once its answers come late.
var bandLimitConfig = concurrency.Config{Initial: 100, Min: minBandLimit, Max: 4096}

// lateness finds out how many requests of a band upstreams answer in time.
//
// Slots cannot tell: an engine with free places in its batch may have a long
// queue of prompts. Without it, the first seconds of a rush fill the engines
// with more long requests than they can hold; all of them come late, and short
// ones with them, for a minute.
type lateness struct {
	// firstTokensReported is set once any first token was told. Until then nothing is
	// judged, since the caller does not tell them at all.
	firstTokensReported bool
	limit               *concurrency.Limit
	// lateShare of recent answers that came late, 0 to 1.
	lateShare float64
	// grantedEntries are the granted entries in order. Those at the front may have been
	// answered or have ended meanwhile.
	grantedEntries   []*Entry
	overdueSampledAt time.Time
}

func newLateness() lateness { return lateness{limit: concurrency.New(bandLimitConfig)} }

// firstTokenGoal is the time within which the first token should come; 0 is none.
func firstTokenGoal(r *Request) time.Duration {
	return time.Duration(goalTargetShare * float64(firstTokenTarget(r)))
}

// FirstToken tells that a granted entry's first token came. Gates that are
// told first tokens limit each priority to what upstreams answer in time.
func (g *Gate) FirstToken(now time.Time, e *Entry) {
	if e.state != stateGranted || e.firstTokenSeen {
		return
	}
	e.firstTokenSeen = true
	own := g.bands.forPriority(e.Item.Priority)
	own.firstTokensReported = true
	g.bands.observeFirstToken(own, e, now.Sub(e.grantedAt))
}

// observeFirstToken takes in how long a first token took, or has taken so far.
//
// What comes late is charged to the least urgent band that it can hold back:
// its requests can wait best, and an engine that serves by priority is slow
// for an urgent request only when it is full of others.
func (b *bands) observeFirstToken(own *band, e *Entry, took time.Duration) {
	limit := firstTokenGoal(&e.Request)
	if limit == 0 {
		return
	}
	s := concurrency.Sample{Latency: took, Goal: limit, InFlight: e.inFlightAtGrant}
	if took <= limit {
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

// mostlyInTime reports whether hardly any answer came late of late.
func (l *lateness) mostlyInTime() bool {
	return l.firstTokensReported && l.lateShare < maxInTimeLateShare
}

// canShrink reports whether a smaller limit would hold the band back more than
// it is already.
func (b *band) canShrink() bool {
	return b.firstTokensReported && b.inFlight > minBandLimit && b.inFlight <= b.limit.Value()
}

// sampleOverdue counts the entry that has waited longest for its first token as late,
// if it is: an answer that does not come would otherwise tell nothing.
func (b *bands) sampleOverdue(now time.Time, own *band) {
	for len(own.grantedEntries) > 0 && (own.grantedEntries[0].firstTokenSeen || own.grantedEntries[0].state != stateGranted) {
		own.grantedEntries[0] = nil
		own.grantedEntries = own.grantedEntries[1:]
	}
	if !own.firstTokensReported || len(own.grantedEntries) == 0 {
		return
	}
	e := own.grantedEntries[0]
	limit, waited := firstTokenGoal(&e.Request), now.Sub(e.grantedAt)
	if limit > 0 && waited > limit && now.Sub(own.overdueSampledAt) >= limit/overdueSamplesPerGoal {
		own.overdueSampledAt = now
		b.observeFirstToken(own, e, waited)
	}
}
