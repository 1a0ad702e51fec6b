package waiting

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
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
	// late are the accounts whose calls no engine could answer in time.
	late map[ident.ClientAccount]bool
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
	if p.late[call.Account] {
		return forward.Choice{Late: true}, false
	}
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
	longestWait = objective / WaitDivisor
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
	// stoodStill is how long the gateway stood still, in nanoseconds.
	stoodStill atomic.Int64

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
			Now: func() time.Time { return time.Now().Add(time.Duration(f.stoodStill.Load())) }, Placement: places, Table: func() *routetable.Table { return f.table }, Log: hclog.NewNullLogger(), MaxWaiters: 4,
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

// tableOf returns a configuration with a route and accounts whose keys are their names.
func tableOf(priority int, accounts ...ident.ClientAccount) *routetable.Table {
	spec := routetable.Spec{Revision: 1, Services: []routetable.Service{*testService}, Routes: []routetable.Route{*testRoute}}
	spec.Routes[0].Priority = priority
	for _, name := range accounts {
		spec.Accounts = append(spec.Accounts, routetable.Account{Name: name, Keys: []string{string(name)}})
	}
	return routetable.New(spec)
}
