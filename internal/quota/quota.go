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
	// askedMemory is over how long rates are measured: long enough for a few
	// requests at each gateway, short against a surge of an account.
	askedMemory = 2 * time.Second
	// leastAfter and mostAfter bound when a refused caller is told to return.
	leastAfter = 100 * time.Millisecond
	mostAfter  = 2 * time.Second
	// leastRate, a second, is that of a part which is not known yet: this gateway's
	// callers have only begun to ask.
	leastRate = 1e-6
	// settling is for how long after its start a gateway knows few of the others and
	// gives a small part of the limits, and settledAfter when a caller that it refuses
	// then is told to return: after two rounds of reports it knows them all.
	settling     = time.Second
	settledAfter = 300 * time.Millisecond
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
	burstTolerance = 0.25
	rateTolerance  = 0.35
	debtTolerance  = 1.0
	// lagForAll is the mean age of reports at which the gateways need all of the
	// tolerance for what they admit before they hear of each other.
	lagForAll = time.Second
)

const (
	// smallPart of a burst is a request that costs next to nothing: it passes also where
	// the bucket is overdrawn, by less than smallDebt of the burst. What goes wrong
	// without it: a posting of 200 tokens is refused because a draft took 20,000; two in
	// a hundred postings and status reads were. A sixth of a hot account's requests are
	// of that kind, and cost a fiftieth of its tokens.
	smallPart = 0.003
	smallDebt = 0.25
)

// startPart of a bucket is filled at the start: what was admitted just before is
// not known, and all gateways may have started together.
const startPart = 0.25

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
	// others returns the reports on an account, as of an instant.
	others func(ident.ClientAccount, time.Time) Others

	mu       sync.Mutex
	started  time.Time
	accounts map[ident.ClientAccount]*account
}

type account struct {
	// level is what the bucket holds; negative when more was admitted.
	level float64
	// part is what this gateway's own part of it holds, where more is asked than there
	// is. What goes wrong with the whole alone: all gateways see the same refill and
	// admit whatever comes first, find the bucket overdrawn when they hear of each
	// other, and refuse all for half a second at a time, postings of next to no cost
	// with the rest (half of these, at four times the limit through nine gateways; with
	// parts one in twelve at the most).
	part float64
	// filled is up to when it was filled.
	filled time.Time
	// filling and the numbers of gateways are those of the last Tick.
	filling
	heard, known int
	// spent and asked are this gateway's totals.
	spent, asked float64
	own          rateOf
	others       map[string]*other
	// ticked is up to when the others' expected spending was taken out of others.
	ticked time.Time
}

// other is what is known of the account's use by another gateway, or by several.
type other struct {
	source string
	// seen is its spending by its newest report, as of an instant.
	seen   float64
	seenAt time.Time
	// expected was taken out beyond seen, at its rate until now.
	expected      float64
	spends, asked rateOf
}

// rateOf measures a growing total's rate.
type rateOf struct {
	last float64
	rate float64
	at   time.Time
	// known: two totals were compared.
	known bool
}

// update takes a total in and returns its rate a second.
func (r *rateOf) update(total float64, now time.Time) float64 {
	if r.at.IsZero() {
		r.last, r.at = total, now
		return 0
	}
	elapsed := now.Sub(r.at)
	if elapsed < askedMemory/10 {
		return r.rate
	}
	weight := min(1, elapsed.Seconds()/askedMemory.Seconds())
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
	return &Keeper{tolerance: tolerance, others: others, started: now, accounts: make(map[ident.ClientAccount]*account)}
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
	a.asked += cost
	a.fill(now)
	d := Decision{Level: a.level, Need: max(0, min(cost, a.burst)-a.debt), Asked: a.askedOfAll, Heard: a.heard, Known: a.known}
	rate := a.rate
	if a.share < 1 {
		// More is asked than there is: this gateway's part decides.
		rate *= a.share
		d.Level, d.Need = a.part, min(d.Need, a.burst*a.share)
	}
	small := cost <= smallPart*a.burst && a.level > -smallDebt*a.burst
	if d.Level >= d.Need || small {
		a.level -= cost
		a.part -= cost
		a.spent += cost
		d.OK = true
		return d
	}
	d.After = k.after(d, rate, now)
	return d
}

// after is when a refused request may be admitted, at the rate at which its bucket fills.
func (k *Keeper) after(d Decision, rate float64, now time.Time) time.Duration {
	if rate < leastRate {
		// The next report tells this gateway its part.
		return leastAfter
	}
	most := mostAfter
	if now.Sub(k.started) < settling && d.Heard < d.Known {
		most = settledAfter
	}
	// Compared in seconds: a small rate's time is too long for a time.Duration.
	seconds := min((d.Need-d.Level)/rate, most.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), leastAfter)
}

// filling is what a gateway may use of an account's limit now.
type filling struct {
	// rate and burst of the gateways that are heard, together.
	rate, burst float64
	// debt is by how much one request may overdraw the bucket here.
	debt float64
	// othersSpend is what they are expected to spend a second, without this one.
	othersSpend float64
	// askedOfAll of them a second.
	askedOfAll float64
	// share is this gateway's part of what is asked, where more is asked than there
	// is; else 1.
	share float64
}

// limits are the rate, the burst and the debt that callers get of an account's, where
// the gateways hear of each other within a lag.
func (k *Keeper) limits(limit *routetable.Account, lag time.Duration) (rate, burst, debt float64) {
	t := k.tolerance
	beyond := t.Overage*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
	beyond *= max(0, 1-lag.Seconds()/lagForAll.Seconds())
	return limit.Rate + rateTolerance*beyond/t.Window.Seconds(), limit.Burst + burstTolerance*beyond, debtTolerance * beyond
}

// counts returns how many gateways are heard and how many may admit, with this one.
func (o Others) counts() (heard, known int) {
	heard = 1
	for _, r := range o.Reports {
		heard += r.Gateways
	}
	return heard, max(o.Known+1, heard)
}

// part is the part of the gateways that is heard.
func (o Others) part() float64 {
	heard, known := o.counts()
	return float64(heard) / float64(known)
}

// lag is the mean age of the reports.
func (o Others) lag() time.Duration {
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
			k.refresh(k.account(limit, now), limit, k.others(limit.Name, now), now)
		}
	}
}

// account returns an account's state; one that is new to this gateway takes in
// first what the others report.
func (k *Keeper) account(limit *routetable.Account, now time.Time) *account {
	a := k.accounts[limit.Name]
	if a == nil {
		others := k.others(limit.Name, now)
		_, burst, _ := k.limits(limit, 0)
		a = &account{level: startPart * burst * others.part(), filled: k.started, ticked: k.started, others: make(map[string]*other)}
		k.accounts[limit.Name] = a
		k.refresh(a, limit, others, now)
	}
	return a
}

// fill lets time pass: the bucket fills, and others spend as they did.
func (a *account) fill(now time.Time) {
	elapsed := max(now.Sub(a.filled).Seconds(), 0)
	a.filled = now
	a.level = min(a.level+(a.rate-a.othersSpend)*elapsed, a.burst)
	// The whole leads the parts back to where it is neither overdrawn nor filling up.
	lead := 1 + min(max(a.level/max(a.burst, 1), -1), 1)
	a.part = min(a.part+a.rate*a.share*lead*elapsed, a.burst*a.share)
}

// refresh takes in what others report: what they spent beyond what was expected of
// them, and how fast they spend now.
func (k *Keeper) refresh(a *account, limit *routetable.Account, others Others, now time.Time) {
	part, lag := others.part(), others.lag()
	rate, burst, debt := k.limits(limit, lag)
	a.rate, a.burst = rate*part, burst*part
	before := a.heard
	a.heard, a.known = others.counts()
	a.join(before)
	a.debt = debt / float64(a.known)
	a.fill(now)
	elapsed := max(now.Sub(a.ticked).Seconds(), 0)
	a.ticked = now
	a.othersSpend, a.askedOfAll = 0, a.own.update(a.asked, now)
	for i := range others.Reports {
		r := &others.Reports[i]
		o := a.others[r.Name]
		if o == nil {
			o = &other{source: r.Source, seen: r.Spent, seenAt: now.Add(-r.Age)}
			a.others[r.Name] = o
		}
		o.expected += o.spends.rate * elapsed
		a.level -= o.hear(r, now)
		a.othersSpend += o.spends.rate
		a.askedOfAll += o.askedBeside(r, a.own.rate)
	}
	a.forgetUnheard(others)
	a.level = min(a.level, a.burst)
	a.divide()
}

// join takes in that more gateways, or fewer, share the bucket: what each of them overdrew
// adds up. What goes wrong otherwise: after all gateways were killed, what they overdrew
// while they did not hear each other is forgotten when they do, and they overdraw again.
func (a *account) join(before int) {
	if before > 0 && a.level < 0 {
		a.level *= float64(a.heard) / float64(before)
	}
}

// divide sets this gateway's part: that which its callers ask of what all ask, as soon
// as more is asked than there is.
func (a *account) divide() {
	share := 1.0
	if a.askedOfAll > a.rate {
		share = a.own.rate / a.askedOfAll
	}
	if a.share == 1 && share < 1 {
		// A part begins with that of what is left.
		a.part = share * a.level
	}
	a.share = share
}

// hear takes a report in and returns how much more was spent than was expected.
func (o *other) hear(r *Report, now time.Time) float64 {
	at := now.Add(-r.Age)
	if r.Source != o.source {
		o.compareAnew(r, at)
		return 0
	}
	if !at.After(o.seenAt) {
		return 0
	}
	o.asked.update(r.Spent+r.Refused, at)
	o.spends.update(r.Spent, at)
	since := o.spends.rate * r.Age.Seconds()
	more := r.Spent - o.seen - o.expected + since
	o.seen, o.seenAt, o.expected = r.Spent, at, since
	return more
}

// askedBeside is what the others are asked a second. As long as that is not known, each is
// taken to be asked as much as this gateway. What goes wrong if it counts as nothing: after
// all gateways were killed, each takes the whole refill for its part in the moment in which
// they hear each other again.
func (o *other) askedBeside(r *Report, own float64) float64 {
	if !o.asked.known {
		return own * float64(r.Gateways)
	}
	return o.asked.rate
}

// compareAnew begins with another source's totals, at the rates of before: a gateway
// that hears of all others by another collector from now on would else take an account
// far beyond its limit for one that hardly anybody uses.
func (o *other) compareAnew(r *Report, at time.Time) {
	o.source = r.Source
	o.seen, o.seenAt = r.Spent, at
	o.expected = o.spends.rate * r.Age.Seconds()
	o.spends.last, o.spends.at = r.Spent, at
	o.asked.last, o.asked.at = r.Spent+r.Refused, at
}

// forgetUnheard forgets the gateways that are not heard. Their part is not filled
// in meanwhile; what they spend then must not be taken out a second time when they
// are heard again.
func (a *account) forgetUnheard(others Others) {
	if len(a.others) == len(others.Reports) {
		return
	}
	for name := range a.others {
		if !slices.ContainsFunc(others.Reports, func(r Report) bool { return r.Name == name }) {
			delete(a.others, name)
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
		if a.asked > 0 {
			out[name] = Total{Spent: a.spent, Refused: a.asked - a.spent}
		}
	}
	return out
}
