package fairshare

import (
	"container/heap"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// meanWeight is the weight of one grant in the moving average of costs.
const meanWeight = 0.05

func effective(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// account finds or creates an account and updates its weight.
func (q *Queue) account(name ident.ClientAccount, weight float64) *account {
	weight = effective(weight)
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, weight: weight, slot: -1}
		q.accounts[name] = a
		return a
	}
	a.weight = weight
	return a
}

// oldestTag is how far an account can lag: the present less its credit.
func (q *Queue) oldestTag() float64 { return q.clock - q.config.Credit*q.meanCost }

// enter makes an account backlogged. What it did not use before counts up to
// the credit; what it used while nobody else waited is not held against it,
// since the present has moved on too.
func (q *Queue) enter(a *account) {
	a.tag = max(a.tag, q.oldestTag())
	a.slot = len(q.backlogged)
	q.backlogged = append(q.backlogged, a)
}

func (q *Queue) leave(a *account) {
	last := len(q.backlogged) - 1
	moved := q.backlogged[last]
	q.backlogged[a.slot] = moved
	moved.slot = a.slot
	q.backlogged[last] = nil
	q.backlogged = q.backlogged[:last]
	a.slot = -1
	for _, l := range a.lanes {
		l.credit = 0
	}
}

// take removes a queued item from its lane.
func (q *Queue) take(item *Item) {
	l := item.lane
	heap.Remove(&l.items, item.position-1)
	q.count(item, -1)
	if l.items.Len() == 0 {
		l.queued, l.returning, l.credit = 0, 0, 0
	}
	if a := l.account; a.length == 0 {
		a.queued = 0
		q.leave(a)
	}
}

// count adds an item to the totals, or takes it from them.
func (q *Queue) count(item *Item, sign int) {
	l := item.lane
	cost := float64(sign) * item.cost()
	l.queued += cost
	if item.Returning {
		l.returning += cost
	}
	l.account.queued += cost
	l.account.length += sign
	q.length += sign
}

func (q *Queue) charge(a *account, cost float64) {
	if cost <= 0 {
		cost = 1
	}
	a.tag += cost / a.weight
	if q.meanCost == 0 {
		q.meanCost = cost
	}
	q.meanCost += meanWeight * (cost - q.meanCost)
}

// chooseAccount returns the account to serve: of those within the lead, the
// one with the most urgent class, then the one furthest behind. Accounts of
// which nothing is allowed do not hold the others back; they keep their tag
// and so catch up later.
func (q *Queue) chooseAccount(allowed func(int) bool) *account {
	smallest := math.Inf(1)
	for _, a := range q.backlogged {
		if a.tag < smallest && a.urgent(allowed) != nil {
			smallest = a.tag
		}
	}
	if math.IsInf(smallest, 1) {
		return nil
	}
	q.clock = max(q.clock, smallest)
	limit := smallest + q.config.Lead*q.meanCost
	var best *account
	var first *Item
	for _, a := range q.backlogged {
		if a.tag > limit {
			continue
		}
		l := a.urgent(allowed)
		if l == nil {
			continue
		}
		if best == nil || goesFirst(a, l.items[0], best, first) {
			best, first = a, l.items[0]
		}
	}
	return best
}

// goesFirst reports whether account a, with its most urgent item, is served
// before account b. A returning item goes first within its priority: turns are
// booked over all accounts, and each account's alone are too few to even out.
func goesFirst(a *account, item *Item, b *account, other *Item) bool {
	if item.Priority != other.Priority {
		return item.Priority > other.Priority
	}
	if item.Returning != other.Returning {
		return item.Returning
	}
	return before(a, b)
}

// before breaks ties by name, so that a run gives the same order every time.
func before(a, b *account) bool {
	if a.tag != b.tag {
		return a.tag < b.tag
	}
	return a.name < b.name
}

// lane finds or creates the lane of a priority.
func (a *account) lane(priority int) *lane {
	i, found := slices.BinarySearchFunc(a.lanes, priority, func(l *lane, p int) int { return p - l.priority })
	if !found {
		a.lanes = slices.Insert(a.lanes, i, &lane{account: a, priority: priority})
	}
	return a.lanes[i]
}

// urgent returns the most urgent lane that waits and is allowed, or nil.
func (a *account) urgent(allowed func(int) bool) *lane {
	for _, l := range a.lanes {
		if l.ready(allowed) {
			return l
		}
	}
	return nil
}

func (l *lane) ready(allowed func(int) bool) bool {
	return len(l.items) > 0 && (allowed == nil || allowed(l.priority))
}

// chooseLane returns the lane to serve: of those that have earned their share
// the one with most credit beyond its price, else the most urgent.
//
// Without the earned share a steady flow of short replies would keep a long
// review waiting for ever; it would show as a wait that grows with the flow's
// length. With it, a lane gets at least its part of the account's cost.
func (a *account) chooseLane(share float64, allowed func(int) bool) *lane {
	share = a.laneShare(share)
	var urgent, earned *lane
	most := 0.0
	for _, l := range a.lanes {
		if !l.ready(allowed) {
			continue
		}
		if urgent == nil {
			urgent = l
		}
		if surplus := l.credit - price(l.items[0], share); surplus >= most {
			earned, most = l, surplus
		}
	}
	if earned != nil {
		return earned
	}
	return urgent
}

// laneShare divides the class share among all lanes but the most urgent.
func (a *account) laneShare(share float64) float64 {
	waiting := 0
	for _, l := range a.lanes {
		if len(l.items) > 0 {
			waiting++
		}
	}
	return share / float64(max(waiting-1, 1))
}

// price is the cost of other lanes after which an item has earned its grant.
func price(item *Item, share float64) float64 { return item.cost() * (1 - share) / share }

// settleCredit gives the waiting lanes credit for the served cost, and takes
// the price of an earned grant from the served lane.
func (a *account) settleCredit(served *lane, cost, share float64) {
	for _, l := range a.lanes {
		if l != served && len(l.items) > 0 {
			l.credit += cost
		}
	}
	served.credit = max(0, served.credit-price(served.items[0], a.laneShare(share)))
}

// last returns the item that would be served last: the least urgent lane's
// latest.
func (a *account) last() *Item {
	for i := len(a.lanes) - 1; i >= 0; i-- {
		if items := a.lanes[i].items; len(items) > 0 {
			return items.latest()
		}
	}
	return nil
}

// itemHeap orders items: returning first, then by latest start, then by
// arrival.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return earlier(h[i], h[j]) }

func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i+1, j+1
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	item := x.(*Item)
	*h = append(*h, item)
	item.position = len(*h)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	last := len(old) - 1
	item := old[last]
	old[last] = nil
	*h = old[:last]
	item.position = 0
	return item
}

func (h itemHeap) latest() *Item {
	latest := h[0]
	for _, item := range h[1:] {
		if earlier(latest, item) {
			latest = item
		}
	}
	return latest
}

func earlier(a, b *Item) bool {
	if a.Returning != b.Returning {
		return a.Returning
	}
	if !a.LatestStart.Equal(b.LatestStart) {
		return a.LatestStart.Before(b.LatestStart)
	}
	return a.sequence < b.sequence
}
