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

// NewKeeper returns a keeper whose buckets begin empty: what was admitted before
// a restart is not known.
func NewKeeper(others func(ident.ClientAccount) Others, now time.Time) *Keeper {
	return &Keeper{others: others, started: now, accounts: make(map[ident.ClientAccount]*account)}
}

// Admit implements ingress.Quota.
func (k *Keeper) Admit(limit *routetable.Account, cost float64, now time.Time) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.account(limit.Name)
	a.asked += cost
	others := k.others(limit.Name)
	part := a.part(others, now)
	a.refresh(limit, others, part, now)
	heard := float64(others.Fresh+1) / float64(max(others.Known, others.Fresh)+1)
	most := limit.Burst * heard
	need := min(cost, most)
	near := a.level-cost < limit.Rate*nearLimit.Seconds()
	if a.level >= need && (!near || a.paced >= min(cost, a.mostPaced(limit, heard*part))) {
		a.level -= cost
		a.paced -= cost
		a.spent += cost
		return true, 0
	}
	missing := max(need-a.level, cost-a.paced, 0)
	after := time.Duration(missing / (limit.Rate * heard) * float64(time.Second))
	return false, min(max(after, leastAfter), mostAfter)
}

func (k *Keeper) account(name ident.ClientAccount) *account {
	a := k.accounts[name]
	if a == nil {
		a = &account{filled: k.started, seen: make(map[string]float64), theirs: make(map[string]*rateOf)}
		k.accounts[name] = a
	}
	return a
}

// part is how much of what is asked of the gateways that are heard is asked of
// this one, never less than a tenth of an even part.
func (a *account) part(others Others, now time.Time) float64 {
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
		return even
	}
	return max(own/sum, even/10)
}

// mostPaced is how much a gateway may save up near the limit.
func (a *account) mostPaced(limit *routetable.Account, part float64) float64 {
	return limit.Rate * part * pacedBurst.Seconds()
}

// refresh fills the buckets, and takes out what others spent.
func (a *account) refresh(limit *routetable.Account, others Others, part float64, now time.Time) {
	heard := float64(others.Fresh+1) / float64(max(others.Known, others.Fresh)+1)
	if elapsed := now.Sub(a.filled).Seconds(); elapsed > 0 {
		a.level = min(a.level+limit.Rate*heard*elapsed, limit.Burst*heard)
		a.paced = min(a.paced+limit.Rate*heard*part*elapsed, max(a.mostPaced(limit, heard*part), 0))
		a.filled = now
	}
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
