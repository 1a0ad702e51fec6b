package upstreamlimit

import (
	"math"
	"time"
)

const (
	// minRate, in requests per second, is sent to an upstream even if its limit is lower: only in
	// an answer can it announce that it accepts more again.
	minRate = 0.2
	// demandDecayTime and sentDecayTime are the times over which the counts of demand and of sent
	// requests decay by a factor of e.
	demandDecayTime = 3 * time.Second
	sentDecayTime   = 4 * time.Second
	// ReportLag is the delay until the last of the other gateways have begun to count and their
	// counts have arrived. recentDecayTime is the time within which a gateway's own requests show a
	// rise in demand.
	ReportLag       = 800 * time.Millisecond
	recentDecayTime = 400 * time.Millisecond
	// expectedDemandShare of the highest demand so far is expected to come again at any time. The
	// expectation decays over expectedDecayTime.
	expectedDemandShare = 0.5
	expectedDecayTime   = 30 * time.Second
	// Fewer recent requests than fewRequests hardly tell how many will come.
	fewRequests = 3
	// gatewaysPerRequest is the number of gateways beyond which one more recent request is needed to
	// tell how many will come.
	gatewaysPerRequest = 16
	// usualDeviations is how many standard deviations a gateway's requests vary from their mean.
	usualDeviations = 2
	// minUsedShare is the least share of what the rate allows in sentDecayTime that counts as sent:
	// requests that were not sent in a pause must not all be sent at once afterwards.
	minUsedShare = 0.5
	// correctionGain is how strongly the share is lowered when more was sent than the limit allows,
	// and raised when less was. maxCorrection bounds the factor.
	correctionGain = 4.0
	maxCorrection  = 2.0
	// targetUtilization is the fraction of a rate that is aimed at, because in some seconds more
	// than the rate is sent by chance, and what many gateways send is known late.
	targetUtilization = 0.95
)

// traffic is what this gateway and the others send to a limited upstream.
type traffic struct {
	// demand counts the requests for which the upstream was the best choice here, and sent those
	// that it was sent. Both have decayed up to decayedAt.
	demand, sent float64
	decayedAt    time.Time
	// othersDemand and othersSent are the counts of the other gateways.
	othersDemand, othersSent float64
	// credit grows with each request by the share of requests that is sent, and falls by 1 with
	// each request that is sent.
	credit float64
	// sentSeeded is set once sent includes this gateway's share of what was sent before counting
	// began.
	sentSeeded bool
	// recentDemand counts like demand but decays over recentDecayTime.
	recentDemand float64
	// delayedDemand is demand as it was at least ReportLag ago, like the counts of the other
	// gateways. An average that follows demand would soon exceed counts that haven't arrived.
	// sampledDemand becomes delayedDemand ReportLag after sampledAt.
	delayedDemand, sampledDemand float64
	sampledAt                    time.Time
	// expectedDemand is how many requests per second may choose the upstream again at all gateways,
	// judged by earlier demand, as of expectedDemandAt.
	expectedDemand   float64
	expectedDemandAt time.Time
	// assumedSent counts as sent in addition to what was. It has decayed up to assumedSentAt.
	assumedSent   float64
	assumedSentAt time.Time
}

// seedSent counts this gateway's even share of what the rate allows as sent. What was sent before
// is unknown; if it counted as zero, all gateways would send the difference at once.
func (l *limit) seedSent(fleet Fleet) {
	if !l.sentSeeded {
		l.sentSeeded = true
		l.sent += l.allowedRate() * sentDecayTime.Seconds() / float64(max(fleet.Known, 1))
	}
}

// decay lets the counts decay up to now.
func (t *traffic) decay(now time.Time) {
	elapsed := now.Sub(t.decayedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	if now.Sub(t.sampledAt) >= ReportLag {
		t.delayedDemand, t.sampledDemand, t.sampledAt = t.sampledDemand, t.demand, now
	}
	t.demand *= math.Exp(-elapsed / demandDecayTime.Seconds())
	t.recentDemand *= math.Exp(-elapsed / recentDecayTime.Seconds())
	t.sent *= math.Exp(-elapsed / sentDecayTime.Seconds())
	t.decayedAt = now
}

// allowedRate returns how many requests per second all gateways together may send.
func (l *limit) allowedRate() float64 { return max(l.rate, minRate) }

// shareFunc returns the fraction of the requests for which a limited upstream is the best choice
// that is sent to it.
type shareFunc func(l *limit, fleet Fleet, now time.Time) float64

// demandShare returns the rate divided by the demand at all gateways, so that all together send the
// rate. It is corrected by what they sent lately: if more than the rate was sent, by chance or
// before the gateways received each other's reports, less is sent afterwards. A gateway that doesn't
// hear all others uses the heard gateways' share of the rate.
func demandShare(l *limit, fleet Fleet, now time.Time) float64 {
	rate := targetUtilization * l.allowedRate() * fleet.heardShare()
	excess := l.countedSent(rate, now)/(rate*sentDecayTime.Seconds()) - 1
	factor := min(max(1-correctionGain*excess, 0), 1+(maxCorrection-1)*l.establishedShare(fleet))
	return min(rate*factor/l.totalDemand(fleet, now), 1)
}

// establishedShare returns 1 if all gateways know of each other's demand and 0 if there was next to
// none until now. The more gateways there are, the more requests may come in one moment.
func (l *limit) establishedShare(fleet Fleet) float64 {
	gateways := float64(max(fleet.Known, 1))
	// A gateway knows its own demand at once: with few others, little else is unknown.
	known := l.delayedDemand + l.othersDemand + max(l.demand-l.delayedDemand, 0)/gateways
	few := max(fewRequests, gateways/gatewaysPerRequest)
	return 1 - math.Exp(-known*known/(few*few))
}

// countedSent returns how many requests count as recently sent, at least minUsedShare of what the
// rate allows.
func (l *limit) countedSent(rate float64, now time.Time) float64 {
	sent := l.sent + l.othersSent
	l.assumedSent *= math.Exp(-now.Sub(l.assumedSentAt).Seconds() / sentDecayTime.Seconds())
	l.assumedSent, l.assumedSentAt = max(l.assumedSent, minUsedShare*rate*sentDecayTime.Seconds()-sent, 0), now
	return sent + l.assumedSent
}

// totalDemand returns how many requests per second choose the upstream at all gateways. It is the
// highest of the recent demand of all, the demand that this gateway's latest requests suggest, the
// expected demand, and the demand if this gateway's latest rise is the same at all. With the recent demand alone, when an upstream that was hardly ever chosen
// becomes the best choice for all requests, each gateway would send all of its own until it receives
// the others' reports.
func (l *limit) totalDemand(fleet Fleet, now time.Time) float64 {
	decaySeconds, known := demandDecayTime.Seconds(), float64(max(fleet.Known, 1))
	// counted is how much of the full count has built up since the limit became known.
	counted := 1 - math.Exp(-max(now.Sub(l.limitedSince)-ReportLag, recentDecayTime/4).Seconds()/decaySeconds)
	demand := l.demand + l.othersDemand
	// If the demand was next to nothing, each gateway is assumed to have one request within
	// ReportLag.
	assumed := known / ReportLag.Seconds() * math.Exp(-demand*demand/(fewRequests*fewRequests))
	// The latest requests here are scaled up by this gateway's share of the demand. A single
	// request shows nothing: among many gateways each has one now and then.
	ownShare := (l.delayedDemand + 1/known) / (l.delayedDemand + l.othersDemand + 1)
	suggested := max(l.recentDemand-1, 0) / recentDecayTime.Seconds() / ownShare
	l.updateExpectedDemand(now)
	return max(demand/counted/decaySeconds+assumed, suggested, l.expectedDemand, l.surgeDemand(known))
}

// surgeDemand returns how many requests per second choose the upstream if all gateways now have as many
// more requests than before as this one. It is 0 while this gateway's requests vary as usual.
func (l *limit) surgeDemand(known float64) float64 {
	usual := l.delayedDemand * recentDecayTime.Seconds() / demandDecayTime.Seconds()
	more := l.recentDemand - 1 - usual - usualDeviations*math.Sqrt(usual)
	return max(more, 0) / recentDecayTime.Seconds() * known
}

// updateExpectedDemand lets the expected demand decay and raises it if the present demand is higher
// than before.
func (l *limit) updateExpectedDemand(now time.Time) {
	l.expectedDemand *= math.Exp(-now.Sub(l.expectedDemandAt).Seconds() / expectedDecayTime.Seconds())
	l.expectedDemand, l.expectedDemandAt = max(l.expectedDemand, expectedDemandShare*(l.demand+l.othersDemand)/demandDecayTime.Seconds()), now
}

// heardShare returns the fraction of the gateways that is heard.
func (f Fleet) heardShare() float64 {
	return float64(max(f.Heard, 1)) / float64(max(f.Known, f.Heard, 1))
}
