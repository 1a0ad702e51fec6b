// Package fairshare orders waiting requests. Client accounts share a service by
// weight; within that, urgent classes go before less urgent ones, but no class
// starves.
//
// The share by weight follows start-time fair queueing: each grant advances its
// account's start tag by cost/weight, and only accounts whose tag is within the
// lead of the smallest tag may be served. Among these, the most urgent class
// goes first. Within an account, a class that is passed over collects credit
// and is served once the credit covers its guaranteed share.
//
// The package is pure: it has no clock, no goroutine and no lock.
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

// Config sets how far accounts and classes may deviate from their shares. Zero
// fields take the defaults.
type Config struct {
	// Lead is how far one account may run ahead of another so that an urgent
	// class goes first, in mean costs per unit of weight.
	Lead float64
	// Credit is how much service an account that asked for less than its
	// share can catch up on, in mean costs per unit of weight. Without it, a
	// small account that asks for just its share, in bursts as real accounts
	// do, would lose the time between its bursts to accounts that always have
	// requests waiting. Negative means none.
	Credit float64
	// ClassShare is the share of an account's cost, 0 to 1, that its waiting
	// classes except the most urgent one get together, in equal parts.
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
	// Weight is the account's weight; 0 or less means 1.
	Weight float64
	// Priority is that of the request's class: higher is more urgent.
	Priority int
	// Cost is in any unit that is the same for all items; 0 or less means 1.
	Cost float64
	// LatestStart orders the items of one account and priority, the earliest
	// first.
	LatestStart time.Time
	// Retry marks a request that was refused before and that its caller sends
	// again. It goes ahead of first attempts of the same account and priority.
	Retry bool

	// sequence is the order of arrival.
	sequence uint64
	// position is the index in the lane's heap plus 1; 0 means not queued.
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
	// queuedCost is the cost of all items, retryCost that of retries alone.
	queuedCost, retryCost float64
	// credit is the cost served from the account's other lanes while this one
	// waited, less the price of the items that it was granted for.
	credit float64
}

// account is the state of one client account in the queue.
type account struct {
	name   ident.ClientAccount
	weight float64
	// startTag is the virtual time at which the account's next grant starts.
	startTag float64
	// lanes are sorted by falling priority. Empty lanes are kept, since there
	// are few classes.
	lanes []*lane
	// length and queuedCost are the number and the cost of the waiting items
	// in all lanes.
	length     int
	queuedCost float64
	// backlogIndex is the index in Queue.backlogged; -1 if nothing waits.
	backlogIndex int
}

// Queue orders waiting items. The zero value is not usable; see New.
type Queue struct {
	config   Config
	accounts map[ident.ClientAccount]*account
	// backlogged are the accounts with waiting items, in no order.
	backlogged []*account
	// virtualTime is the present in virtual time. It follows the smallest
	// start tag that can be served and never moves back.
	virtualTime float64
	// meanCost is a moving average of the costs granted.
	meanCost float64
	// length is the number of waiting items.
	length int
	// lastSequence is the sequence of the item pushed last.
	lastSequence uint64
}

// New returns an empty queue.
func New(config Config) *Queue {
	return &Queue{config: config.withDefaults(), accounts: map[ident.ClientAccount]*account{}}
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.length }

// ClassShare returns the class share that is in effect; see Config.
func (q *Queue) ClassShare() float64 { return q.config.ClassShare }

// Push adds an item. The item's weight becomes its account's weight.
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

// Pop removes the item to grant next and charges its account. It leaves items
// whose priority isn't allowed in the queue; if allowed is nil, all priorities
// are allowed. It returns nil if no allowed item waits.
func (q *Queue) Pop(allowed func(priority int) bool) *Item {
	a, smallest := q.chooseAccount(allowed)
	if a == nil {
		return nil
	}
	item := a.chooseLane(q.config.ClassShare, allowed).items[0]
	q.grant(item, smallest)
	return item
}

// Remove removes an item without charging its account. It reports whether the
// item was waiting.
func (q *Queue) Remove(item *Item) bool {
	if !item.Queued() {
		return false
	}
	q.dequeue(item)
	return true
}

// Charge charges an account for a request that was granted without waiting.
func (q *Queue) Charge(name ident.ClientAccount, weight, cost float64) {
	a := q.accountFor(name, weight)
	a.startTag = max(a.startTag, q.minTag())
	if q.length == 0 {
		q.virtualTime = max(q.virtualTime, a.startTag)
	}
	q.charge(a, cost)
}

// Correct charges an account for the cost of a grant beyond its estimate. A
// negative extra refunds.
func (q *Queue) Correct(name ident.ClientAccount, extra float64) {
	if a := q.accounts[name]; a != nil {
		a.startTag += extra / a.weight
	}
}

// EvictionCandidate returns the item to evict to make room for incoming: the
// last item of the account with the most waiting cost for its weight. It returns
// nil if that is incoming's own account, with incoming counted as waiting.
func (q *Queue) EvictionCandidate(incoming *Item) *Item {
	own := q.accountFor(incoming.Account, incoming.Weight)
	heaviest, maxLoad := own, (own.queuedCost+incoming.cost())/own.weight
	for _, a := range q.backlogged {
		if load := a.queuedCost / a.weight; load > maxLoad {
			heaviest, maxLoad = a, load
		}
	}
	if heaviest == own {
		return nil
	}
	return heaviest.lastItem()
}

// HasItemsAhead reports whether an item of the same or a more urgent priority
// waits, in any account.
func (q *Queue) HasItemsAhead(item *Item) bool {
	for _, a := range q.backlogged {
		if a.queuedCostFrom(item.Priority) > 0 {
			return true
		}
	}
	return false
}

// CostAhead returns the cost of an item's priority that will be served before
// it if no further items arrive. Own is the cost ahead of it in its own account
// that the account's credit doesn't cover. Total is the cost ahead of it in its
// own account, credit or not, plus the cost that each other account is served
// by weight in the meantime.
func (q *Queue) CostAhead(item *Item) (total, own float64) {
	weight := effectiveWeight(item.Weight)
	mine := q.accounts[item.Account]
	credit := q.lag(item) * weight
	if mine != nil {
		own = mine.costAhead(item)
	}
	total = own
	own = max(0, own-credit)
	perWeight := max(0, total+item.cost()-credit) / weight
	for _, a := range q.backlogged {
		if a != mine {
			total += min(a.costAhead(item), perWeight*a.weight)
		}
	}
	return total, own
}

// LeadCost returns the most cost that other accounts can be served before an
// item beyond their share by weight, because their classes are more urgent or
// their items are retries.
func (q *Queue) LeadCost(item *Item) float64 {
	weights := 0.0
	for _, a := range q.backlogged {
		if a.name != item.Account {
			weights += a.weight
		}
	}
	return max(0, q.config.Lead*q.meanCost-q.lag(item)) * weights
}

// lag returns how far an item's account is behind the virtual time, at most its
// credit.
func (q *Queue) lag(item *Item) float64 {
	a := q.accounts[item.Account]
	if a == nil {
		return q.config.Credit * q.meanCost
	}
	return max(0, q.virtualTime-max(a.startTag, q.minTag()))
}

// costAhead returns the account's waiting cost that goes before an item of the
// same priority: retries only if the item is itself a retry.
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

// queuedCostFrom returns the waiting cost of a priority and all more urgent
// ones.
func (a *account) queuedCostFrom(priority int) float64 {
	total := 0.0
	for _, l := range a.lanes {
		if l.priority >= priority {
			total += l.queuedCost
		}
	}
	return total
}
