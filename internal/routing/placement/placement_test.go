package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// fixture is a Chooser in failure domain a, with upstreams in a, b and c.
type fixture struct {
	// split is nil if no rollout is in progress.
	split *rollout.Split
	*Chooser
	now    time.Time
	view   *directory.View
	silent map[ident.FailureDomain]bool
	others map[ident.Instance]Load
	// sums are the other gateways' samples of engines that read 92,100 tokens per second.
	sums        enginemodel.Sums
	limits      *upstreamlimit.Limiter
	noRetryLeft bool
	// announced is what the upstreams announced.
	announced *announced.Registry
}

var (
	plain  = &routetable.Service{Name: "svc"}
	engine = &routetable.Service{Name: "svc", Engine: &routetable.Engine{Slots: 8}}
	route  = &routetable.Route{Kind: routetable.Idempotent, Objective: 300 * time.Millisecond, Attempts: 2}
)

func newFixture() *fixture {
	f := &fixture{now: time.Unix(1000, 0), silent: make(map[ident.FailureDomain]bool), others: make(map[ident.Instance]Load)}
	f.setUpstreams(directory.Ready, "a0", "a1", "b0", "b1", "c0", "c1")
	for i := range 100 {
		own := float64(500 * (1 + i%7))
		f.sums.AddSample(enginemodel.Sample{OwnTokens: own, FirstEvent: 15*time.Millisecond + time.Duration(own/92_100*float64(time.Second))}, f.sums.Fit())
	}
	f.limits = upstreamlimit.NewLimiter(upstreamlimit.Config{
		Now: func() time.Time { return f.now }, Log: hclog.NewNullLogger(),
		Key: func(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) }, Round: time.Second,
	})
	f.announced = announced.NewRegistry(announced.Config{
		Now: func() time.Time { return f.now }, Log: hclog.NewNullLogger(), Limits: f.limits, Round: time.Second, MaxPause: time.Hour,
		Listed: func(ident.Instance) bool { return true }, OnLeaving: func([]ident.Instance) {},
	})
	f.Chooser = New(Config{
		Params: DefaultParams(), Domain: "a", Log: hclog.NewNullLogger(),
		View:            func() *directory.View { return f.view },
		OtherLoad:       func(id ident.Instance) Load { return f.others[id] },
		Silent:          func(d ident.FailureDomain) bool { return f.silent[d] },
		Gateways:        func() int { return 3 },
		OtherEngineSums: func(ident.Service) enginemodel.Sums { return f.sums },
		HoldsBack:       func(ident.Service, ident.SoftwareVersion, time.Time) bool { return false },
		MayBegin:        func(ident.Service, ident.SoftwareVersion) bool { return true },
		EndedEarly:      func(ident.Instance) bool { return false },
		Split:           func(ident.Service) *rollout.Split { return f.split },
		Limits:          f.limits,
		Pauses:          f.announced,
		RetryLeft:       func(ident.Service, time.Time) bool { return !f.noRetryLeft },
	})
	return f
}

// setUpstreams replaces the view by upstreams in one state, whose IDs begin with their failure domains.
func (f *fixture) setUpstreams(state directory.State, ids ...string) {
	var list []directory.Upstream
	for _, id := range ids {
		list = append(list, directory.Upstream{ID: ident.Instance(id), Name: ident.Instance(id), Service: "svc", FailureDomain: ident.FailureDomain(id[:1]), Slots: 8, State: state})
	}
	f.view = directory.NewView(list)
}

// setOtherLoads sets the load that the other gateways have at each upstream.
func (f *fixture) setOtherLoads(load Load) {
	for _, u := range f.view.Of("svc") {
		f.others[u.ID] = load
	}
}

// call returns a call of a service. If part is not 0, its prompt has two shared parts, the
// second of them with this ID.
func (f *fixture) call(service *routetable.Service, part uint64) *forward.Call {
	c := &forward.Call{Route: route, Service: service, Expires: f.now.Add(time.Minute)}
	if part > 0 {
		c.PromptTokens = 6000
		c.Parts = []forward.PromptPart{{ID: 1, Tokens: 500}, {ID: part, Tokens: 5000}, {ID: part * 1000, Tokens: 500}}
	}
	return c
}

// choose chooses an upstream for a call and finishes the call with a result.
func (f *fixture) choose(t *testing.T, call *forward.Call, result forward.Result) forward.Choice {
	t.Helper()
	choice, found := f.Choose(call, nil, f.now)
	if !found {
		t.Fatal("no upstream")
	}
	if result == forward.Done {
		f.FirstEventArrived(choice, f.now.Add(30*time.Millisecond))
	}
	f.Finished(choice, result, f.now.Add(30*time.Millisecond))
	return choice
}

// Guards against every request to a domain that is cut off waiting for a connection
// time-out at each upstream there, for six seconds, because each upstream has to fail
// separately.
func TestACutOffDomainIsLeftAloneAfterOneFailure(t *testing.T) {
	f := newFixture()
	f.others["a0"], f.others["a1"] = Load{Running: 7}, Load{Running: 7}
	f.silent["b"], f.silent["c"] = true, false
	lost := false
	for range 20 {
		choice, found := f.Choose(f.call(plain, 0), nil, f.now)
		if !found {
			t.Fatal("no upstream")
		}
		inB := choice.Upstream[0] == 'b'
		if inB && lost {
			t.Fatalf("%s was chosen after a connection to its silent domain had failed", choice.Upstream)
		}
		result := forward.Done
		if inB {
			lost, result = true, forward.NoConnection
		}
		f.Finished(choice, result, f.now)
		f.others[choice.Upstream] = Load{Running: f.others[choice.Upstream].Running + 1}
	}
	if !lost {
		t.Fatal("the domain was never tried")
	}
	f.silent["b"] = false
	f.now = f.now.Add(minAvoidance)
	f.others = map[ident.Instance]Load{"a0": {Running: 8}, "a1": {Running: 8}, "c0": {Running: 8}, "c1": {Running: 8}}
	if choice := f.choose(t, f.call(plain, 0), forward.Done); choice.Upstream[0] != 'b' {
		t.Errorf("chose %s, want an upstream of domain b, which is back", choice.Upstream)
	}
}

// Guards against a domain's upstreams staying idle while its only gateway restarts, because
// a silent gateway alone counts as a cut.
func TestADomainWhoseGatewayIsRestartedIsUsed(t *testing.T) {
	f := newFixture()
	f.silent["b"], f.silent["c"] = true, true
	f.others["a0"], f.others["a1"] = Load{Running: 8}, Load{Running: 8}
	if choice := f.choose(t, f.call(plain, 0), forward.Done); choice.Upstream[0] == 'a' {
		t.Errorf("chose %s, want an upstream of domain b or c", choice.Upstream)
	}
}

func TestSharedPartsHaveOneHomeAtAllGateways(t *testing.T) {
	for part := uint64(2); part < 50; part++ {
		homes := make(map[ident.Instance]bool)
		for range 3 {
			homes[newFixture().choose(t, newFixture().call(engine, part), forward.Done).Upstream] = true
		}
		if len(homes) != 1 {
			t.Fatalf("part %d has homes %v, want one", part, homes)
		}
	}
}

// Guards against a long queue at the home of a popular part while other engines are idle,
// because requests never leave the home.
func TestABusyHomeIsLeft(t *testing.T) {
	f := newFixture()
	home := f.choose(t, f.call(engine, 7), forward.Done).Upstream
	f.others[home] = Load{Running: 5, UnreadTokens: 60_000}
	if next := f.choose(t, f.call(engine, 7), forward.Done).Upstream; next == home {
		t.Error("chose the home, with 60,000 unread tokens there")
	}
	f.others[home] = Load{Running: 5, UnreadTokens: 5000}
	if next := f.choose(t, f.call(engine, 7), forward.Done).Upstream; next != home {
		t.Error("did not choose the home, with only 5,000 unread tokens there")
	}
}

func TestWhoIsNotChosen(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*testing.T, *fixture)
		exclude []ident.Instance
		never   string
	}{
		{"one that is excluded", func(*testing.T, *fixture) {}, []ident.Instance{"a0", "a1"}, "a"},
		{"full ones", func(_ *testing.T, f *fixture) {
			f.others["a0"], f.others["a1"] = Load{Running: 24}, Load{Running: 24}
		}, nil, "a"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			c.prepare(t, f)
			choice, found := f.Choose(f.call(plain, 0), c.exclude, f.now)
			if !found || string(choice.Upstream[0]) == c.never {
				t.Errorf("chose %q, found %v, want one of another domain", choice.Upstream, found)
			}
		})
	}
}

// Guards against a third of the requests failing at one faulty upstream for as long as it
// is faulty, because its failures are not counted.
func TestAnUpstreamThatFailsIsEjectedAndComesBack(t *testing.T) {
	f := newFixture()
	faulty := f.choose(t, f.call(plain, 0), forward.Done).Upstream
	failed := 0
	for range 60 {
		choice, _ := f.Choose(f.call(plain, 0), nil, f.now)
		result := forward.Done
		if choice.Upstream == faulty {
			result = forward.Failed
			failed++
		}
		f.Finished(choice, result, f.now)
	}
	if failed == 0 || failed > ejectionConfig.ConsecutiveFailures {
		t.Errorf("%d requests failed before the ejection, want at least one and at most ejectionConfig.ConsecutiveFailures", failed)
	}
	f.now = f.now.Add(ejectionConfig.MaxEjectionTime)
	back := false
	for range 60 {
		back = f.choose(t, f.call(plain, 0), forward.Done).Upstream == faulty || back
	}
	if !back {
		t.Error("the faulty upstream was never tried again after its ejection")
	}
}

func TestReservationsAreReleased(t *testing.T) {
	f := newFixture()
	for i, result := range []forward.Result{forward.Done, forward.NoConnection, forward.Broken, forward.Rejected, forward.Expired, forward.CallerGone} {
		f.now = f.now.Add(time.Minute)
		f.choose(t, f.call(engine, uint64(i+2)), result)
	}
	if own := f.OwnLoads(); len(own) != 0 {
		t.Errorf("load left after all requests finished: %v", fmt.Sprint(own))
	}
}

// Guards against engines being ordered for twice the load, which arrive when it is over.
// While there are too few engines, requests leave the homes of their prompt parts and are
// sent again, and the tokens that are read for this must not count as demand.
func TestDemandIsWhatCallersAsk(t *testing.T) {
	f := newFixture()
	demand := func() float64 {
		return f.Demand("svc", f.now).PromptTokensPerSecond
	}
	home := f.choose(t, f.call(engine, 7), forward.Done).Upstream
	atHome := demand()
	f.others[home] = Load{Running: 5, UnreadTokens: 60_000}
	if away := f.choose(t, f.call(engine, 7), forward.Done).Upstream; away == home {
		t.Fatal("chose the home, with 60,000 unread tokens there")
	}
	if got := demand(); got > 2.05*atHome {
		t.Errorf("demand of %.0f tokens per second after one request at its home, and %.0f after another elsewhere; want at most 2.05 times as much", atHome, got)
	}
	before := demand()
	if _, found := f.Choose(f.call(engine, 7), []ident.Instance{home}, f.now); !found || demand() > before {
		t.Errorf("a second attempt counts as demand: %.0f tokens per second, %.0f before", demand(), before)
	}
}

// Guards against an on-demand engine being ordered for each existing one, which arrives when
// the shortage is over. There are too few engines for ten seconds, in which all answers take
// five times as long, and the requests in progress must not count as demand.
func TestSlowAnswersDoNotRaiseDemand(t *testing.T) {
	f := newFixture()
	// run sends ten requests per second for the time d, each of which generates its answer
	// for the time generating, and returns the demand.
	run := func(d, generating time.Duration) float64 {
		for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(100 * time.Millisecond) {
			choice, found := f.Choose(f.call(engine, 7), nil, f.now)
			if !found {
				t.Fatal("no upstream")
			}
			f.FirstEventArrived(choice, f.now.Add(50*time.Millisecond))
			f.Finished(choice, forward.Done, f.now.Add(50*time.Millisecond+generating))
		}
		return f.Demand("svc", f.now).Generating
	}
	usual := run(20*time.Second, time.Second)
	if usual < 8 || usual > 12 {
		t.Errorf("demand of %.1f generating requests, want 10: ten per second of a second each", usual)
	}
	if short := run(10*time.Second, 5*time.Second); short > 1.7*usual {
		t.Errorf("demand of %.1f generating requests during a shortage of engines, want at most 1.7 times the %.1f before", short, usual)
	}
}

// Guards against callers waiting for their whole deadline in vain while engines work for
// them, because a request is sent that cannot be served in time. Every engine has a queue of
// 200,000 tokens, which take two seconds to read: callers with four seconds left are served,
// those with one second are refused at once.
func TestWhatCannotBeServedIsNotSent(t *testing.T) {
	f := newFixture()
	f.setOtherLoads(Load{Running: 5, UnreadTokens: 200_000})
	for _, c := range []struct {
		left time.Duration
		want bool
	}{{4 * time.Second, true}, {time.Second, false}} {
		call := f.call(engine, 7)
		call.Expires = f.now.Add(c.left)
		if _, found := f.Choose(call, nil, f.now); found != c.want {
			t.Errorf("request with %v left: sent %v, want %v", c.left, found, c.want)
		}
	}
}

// Guards against refused callers being refused again: during overload all of them are given
// the same retry-after time, which is too short if it does not depend on the queues. Here
// 200,000 tokens take two seconds to read, and 20,000 tokens a fifth of a second.
func TestRetryAfterFollowsTheShortestQueue(t *testing.T) {
	f := newFixture()
	if got := f.RetryAfter(f.call(engine, 7), f.now); got != 0 {
		t.Errorf("retry after %v at idle engines, want 0", got)
	}
	f.setOtherLoads(Load{UnreadTokens: 200_000})
	if got := f.RetryAfter(f.call(engine, 7), f.now); got < time.Second || got > 2500*time.Millisecond {
		t.Errorf("retry after %v with 200,000 unread tokens at every engine, want 1s to 2.5s", got)
	}
	f.others["b1"] = Load{UnreadTokens: 20_000}
	if got := f.RetryAfter(f.call(engine, 7), f.now); got > 200*time.Millisecond {
		t.Errorf("retry after %v with 20,000 unread tokens at one engine, want at most 200ms", got)
	}
}
