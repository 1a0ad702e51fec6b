package fairshare

import (
	"container/heap"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// costSmoothing is the weight of one grant in the moving average of costs.
const costSmoothing = 0.05

func effectiveWeight(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// accountFor finds or creates an account and updates its weight.
func (q *Queue) accountFor(name ident.ClientAccount, weight float64) *account {
	weight = effectiveWeight(weight)
	a := q.accounts[name]
	if a == nil {
		a = &account{name: name, weight: weight, backlogIndex: -1}
		q.accounts[name] = a
		return a
	}
	a.weight = weight
	return a
}

// minTag is how far an account can lag: the present less its credit.
func (q *Queue) minTag() float64 { return q.virtualTime - q.config.Credit*q.meanCost }

// addBacklogged makes an account backlogged. What it did not use before counts up to
// the credit; what it used while nobody else waited is not held against it,
// since the present has moved on too.
func (q *Queue) addBacklogged(a *account) {
	a.startTag = max(a.startTag, q.minTag())
	a.backlogIndex = len(q.backlogged)
	q.backlogged = append(q.backlogged, a)
}

func (q *Queue) removeBacklogged(a *account) {
	last := len(q.backlogged) - 1
	moved := q.backlogged[last]
	q.backlogged[a.backlogIndex] = moved
	moved.backlogIndex = a.backlogIndex
	q.backlogged[last] = nil
	q.backlogged = q.backlogged[:last]
	a.backlogIndex = -1
	for _, l := range a.lanes {
		l.credit = 0
	}
}

// dequeue removes a queued item from its lane.
func (q *Queue) dequeue(item *Item) {
	l := item.lane
	heap.Remove(&l.items, item.position-1)
	q.updateTotals(item, -1)
	if l.items.Len() == 0 {
		l.queuedCost, l.retryCost, l.credit = 0, 0, 0
	}
	if a := l.account; a.length == 0 {
		a.queuedCost = 0
		q.removeBacklogged(a)
	}
}

// updateTotals adds an item to the totals, or takes it from them.
func (q *Queue) updateTotals(item *Item, sign int) {
	l := item.lane
	cost := float64(sign) * item.cost()
	l.queuedCost += cost
	if item.Retry {
		l.retryCost += cost
	}
	l.account.queuedCost += cost
	l.account.length += sign
	q.length += sign
}

func (q *Queue) charge(a *account, cost float64) {
	if cost <= 0 {
		cost = 1
	}
	a.startTag += cost / a.weight
	if q.meanCost == 0 {
		q.meanCost = cost
	}
	q.meanCost += costSmoothing * (cost - q.meanCost)
}

// chooseAccount returns the account to serve: of those within the lead, the
// one with the most urgent class, then the one furthest behind. Accounts of
// which nothing is allowed do not hold the others back; they keep their tag
// and so catch up later.
func (q *Queue) chooseAccount(allowed func(int) bool) *account {
	smallest := math.Inf(1)
	for _, a := range q.backlogged {
		if a.startTag < smallest && a.mostUrgentLane(allowed) != nil {
			smallest = a.startTag
		}
	}
	if math.IsInf(smallest, 1) {
		return nil
	}
	q.virtualTime = max(q.virtualTime, smallest)
	limit := smallest + q.config.Lead*q.meanCost
	var best *account
	var first *Item
	for _, a := range q.backlogged {
		if a.startTag > limit {
			continue
		}
		l := a.mostUrgentLane(allowed)
		if l == nil {
			continue
		}
		if best == nil || servedBefore(a, l.items[0], best, first) {
			best, first = a, l.items[0]
		}
	}
	return best
}

// servedBefore reports whether account a, with its most urgent item, is served
// before account b. A returning item goes first within its priority: turns are
// booked over all accounts, and each account's alone are too few to even out.
func servedBefore(a *account, item *Item, b *account, other *Item) bool {
	if item.Priority != other.Priority {
		return item.Priority > other.Priority
	}
	if item.Retry != other.Retry {
		return item.Retry
	}
	return smallerTag(a, b)
}

// smallerTag breaks ties by name, so that a run gives the same order every time.
func smallerTag(a, b *account) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.name < b.name
}

// laneFor finds or creates the lane of a priority.
func (a *account) laneFor(priority int) *lane {
	i, found := slices.BinarySearchFunc(a.lanes, priority, func(l *lane, p int) int { return p - l.priority })
	if !found {
		a.lanes = slices.Insert(a.lanes, i, &lane{account: a, priority: priority})
	}
	return a.lanes[i]
}

// mostUrgentLane returns the most urgent lane that waits and is allowed, or nil.
func (a *account) mostUrgentLane(allowed func(int) bool) *lane {
	for _, l := range a.lanes {
		if l.mayServe(allowed) {
			return l
		}
	}
	return nil
}

func (l *lane) mayServe(allowed func(int) bool) bool {
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
		if !l.mayServe(allowed) {
			continue
		}
		if urgent == nil {
			urgent = l
		}
		if surplus := l.credit - creditPrice(l.items[0], share); surplus >= most {
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

// creditPrice is the cost of other lanes after which an item has earned its grant.
func creditPrice(item *Item, share float64) float64 { return item.cost() * (1 - share) / share }

// settleCredit gives the waiting lanes credit for the served cost, and takes
// the price of an earned grant from the served lane.
func (a *account) settleCredit(served *lane, cost, share float64) {
	for _, l := range a.lanes {
		if l != served && len(l.items) > 0 {
			l.credit += cost
		}
	}
	served.credit = max(0, served.credit-creditPrice(served.items[0], a.laneShare(share)))
}

// lastItem returns the item that would be served last: the least urgent lane's
// latest.
func (a *account) lastItem() *Item {
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
func (h itemHeap) Less(i, j int) bool { return lessItem(h[i], h[j]) }

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
		if lessItem(latest, item) {
			latest = item
		}
	}
	return latest
}

func lessItem(a, b *Item) bool {
	if a.Retry != b.Retry {
		return a.Retry
	}
	if !a.LatestStart.Equal(b.LatestStart) {
		return a.LatestStart.Before(b.LatestStart)
	}
	return a.sequence < b.sequence
}
