package gate

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
)

const (
	// goalShare is the part of a target within which first tokens have to
	// come for a band to grow.
	goalShare = 0.8
	// lateMemory is the weight of one answer in a band's share of late ones,
	// and lateShare the share from which on a limit shrinks: less is one
	// slow upstream, which is for ejection to find.
	lateMemory = 0.1
	lateShare  = 0.2
	// inTimeShare is the share of late answers below which predictions need no
	// margin.
	inTimeShare = 0.1
	// judgeParts is how often in a goal's time the oldest entry without an
	// answer counts as late again.
	judgeParts = 4
	// leastLimit is the smallest limit of a band.
	leastLimit = 2
)

// bandLimits bound the limits of bands. They begin wide: a band is only held
// back once its answers come late.
var bandLimits = concurrency.Config{Initial: 100, Min: leastLimit, Max: 4096}

// lateness finds out how many requests of a band upstreams answer in time.
//
// Slots cannot tell: an engine with free places in its batch may have a long
// queue of prompts. Without it, the first seconds of a rush fill the engines
// with more long requests than they can hold; all of them come late, and short
// ones with them, for a minute.
type lateness struct {
	// heard is set once any first token was told. Until then nothing is
	// judged, since the caller does not tell them at all.
	heard bool
	limit *concurrency.Limit
	// share of recent answers that came late, 0 to 1.
	share float64
	// open are the granted entries in order. Those at the front may have been
	// answered or have ended meanwhile.
	open     []*Entry
	judgedAt time.Time
}

func newLateness() lateness { return lateness{limit: concurrency.New(bandLimits)} }

// goal is the time within which the first token should come; 0 is none.
func goal(r *Request) time.Duration {
	return time.Duration(goalShare * float64(target(r)))
}

// FirstToken tells that a granted entry's first token came. Gates that are
// told first tokens limit each priority to what upstreams answer in time.
func (g *Gate) FirstToken(now time.Time, e *Entry) {
	if e.state != granted || e.answered {
		return
	}
	e.answered = true
	own := g.bands.of(e.Item.Priority)
	own.heard = true
	g.bands.observe(own, e, now.Sub(e.grantedAt))
}

// observe takes in how long a first token took, or has taken so far.
//
// What comes late is charged to the least urgent band that it can hold back:
// its requests can wait best, and an engine that serves by priority is slow
// for an urgent request only when it is full of others.
func (b *bands) observe(own *band, e *Entry, took time.Duration) {
	limit := goal(&e.Request)
	if limit == 0 {
		return
	}
	s := concurrency.Sample{Latency: took, Goal: limit, InFlight: e.others}
	if took <= limit {
		own.share -= lateMemory * own.share
		own.limit.Observe(s)
		return
	}
	own.share += lateMemory * (1 - own.share)
	if own.share < lateShare {
		return
	}
	for i := len(b.list) - 1; i >= 0; i-- {
		if x := b.list[i]; x == own || x.yields() {
			x.limit.Observe(s)
			return
		}
	}
}

// inTime reports whether hardly any answer came late of late.
func (l *lateness) inTime() bool { return l.heard && l.share < inTimeShare }

// yields reports whether a smaller limit would hold the band back more than
// it is already.
func (b *band) yields() bool {
	return b.heard && b.inFlight > leastLimit && b.inFlight <= b.limit.Value()
}

// judge counts the entry that has waited longest for its first token as late,
// if it is: an answer that does not come would otherwise tell nothing.
func (b *bands) judge(now time.Time, own *band) {
	for len(own.open) > 0 && (own.open[0].answered || own.open[0].state != granted) {
		own.open[0] = nil
		own.open = own.open[1:]
	}
	if !own.heard || len(own.open) == 0 {
		return
	}
	e := own.open[0]
	limit, waited := goal(&e.Request), now.Sub(e.grantedAt)
	if limit > 0 && waited > limit && now.Sub(own.judgedAt) >= limit/judgeParts {
		own.judgedAt = now
		b.observe(own, e, waited)
	}
}
