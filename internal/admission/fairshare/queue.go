// Package fairshare orders waiting requests: client accounts share a service
// by weight, and within that a short class goes before a long one, yet no
// class starves.
//
// Accounts are kept in step by start-time fair queueing: every grant moves its
// account's tag forward by cost/weight, and only accounts whose tag lies
// within a lead of the smallest tag may be served. Among those, the most
// urgent class goes first. Within an account, a class that is passed over
// collects credit and is served once it has earned its guaranteed share.
//
// The package is pure: no clock, no goroutine, no lock.
package fairshare

import (
	"container/heap"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Defaults of Config.
const (
	DefaultLead       = 16
	DefaultCredit     = 16
	DefaultClassShare = 0.2
)

// Config sets how strictly accounts and classes are kept in step.
type Config struct {
	// Lead is how far one account may run ahead of another so that an
	// urgent class goes first, in mean costs per unit of weight.
	Lead float64
	// Credit is how much service an account that asked for less than its
	// share can catch up, in mean costs per unit of weight. Without it a
	// small account that asks for just its share, in bursts as real ones
	// do, would lose what falls between its bursts to those that always
	// wait. Negative is none.
	Credit float64
	// ClassShare is the share of an account's cost, 0 to 1, that all waiting
	// classes but the most urgent get together, in equal parts.
	ClassShare float64
}

func (c Config) withDefaults() Config {
	if c.Lead <= 0 {
		c.Lead = DefaultLead
	}
	if c.Credit == 0 {
		c.Credit = DefaultCredit
	}
	c.Credit = max(c.Credit, 0)
	if c.ClassShare <= 0 {
		c.ClassShare = DefaultClassShare
	}
	return c
}

// Item is one waiting request. It is in at most one queue.
type Item struct {
	Account ident.ClientAccount
	// Weight is the account's share; 0 counts as 1.
	Weight float64
	// Priority of the class: higher is more urgent.
	Priority int
	// Cost in any unit that is the same for all items; 0 counts as 1.
	Cost float64
	// LatestStart orders items of one account and class.
	LatestStart time.Time
	// Retry items were refused before and go ahead of first tries of
	// the same account and class.
	Retry bool

	sequence uint64
	// position in the lane's heap, from 1; 0 is not queued.
	position int
	lane     *lane
}

// Queued reports whether the item waits in a queue.
func (i *Item) Queued() bool { return i.position > 0 }

func (i *Item) cost() float64 {
	if i.Cost <= 0 {
		return 1
	}
	return i.Cost
}

// lane holds the waiting items of one account and priority.
type lane struct {
	account  *account
	priority int
	items    itemHeap
	// queuedCost is the cost of all items; returning of those that return.
	queuedCost, retryCost float64
	// credit is the cost of other lanes served while this one waited.
	credit float64
}

// account is what the queue remembers of a client account.
type account struct {
	name   ident.ClientAccount
	weight float64
	// startTag is the virtual time at which the account's next grant starts.
	startTag float64
	// lanes by falling priority. Empty ones are kept: classes are few.
	lanes []*lane
	// length and queued count all lanes' items and their cost.
	length     int
	queuedCost float64
	// backlogIndex is the index in Queue.backlogged; -1 when nothing waits.
	backlogIndex int
}

// Queue orders waiting items. The zero value is not usable; see New.
type Queue struct {
	config   Config
	accounts map[ident.ClientAccount]*account
	// backlogged are the accounts with waiting items, in no order.
	backlogged []*account
	// virtualTime is the virtual time: the smallest tag served so far.
	virtualTime float64
	// meanCost is a moving average of the costs granted.
	meanCost     float64
	length       int
	lastSequence uint64
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{config: config.withDefaults(), accounts: map[ident.ClientAccount]*account{}}
}

// Len returns how many items wait.
func (q *Queue) Len() int { return q.length }

// ClassShare returns the share in force; see Config.
func (q *Queue) ClassShare() float64 { return q.config.ClassShare }

// Push adds an item. Its weight becomes its account's.
func (q *Queue) Push(item *Item) {
	a := q.accountFor(item.Account, item.Weight)
	if a.backlogIndex < 0 {
		q.addBacklogged(a)
	}
	l := a.laneFor(item.Priority)
	q.lastSequence++
	item.sequence = q.lastSequence
	item.lane = l
	heap.Push(&l.items, item)
	q.updateTotals(item, 1)
}

// Pop removes the item to grant next and charges its account. Items of a
// priority that is not allowed now stay; nil allows all. It returns nil when
// nothing that is allowed waits.
func (q *Queue) Pop(allowed func(priority int) bool) *Item {
	a := q.chooseAccount(allowed)
	if a == nil {
		return nil
	}
	l := a.chooseLane(q.config.ClassShare, allowed)
	item := l.items[0]
	a.settleCredit(l, item.cost(), q.config.ClassShare)
	q.dequeue(item)
	q.charge(a, item.cost())
	return item
}

// Remove takes an item out without a grant. It reports whether it waited.
func (q *Queue) Remove(item *Item) bool {
	if !item.Queued() {
		return false
	}
	q.dequeue(item)
	return true
}

// Charge accounts for a grant that never waited.
func (q *Queue) Charge(name ident.ClientAccount, weight, cost float64) {
	a := q.accountFor(name, weight)
	a.startTag = max(a.startTag, q.minTag())
	if q.length == 0 {
		q.virtualTime = max(q.virtualTime, a.startTag)
	}
	q.charge(a, cost)
}

// Correct adds to an account what a grant cost beyond its estimate; extra may
// be negative.
func (q *Queue) Correct(name ident.ClientAccount, extra float64) {
	if a := q.accounts[name]; a != nil {
		a.startTag += extra / a.weight
	}
}

// EvictionCandidate returns the item to push out so that incoming finds room: the last
// item of the account that waits with most cost for its weight. It returns
// nil when that account is incoming's own, or no account waits with more.
func (q *Queue) EvictionCandidate(incoming *Item) *Item {
	own := q.accountFor(incoming.Account, incoming.Weight)
	worst, most := own, (own.queuedCost+incoming.cost())/own.weight
	for _, a := range q.backlogged {
		if load := a.queuedCost / a.weight; load > most {
			worst, most = a, load
		}
	}
	if worst == own {
		return nil
	}
	return worst.lastItem()
}

// HasItemsAhead reports whether anything waits that goes before an item: of its own
// or a more urgent priority.
func (q *Queue) HasItemsAhead(item *Item) bool {
	for _, a := range q.backlogged {
		if a.queuedCostFrom(item.Priority) > 0 {
			return true
		}
	}
	return false
}

// CostAhead returns the cost of an item's priority that will be served before it,
// if what waits now is all that comes: own is what its own account has ahead
// of it beyond its credit; total adds all of the own, and from each other
// account as much as is served meanwhile at that one's weight.
func (q *Queue) CostAhead(item *Item) (total, own float64) {
	weight := effectiveWeight(item.Weight)
	mine := q.accounts[item.Account]
	credit := q.lag(item) * weight
	if mine != nil {
		own = mine.costAhead(item)
	}
	total = own
	own = max(0, own-credit)
	reach := max(0, total+item.cost()-credit) / weight
	for _, a := range q.backlogged {
		if a != mine {
			total += min(a.costAhead(item), reach*a.weight)
		}
	}
	return total, own
}

// LeadCost is how much other accounts can be served before an item for the sake
// of their classes or because they return, beyond what is theirs by weight.
func (q *Queue) LeadCost(item *Item) float64 {
	weights := 0.0
	for _, a := range q.backlogged {
		if a.name != item.Account {
			weights += a.weight
		}
	}
	return max(0, q.config.Lead*q.meanCost-q.lag(item)) * weights
}

// lag is how far an item's account is behind the present, within its credit.
func (q *Queue) lag(item *Item) float64 {
	a := q.accounts[item.Account]
	if a == nil {
		return q.config.Credit * q.meanCost
	}
	return max(0, q.virtualTime-max(a.startTag, q.minTag()))
}

// costAhead is the waiting cost of an item's priority that goes before it.
func (a *account) costAhead(item *Item) float64 {
	for _, l := range a.lanes {
		if l.priority != item.Priority {
			continue
		}
		if item.Retry {
			return l.retryCost
		}
		return l.queuedCost
	}
	return 0
}

// queuedCostFrom is the waiting cost of a priority and all more urgent ones.
func (a *account) queuedCostFrom(priority int) float64 {
	total := 0.0
	for _, l := range a.lanes {
		if l.priority >= priority {
			total += l.queuedCost
		}
	}
	return total
}
