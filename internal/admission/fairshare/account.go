package fairshare

import (
	"container/heap"
	"math"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// costSmoothing is the weight of one grant in the moving average
// Queue.meanCost.
const costSmoothing = 0.05

func effectiveWeight(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// accountFor returns an account with its weight updated, and creates it if there
// is none.
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

// KeepAccounts drops what is kept of the accounts without waiting items for which
// inUse returns false.
func (q *Queue) KeepAccounts(inUse func(ident.ClientAccount) bool) {
	for name, a := range q.accounts {
		if a.backlogIndex < 0 && !inUse(name) {
			delete(q.accounts, name)
		}
	}
}

// Accounts returns the number of accounts of which anything is kept.
func (q *Queue) Accounts() int { return len(q.accounts) }

// minTag returns the smallest start tag that an account may have: the virtual
// time less the credit.
func (q *Queue) minTag() float64 { return q.virtualTime - q.config.Credit*q.meanCost }

// addBacklogged adds an account to the backlogged ones. Service that it didn't
// use before counts up to the credit. Service that it used while nobody else
// waited isn't held against it, since the virtual time has advanced too.
func (q *Queue) addBacklogged(a *account) {
	a.startTag = max(a.startTag, q.minTag())
	a.backlogIndex = len(q.backlogged)
	q.backlogged = append(q.backlogged, a)
}

// removeBacklogged removes an account from the backlogged ones and clears the
// credit of its lanes.
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

// updateTotals adds an item to the totals if sign is 1, and subtracts it if sign
// is -1.
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

// charge advances an account's start tag for a granted cost.
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

// grant removes an item and charges its account. smallest is the result of
// chooseAccount.
func (q *Queue) grant(item *Item, smallest float64) {
	a := item.lane.account
	q.virtualTime = max(q.virtualTime, smallest)
	a.settleCredit(item, q.config.ClassShare)
	q.dequeue(item)
	q.charge(a, item.cost())
}

// chooseAccount returns the account to serve, or nil if no allowed item waits:
// of the accounts within the lead, the one with the most urgent item, then the
// one with the smallest start tag. It also returns the smallest start tag of all
// accounts with allowed items. An account without allowed items doesn't hold the
// others back; it keeps its tag and so catches up later.
func (q *Queue) chooseAccount(allowed func(int) bool) (*account, float64) {
	smallest := math.Inf(1)
	for _, a := range q.backlogged {
		if a.startTag < smallest && a.mostUrgentLane(allowed) != nil {
			smallest = a.startTag
		}
	}
	if math.IsInf(smallest, 1) {
		return nil, 0
	}
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
	return best, smallest
}

// servedBefore reports whether account a, with its most urgent item, is served
// before account b, with its most urgent item other. A retry goes first within
// its priority, whichever account it is of: retries come at the turns that were
// booked for them, and are spread evenly over all accounts together, while those
// of a single account are too few to even out.
func servedBefore(a *account, item *Item, b *account, other *Item) bool {
	if item.Priority != other.Priority {
		return item.Priority > other.Priority
	}
	if item.Retry != other.Retry {
		return item.Retry
	}
	return smallerTag(a, b)
}

// smallerTag compares start tags. It breaks ties by name so that the order is
// the same in each run.
func smallerTag(a, b *account) bool {
	if a.startTag != b.startTag {
		return a.startTag < b.startTag
	}
	return a.name < b.name
}

// laneFor returns the lane of a priority and creates it if there is none.
func (a *account) laneFor(priority int) *lane {
	i, found := slices.BinarySearchFunc(a.lanes, priority, func(l *lane, p int) int { return p - l.priority })
	if !found {
		a.lanes = slices.Insert(a.lanes, i, &lane{account: a, priority: priority})
	}
	return a.lanes[i]
}

// mostUrgentLane returns the most urgent lane that has items and is allowed, or
// nil if there is none.
func (a *account) mostUrgentLane(allowed func(int) bool) *lane {
	for _, l := range a.lanes {
		if l.mayServe(allowed) {
			return l
		}
	}
	return nil
}

// mayServe reports whether the lane has items and its priority is allowed.
func (l *lane) mayServe(allowed func(int) bool) bool {
	return len(l.items) > 0 && (allowed == nil || allowed(l.priority))
}

// chooseLane returns the lane to serve: of the lanes whose credit covers the
// price of their first item, the one with the largest surplus; otherwise the
// most urgent lane.
//
// Without credit, a steady flow of short replies would keep a long review
// waiting forever: its wait would grow with the length of the flow. With it,
// each waiting lane gets at least its share of the account's cost.
func (a *account) chooseLane(share float64, allowed func(int) bool) *lane {
	share = a.laneShare(share)
	var urgent, earned *lane
	maxSurplus := 0.0
	for _, l := range a.lanes {
		if !l.mayServe(allowed) {
			continue
		}
		if urgent == nil {
			urgent = l
		}
		if surplus := l.credit - creditPrice(l.items[0], share); surplus >= maxSurplus {
			earned, maxSurplus = l, surplus
		}
	}
	if earned != nil {
		return earned
	}
	return urgent
}

// laneShare divides the class share equally among all waiting lanes but the most
// urgent.
func (a *account) laneShare(share float64) float64 {
	waiting := 0
	for _, l := range a.lanes {
		if len(l.items) > 0 {
			waiting++
		}
	}
	return share / float64(max(waiting-1, 1))
}

// creditPrice returns the credit for which an item is granted: the cost that
// other lanes must be served for the item to make up its lane's share.
func creditPrice(item *Item, share float64) float64 { return item.cost() * (1 - share) / share }

// settleCredit adds the cost of a granted item to the credit of the other waiting
// lanes and subtracts the item's price from the credit of its own lane.
func (a *account) settleCredit(granted *Item, share float64) {
	for _, l := range a.lanes {
		if l != granted.lane && len(l.items) > 0 {
			l.credit += granted.cost()
		}
	}
	granted.lane.credit = max(0, granted.lane.credit-creditPrice(granted, a.laneShare(share)))
}

// lastItem returns the item that would be served last, that is the last item of
// the least urgent lane that isn't empty, or nil if nothing waits.
func (a *account) lastItem() *Item {
	for i := len(a.lanes) - 1; i >= 0; i-- {
		if items := a.lanes[i].items; len(items) > 0 {
			return items.latest()
		}
	}
	return nil
}

// itemHeap is a heap of items: retries first, then by latest start, then by
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

// latest returns the item that would be popped last. The heap must not be empty.
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
