package upstreamlimit

import (
	"math"
	"time"
)

const (
	// leastRate, requests a second, is what an upstream gets that takes less: it says only
	// in an answer that it takes more again.
	leastRate = 0.2
	// askedMemory is over how long it is counted how often an upstream is the best choice,
	// and sentMemory over how long what is sent to it.
	askedMemory = 3 * time.Second
	sentMemory  = 4 * time.Second
	// heardLate is by how much later the last of the other gateways begin to count, and are
	// heard, and soon the time within which a gateway's own requests show that more is asked.
	heardLate = 800 * time.Millisecond
	soon      = 400 * time.Millisecond
	// expectedPart of what was asked at most is expected again at any time, less and less
	// over expectedFor.
	expectedPart = 0.5
	expectedFor  = 30 * time.Second
	// fewAsked requests lately say next to nothing of how many will come.
	fewAsked = 3
	// unusedPart of what a rate allows in the memory counts as sent where less was: what
	// was not used in a time is not all to be had at once afterwards.
	unusedPart = 0.5
	// gain is how much less of its part is sent where more was sent than the limit allows,
	// and more where less was; mostGain bounds it.
	gain     = 4.0
	mostGain = 2.0
	// aim is the part of a rate that is aimed at: chance sends more than the rate in some
	// seconds, and what many gateways do is known late.
	aim = 0.95
)

// use is what this gateway and the others send to an upstream with a limit.
type use struct {
	// asked counts how often the upstream was the best choice here, and sent how often it
	// was sent a request. Both decay, up to at.
	asked, sent float64
	at          time.Time
	// othersAsked and othersSent are those of the other gateways.
	othersAsked, othersSent float64
	// credit grows with each request by the part of them that is sent; a whole one is spent
	// on each that is sent.
	credit float64
	// begun: sent holds this gateway's part of what was sent before it counted.
	begun bool
	// lately counts as asked does, over a shorter time, and settled follows asked as late as
	// the others are heard.
	lately, settled float64
	// expected is how often a second all gateways may choose the upstream again, by what they
	// asked before, as of expectedAt.
	expected   float64
	expectedAt time.Time
	// unused counts as sent beside what was, as of unusedAt; it decays.
	unused   float64
	unusedAt time.Time
}

// begin counts an even part of what the rate allows as sent: what was sent before is not
// known, and if it counted as nothing, all gateways would make up for it at once.
func (l *limit) begin(fleet Fleet) {
	if !l.begun {
		l.begun = true
		l.sent += l.allowed() * sentMemory.Seconds() / float64(max(fleet.Known, 1))
	}
}

// decay lets time pass.
func (u *use) decay(now time.Time) {
	elapsed := now.Sub(u.at).Seconds()
	if elapsed <= 0 {
		return
	}
	u.settled += (u.asked - u.settled) * (1 - math.Exp(-elapsed/heardLate.Seconds()))
	u.asked *= math.Exp(-elapsed / askedMemory.Seconds())
	u.lately *= math.Exp(-elapsed / soon.Seconds())
	u.sent *= math.Exp(-elapsed / sentMemory.Seconds())
	u.at = now
}

// allowed is the rate that all gateways together may send.
func (l *limit) allowed() float64 { return max(l.rate, leastRate) }

// share returns which part of the requests for which a limited upstream is the best choice
// is sent there.
type share func(l *limit, fleet Fleet, now time.Time) float64

// thinned is the part that makes all gateways' requests together the rate: of what they all
// ask for, the rate. It follows what they sent lately, so that what is sent by chance, or
// before they hear of each other, is less afterwards. A gateway that does not hear all others
// uses the part of the rate that those have which it hears.
func thinned(l *limit, fleet Fleet, now time.Time) float64 {
	rate := aim * l.allowed() * fleet.part()
	over := l.used(rate, now)/(rate*sentMemory.Seconds()) - 1
	factor := min(max(1-gain*over, 0), mostGain)
	return min(rate*factor/l.askedOfAll(fleet, now), 1)
}

// used is what counts as sent lately, at a rate.
func (l *limit) used(rate float64, now time.Time) float64 {
	sent := l.sent + l.othersSent
	l.unused *= math.Exp(-now.Sub(l.unusedAt).Seconds() / sentMemory.Seconds())
	l.unused, l.unusedAt = max(l.unused, unusedPart*rate*sentMemory.Seconds()-sent, 0), now
	return sent + l.unused
}

// askedOfAll is how often a second all gateways choose the upstream: what they asked lately,
// or what this gateway's own requests show, whichever is more. What goes wrong with the first
// alone: an upstream that was hardly asked becomes the best choice of all requests, and each
// gateway sends all that it is asked until it hears of the others.
func (l *limit) askedOfAll(fleet Fleet, now time.Time) float64 {
	memory, known := askedMemory.Seconds(), float64(max(fleet.Known, 1))
	counted := 1 - math.Exp(-max(now.Sub(l.since)-heardLate, soon/4).Seconds()/memory)
	asked := l.asked + l.othersAsked
	// Where next to nothing was asked, each gateway is taken to ask once.
	unknown := known / heardLate.Seconds() * math.Exp(-asked*asked/(fewAsked*fewAsked))
	// A single request shows nothing: among many gateways each has one now and then.
	part := (l.settled + 1/known) / (l.settled + l.othersAsked + 1)
	shown := max(l.lately-1, 0) / soon.Seconds() / part
	l.expect(now)
	return max(asked/counted/memory+unknown, shown, l.expected)
}

// expect notes what may be asked again.
func (l *limit) expect(now time.Time) {
	l.expected *= math.Exp(-now.Sub(l.expectedAt).Seconds() / expectedFor.Seconds())
	l.expected, l.expectedAt = max(l.expected, expectedPart*(l.asked+l.othersAsked)/askedMemory.Seconds()), now
}

// part is that of the gateways that are heard.
func (f Fleet) part() float64 { return float64(max(f.Heard, 1)) / float64(max(f.Known, f.Heard, 1)) }
