package fairshare

import (
	"container/heap"
	"math"
)

// Verdict says what PopFirst does with an item.
type Verdict int

// The verdicts.
const (
	// Skip leaves the item in its place and goes on with the next one.
	Skip Verdict = iota
	// Accept grants the item.
	Accept
	// Stop leaves the item and all that follow it in their places.
	Stop
)

// PopFirst is like Pop, but asks about each item in order: it removes and charges the first one that is
// accepted, and returns nil if none is. judge must not change the queue.
func (q *Queue) PopFirst(judge func(*Item) Verdict) *Item {
	var skipped []*Item
	item, smallest := q.firstAccepted(judge, &skipped)
	for _, s := range skipped {
		heap.Push(&s.lane.items, s)
	}
	if item != nil {
		q.grant(item, smallest)
	}
	return item
}

// firstAccepted returns the first accepted item, or nil if there is none, and the
// smallest start tag of the accounts that still had items to offer. It takes
// skipped items out of their lanes' heaps and adds them to skipped; the totals go
// on counting them.
func (q *Queue) firstAccepted(judge func(*Item) Verdict, skipped *[]*Item) (*Item, float64) {
	for {
		a, smallest := q.chooseAccount(nil)
		if a == nil {
			return nil, 0
		}
		l := a.chooseLane(q.config.ClassShare, nil)
		item := l.items[0]
		switch judge(item) {
		case Accept:
			return item, smallest
		case Stop:
			return nil, 0
		}
		heap.Pop(&l.items)
		*skipped = append(*skipped, item)
	}
}

// Ahead returns the cost that will be served before an item if no further items
// arrive: that of its own account's more urgent lanes and earlier items, and what
// the other accounts are served by weight in the meantime. The item may be
// waiting or not.
func (q *Queue) Ahead(item *Item) float64 {
	weight := effectiveWeight(item.Weight)
	own := 0.0
	if mine := q.accounts[item.Account]; mine != nil {
		own = mine.costBefore(item)
	}
	perWeight := max(0, own+item.cost()-q.lag(item)*weight) / weight
	total := own
	for _, a := range q.backlogged {
		if a.name != item.Account {
			total += min(a.queuedCost, perWeight*a.weight)
		}
	}
	return total
}

// costBefore returns the cost of the account's items that go before an item.
func (a *account) costBefore(item *Item) float64 {
	key := *item
	if !item.Queued() {
		key.sequence = math.MaxUint64
	}
	total := 0.0
	for _, l := range a.lanes {
		if l.priority > item.Priority {
			total += l.queuedCost
			continue
		}
		if l.priority < item.Priority {
			break
		}
		for _, other := range l.items {
			if other != item && lessItem(other, &key) {
				total += other.cost()
			}
		}
	}
	return total
}
