package waiting

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// fewPlaces is a Placement with a number of places at each of its upstreams.
type fewPlaces struct {
	forward.Placement
	mu sync.Mutex
	// free are the free places by upstream, and order is how upstreams are preferred.
	free  map[ident.Instance]int
	order []ident.Instance
	// blocked is what a choice says that finds no place.
	blocked      forward.Block
	blockedUntil time.Time
	// choices counts the calls of Choose, and chosen lists the calls that got places.
	choices int
	chosen  []ident.Request
	results []forward.Result
}

func newFewPlaces(places int, upstreams ...ident.Instance) *fewPlaces {
	p := &fewPlaces{free: make(map[ident.Instance]int), order: upstreams}
	for _, id := range upstreams {
		p.free[id] = places
	}
	return p
}

func (p *fewPlaces) Choose(call *forward.Call, exclude []ident.Instance, _ time.Time) (forward.Choice, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.choices++
	for _, id := range p.order {
		if p.free[id] > 0 && !slices.Contains(exclude, id) {
			p.free[id]--
			p.chosen = append(p.chosen, call.ID)
			return forward.Choice{Upstream: id}, true
		}
	}
	return forward.Choice{Blocked: p.blocked, BlockedUntil: p.blockedUntil, PassedOver: []string{"full"}}, false
}

func (p *fewPlaces) Finished(choice forward.Choice, result forward.Result, _ time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.free[choice.Upstream]++
	p.results = append(p.results, result)
}

// set changes the placement, as a report or a view of the upstreams does.
func (p *fewPlaces) set(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *fewPlaces) grants() []ident.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.chosen)
}

// objective is that of the tests' routes; a call waits for an eighth of it, longestWait.
const (
	objective   = 800 * time.Millisecond
	longestWait = objective / waitDivisor
)

var (
	testRoute   = &routetable.Route{Name: "r", Host: "app", Prefix: "/", Kind: routetable.Idempotent, Objective: objective, Priority: 1, Targets: []routetable.Target{{Service: "svc"}}}
	testService = &routetable.Service{Name: "svc"}
)

// roomFixture is a Room in a bubble, with what became of the calls in it.
type roomFixture struct {
	*Room
	t      *testing.T
	places *fewPlaces
	table  *routetable.Table

	mu   sync.Mutex
	ends map[ident.Request]takeEnd
	done sync.WaitGroup
}

// takeEnd is the result of a Take and how long it took.
type takeEnd struct {
	choice forward.Choice
	found  bool
	took   time.Duration
}

// inRoom runs a test with a Room in a bubble.
func inRoom(t *testing.T, places *fewPlaces, run func(*roomFixture)) {
	synctest.Test(t, func(t *testing.T) {
		f := &roomFixture{t: t, places: places, ends: make(map[ident.Request]takeEnd)}
		f.Room = NewRoom(RoomConfig{
			Now: time.Now, Placement: places, Table: func() *routetable.Table { return f.table }, Log: hclog.NewNullLogger(), MaxWaiters: 4,
		})
		run(f)
		f.done.Wait()
		if n := f.queueOf("svc").waiting(); n != 0 {
			t.Errorf("%d calls wait at the end", n)
		}
	})
}

func newCall(id ident.Request, account ident.ClientAccount) *forward.Call {
	now := time.Now()
	return &forward.Call{ID: id, Account: account, Key: string(account), Route: testRoute, Service: testService, Host: "app", URI: "/x", Priority: 1, Received: now, Expires: now.Add(time.Minute)}
}

// take lets a call take a place in a goroutine of its own, and returns when it has one or waits.
func (f *roomFixture) take(ctx context.Context, call *forward.Call, exclude ...ident.Instance) {
	begin := time.Now()
	f.done.Go(func() {
		choice, found := f.Take(ctx, call, exclude)
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ends[call.ID] = takeEnd{choice, found, time.Since(begin)}
	})
	synctest.Wait()
}

// end returns how a call's Take ended. It fails the test if it hasn't.
func (f *roomFixture) end(id ident.Request) takeEnd {
	f.t.Helper()
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	end, ended := f.ends[id]
	if !ended {
		f.t.Fatalf("call %s still waits", id)
	}
	return end
}

func (f *roomFixture) waits(id ident.Request) bool {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ended := f.ends[id]
	return !ended
}

// fill takes a place for a call that holds it until the returned function is called.
func (f *roomFixture) fill(id ident.Request) (finish func()) {
	f.take(f.t.Context(), newCall(id, "other"))
	choice := f.end(id).choice
	return func() { f.Finished(choice, forward.Done, time.Now()) }
}

// wantRefused fails the test unless a call was refused after a time because of a block.
func (f *roomFixture) wantRefused(id ident.Request, after time.Duration, block forward.Block) {
	f.t.Helper()
	if end := f.end(id); end.found || end.took != after || end.choice.Blocked != block {
		f.t.Errorf("call %s: %+v, want it refused after %v with %q", id, end, after, block)
	}
}

// Guards against a place that goes to whoever asks next instead of the account that has had least.
func TestPlacesGoByAccount(t *testing.T) {
	inRoom(t, newFewPlaces(1, "u"), func(f *roomFixture) {
		finish := f.fill("first")
		for i := range 3 {
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("large", i)), "large"))
		}
		f.take(f.t.Context(), newCall("small", "small"))
		finish()
		for range 3 {
			synctest.Wait()
			f.Finished(f.end(f.places.grants()[len(f.places.grants())-1]).choice, forward.Done, time.Now())
		}
		synctest.Wait()
		if got := f.places.grants()[1:3]; !slices.Contains(got, "small") {
			t.Errorf("places went to %v first, want the small account among them", got)
		}
	})
}

// Guards against a wait that outlasts its bound because no event ever wakes it, and against one that ends
// without a last look.
func TestTheBoundEndsAWaitWithoutEvents(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.take(f.t.Context(), newCall("refused", "a"))
		time.Sleep(longestWait)
		f.wantRefused("refused", longestWait, 0)
		f.take(f.t.Context(), newCall("found", "a"))
		f.places.set(func() { f.places.free["u"] = 1 })
		time.Sleep(longestWait)
		if end := f.end("found"); !end.found || end.took != longestWait {
			t.Errorf("%+v, want the place that is free at the end of the wait", end)
		}
	})
}

// Guards against a place that is lost because its call left at the moment at which it was found.
func TestAPlaceOfACallThatLeftIsPassedOn(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		ctx, leave := context.WithCancel(f.t.Context())
		f.take(ctx, newCall("leaves", "a"))
		f.take(f.t.Context(), newCall("next", "b"))
		f.places.set(func() { f.places.free["u"] = 1 })
		q := f.queueOf("svc")
		q.mu.Lock()
		leave()
		q.grant(time.Now()) // before the call can leave the queue
		q.mu.Unlock()
		if f.end("leaves").found || !f.end("next").found {
			t.Errorf("the place went to %v, want it to be passed on", f.places.grants())
		}
		if !slices.Equal(f.places.results, []forward.Result{forward.Withdrawn}) {
			t.Errorf("the place was given back as %v, want a result that says nothing about the upstream", f.places.results)
		}
	})
}

// Guards against calls that go on waiting after their caller has left, or after the gateway has ended their
// time to leave itself.
func TestACallLeavesWithItsContext(t *testing.T) {
	for _, cause := range []error{context.Canceled, forward.ErrTimeOver} {
		inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
			ctx, end := context.WithCancelCause(f.t.Context())
			f.take(ctx, newCall("c", "a"))
			time.Sleep(10 * time.Millisecond)
			end(cause)
			f.wantRefused("c", 10*time.Millisecond, 0)
		})
	}
}

// Guards against a wait beyond the time at which an engine could still answer.
func TestAWaitEndsWithTheTimeToBeServed(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.cfg.Reading = func(*forward.Call, time.Time) time.Duration { return 30 * time.Millisecond }
		call := newCall("c", "a")
		call.Expires = call.Received.Add(50 * time.Millisecond)
		f.take(f.t.Context(), call)
		time.Sleep(20 * time.Millisecond)
		f.wantRefused("c", 20*time.Millisecond, 0)
	})
}

// tableOf returns a configuration with a route and accounts whose keys are their names.
func tableOf(priority int, accounts ...ident.ClientAccount) *routetable.Table {
	spec := routetable.Spec{Revision: 1, Services: []routetable.Service{*testService}, Routes: []routetable.Route{*testRoute}}
	spec.Routes[0].Priority = priority
	for _, name := range accounts {
		spec.Accounts = append(spec.Accounts, routetable.Account{Name: name, Keys: []string{string(name)}})
	}
	return routetable.New(spec)
}

// Guards against calls that go on waiting under a configuration that isn't in force any more.
func TestAChangedConfigurationHoldsForWaitingCalls(t *testing.T) {
	withoutRoute := tableOf(1, "a", "b")
	moved := *testRoute
	moved.Prefix = "/y"
	for _, c := range []struct {
		name  string
		table *routetable.Table
		block forward.Block
	}{
		{"key removed", tableOf(1, "b"), forward.BlockedByKey},
		{"route removed", routetable.New(routetable.Spec{Services: []routetable.Service{*testService}, Routes: []routetable.Route{moved}}), forward.BlockedByRoute},
		{"service removed", routetable.New(routetable.Spec{Routes: []routetable.Route{*testRoute}}), forward.BlockedByRoute},
	} {
		t.Run(c.name, func(t *testing.T) {
			inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
				f.table = withoutRoute
				f.take(f.t.Context(), newCall("c", "a"))
				time.Sleep(10 * time.Millisecond)
				f.table = c.table
				f.Reconfigure()
				f.wantRefused("c", 10*time.Millisecond, c.block)
				f.take(f.t.Context(), newCall("late", "a"))
				f.wantRefused("late", 0, c.block)
			})
		})
	}
}

// Guards against waiting calls that keep the priority of before a change.
func TestAChangedPriorityHoldsForWaitingCalls(t *testing.T) {
	inRoom(t, newFewPlaces(1, "u"), func(f *roomFixture) {
		finish := f.fill("first")
		f.table = tableOf(1, "a", "b")
		f.take(f.t.Context(), newCall("earlier", "a"))
		f.take(f.t.Context(), newCall("later", "b"))
		urgent := 0
		spec := routetable.Spec{
			Revision: 2, Services: []routetable.Service{*testService}, Routes: []routetable.Route{*testRoute},
			Accounts: []routetable.Account{{Name: "a", Keys: []string{"a"}}, {Name: "b", Keys: []string{"b"}, Priority: &urgent}},
		}
		f.table = routetable.New(spec)
		f.Reconfigure()
		finish()
		if !f.end("later").found || !f.waits("earlier") {
			t.Error("the place went to the call that was urgent before the change")
		}
	})
}

// Guards against calls that wait although an upstream has appeared.
func TestAnUpstreamThatAppearsTakesWaitingCalls(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.take(f.t.Context(), newCall("c", "a"))
		time.Sleep(10 * time.Millisecond)
		f.places.set(func() { f.places.order, f.places.free["new"] = []ident.Instance{"u", "new"}, 1 })
		f.WakeAll()
		if end := f.end("c"); !end.found || end.took != 10*time.Millisecond {
			t.Errorf("%+v, want the new upstream at once", end)
		}
	})
}

// Guards against calls that wait although all upstreams leave.
func TestNobodyWaitsForUpstreamsThatLeave(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.take(f.t.Context(), newCall("c", "a"))
		f.take(f.t.Context(), newCall("d", "b"))
		time.Sleep(10 * time.Millisecond)
		f.places.set(func() { f.places.blocked = forward.BlockedByLeaving })
		f.WakeAll()
		f.wantRefused("c", 10*time.Millisecond, forward.BlockedByLeaving)
		f.wantRefused("d", 10*time.Millisecond, forward.BlockedByLeaving)
	})
}

// Guards against calls that miss the end of a pause, after which no event follows.
func TestAWaitNoticesTheEndOfAPause(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.places.blocked, f.places.blockedUntil = forward.BlockedByPauses, time.Now().Add(10*time.Millisecond)
		f.take(f.t.Context(), newCall("c", "a"))
		f.places.set(func() { f.places.free["u"] = 1 })
		time.Sleep(10 * time.Millisecond)
		if end := f.end("c"); !end.found || end.took != 10*time.Millisecond {
			t.Errorf("%+v, want the place at the end of the pause", end)
		}
	})
}

// Guards against a call that fits no free place and holds back those behind it.
func TestACallThatFitsNoPlaceHoldsNobodyBack(t *testing.T) {
	inRoom(t, newFewPlaces(1, "u"), func(f *roomFixture) {
		finish := f.fill("first")
		f.take(f.t.Context(), newCall("tried", "a"), "u")
		f.take(f.t.Context(), newCall("next", "b"))
		finish()
		if !f.end("next").found || !f.waits("tried") {
			t.Error("the place didn't go to the call that it fits")
		}
	})
}

// Guards against a queue without bound, and against one that refuses accounts that wait for little.
func TestAFullRoomRefusesTheLargestAccount(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		for i := range 4 {
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("large", i)), "large"))
		}
		f.take(f.t.Context(), newCall("small", "small"))
		f.wantRefused("large3", 0, forward.BlockedByQueue)
		f.take(f.t.Context(), newCall("large4", "large"))
		f.wantRefused("large4", 0, forward.BlockedByQueue)
		if !f.waits("small") {
			t.Error("the small account's call was refused")
		}
	})
}

// Guards against a wake that asks for hundreds of waiting calls while no place is free.
func TestAWakeAsksForFewCalls(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.queueOf("svc").order.config.MaxWaiters = 400
		for i := range 200 {
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("plain", i)), "a"))
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("tried", i)), "b"), "u")
		}
		f.places.set(func() { f.places.choices = 0 })
		f.WakeAll()
		f.places.set(func() {
			if f.places.choices > maxMisses+1 {
				t.Errorf("%d choices in one wake, want at most %d", f.places.choices, maxMisses+1)
			}
		})
	})
}

// pollingPlaces waits as callers did before there was a Room: it asks again at an interval.
func pollingPlaces(p *fewPlaces, call *forward.Call) (forward.Choice, bool) {
	until := call.Received.Add(longestWait)
	for {
		choice, found := p.Choose(call, nil, time.Now())
		if found || choice.BlockedPast(until) || !time.Now().Before(until) {
			return choice, found
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against a change for services at which no two calls wait: the same calls must get the same upstreams
// or refusals as with polling.
func TestBelowTwoWaitersTheDecisionIsThatOfPolling(t *testing.T) {
	for seed := range uint64(50) {
		play := func(take func(*roomFixture, *forward.Call) (forward.Choice, bool)) (decisions []string) {
			inRoom(t, newFewPlaces(1, "u", "v"), func(f *roomFixture) {
				random := rand.New(rand.NewPCG(seed, 0))
				for i := range 40 {
					free := time.Duration(random.IntN(16)) * 10 * time.Millisecond
					f.places.set(func() { f.places.free["u"], f.places.free["v"] = 0, 0 })
					freed := ident.Instance([]string{"u", "v"}[random.IntN(2)])
					time.AfterFunc(free+time.Millisecond, func() {
						f.places.set(func() { f.places.free[freed] = 1 })
						f.WakeAll()
					})
					choice, found := take(f, newCall(ident.Request(fmt.Sprint(i)), "a"))
					decisions = append(decisions, fmt.Sprint(choice.Upstream, found))
					time.Sleep(time.Second)
				}
			})
			return decisions
		}
		polled := play(func(f *roomFixture, call *forward.Call) (forward.Choice, bool) { return pollingPlaces(f.places, call) })
		woken := play(func(f *roomFixture, call *forward.Call) (forward.Choice, bool) {
			return f.Take(f.t.Context(), call, nil)
		})
		if !slices.Equal(polled, woken) {
			t.Fatalf("seed %d: decisions\n%v\nwant those of polling\n%v", seed, woken, polled)
		}
	}
}
