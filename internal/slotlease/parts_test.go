package slotlease

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// readyUpstreams returns n ready upstreams of "svc", each with its number of slots.
func readyUpstreams(n int, slots func(i int) int) []directory.Upstream {
	var all []directory.Upstream
	for i := range n {
		id := ident.Instance(fmt.Sprint("u", i))
		all = append(all, directory.Upstream{ID: id, Name: id, Service: "svc", Slots: slots(i), State: directory.Ready})
	}
	return all
}

// Guards against a part that gets more calls for each of its slots than the others, and is full before them.
func TestPartsGetCallsInProportionToTheirSlots(t *testing.T) {
	for _, n := range []int{1, 16, 17, 20, 33, 60} {
		for name, slots := range map[string]func(int) int{"equal": func(int) int { return 6 }, "unequal": func(i int) int { return 2 + i%7*3 }} {
			parts := Divide(readyUpstreams(n, slots))
			all, smallest, largest := 0, math.MaxInt, 0
			for _, p := range parts {
				all += usableSlots(p, nil)
				smallest, largest = min(smallest, len(p)), max(largest, len(p))
			}
			if largest-smallest > 1 || largest > MaxUpstreams {
				t.Errorf("%d upstreams: parts of %d to %d", n, smallest, largest)
			}
			const calls = 20_000
			drawn := make([]int, len(parts))
			for i := range calls {
				drawn[DrawParts(ident.Request(fmt.Sprint("call-", i)), parts, nil)[0]]++
			}
			for i, p := range parts {
				want := float64(usableSlots(p, nil)) / float64(all)
				// Five standard deviations.
				if got := float64(drawn[i]) / calls; math.Abs(got-want) > 5*math.Sqrt(want*(1-want)/calls) {
					t.Errorf("%d upstreams, %s slots: part %d gets %.3f of the calls, want %.3f", n, name, i, got, want)
				}
			}
		}
	}
}

// Guards against a call that is refused by one part beside a free slot in another.
func TestCallAsksASecondPartBeforeItIsRefused(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		f.view = directory.NewView(readyUpstreams(20, func(int) int { return 1 }))
		g := f.gateway("g", "k")
		var held []forward.Choice
		for n := range 20 * room(1) {
			choice, found := g.take(context.Background())
			if !found || g.alone > 0 {
				t.Fatalf("call %d: found %v, alone %d, want a lease while a slot is free", n, found, g.alone)
			}
			held = append(held, choice)
		}
		for _, choice := range held {
			g.client.Finished(choice, forward.Done, time.Now())
		}
		time.Sleep(3 * time.Second)
	})
}

// Guards against a retry that is refused because its part has only upstreams that it may not use.
func TestCallAsksNoPartInWhichItMayUseNothing(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		all := readyUpstreams(20, func(int) int { return 6 })
		f.view = directory.NewView(all)
		g := f.gateway("g", "k")
		for _, u := range Divide(all)[0] {
			g.barred = append(g.barred, u.ID)
		}
		for range 20 {
			choice, found := g.take(context.Background())
			if !found || g.alone > 0 {
				t.Fatalf("found %v, alone %d, want a lease in the other part", found, g.alone)
			}
			g.client.Finished(choice, forward.Done, time.Now())
		}
		if n := g.client.Counters().Asked; n != 20 {
			t.Errorf("%d asks of 20 calls", n)
		}
		time.Sleep(3 * time.Second)
	})
}
