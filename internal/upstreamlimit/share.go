package upstreamlimit

import (
	"math"
	"time"
)

const (
	// leastRate, requests a second, is what an upstream gets that takes less: it says only
	// in an answer that it takes more again.
	minRate = 0.2
	// demandDecayTime is over how long it is counted how often an upstream is the best choice,
	// and sentMemory over how long what is sent to it.
	demandDecayTime = 3 * time.Second
	sentDecayTime   = 4 * time.Second
	// reportLag is by how much later the last of the other gateways begin to count, and are
	// heard, and soon the time within which a gateway's own requests show that more is asked.
	reportLag       = 800 * time.Millisecond
	recentDecayTime = 400 * time.Millisecond
	// expectedDemandShare of what was asked at most is expected again at any time, less and less
	// over expectedFor.
	expectedDemandShare = 0.5
	expectedDecayTime   = 30 * time.Second
	// fewRequests requests lately say next to nothing of how many will come.
	fewRequests = 3
	// minUsedShare of what a rate allows in the memory counts as sent where less was: what
	// was not used in a time is not all to be had at once afterwards.
	minUsedShare = 0.5
	// correctionGain is how much less of its part is sent where more was sent than the limit allows,
	// and more where less was; mostGain bounds it.
	correctionGain = 4.0
	maxCorrection  = 2.0
	// targetUtilization is the part of a rate that is aimed at: chance sends more than the rate in some
	// seconds, and what many gateways do is known late.
	targetUtilization = 0.95
)

// traffic is what this gateway and the others send to an upstream with a limit.
type traffic struct {
	// demand counts how often the upstream was the best choice here, and sent how often it
	// was sent a request. Both decay, up to at.
	demand, sent float64
	decayedAt    time.Time
	// othersDemand and othersSent are those of the other gateways.
	othersDemand, othersSent float64
	// credit grows with each request by the part of them that is sent; a whole one is spent
	// on each that is sent.
	credit float64
	// begun: sent holds this gateway's part of what was sent before it counted.
	sentSeeded bool
	// recentDemand counts as asked does, over a shorter time, and settled follows asked as late as
	// the others are heard.
	recentDemand, delayedDemand float64
	// expectedDemand is how often a second all gateways may choose the upstream again, by what they
	// asked before, as of expectedAt.
	expectedDemand   float64
	expectedDemandAt time.Time
	// assumedSent counts as sent beside what was, as of unusedAt; it decays.
	assumedSent   float64
	assumedSentAt time.Time
}

// seedSent counts an even part of what the rate allows as sent: what was sent before is not
// known, and if it counted as nothing, all gateways would make up for it at once.
func (l *limit) seedSent(fleet Fleet) {
	if !l.sentSeeded {
		l.sentSeeded = true
		l.sent += l.allowedRate() * sentDecayTime.Seconds() / float64(max(fleet.Known, 1))
	}
}

// decay lets time pass.
func (u *traffic) decay(now time.Time) {
	elapsed := now.Sub(u.decayedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	u.delayedDemand += (u.demand - u.delayedDemand) * (1 - math.Exp(-elapsed/reportLag.Seconds()))
	u.demand *= math.Exp(-elapsed / demandDecayTime.Seconds())
	u.recentDemand *= math.Exp(-elapsed / recentDecayTime.Seconds())
	u.sent *= math.Exp(-elapsed / sentDecayTime.Seconds())
	u.decayedAt = now
}

// allowedRate is the rate that all gateways together may send.
func (l *limit) allowedRate() float64 { return max(l.rate, minRate) }

// shareFunc returns which part of the requests for which a limited upstream is the best choice
// is sent there.
type shareFunc func(l *limit, fleet Fleet, now time.Time) float64

// demandShare is the part that makes all gateways' requests together the rate: of what they all
// ask for, the rate. It follows what they sent lately, so that what is sent by chance, or
// before they hear of each other, is less afterwards. A gateway that does not hear all others
// uses the part of the rate that those have which it hears.
func demandShare(l *limit, fleet Fleet, now time.Time) float64 {
	rate := targetUtilization * l.allowedRate() * fleet.heardShare()
	over := l.countedSent(rate, now)/(rate*sentDecayTime.Seconds()) - 1
	factor := min(max(1-correctionGain*over, 0), maxCorrection)
	return min(rate*factor/l.totalDemand(fleet, now), 1)
}

// countedSent is what counts as sent lately, at a rate.
func (l *limit) countedSent(rate float64, now time.Time) float64 {
	sent := l.sent + l.othersSent
	l.assumedSent *= math.Exp(-now.Sub(l.assumedSentAt).Seconds() / sentDecayTime.Seconds())
	l.assumedSent, l.assumedSentAt = max(l.assumedSent, minUsedShare*rate*sentDecayTime.Seconds()-sent, 0), now
	return sent + l.assumedSent
}

// totalDemand is how often a second all gateways choose the upstream: what they asked lately,
// or what this gateway's own requests show, whichever is more. What goes wrong with the first
// alone: an upstream that was hardly asked becomes the best choice of all requests, and each
// gateway sends all that it is asked until it hears of the others.
func (l *limit) totalDemand(fleet Fleet, now time.Time) float64 {
	memory, known := demandDecayTime.Seconds(), float64(max(fleet.Known, 1))
	counted := 1 - math.Exp(-max(now.Sub(l.limitedSince)-reportLag, recentDecayTime/4).Seconds()/memory)
	asked := l.demand + l.othersDemand
	// Where next to nothing was asked, each gateway is taken to ask once.
	unknown := known / reportLag.Seconds() * math.Exp(-asked*asked/(fewRequests*fewRequests))
	// A single request shows nothing: among many gateways each has one now and then.
	part := (l.delayedDemand + 1/known) / (l.delayedDemand + l.othersDemand + 1)
	shown := max(l.recentDemand-1, 0) / recentDecayTime.Seconds() / part
	l.updateExpectedDemand(now)
	return max(asked/counted/memory+unknown, shown, l.expectedDemand)
}

// updateExpectedDemand notes what may be asked again.
func (l *limit) updateExpectedDemand(now time.Time) {
	l.expectedDemand *= math.Exp(-now.Sub(l.expectedDemandAt).Seconds() / expectedDecayTime.Seconds())
	l.expectedDemand, l.expectedDemandAt = max(l.expectedDemand, expectedDemandShare*(l.demand+l.othersDemand)/demandDecayTime.Seconds()), now
}

// heardShare is that of the gateways that are heard.
func (f Fleet) heardShare() float64 {
	return float64(max(f.Heard, 1)) / float64(max(f.Known, f.Heard, 1))
}
