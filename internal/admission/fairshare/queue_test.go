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

const maxCost = 8

// waitingItem is what the oracle knows of a waiting item.
type waitingItem struct {
	item *Item
	// costAhead is the cost that waited in its lane when it came.
	costAhead float64
	// servedAtPush of its account, and of each other account, when it came.
	servedAtPush map[ident.ClientAccount]float64
}

// oracle counts what each account was served, in a plain list.
type oracle struct {
	queue   *Queue
	waiting []*waitingItem
	served  map[ident.ClientAccount]float64
	weights map[ident.ClientAccount]float64
}

// TestNoStarvation pushes and pops at random and holds each grant against two
// bounds that follow from the configuration alone.
//
// Symptom: a long review waits for ever behind short replies, or a small
// account behind a large one. Sequence: the urgent ones never stop coming.
// Cause: strict priority, or order by arrival.
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
		t.Fatalf("%d wait, want %d", o.queue.Len(), len(o.waiting))
	}
	for len(o.waiting) > 0 {
		o.pop(t)
	}
	if o.queue.Pop(nil) != nil {
		t.Fatal("an empty queue grants")
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
		t.Fatalf("granted %+v, which does not wait", item)
	}
	for _, w := range o.waiting {
		o.checkBounds(t, w)
	}
	o.waiting = slices.Delete(o.waiting, i, i+1)
	o.served[item.Account] += item.Cost
}

// checkBounds holds what was served since an item came against what its own
// account and the others may have had before it.
func (o *oracle) checkBounds(t *rapid.T, w *waitingItem) {
	config := o.queue.config
	account := w.item.Account
	own := o.served[account] - w.servedAtPush[account]
	// A lane gets its part of the account's cost; what other lanes have
	// earned before, and the grants that begin and end the wait, come on top.
	part := config.ClassShare / 2
	most := (w.costAhead+w.item.Cost+2*maxCost)/part + 2*maxCost
	if own > most {
		t.Fatalf("account was served %v before an item with %v ahead, at most %v", own, w.costAhead, most)
	}
	for other, weight := range o.weights {
		theirs := o.served[other] - w.servedAtPush[other]
		slack := (config.Lead+config.Credit)*maxCost + 2*maxCost/min(weight, o.weights[account])
		if theirs/weight > own/o.weights[account]+slack {
			t.Fatalf("account %s was served %v per weight while %s waits with %v", other, theirs/weight, account, own/o.weights[account])
		}
	}
}

func (o *oracle) remove(t *rapid.T, i int) {
	if !o.queue.Remove(o.waiting[i].item) || o.queue.Remove(o.waiting[i].item) {
		t.Fatal("removal of a waiting item is not told once")
	}
	o.waiting = slices.Delete(o.waiting, i, i+1)
}

// TestVictim: room is made at the expense of the account that waits with most
// for its weight.
func TestVictim(t *testing.T) {
	q := New(Config{})
	for range 3 {
		q.Push(&Item{Account: "heavy", Weight: 10})
		q.Push(&Item{Account: "light"})
	}
	if v := q.EvictionCandidate(&Item{Account: "new"}); v == nil || v.Account != "light" {
		t.Errorf("victim %+v, want the light account's", v)
	}
	if v := q.EvictionCandidate(&Item{Account: "light"}); v != nil {
		t.Errorf("victim %+v for the account that waits with most, want none", v)
	}
}

// TestAllowed: an account of which nothing is allowed does not stop the others
// and catches up later.
func TestAllowed(t *testing.T) {
	q := New(Config{})
	for range 20 {
		q.Push(&Item{Account: "long", Priority: 1})
		q.Push(&Item{Account: "short", Priority: 2})
	}
	short := func(priority int) bool { return priority == 2 }
	for range 20 {
		if item := q.Pop(short); item == nil || item.Account != "short" {
			t.Fatalf("got %+v, want a short one", item)
		}
	}
	if item := q.Pop(short); item != nil {
		t.Fatalf("got %+v, which is not allowed", item)
	}
	for range 20 {
		if q.Pop(nil) == nil {
			t.Fatal("long ones lost")
		}
	}
}
