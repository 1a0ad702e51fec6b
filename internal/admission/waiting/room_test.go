package waiting

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

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
		if got := f.places.grants(); len(got) < 3 || !slices.Contains(got[1:3], "small") {
			t.Errorf("places went to %v, want the small account among the first two that waited", got)
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

// Guards against a queue that is woken without end because the pause that blocks its calls is over already.
func TestAPauseThatIsOverWakesNobody(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.places.blocked, f.places.blockedUntil = forward.BlockedByPauses, time.Now()
		f.take(f.t.Context(), newCall("c", "a"))
		time.Sleep(longestWait)
		f.wantRefused("c", longestWait, forward.BlockedByPauses)
		f.places.set(func() {
			if f.places.choices > 2 {
				t.Errorf("%d choices for one call, want the first and the last", f.places.choices)
			}
		})
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

// Guards against many calls of one account that fit no free place, alike or not, and hold back another account's call
// that does.
func TestManyCallsThatFitNoPlaceHoldNobodyBack(t *testing.T) {
	for _, alike := range []bool{true, false} {
		inRoom(t, newFewPlaces(0, "u", "v"), func(f *roomFixture) {
			f.queueOf("svc").order.config.MaxWaiters = 400
			for i := range 2 * maxMisses {
				exclude := []ident.Instance{"u"}
				if !alike {
					exclude = append(exclude, ident.Instance(fmt.Sprint("gone", i)))
				}
				f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("tried", i)), "a"), exclude...)
			}
			f.take(f.t.Context(), newCall("next", "b"))
			f.places.set(func() { f.places.free["u"], f.places.choices = 1, 0 })
			f.WakeAll()
			if f.waits("next") {
				t.Errorf("alike %v: the place didn't go to the call that it fits", alike)
			}
			f.places.set(func() {
				if most := maxMisses + 2; f.places.choices > most {
					t.Errorf("alike %v: %d choices in one wake, want at most %d", alike, f.places.choices, most)
				}
			})
		})
	}
}

// Guards against many calls of one account that would be answered too late and hold back another account's call.
func TestManyLateCallsHoldNobodyBack(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.queueOf("svc").order.config.MaxWaiters = 400
		f.places.set(func() { f.places.late = map[ident.ClientAccount]bool{"a": true} })
		for i := range 2 * maxMisses {
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("late", i)), "a"))
		}
		f.take(f.t.Context(), newCall("next", "b"))
		f.places.set(func() { f.places.free["u"] = 1 })
		f.WakeAll()
		if f.waits("next") {
			t.Error("the place didn't go to the call that it fits")
		}
	})
}

// Guards against a call that counts as like another one which tried other upstreams, and misses the place that fits it.
func TestCallsThatTriedOtherUpstreamsAreNotAlike(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u", "v"), func(f *roomFixture) {
		f.take(f.t.Context(), newCall("tried v", "a"), "v")
		f.take(f.t.Context(), newCall("tried u", "b"), "u")
		f.places.set(func() { f.places.free["v"] = 1 })
		f.WakeAll()
		if f.waits("tried u") || !f.waits("tried v") {
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
	const mostChoices = 16 + 1 // the bound and the first of the route
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.queueOf("svc").order.config.MaxWaiters = 400
		for i := range 200 {
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("plain", i)), "a"))
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("tried", i)), "b"), "u")
		}
		f.places.set(func() { f.places.choices = 0 })
		f.WakeAll()
		f.places.set(func() {
			if f.places.choices > mostChoices {
				t.Errorf("%d choices in one wake, want at most %d", f.places.choices, mostChoices)
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

// Guards against an account that has ten times as many callers as the others and takes their places: at one
// and a half times the room, accounts that ask for less than their part must be served.
func TestOneLargeAccountInARoom(t *testing.T) {
	const (
		places, hold, playFor = 36, 60 * time.Millisecond, 10 * time.Second
		small                 = 15
	)
	perSecond := 1.5 * places / hold.Seconds() / (small + largeAccountAsks)
	inRoom(t, newFewPlaces(places, "u"), func(f *roomFixture) {
		f.queueOf("svc").order.config.MaxWaiters = DefaultMaxWaiters
		random := rand.New(rand.NewPCG(1, 0))
		asked := make(map[ident.ClientAccount]int)
		for i := range small {
			name := ident.ClientAccount(fmt.Sprint("small", i))
			asked[name] = f.serveAtRandom(random, name, perSecond, hold, playFor)
		}
		f.serveAtRandom(random, "large", largeAccountAsks*perSecond, hold, playFor)
		time.Sleep(playFor + time.Second)
		served := make(map[ident.ClientAccount]int)
		for _, id := range f.places.grants() {
			name, _, _ := strings.Cut(string(id), "/")
			served[ident.ClientAccount(name)]++
		}
		for name, asked := range asked {
			if share := float64(served[name]) / float64(asked); share < minServedOfPart {
				t.Errorf("account %s was served %.3f of %d calls, want at least %v", name, share, asked, minServedOfPart)
			}
		}
		if used := float64(len(f.places.grants())) * hold.Seconds() / places / playFor.Seconds(); used < minPlacesUsed {
			t.Errorf("%.3f of the places used, want at least %v", used, minPlacesUsed)
		}
	})
}

// serveAtRandom lets calls of an account, whose names begin with its, take places at random times, and
// returns how many.
func (f *roomFixture) serveAtRandom(random *rand.Rand, account ident.ClientAccount, perSecond float64, hold, playFor time.Duration) (calls int) {
	for at := random.ExpFloat64() / perSecond; at < playFor.Seconds(); at += random.ExpFloat64() / perSecond {
		calls++
		id := ident.Request(fmt.Sprint(account, "/", calls))
		time.AfterFunc(time.Duration(at*float64(time.Second)), func() {
			if choice, found := f.Take(f.t.Context(), newCall(id, account), nil); found {
				time.Sleep(hold)
				f.Finished(choice, forward.Done, time.Now())
			}
		})
	}
	return calls
}

// Guards against places that go to calls whose time passed while the gateway stood still.
func TestNoPlaceAfterTheGatewayStoodStill(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		f.take(f.t.Context(), newCall("c", "a"))
		f.stoodStill.Store(int64(time.Hour))
		f.places.set(func() { f.places.free["u"] = 1 })
		time.Sleep(longestWait)
		f.wantRefused("c", longestWait, 0)
	})
}

// Guards against accounts that get places beyond their part because others found theirs without a wait.
func TestCallsThatDontWaitAreCharged(t *testing.T) {
	inRoom(t, newFewPlaces(100, "u"), func(f *roomFixture) {
		for i := range 30 {
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("a", i)), "a"))
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("b", i)), "b"))
		}
		for i := range 5 {
			f.take(f.t.Context(), newCall(ident.Request(fmt.Sprint("more", i)), "a"))
		}
		f.places.set(func() { f.places.free["u"] = 0 })
		f.take(f.t.Context(), newCall("of a", "a"))
		f.take(f.t.Context(), newCall("of b", "b"))
		f.places.set(func() { f.places.free["u"] = 1 })
		f.WakeAll()
		if !f.end("of b").found || !f.waits("of a") {
			t.Error("the place went to the account that was served more")
		}
	})
}
