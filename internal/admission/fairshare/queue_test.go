package fairshare

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// maxCost is the largest cost of an item in TestNoStarvation.
const maxCost = 8

// waitingItem is what the oracle knows about a waiting item.
type waitingItem struct {
	item *Item
	// costAhead is the cost that waited in the item's lane when it was pushed.
	costAhead float64
	// servedAtPush is the cost that each account had been served by then.
	servedAtPush map[ident.ClientAccount]float64
}

// oracle pushes to a queue and pops from it, and records the waiting items in a
// plain list and the cost that each account was served.
type oracle struct {
	queue   *Queue
	waiting []*waitingItem
	served  map[ident.ClientAccount]float64
	weights map[ident.ClientAccount]float64
}

// TestNoStarvation pushes and pops at random and checks at each grant that what
// was served before each waiting item stays within two bounds that follow from
// the configuration alone.
//
// It guards against long reviews that wait forever behind short replies, and
// small accounts that wait forever behind large ones. That happens under strict
// priority or order of arrival if urgent items never stop arriving.
func TestNoStarvation(t *testing.T) { rapid.Check(t, checkNoStarvation) }

func checkNoStarvation(t *rapid.T) {
	config := Config{
		Lead:       rapid.Float64Range(1, 10).Draw(t, "lead"),
		Credit:     rapid.Float64Range(-1, 10).Draw(t, "credit"),
		ClassShare: rapid.Float64Range(0.1, 0.5).Draw(t, "class share"),
	}
	o := &oracle{queue: New(config), served: map[ident.ClientAccount]float64{}, weights: map[ident.ClientAccount]float64{}}
	for i := range 4 {
		o.weights[ident.ClientAccount(fmt.Sprint(i))] = rapid.Float64Range(0.5, 3).Draw(t, "weight")
	}
	// One account sends urgent items as fast as any are granted.
	flood := ident.ClientAccount("0")
	for range rapid.IntRange(1, 30).Draw(t, "before the flood") {
		o.push(t, drawAccount(t), rapid.IntRange(0, 2).Draw(t, "priority"))
	}
	for range rapid.IntRange(50, 300).Draw(t, "grants") {
		o.push(t, flood, 2)
		switch rapid.IntRange(0, 9).Draw(t, "other") {
		case 0, 1, 2:
			o.push(t, drawAccount(t), rapid.IntRange(0, 2).Draw(t, "priority"))
		case 3:
			o.remove(t, rapid.IntRange(0, len(o.waiting)-1).Draw(t, "who"))
		}
		o.pop(t)
	}
	if o.queue.Len() != len(o.waiting) {
		t.Fatalf("%d items wait, want %d", o.queue.Len(), len(o.waiting))
	}
	for len(o.waiting) > 0 {
		o.pop(t)
	}
	if o.queue.Pop(nil) != nil {
		t.Fatal("Pop returned an item of an empty queue")
	}
}

func drawAccount(t *rapid.T) ident.ClientAccount {
	return ident.ClientAccount(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "account")))
}

func (o *oracle) push(t *rapid.T, account ident.ClientAccount, priority int) {
	item := &Item{
		Account:  account,
		Weight:   o.weights[account],
		Priority: priority,
		Cost:     rapid.Float64Range(1, maxCost).Draw(t, "cost"),
	}
	w := &waitingItem{item: item, servedAtPush: map[ident.ClientAccount]float64{}}
	for _, other := range o.waiting {
		if other.item.Account == account && other.item.Priority == item.Priority {
			w.costAhead += other.item.Cost
		}
	}
	for a, cost := range o.served {
		w.servedAtPush[a] = cost
	}
	o.waiting = append(o.waiting, w)
	o.queue.Push(item)
}

func (o *oracle) pop(t *rapid.T) {
	if len(o.waiting) == 0 {
		return
	}
	item := o.queue.Pop(nil)
	i := slices.IndexFunc(o.waiting, func(w *waitingItem) bool { return w.item == item })
	if i < 0 {
		t.Fatalf("granted %+v, which was not waiting", item)
	}
	for _, w := range o.waiting {
		o.checkBounds(t, w)
	}
	o.waiting = slices.Delete(o.waiting, i, i+1)
	o.served[item.Account] += item.Cost
}

// checkBounds checks the cost that the item's own account and the other accounts
// were served since the item was pushed.
func (o *oracle) checkBounds(t *rapid.T, w *waitingItem) {
	config := o.queue.config
	account := w.item.Account
	own := o.served[account] - w.servedAtPush[account]
	// A lane gets its share of the account's cost. The credit that other lanes
	// had before, and the grants that begin and end the wait, are added.
	share := config.ClassShare / 2
	maxOwn := (w.costAhead+w.item.Cost+2*maxCost)/share + 2*maxCost
	if own > maxOwn {
		t.Fatalf("account %s was served %v before an item with %v ahead in its lane, want at most %v", account, own, w.costAhead, maxOwn)
	}
	for other, weight := range o.weights {
		theirs := o.served[other] - w.servedAtPush[other]
		slack := (config.Lead+config.Credit)*maxCost + 2*maxCost/min(weight, o.weights[account])
		if theirs/weight > own/o.weights[account]+slack {
			t.Fatalf("account %s was served %v per weight while an item of %s waited, which was served %v per weight", other, theirs/weight, account, own/o.weights[account])
		}
	}
}

func (o *oracle) remove(t *rapid.T, i int) {
	if !o.queue.Remove(o.waiting[i].item) || o.queue.Remove(o.waiting[i].item) {
		t.Fatal("Remove must return true for a waiting item, and false for one that was removed")
	}
	o.waiting = slices.Delete(o.waiting, i, i+1)
}

// TestEvictionCandidate checks that the item to evict is of the account with the most
// waiting cost for its weight.
func TestEvictionCandidate(t *testing.T) {
	q := New(Config{})
	for range 3 {
		q.Push(&Item{Account: "heavy", Weight: 10})
		q.Push(&Item{Account: "light"})
	}
	if v := q.EvictionCandidate(&Item{Account: "new"}); v == nil || v.Account != "light" {
		t.Errorf("eviction candidate %+v, want an item of the light account", v)
	}
	if v := q.EvictionCandidate(&Item{Account: "light"}); v != nil {
		t.Errorf("eviction candidate %+v for an item of the account with the most waiting cost, want none", v)
	}
}

// TestAllowed checks that an account without allowed items doesn't block the
// others, and that its items are served later.
func TestAllowed(t *testing.T) {
	q := New(Config{})
	for range 20 {
		q.Push(&Item{Account: "long", Priority: 1})
		q.Push(&Item{Account: "short", Priority: 2})
	}
	short := func(priority int) bool { return priority == 2 }
	for range 20 {
		if item := q.Pop(short); item == nil || item.Account != "short" {
			t.Fatalf("Pop returned %+v, want an item of the short account", item)
		}
	}
	if item := q.Pop(short); item != nil {
		t.Fatalf("Pop returned %+v, whose priority is not allowed", item)
	}
	for range 20 {
		if q.Pop(nil) == nil {
			t.Fatal("items of the long account were lost")
		}
	}
}
