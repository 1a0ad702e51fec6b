// Package quota enforces each client account's rate limit over all gateways together, without any
// communication per request.
//
// Each gateway keeps a token bucket for the account's whole limit. It deducts what it admits at
// once, deducts what the other gateways admit when their reports arrive, and assumes that each of
// them keeps spending at its last known rate until its next report. A gateway that doesn't hear all
// others (receives no reports from some) refills its bucket only with the share of the gateways that
// it hears, so that the two sides of a network partition together never admit more than the limit.
package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// rateAveragingTime is the time over which rates are averaged. It spans a few requests at each
	// gateway and is short compared with a load spike of an account.
	rateAveragingTime = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the retry-after time that a refused caller is given.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// minFillRate, per second, is the refill rate below which this gateway's share counts as
	// unknown, because its callers have only begun to send requests.
	minFillRate = 1e-6
	// startupPeriod is the time after its start in which a gateway knows few of the others and
	// admits only a small share of the limits. A caller that is refused then is given a retry-after
	// time of at most startupMaxRetryAfter: after two rounds of reports the gateway knows all
	// others.
	startupPeriod        = time.Second
	startupMaxRetryAfter = 300 * time.Millisecond
)

// Tolerance is the amount by which an account may exceed its limit in a window before that counts
// as a violation.
type Tolerance struct {
	Window time.Duration
	// Overage is a fraction of what the limit allows in a window. Slack is an amount on top of
	// that, in the account's unit (requests or tokens).
	Overage, Slack float64
}

// burstToleranceShare and rateToleranceShare are the shares of the tolerance that are given to
// callers, on top of the burst and, spread over the window, on top of the rate. Requests that stay
// just below the limit come in bursts, and some would be refused at random without these shares.
// The rest covers what gateways admit before they receive each other's reports.
//
// overdraftToleranceShare is the share by which all gateways together may overdraw the bucket, one
// request each. The three shares may add up to more than 1, because the gateways seldom all overdraw
// at once, and each of them then does so by half a request on average.
const (
	burstToleranceShare     = 0.25
	rateToleranceShare      = 0.35
	overdraftToleranceShare = 1.0
	// lagWithoutTolerance is the mean age of reports from which on callers get no tolerance: the
	// gateways need all of it for what they admit before they receive each other's reports.
	lagWithoutTolerance = time.Second
)

const (
	// A request that costs at most smallRequestBurstShare of the burst costs next to nothing. It is
	// admitted even if the bucket is overdrawn, as long as the overdraft is below
	// smallRequestMaxOverdraft of the burst. Without this rule a posting of 200 tokens is refused
	// because a draft took 20,000: two in a hundred postings and status reads were refused so. A sixth of a
	// busy account's requests are that small, and they cost a fiftieth of its tokens.
	smallRequestBurstShare   = 0.003
	smallRequestMaxOverdraft = 0.25
)

// initialFillShare is the fraction of a bucket that is filled at the start. What was admitted just
// before the start is unknown, and all gateways may have started at once.
const initialFillShare = 0.25

// OtherGateways holds the other gateways' reports on one account.
type OtherGateways struct {
	// Known counts the gateways that may admit requests, without this one.
	Known int
	// Reports are the latest reports of the gateways that are heard. Each has a different Name.
	Reports []Report
}

// Report is the latest report on an account from another gateway, or the sum for a group of
// gateways.
type Report struct {
	// Name identifies the gateway or the group.
	Name string
	// Source is the process that added up the totals. Totals of different sources can't be
	// compared.
	Source string
	// Gateways is the number of gateways that the report covers.
	Gateways int
	// Spent and Refused are the admitted and the refused cost since the source started.
	Spent, Refused float64
	// Age is the time since the report was made.
	Age time.Duration
}

// Limiter admits or refuses requests by their accounts' limits. It is safe for concurrent use.
type Limiter struct {
	tolerance Tolerance
	// otherGateways returns the other gateways' reports on an account, with ages as of the given
	// time.
	otherGateways func(ident.ClientAccount, time.Time) OtherGateways

	mu       sync.Mutex
	started  time.Time
	accounts map[ident.ClientAccount]*account
}

type account struct {
	// level is the content of the bucket. It is negative when more than the limit was admitted.
	level float64
	// shareLevel is the content of this gateway's share of the bucket. It decides while demand
	// exceeds the rate. If the whole bucket decided then, all gateways would spend the same refill,
	// find the bucket overdrawn when they receive each other's reports, and refuse everything for
	// half a second at a time, postings that cost next to nothing included (half of those were
	// refused at four times the limit with nine gateways; with shares, one in twelve at most).
	shareLevel float64
	// filledAt is the time up to which the bucket was refilled.
	filledAt time.Time
	// allowance, heard and known are as of the reports applied last.
	allowance
	heard, known int
	// admittedTotal and requestedTotal are the costs that this gateway admitted and was asked for
	// since its start.
	admittedTotal, requestedTotal float64
	ownDemand                     rateMeter
	groups                        map[string]*groupUsage
	// refreshedAt is the time up to which the groups' estimated spending was added.
	refreshedAt time.Time
}

// groupUsage is one account's usage at another gateway or a group of gateways.
type groupUsage struct {
	source string
	// reportedSpent is the spending by the newest report, which was made at reportedAt.
	reportedSpent float64
	reportedAt    time.Time
	// estimatedSpent is the estimated spending since reportedAt, which is already deducted from the
	// bucket.
	estimatedSpent   float64
	spending, demand rateMeter
}

// rateMeter measures the rate per second at which a total grows.
type rateMeter struct {
	last float64
	rate float64
	at   time.Time
	// known is set once two totals were compared.
	known bool
}

// update records a total and returns its rate per second.
func (r *rateMeter) update(total float64, now time.Time) float64 {
	if r.at.IsZero() {
		r.last, r.at = total, now
		return 0
	}
	elapsed := now.Sub(r.at)
	if elapsed < rateAveragingTime/10 {
		return r.rate
	}
	weight := min(1, elapsed.Seconds()/rateAveragingTime.Seconds())
	if !r.known {
		// The first measurement is taken as it is. Averaged with the initial zero, the rate would
		// be too low for seconds.
		r.known, weight = true, 1
	}
	r.rate += weight * ((total-r.last)/elapsed.Seconds() - r.rate)
	r.last, r.at = total, now
	return r.rate
}

// NewLimiter returns a limiter that has admitted nothing. The function others returns the other
// gateways' reports on an account, as of a time.
func NewLimiter(tolerance Tolerance, others func(ident.ClientAccount, time.Time) OtherGateways, now time.Time) *Limiter {
	return &Limiter{tolerance: tolerance, otherGateways: others, started: now, accounts: make(map[ident.ClientAccount]*account)}
}

// Decision tells whether a request is admitted, and the values that decided it.
type Decision struct {
	OK bool
	// RetryAfter is the retry-after time of a refused request.
	RetryAfter time.Duration
	// Level is the content of the bucket, or of this gateway's share of it. Need is the content
	// that the request needs.
	Level, Need float64
	// DemandRate is the cost that callers request of all gateways per second.
	DemandRate float64
	// Heard counts the gateways that are heard and Known those that may admit requests, both with
	// this one.
	Heard, Known int
}

// Admit deducts a request's cost from its account's bucket, or refuses the request and estimates
// when it would be admitted. One request may overdraw the bucket by a share of the tolerance, so
// that large requests are admitted about as often as small ones. If the whole cost had to be in the
// bucket, the small requests of an account at its limit would leave nothing for the large ones.
func (l *Limiter) Admit(limit *routetable.Account, cost float64, now time.Time) Decision {
	if limit.Rate <= 0 {
		return Decision{OK: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account(limit, now)
	a.requestedTotal += cost
	a.advance(now)
	d := Decision{Level: a.level, Need: max(0, min(cost, a.burst)-a.overdraft), DemandRate: a.totalDemand, Heard: a.heard, Known: a.known}
	rate := a.rate
	if a.share < 1 {
		// Demand exceeds the rate, so this gateway's share decides.
		rate *= a.share
		d.Level, d.Need = a.shareLevel, min(d.Need, a.burst*a.share)
	}
	small := cost <= smallRequestBurstShare*a.burst && a.level > -smallRequestMaxOverdraft*a.burst
	if d.Level >= d.Need || small {
		a.level -= cost
		a.shareLevel -= cost
		a.admittedTotal += cost
		d.OK = true
		return d
	}
	d.RetryAfter = l.retryAfter(d, rate, now)
	return d
}

// retryAfter estimates when a refused request may be admitted, from the rate at which its bucket
// refills.
func (l *Limiter) retryAfter(d Decision, rate float64, now time.Time) time.Duration {
	if rate < minFillRate {
		// The share of this gateway will be known after the next report.
		return minRetryAfter
	}
	longest := maxRetryAfter
	if now.Sub(l.started) < startupPeriod && d.Heard < d.Known {
		longest = startupMaxRetryAfter
	}
	// The bound is applied in seconds: at a small rate the time overflows a time.Duration.
	seconds := min((d.Need-d.Level)/rate, longest.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// allowance is what this gateway may use of an account's limit at present.
type allowance struct {
	// rate, per second, and burst are the parts of the limit for all gateways that are heard,
	// together.
	rate, burst float64
	// overdraft is the amount by which one request may overdraw the bucket at this gateway.
	overdraft float64
	// othersSpendingRate is the expected spending of the other gateways per second.
	othersSpendingRate float64
	// totalDemand is the cost requested per second at all gateways that are heard.
	totalDemand float64
	// share is this gateway's fraction of the total demand while the total demand exceeds the
	// rate, otherwise 1.
	share float64
}

// effectiveLimits returns an account's rate, burst and overdraft with the tolerance that callers
// get when the gateways' reports have the given mean age.
func (l *Limiter) effectiveLimits(limit *routetable.Account, lag time.Duration) (rate, burst, overdraft float64) {
	t := l.tolerance
	tolerated := t.Overage*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
	tolerated *= max(0, 1-lag.Seconds()/lagWithoutTolerance.Seconds())
	return limit.Rate + rateToleranceShare*tolerated/t.Window.Seconds(), limit.Burst + burstToleranceShare*tolerated, overdraftToleranceShare * tolerated
}

// counts returns how many gateways are heard and how many may admit requests, both with this one.
func (o OtherGateways) counts() (heard, known int) {
	heard = 1
	for _, r := range o.Reports {
		heard += r.Gateways
	}
	return heard, max(o.Known+1, heard)
}

// heardShare returns the fraction of the gateways that is heard.
func (o OtherGateways) heardShare() float64 {
	heard, known := o.counts()
	return float64(heard) / float64(known)
}

// meanAge returns the mean age of the reports, weighted by their gateways.
func (o OtherGateways) meanAge() time.Duration {
	if len(o.Reports) == 0 {
		return 0
	}
	sum, gateways := time.Duration(0), 0
	for _, r := range o.Reports {
		sum += time.Duration(r.Gateways) * r.Age
		gateways += r.Gateways
	}
	return sum / time.Duration(max(1, gateways))
}

// ApplyReports applies the other gateways' reports to the accounts with the given limits. Call it
// with every round of reports: then other gateways' spending is deducted in small steps, and Admit
// doesn't have to go through the reports.
func (l *Limiter) ApplyReports(limits []routetable.Account, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range limits {
		if limit := &limits[i]; limit.Rate > 0 {
			l.refreshAccount(l.account(limit, now), limit, l.otherGateways(limit.Name, now), now)
		}
	}
}

// account returns an account's state. If the account is new to this gateway, the other gateways'
// reports on it are applied first.
func (l *Limiter) account(limit *routetable.Account, now time.Time) *account {
	a := l.accounts[limit.Name]
	if a == nil {
		others := l.otherGateways(limit.Name, now)
		_, burst, _ := l.effectiveLimits(limit, 0)
		a = &account{level: initialFillShare * burst * others.heardShare(), filledAt: l.started, refreshedAt: l.started, groups: make(map[string]*groupUsage)}
		l.accounts[limit.Name] = a
		l.refreshAccount(a, limit, others, now)
	}
	return a
}

// advance refills the bucket up to now and deducts the other gateways' expected spending.
func (a *account) advance(now time.Time) {
	elapsed := max(now.Sub(a.filledAt).Seconds(), 0)
	a.filledAt = now
	a.level = min(a.level+(a.rate-a.othersSpendingRate)*elapsed, a.burst)
	// The whole bucket's level sets how fast the share refills: not at all when the bucket is
	// overdrawn by a burst, at twice the rate when it is full. This keeps the whole bucket from
	// staying overdrawn or filling up.
	fillFactor := 1 + min(max(a.level/max(a.burst, 1), -1), 1)
	a.shareLevel = min(a.shareLevel+a.rate*a.share*fillFactor*elapsed, a.burst*a.share)
}

// refreshAccount applies the other gateways' reports: it deducts what they spent beyond the
// estimate and updates their rates.
func (l *Limiter) refreshAccount(a *account, limit *routetable.Account, others OtherGateways, now time.Time) {
	heardShare, lag := others.heardShare(), others.meanAge()
	rate, burst, overdraft := l.effectiveLimits(limit, lag)
	a.rate, a.burst = rate*heardShare, burst*heardShare
	heardBefore := a.heard
	a.heard, a.known = others.counts()
	a.scaleOverdraft(heardBefore)
	a.overdraft = overdraft / float64(a.known)
	a.advance(now)
	elapsed := max(now.Sub(a.refreshedAt).Seconds(), 0)
	a.refreshedAt = now
	a.othersSpendingRate, a.totalDemand = 0, a.ownDemand.update(a.requestedTotal, now)
	for i := range others.Reports {
		r := &others.Reports[i]
		g := a.groups[r.Name]
		if g == nil {
			g = &groupUsage{source: r.Source, reportedSpent: r.Spent, reportedAt: now.Add(-r.Age)}
			a.groups[r.Name] = g
		}
		g.estimatedSpent += g.spending.rate * elapsed
		a.level -= g.applyReport(r, now)
		a.othersSpendingRate += g.spending.rate
		a.totalDemand += g.demandRate(r, a.ownDemand.rate)
	}
	a.removeUnheard(others)
	a.level = min(a.level, a.burst)
	a.updateShare()
}

// scaleOverdraft scales the overdraft when the number of gateways that share the bucket changes,
// because the gateways' overdrafts add up. Otherwise, after all gateways were killed and restarted,
// each would drop the others' overdrafts from the time before they heard each other, and all would
// overdraw again.
func (a *account) scaleOverdraft(heardBefore int) {
	if heardBefore > 0 && a.level < 0 {
		a.level *= float64(a.heard) / float64(heardBefore)
	}
}

// updateShare sets this gateway's share to its fraction of the total demand while the total demand
// exceeds the rate, otherwise to 1.
func (a *account) updateShare() {
	share := 1.0
	if a.totalDemand > a.rate {
		share = a.ownDemand.rate / a.totalDemand
	}
	if a.share == 1 && share < 1 {
		// The share starts with its fraction of what is left in the bucket.
		a.shareLevel = share * a.level
	}
	a.share = share
}

// applyReport records a report and returns by how much the spending up to now exceeds what was
// already deducted.
func (g *groupUsage) applyReport(r *Report, now time.Time) float64 {
	at := now.Add(-r.Age)
	if r.Source != g.source {
		g.switchSource(r, at)
		return 0
	}
	if !at.After(g.reportedAt) {
		return 0
	}
	g.demand.update(r.Spent+r.Refused, at)
	g.spending.update(r.Spent, at)
	sinceReport := g.spending.rate * r.Age.Seconds()
	excess := r.Spent - g.reportedSpent - g.estimatedSpent + sinceReport
	g.reportedSpent, g.reportedAt, g.estimatedSpent = r.Spent, at, sinceReport
	return excess
}

// demandRate returns the cost requested per second at the group's gateways. As long as the demand is
// unknown, each of them is assumed to have the same demand as this gateway, ownRate. If unknown
// demand counted as zero, then after all gateways were killed and restarted, each would take the
// whole refill as its share at the moment in which they hear each other again.
func (g *groupUsage) demandRate(r *Report, ownRate float64) float64 {
	if !g.demand.known {
		return ownRate * float64(r.Gateways)
	}
	return g.demand.rate
}

// switchSource continues from another source's totals and keeps the measured rates. Without the
// rates, a gateway that begins to hear the others through another collector would take an account
// far beyond its limit for an almost unused one.
func (g *groupUsage) switchSource(r *Report, at time.Time) {
	g.source = r.Source
	g.reportedSpent, g.reportedAt = r.Spent, at
	g.estimatedSpent = g.spending.rate * r.Age.Seconds()
	g.spending.last, g.spending.at = r.Spent, at
	g.demand.last, g.demand.at = r.Spent+r.Refused, at
}

// removeUnheard removes the groups that are no longer heard. The bucket isn't refilled with their
// share meanwhile, so what they spend in that time must not be deducted when they are heard again.
func (a *account) removeUnheard(others OtherGateways) {
	if len(a.groups) == len(others.Reports) {
		return
	}
	for name := range a.groups {
		if !slices.ContainsFunc(others.Reports, func(r Report) bool { return r.Name == name }) {
			delete(a.groups, name)
		}
	}
}

// Total is the cost that a gateway admitted and refused for an account since its start.
type Total struct{ Spent, Refused float64 }

// Totals returns this gateway's totals by account, without accounts that requested nothing.
func (l *Limiter) Totals() map[ident.ClientAccount]Total {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[ident.ClientAccount]Total, len(l.accounts))
	for name, a := range l.accounts {
		if a.requestedTotal > 0 {
			out[name] = Total{Spent: a.admittedTotal, Refused: a.requestedTotal - a.admittedTotal}
		}
	}
	return out
}
