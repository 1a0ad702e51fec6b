package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
)

// factors are the factors of the fixture's upstreams: two of each kind.
var factors = map[ident.Instance]float64{"a0": 0.6, "a1": 1, "b0": 1.6, "b1": 0.6, "c0": 1, "c1": 1.6}

// newUnevenFixture returns a fixture that knows the factors.
func newUnevenFixture() *fixture {
	f := newFixture()
	f.cfg.Slowness = func(id ident.Instance) float64 { return factors[id] }
	return f
}

// freshCall returns a call of its own, with a prompt that it shares with none.
func (f *fixture) freshCall(service *routetable.Service, n int) *forward.Call {
	c := f.call(service, 0)
	c.ID, c.PromptTokens = ident.Request(fmt.Sprint("r", n)), 2000
	return c
}

// Guards against slow upstreams that get as much work as fast ones.
func TestWorkFollowsTheUpstreamsSpeeds(t *testing.T) {
	for _, service := range []*routetable.Service{plain, engine} {
		f := newUnevenFixture()
		running := make(map[float64]int)
		for n := range 36 {
			choice, found := f.Choose(f.freshCall(service, n), nil, f.now)
			if !found {
				t.Fatal("no upstream")
			}
			running[factors[choice.Upstream]]++
		}
		if running[0.6] <= running[1] || running[1] <= running[1.6] {
			t.Errorf("engine=%v: calls by factor %v, want the fewer the slower", service.Engine != nil, running)
		}
	}
}

// Guards against choices that change where upstreams do not differ: noise in the samples must not
// move work.
func TestFactorsWithinTheirErrorChangeNothing(t *testing.T) {
	for _, service := range []*routetable.Service{plain, engine} {
		f, g := newFixture(), newFixture()
		tracker := speed.New(speed.Config{
			Log: hclog.NewNullLogger(), Interval: time.Second, Key: func(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) },
		})
		g.cfg.Slowness = tracker.Factor
		rng := rand.New(rand.NewPCG(3, 4))
		for n := range 2000 {
			a, _ := f.Choose(f.freshCall(service, n), nil, f.now)
			b, _ := g.Choose(g.freshCall(service, n), nil, g.now)
			if a.Upstream != b.Upstream || a.SilenceTimeout != b.SilenceTimeout {
				t.Fatalf("call %d goes to %s and %s, with patience %v and %v", n, a.Upstream, b.Upstream, a.SilenceTimeout, b.SilenceTimeout)
			}
			took := 40 * math.Exp(0.3*rng.NormFloat64())
			tracker.Record(speed.Sample{
				Upstream: a.Upstream, Service: "svc", Predicted: 40 * time.Millisecond, Observed: time.Duration(took * float64(time.Millisecond)),
			}, f.now)
			for _, each := range []*fixture{f, g} {
				each.now = each.now.Add(10 * time.Millisecond)
				choice := map[*fixture]forward.Choice{f: a, g: b}[each]
				each.FirstEventArrived(choice, each.now)
				each.Finished(choice, forward.Done, each.now)
			}
			tracker.Refresh(f.view, f.now)
		}
	}
}

// serve lets one upstream of the fixture serve calls that take so many times as long as the model
// predicts, and the others calls that take as long as predicted, in turn. It returns the ejection state.
func (f *fixture) serve(service *routetable.Service, id ident.Instance, longer float64) ejection.State {
	ids := f.view.IDs()
	for n := range 120 {
		turn := ids[n%len(ids)]
		others := slices.DeleteFunc(slices.Clone(ids), func(other ident.Instance) bool { return other == turn })
		choice, found := f.Choose(f.freshCall(service, n), others, f.now)
		if !found {
			break
		}
		usual := choice.Reservation.(*reservation).referenceLatency()
		if choice.Upstream == id {
			usual = time.Duration(longer * float64(usual))
		}
		f.FirstEventArrived(choice, f.now.Add(usual))
		f.Finished(choice, forward.Done, f.now.Add(usual))
		f.now = f.now.Add(5 * time.Millisecond)
	}
	return f.ejectionSet("svc").State(id)
}

// Guards against a slow kind of upstream that is taken for a fault, and against a fault of a slow kind
// that is taken for its speed.
func TestEjectionComparesAnUpstreamWithItsOwnSpeed(t *testing.T) {
	for _, c := range []struct {
		name           string
		factor, longer float64
		want           ejection.State
	}{
		{"factor not known", 1, 3.6, ejection.Ejected},
		{"as slow as its kind", 3.6, 3.6, ejection.Healthy},
		{"slower than its kind", 1.6, 7, ejection.Ejected},
		{"slow kind", 1.6, 1.6, ejection.Healthy},
	} {
		for _, service := range []*routetable.Service{plain, engine} {
			f := newFixture()
			f.cfg.Slowness = func(id ident.Instance) float64 {
				if id == "c1" {
					return c.factor
				}
				return 1
			}
			if got := f.serve(service, "c1", c.longer); got != c.want {
				t.Errorf("%s, engine=%v: state %d, want %d", c.name, service.Engine != nil, got, c.want)
			}
		}
	}
}

// Guards against a fault that has time to be learned as the upstream's own speed before it is noticed.
func TestAFaultIsEjectedBeforeItsSpeedIsLearned(t *testing.T) {
	f := newFixture()
	tracker := speed.New(speed.Config{
		Log: hclog.NewNullLogger(), Interval: time.Second, Key: func(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) },
	})
	f.cfg.Slowness, f.cfg.RecordSpeed = tracker.Factor, func(s speed.Sample, now time.Time) {
		tracker.Record(s, now)
		tracker.Refresh(f.view, now)
	}
	for range 20 {
		if got := f.serve(engine, "c1", 1); got != ejection.Healthy {
			t.Fatalf("state %d while all is well", got)
		}
	}
	if got := f.serve(engine, "c1", 6); got != ejection.Ejected {
		t.Errorf("state %d of an upstream that became six times as slow, want it ejected; factor %.2f", got, tracker.Factor("c1"))
	}
}

// Guards against callers that are told to return when only engines slower than that would have room.
func TestRetryAfterFollowsTheSpeeds(t *testing.T) {
	f := newFixture()
	f.setOtherLoads(Load{Running: 8, UnreadTokens: 200_000})
	call := f.freshCall(engine, 1)
	usual := f.RetryAfter(call, f.now)
	f.cfg.Slowness = func(ident.Instance) float64 { return 1.6 }
	if got := f.RetryAfter(call, f.now); got < usual*3/2 {
		t.Errorf("returns after %v at slow engines, %v at usual ones", got, usual)
	}
}

// Guards against a request that is sent to an engine that cannot serve it in time, though the model
// of its service could.
func TestAnEngineThatIsTooSlowForACallIsNotUsed(t *testing.T) {
	f := newFixture()
	f.setOtherLoads(Load{Running: 2, UnreadTokens: 60_000})
	call := f.freshCall(engine, 1)
	estimate := f.EngineEstimate("svc", f.now)
	call.Expires = f.now.Add(estimate.FirstEvent(2000, 60_000, 2) * 5 / 4)
	choice, found := f.Choose(call, nil, f.now)
	if !found {
		t.Fatal("no upstream like the model")
	}
	f.Finished(choice, forward.Withdrawn, f.now)
	f.cfg.Slowness = func(ident.Instance) float64 { return 1.6 }
	if _, found := f.Choose(call, nil, f.now); found {
		t.Error("an upstream was chosen though all are too slow")
	}
}

// Guards against a slow version that hides behind the factors of its upstreams: a rollout compares with
// what the model predicts.
func TestRolloutsCompareWithTheModelAlone(t *testing.T) {
	f := newFixture()
	want := f.reserve(t).referenceLatency()
	f.cfg.Slowness = func(ident.Instance) float64 { return 2 }
	slow := f.reserve(t)
	if got := slow.referenceLatency(); got != want {
		t.Errorf("a rollout compares with %v at a slow upstream, want %v", got, want)
	}
	if slow.dueLatency() <= want {
		t.Errorf("a slow upstream's first event is due after %v, want more than %v", slow.dueLatency(), want)
	}
}

// reserve places a call and withdraws it.
func (f *fixture) reserve(t *testing.T) *reservation {
	t.Helper()
	choice, found := f.Choose(f.freshCall(engine, 1), nil, f.now)
	if !found {
		t.Fatal("no upstream")
	}
	f.Finished(choice, forward.Withdrawn, f.now)
	return choice.Reservation.(*reservation)
}

// Guards against an upstream that is taken for a slow one because it has just started.
func TestColdUpstreamsAreNotSampled(t *testing.T) {
	f, samples := newFixture(), 0
	f.cfg.RecordSpeed = func(speed.Sample, time.Time) { samples++ }
	f.choose(t, f.freshCall(engine, 1), forward.Done)
	if samples != 1 {
		t.Fatalf("%d samples of a warm upstream, want 1", samples)
	}
	var cold []directory.Upstream
	f.view.Each(func(u *directory.Upstream) {
		next := *u
		next.WarmAt = f.now.Add(time.Second)
		cold = append(cold, next)
	})
	f.view = directory.NewView(cold)
	f.choose(t, f.freshCall(engine, 2), forward.Done)
	if samples != 1 {
		t.Error("a cold upstream was sampled")
	}
}
