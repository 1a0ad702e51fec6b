// Package quota keeps client accounts within their limits over all gateways,
// without a word to anyone per request.
//
// Each gateway keeps a bucket of the whole limit. It takes its own admissions
// out at once, those of the others as their reports come, and expects of each that
// it goes on spending as it did until the next report. A gateway that does not
// hear all the others fills its bucket only with the part of those that it hears,
// so that the sides of a cut never admit more than the limit together.
package quota

import (
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// rateAveragingTime is over how long rates are measured: long enough for a few
	// requests at each gateway, short against a surge of an account.
	rateAveragingTime = 2 * time.Second
	// minRetryAfter and mostAfter bound when a refused caller is told to return.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// leastRate, a second, is that of a part which is not known yet: this gateway's
	// callers have only begun to ask.
	minFillRate = 1e-6
	// startupPeriod is for how long after its start a gateway knows few of the others and
	// gives a small part of the limits, and settledAfter when a caller that it refuses
	// then is told to return: after two rounds of reports it knows them all.
	startupPeriod        = time.Second
	startupMaxRetryAfter = 300 * time.Millisecond
)

// Tolerance is by how much an account may exceed its limit in a window before it
// counts as exceeded.
type Tolerance struct {
	Window time.Duration
	// Overage is a part of what the limit allows in a window, Slack an amount
	// beside it, in the account's unit.
	Overage, Slack float64
}

// Parts of the tolerance that are given to callers: on top of the burst, and
// spread over the window on top of the rate. What is asked just below the limit
// comes in bursts, and would be refused at random without them. The rest is for what
// gateways admit before they hear of each other.
//
// debtTolerance is the part by which the gateways together may overdraw it by one request
// each. Seldom do all of them at once, and each by half of a request on average, so that
// the parts' sum is above one.
const (
	burstToleranceShare     = 0.25
	rateToleranceShare      = 0.35
	overdraftToleranceShare = 1.0
	// lagWithoutTolerance is the mean age of reports at which the gateways need all of the
	// tolerance for what they admit before they hear of each other.
	lagWithoutTolerance = time.Second
)

const (
	// smallRequestBurstShare of a burst is a request that costs next to nothing: it passes also where
	// the bucket is overdrawn, by less than smallDebt of the burst. What goes wrong
	// without it: a posting of 200 tokens is refused because a draft took 20,000; two in
	// a hundred postings and status reads were. A sixth of a hot account's requests are
	// of that kind, and cost a fiftieth of its tokens.
	smallRequestBurstShare   = 0.003
	smallRequestMaxOverdraft = 0.25
)

// initialFillShare of a bucket is filled at the start: what was admitted just before is
// not known, and all gateways may have started together.
const initialFillShare = 0.25

// Others is what the other gateways report of one account, since their starts.
type Others struct {
	// Known counts the gateways that may admit, without this one.
	Known int
	// Reports of those that are heard, each of another name.
	Reports []Report
}

// Report is what another gateway, or several together, last said of an account.
type Report struct {
	// Name tells the gateways, or groups of them, apart.
	Name string
	// Source is who added the totals up: those of two sources cannot be compared.
	Source string
	// Gateways is how many they are of.
	Gateways int
	// Spent and Refused are totals since the source's start.
	Spent, Refused float64
	// Age is how long ago it said so.
	Age time.Duration
}

// Keeper admits requests. It is safe for concurrent use.
type Keeper struct {
	tolerance Tolerance
	// otherGateways returns the reports on an account, as of an instant.
	otherGateways func(ident.ClientAccount, time.Time) Others

	mu       sync.Mutex
	started  time.Time
	accounts map[ident.ClientAccount]*account
}

type account struct {
	// level is what the bucket holds; negative when more was admitted.
	level float64
	// shareLevel is what this gateway's own part of it holds, where more is asked than there
	// is. What goes wrong with the whole alone: all gateways see the same refill and
	// admit whatever comes first, find the bucket overdrawn when they hear of each
	// other, and refuse all for half a second at a time, postings of next to no cost
	// with the rest (half of these, at four times the limit through nine gateways; with
	// parts one in twelve at the most).
	shareLevel float64
	// filledAt is up to when it was filled.
	filledAt time.Time
	// filling and the numbers of gateways are those of the last Tick.
	allowance
	heard, known int
	// admittedTotal and asked are this gateway's totals.
	admittedTotal, requestedTotal float64
	ownDemand                     rateMeter
	groups                        map[string]*groupUsage
	// refreshedAt is up to when the others' expected spending was taken out of others.
	refreshedAt time.Time
}

// groupUsage is what is known of the account's use by another gateway, or by several.
type groupUsage struct {
	source string
	// reportedSpent is its spending by its newest report, as of an instant.
	reportedSpent float64
	reportedAt    time.Time
	// estimatedSpent was taken out beyond seen, at its rate until now.
	estimatedSpent   float64
	spending, demand rateMeter
}

// rateMeter measures a growing total's rate.
type rateMeter struct {
	last float64
	rate float64
	at   time.Time
	// known: two totals were compared.
	known bool
}

// update takes a total in and returns its rate a second.
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
		// The first rate is all that is known: averaged with nothing, it would be taken
		// for a small one for seconds.
		r.known, weight = true, 1
	}
	r.rate += weight * ((total-r.last)/elapsed.Seconds() - r.rate)
	r.last, r.at = total, now
	return r.rate
}

// NewKeeper returns a keeper that has admitted nothing.
func NewKeeper(tolerance Tolerance, others func(ident.ClientAccount, time.Time) Others, now time.Time) *Keeper {
	return &Keeper{tolerance: tolerance, otherGateways: others, started: now, accounts: make(map[ident.ClientAccount]*account)}
}

// Decision is whether a request is admitted, with what decided it.
type Decision struct {
	OK bool
	// After is when a refused request may be admitted.
	After time.Duration
	// Level is what the bucket held, and Need what the request needed of it.
	Level, Need float64
	// Asked is what is asked of all gateways a second.
	Asked float64
	// Heard and Known count the gateways, with this one.
	Heard, Known int
}

// Admit takes a request's cost out of its account's limit, or says when it may
// be there. One request may overdraw the bucket by a part of the tolerance, so that
// large ones are admitted about as often as small ones: if the whole cost had to be there,
// the small ones of an account at its limit would leave nothing to the large.
func (k *Keeper) Admit(limit *routetable.Account, cost float64, now time.Time) Decision {
	if limit.Rate <= 0 {
		return Decision{OK: true}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.account(limit, now)
	a.requestedTotal += cost
	a.advance(now)
	d := Decision{Level: a.level, Need: max(0, min(cost, a.burst)-a.overdraft), Asked: a.totalDemand, Heard: a.heard, Known: a.known}
	rate := a.rate
	if a.share < 1 {
		// More is asked than there is: this gateway's part decides.
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
	d.After = k.retryAfter(d, rate, now)
	return d
}

// retryAfter is when a refused request may be admitted, at the rate at which its bucket fills.
func (k *Keeper) retryAfter(d Decision, rate float64, now time.Time) time.Duration {
	if rate < minFillRate {
		// The next report tells this gateway its part.
		return minRetryAfter
	}
	most := maxRetryAfter
	if now.Sub(k.started) < startupPeriod && d.Heard < d.Known {
		most = startupMaxRetryAfter
	}
	// Compared in seconds: a small rate's time is too long for a time.Duration.
	seconds := min((d.Need-d.Level)/rate, most.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), minRetryAfter)
}

// allowance is what a gateway may use of an account's limit now.
type allowance struct {
	// rate and burst of the gateways that are heard, together.
	rate, burst float64
	// overdraft is by how much one request may overdraw the bucket here.
	overdraft float64
	// othersSpendingRate is what they are expected to spend a second, without this one.
	othersSpendingRate float64
	// totalDemand of them a second.
	totalDemand float64
	// share is this gateway's part of what is asked, where more is asked than there
	// is; else 1.
	share float64
}

// effectiveLimits are the rate, the burst and the debt that callers get of an account's, where
// the gateways hear of each other within a lag.
func (k *Keeper) effectiveLimits(limit *routetable.Account, lag time.Duration) (rate, burst, debt float64) {
	t := k.tolerance
	beyond := t.Overage*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
	beyond *= max(0, 1-lag.Seconds()/lagWithoutTolerance.Seconds())
	return limit.Rate + rateToleranceShare*beyond/t.Window.Seconds(), limit.Burst + burstToleranceShare*beyond, overdraftToleranceShare * beyond
}

// counts returns how many gateways are heard and how many may admit, with this one.
func (o Others) counts() (heard, known int) {
	heard = 1
	for _, r := range o.Reports {
		heard += r.Gateways
	}
	return heard, max(o.Known+1, heard)
}

// heardShare is the part of the gateways that is heard.
func (o Others) heardShare() float64 {
	heard, known := o.counts()
	return float64(heard) / float64(known)
}

// meanAge is the mean age of the reports.
func (o Others) meanAge() time.Duration {
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

// Tick takes in what the other gateways reported, for all accounts. Call it with
// every round of reports: what others spend is taken out a little at a time, and a
// request costs no walk through their reports.
func (k *Keeper) Tick(limits []routetable.Account, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range limits {
		if limit := &limits[i]; limit.Rate > 0 {
			k.applyReports(k.account(limit, now), limit, k.otherGateways(limit.Name, now), now)
		}
	}
}

// account returns an account's state; one that is new to this gateway takes in
// first what the others report.
func (k *Keeper) account(limit *routetable.Account, now time.Time) *account {
	a := k.accounts[limit.Name]
	if a == nil {
		others := k.otherGateways(limit.Name, now)
		_, burst, _ := k.effectiveLimits(limit, 0)
		a = &account{level: initialFillShare * burst * others.heardShare(), filledAt: k.started, refreshedAt: k.started, groups: make(map[string]*groupUsage)}
		k.accounts[limit.Name] = a
		k.applyReports(a, limit, others, now)
	}
	return a
}

// advance lets time pass: the bucket fills, and others spend as they did.
func (a *account) advance(now time.Time) {
	elapsed := max(now.Sub(a.filledAt).Seconds(), 0)
	a.filledAt = now
	a.level = min(a.level+(a.rate-a.othersSpendingRate)*elapsed, a.burst)
	// The whole leads the parts back to where it is neither overdrawn nor filling up.
	lead := 1 + min(max(a.level/max(a.burst, 1), -1), 1)
	a.shareLevel = min(a.shareLevel+a.rate*a.share*lead*elapsed, a.burst*a.share)
}

// applyReports takes in what others report: what they spent beyond what was expected of
// them, and how fast they spend now.
func (k *Keeper) applyReports(a *account, limit *routetable.Account, others Others, now time.Time) {
	part, lag := others.heardShare(), others.meanAge()
	rate, burst, debt := k.effectiveLimits(limit, lag)
	a.rate, a.burst = rate*part, burst*part
	before := a.heard
	a.heard, a.known = others.counts()
	a.scaleOverdraft(before)
	a.overdraft = debt / float64(a.known)
	a.advance(now)
	elapsed := max(now.Sub(a.refreshedAt).Seconds(), 0)
	a.refreshedAt = now
	a.othersSpendingRate, a.totalDemand = 0, a.ownDemand.update(a.requestedTotal, now)
	for i := range others.Reports {
		r := &others.Reports[i]
		o := a.groups[r.Name]
		if o == nil {
			o = &groupUsage{source: r.Source, reportedSpent: r.Spent, reportedAt: now.Add(-r.Age)}
			a.groups[r.Name] = o
		}
		o.estimatedSpent += o.spending.rate * elapsed
		a.level -= o.applyReport(r, now)
		a.othersSpendingRate += o.spending.rate
		a.totalDemand += o.demandRate(r, a.ownDemand.rate)
	}
	a.removeUnheard(others)
	a.level = min(a.level, a.burst)
	a.updateShare()
}

// scaleOverdraft takes in that more gateways, or fewer, share the bucket: what each of them overdrew
// adds up. What goes wrong otherwise: after all gateways were killed, what they overdrew
// while they did not hear each other is forgotten when they do, and they overdraw again.
func (a *account) scaleOverdraft(before int) {
	if before > 0 && a.level < 0 {
		a.level *= float64(a.heard) / float64(before)
	}
}

// updateShare sets this gateway's part: that which its callers ask of what all ask, as soon
// as more is asked than there is.
func (a *account) updateShare() {
	share := 1.0
	if a.totalDemand > a.rate {
		share = a.ownDemand.rate / a.totalDemand
	}
	if a.share == 1 && share < 1 {
		// A part begins with that of what is left.
		a.shareLevel = share * a.level
	}
	a.share = share
}

// applyReport takes a report in and returns how much more was spent than was expected.
func (o *groupUsage) applyReport(r *Report, now time.Time) float64 {
	at := now.Add(-r.Age)
	if r.Source != o.source {
		o.switchSource(r, at)
		return 0
	}
	if !at.After(o.reportedAt) {
		return 0
	}
	o.demand.update(r.Spent+r.Refused, at)
	o.spending.update(r.Spent, at)
	since := o.spending.rate * r.Age.Seconds()
	more := r.Spent - o.reportedSpent - o.estimatedSpent + since
	o.reportedSpent, o.reportedAt, o.estimatedSpent = r.Spent, at, since
	return more
}

// demandRate is what the others are asked a second. As long as that is not known, each is
// taken to be asked as much as this gateway. What goes wrong if it counts as nothing: after
// all gateways were killed, each takes the whole refill for its part in the moment in which
// they hear each other again.
func (o *groupUsage) demandRate(r *Report, own float64) float64 {
	if !o.demand.known {
		return own * float64(r.Gateways)
	}
	return o.demand.rate
}

// switchSource begins with another source's totals, at the rates of before: a gateway
// that hears of all others by another collector from now on would else take an account
// far beyond its limit for one that hardly anybody uses.
func (o *groupUsage) switchSource(r *Report, at time.Time) {
	o.source = r.Source
	o.reportedSpent, o.reportedAt = r.Spent, at
	o.estimatedSpent = o.spending.rate * r.Age.Seconds()
	o.spending.last, o.spending.at = r.Spent, at
	o.demand.last, o.demand.at = r.Spent+r.Refused, at
}

// removeUnheard forgets the gateways that are not heard. Their part is not filled
// in meanwhile; what they spend then must not be taken out a second time when they
// are heard again.
func (a *account) removeUnheard(others Others) {
	if len(a.groups) == len(others.Reports) {
		return
	}
	for name := range a.groups {
		if !slices.ContainsFunc(others.Reports, func(r Report) bool { return r.Name == name }) {
			delete(a.groups, name)
		}
	}
}

// Total is what a gateway admitted, and what it refused, since its start.
type Total struct{ Spent, Refused float64 }

// Totals returns this gateway's totals by account.
func (k *Keeper) Totals() map[ident.ClientAccount]Total {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make(map[ident.ClientAccount]Total, len(k.accounts))
	for name, a := range k.accounts {
		if a.requestedTotal > 0 {
			out[name] = Total{Spent: a.admittedTotal, Refused: a.requestedTotal - a.admittedTotal}
		}
	}
	return out
}
