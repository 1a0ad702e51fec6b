// Package quota keeps client accounts within their limits over all gateways,
// without a word to anyone per request.
//
// Each gateway keeps a bucket of the whole limit. It takes its own admissions
// out at once and those of the others as their reports come, a round later. A
// gateway that does not hear all the others fills its bucket only with the part
// of those that it hears, so that the sides of a cut never admit more than the
// limit together. Near the limit, where all would spend the same refill before
// they hear of each other, each keeps to its part by what callers asked of it.
package quota

import (
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// nearLimit is for how much of the rate the bucket must hold so that
	// admissions need no pacing: what all gateways can admit before they hear of
	// each other, two rounds and some slack.
	nearLimit = 700 * time.Millisecond
	// pacedBurst is how much of its own part a gateway may save up near the
	// limit: the time between two reports and some slack.
	pacedBurst = 400 * time.Millisecond
	// askedMemory is over how long the parts of the gateways are measured: long
	// enough for a few requests at each, short against a surge of an account.
	askedMemory = 2 * time.Second
	// leastAfter and mostAfter bound when a refused caller is told to return.
	leastAfter = 100 * time.Millisecond
	mostAfter  = 2 * time.Second
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
// comes in bursts, and would be refused at random without them; refusals of
// accounts far beyond their limits fell by a fifth. The rest is for what gateways
// admit before they hear of each other.
const (
	burstTolerance = 0.25
	rateTolerance  = 0.35
)

// startPart of a bucket is filled at the start: what was admitted just before is
// not known, and all gateways may have started together.
const startPart = 0.25

// Others is what the other gateways report of one account, since their starts.
type Others struct {
	// Fresh and Known count the gateways heard and those that may admit,
	// without this one.
	Fresh, Known int
	// Spent and Asked by gateway and incarnation.
	Spent, Asked map[string]float64
}

// Keeper admits requests. It is safe for concurrent use.
type Keeper struct {
	tolerance Tolerance
	// others returns the reports on an account.
	others func(ident.ClientAccount) Others

	mu       sync.Mutex
	started  time.Time
	accounts map[ident.ClientAccount]*account
}

type account struct {
	// level is what the bucket holds; negative when more was admitted.
	level float64
	// paced is what this gateway may still admit near the limit.
	paced float64
	// filled is up to when both were filled.
	filled time.Time
	// spent and asked are this gateway's totals.
	spent, asked float64
	// seen is how much of each other gateway's spending was taken out.
	seen map[string]float64
	// rates are who was asked for how much lately.
	own    rateOf
	theirs map[string]*rateOf
}

// rateOf measures a growing total's rate.
type rateOf struct {
	last float64
	rate float64
	at   time.Time
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
	r.rate += weight * ((total-r.last)/elapsed.Seconds() - r.rate)
	r.last, r.at = total, now
	return r.rate
}

// NewKeeper returns a keeper that has admitted nothing.
func NewKeeper(tolerance Tolerance, others func(ident.ClientAccount) Others, now time.Time) *Keeper {
	return &Keeper{tolerance: tolerance, others: others, started: now, accounts: make(map[ident.ClientAccount]*account)}
}

// Decision is whether a request is admitted, with what decided it.
type Decision struct {
	OK bool
	// After is when a refused request may be admitted.
	After time.Duration
	// Level and Paced are what the buckets held, Need what the request needed.
	Level, Paced, Need float64
	// Part of what is asked of the gateways that is asked of this one, and what
	// is asked of all of them a second.
	Part, Asked float64
	// Heard and Known count the gateways, with this one.
	Heard, Known int
}

// Admit takes a request's cost out of its account's limit, or says when it may
// be there.
func (k *Keeper) Admit(limit *routetable.Account, cost float64, now time.Time) Decision {
	if limit.Rate <= 0 {
		return Decision{OK: true}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	others := k.others(limit.Name)
	a := k.account(limit)
	a.asked += cost
	f := k.refresh(a, limit, others, now)
	rate, part, asked := f.rate, f.part, f.asked
	need := min(cost, f.burst)
	d := Decision{
		Level: a.level, Paced: a.paced, Need: need, Part: part, Asked: asked,
		Heard: others.Fresh + 1, Known: max(others.Known, others.Fresh) + 1,
	}
	near := asked > paceAbove*rate && a.level-cost < limit.Rate*nearLimit.Seconds()
	if a.level >= need && (!near || a.paced >= min(cost, mostPaced(rate, part))) {
		a.level -= cost
		a.paced -= cost
		a.spent += cost
		d.OK = true
		return d
	}
	missing := need - a.level
	if near {
		missing = max(missing, (min(cost, mostPaced(rate, part))-a.paced)/part)
	}
	after := time.Duration(missing / rate * float64(time.Second))
	d.After = min(max(after, leastAfter), mostAfter)
	return d
}

// paceAbove is the part of the rate above which what callers ask is paced near
// the limit. Below it the bucket fills faster than it is emptied.
const paceAbove = 0.9

// limits are the rate and the burst that callers get of an account's.
func (k *Keeper) limits(limit *routetable.Account) (rate, burst float64) {
	t := k.tolerance
	beyond := t.Overage*(limit.Rate*t.Window.Seconds()+limit.Burst) + t.Slack
	return limit.Rate + rateTolerance*beyond/t.Window.Seconds(), limit.Burst + burstTolerance*beyond
}

// Tick takes in what the other gateways reported, for all accounts. Call it with
// every round of reports: a bucket that is seldom looked at would fill to its
// brim first and then lose all that others spent in the meantime at once.
func (k *Keeper) Tick(limits []routetable.Account, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range limits {
		if limit := &limits[i]; limit.Rate > 0 {
			k.refresh(k.account(limit), limit, k.others(limit.Name), now)
		}
	}
}

func (k *Keeper) account(limit *routetable.Account) *account {
	a := k.accounts[limit.Name]
	if a == nil {
		_, burst := k.limits(limit)
		a = &account{level: startPart * burst, filled: k.started, seen: make(map[string]float64), theirs: make(map[string]*rateOf)}
		k.accounts[limit.Name] = a
	}
	return a
}

// filling is what a gateway may use of an account's limit now.
type filling struct {
	// rate and burst of the gateways that are heard, together.
	rate, burst float64
	// part of this gateway in what is asked of them, and asked all of it.
	part, asked float64
}

// part is how much of what is asked of the gateways that are heard is asked of
// this one, never less than a tenth of an even part; and how much is asked of
// all of them, a second.
func (a *account) part(others Others, now time.Time) (part, all float64) {
	own := a.own.update(a.asked, now)
	sum := own
	for gateway, asked := range others.Asked {
		r := a.theirs[gateway]
		if r == nil {
			r = &rateOf{}
			a.theirs[gateway] = r
		}
		sum += r.update(asked, now)
	}
	for gateway := range a.theirs {
		if _, heard := others.Asked[gateway]; !heard {
			delete(a.theirs, gateway)
		}
	}
	even := 1 / float64(others.Fresh+1)
	if sum <= 0 {
		return even, 0
	}
	return max(own/sum, even/10), sum
}

// mostPaced is how much a gateway may save up near the limit.
func mostPaced(rate, part float64) float64 { return rate * part * pacedBurst.Seconds() }

// refresh fills an account's buckets, and takes out what others spent.
func (k *Keeper) refresh(a *account, limit *routetable.Account, others Others, now time.Time) filling {
	heard := float64(others.Fresh+1) / float64(max(others.Known, others.Fresh)+1)
	rate, burst := k.limits(limit)
	f := filling{rate: rate * heard, burst: burst * heard}
	f.part, f.asked = a.part(others, now)
	if elapsed := now.Sub(a.filled).Seconds(); elapsed > 0 {
		a.level = min(a.level+f.rate*elapsed, f.burst)
		a.paced = min(a.paced+f.rate*f.part*elapsed, mostPaced(f.rate, f.part))
		a.filled = now
	}
	a.takeOut(others)
	return f
}

// takeOut takes what the other gateways spent since their last reports out.
func (a *account) takeOut(others Others) {
	for gateway := range a.seen {
		if _, heard := others.Spent[gateway]; !heard {
			// While it is not heard, its part is not filled in; what it spends
			// then must not be taken out a second time when it is heard again.
			delete(a.seen, gateway)
		}
	}
	for gateway, spent := range others.Spent {
		seen, known := a.seen[gateway]
		if known {
			a.level -= max(spent-seen, 0)
		}
		a.seen[gateway] = spent
	}
}

// Totals returns what this gateway admitted, and was asked for, by account.
func (k *Keeper) Totals() (spent, asked map[ident.ClientAccount]float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	spent, asked = make(map[ident.ClientAccount]float64, len(k.accounts)), make(map[ident.ClientAccount]float64, len(k.accounts))
	for name, a := range k.accounts {
		spent[name], asked[name] = a.spent, a.asked
	}
	return spent, asked
}
