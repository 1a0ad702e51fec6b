package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	testInterval = 250 * time.Millisecond
	// noise is the standard deviation of the logarithm of a request's time.
	noise = 0.25
)

// fleet has one gateway and upstreams of known factors.
type fleet struct {
	*Tracker
	now    time.Time
	rng    *rand.Rand
	view   *directory.View
	true   map[ident.Instance]float64
	listed []directory.Upstream
}

func newFleet() *fleet {
	return &fleet{Tracker: newTracker(), now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), view: directory.NewView(nil), true: make(map[ident.Instance]float64)}
}

func newTracker() *Tracker {
	key := func(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) }
	return New(Config{Log: hclog.NewNullLogger(), Key: key, Interval: testInterval})
}

// add lists an upstream.
func (f *fleet) add(id string, factor float64) ident.Instance {
	f.listed = append(f.listed, directory.Upstream{ID: ident.Instance(id), Name: ident.Instance(id), Service: "svc", Slots: 4, State: directory.Ready})
	f.view = directory.NewView(f.listed)
	f.true[ident.Instance(id)] = factor
	return ident.Instance(id)
}

// observe records one request at an upstream that takes by a factor longer than usual there.
func (f *fleet) observe(id ident.Instance, longer float64) {
	const fixed = 20
	variable := 50 + 400*f.rng.Float64()
	took := (fixed + variable*f.true[id]*longer) * math.Exp(noise*f.rng.NormFloat64())
	f.Record(Sample{Upstream: id, Service: "svc", Predicted: millis(fixed + variable), Fixed: millis(fixed), Observed: millis(took)}, f.now)
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// refresh lets time pass and works out the factors.
func (f *fleet) refresh(pass time.Duration) {
	f.now = f.now.Add(pass)
	f.Refresh(f.view, f.now)
}

// expectFactor fails if a factor is further from its true one than a ratio.
func (f *fleet) expectFactor(t *testing.T, id ident.Instance, ratio float64) {
	t.Helper()
	got, want := f.Factor(id), f.true[id]
	if off := max(got/want, want/got); off > ratio {
		t.Errorf("%s: factor %.2f, want %.2f within a ratio of %.2f", id, got, want, ratio)
	}
}

// Guards against a new upstream that gets as much work as the others until minutes have passed.
func TestAFactorIsKnownAfterTwentyRequests(t *testing.T) {
	const upstreams, maxOff = 200, 10
	for _, factor := range []float64{0.6, 1.0, 1.6} {
		f, off := newFleet(), 0
		for i := range upstreams {
			id := f.add(fmt.Sprint("u", i), factor)
			for range 20 {
				f.observe(id, 1)
			}
			f.refresh(100 * time.Millisecond)
			if got := f.Factor(id) / factor; got > 1.2 || got < 1/1.2 {
				off++
			}
		}
		if off > maxOff {
			t.Errorf("%d of %d factors of %.1f are off by more than a fifth after 20 requests, at most %d allowed", off, upstreams, factor, maxOff)
		}
	}
}

// Guards against factors made of noise: upstreams of one kind would get uneven work.
func TestUpstreamsLikeTheModelHaveFactorOne(t *testing.T) {
	f := newFleet()
	for i := range 690 {
		f.add(fmt.Sprint("u", i), 1)
	}
	differ := 0
	for range 60 {
		for _, u := range f.listed {
			f.observe(u.ID, 1)
		}
		f.refresh(500 * time.Millisecond)
		differ = max(differ, len(f.Factors()))
	}
	if allowed := len(f.listed) / 100; differ > allowed {
		t.Errorf("%d of 690 equal upstreams got a factor, at most %d allowed", differ, allowed)
	}
}

// Guards against an upstream of which a few requests are known being taken for a slow one.
func TestFewRequestsTellLittle(t *testing.T) {
	f := newFleet()
	id := f.add("u", 1)
	for range 2 {
		f.observe(id, 1.6)
	}
	f.refresh(0)
	if got := f.Factor(id); got != 1 {
		t.Errorf("factor %.2f after two requests, want 1", got)
	}
}

// Guards against slow spells, of half a second in every three and a half, that are taken for the
// upstream's speed.
func TestSlowSpellsMoveAFactorLittle(t *testing.T) {
	// A cycle of a spell and the time between two has 35 requests.
	const firstCycle = 35
	for _, factor := range []float64{0.6, 1.0, 1.6} {
		f := newFleet()
		id := f.add("u", factor)
		for step := range 700 {
			longer := 1.0
			if step/5%7 == 3 {
				longer = 2.5
			}
			f.observe(id, longer)
			f.refresh(100 * time.Millisecond)
			if step >= firstCycle {
				f.expectFactor(t, id, 1.2)
			}
		}
		f.expectFactor(t, id, 1.1)
	}
}

// Guards against a factor that stays as it was when the upstream's speed has changed for good.
func TestALastingChangeIsFollowed(t *testing.T) {
	f := newFleet()
	id := f.add("u", 0.8)
	for range 600 {
		f.observe(id, 1)
		f.refresh(100 * time.Millisecond)
	}
	f.true[id] = 1.6
	for range 900 {
		f.observe(id, 1)
		f.refresh(100 * time.Millisecond)
	}
	f.expectFactor(t, id, 1.2)
}

// Guards against a factor that holds for ever at an upstream that gets no work because of it.
func TestAFactorIsForgotten(t *testing.T) {
	f := newFleet()
	id := f.add("u", 1.6)
	for range 100 {
		f.observe(id, 1)
	}
	f.refresh(0)
	f.expectFactor(t, id, 1.2)
	f.refresh(8 * memory)
	if got := f.Factor(id); got != 1 {
		t.Errorf("factor %.2f long after the last request, want 1", got)
	}
}

// Guards against a new process that inherits the factor of the one before it under its name.
func TestANewIncarnationStartsAnew(t *testing.T) {
	f := newFleet()
	id := f.add("u/1", 1.6)
	for range 100 {
		f.observe(id, 1)
	}
	f.refresh(0)
	f.listed = nil
	next := f.add("u/2", 1)
	f.listed[0].Name = "u"
	f.refresh(0)
	if got := f.Factor(next); got != 1 || f.Factor(id) != 1 {
		t.Errorf("factors %.2f of the new incarnation and %.2f of the old one, want 1", got, f.Factor(id))
	}
	f.add("u/1", 1.6)
	f.refresh(0)
	if got := f.Factor(id); got != 1 {
		t.Errorf("factor %.2f of an upstream that was gone, want 1", got)
	}
}

// Guards against a plain service's slow upstreams being taken for its usual ones, because they get
// less work and are seen alone at low load.
func TestPlainUpstreamsAreComparedAtLikeLoad(t *testing.T) {
	f := newFleet()
	for i, factor := range []float64{0.6, 1, 1.6, 0.6, 1, 1.6} {
		f.add(fmt.Sprint("u", i), factor)
	}
	for range 1500 {
		u := f.listed[f.rng.IntN(len(f.listed))].ID
		// Work follows the factors: the slow ones have the lowest load.
		load := 1.2 / f.true[u] * f.rng.Float64()
		usual := 60 * (1 + max(0, load-1))
		took := usual * f.true[u] * math.Exp(noise*f.rng.NormFloat64())
		f.Record(Sample{Upstream: u, Service: "svc", Route: "r", Load: load, Observed: millis(took)}, f.now)
		f.refresh(20 * time.Millisecond)
	}
	for _, slow := range []ident.Instance{"u2", "u5"} {
		for _, fast := range []ident.Instance{"u0", "u3"} {
			want := 1.6 / 0.6
			if got := f.Factor(slow) / f.Factor(fast); got < want/1.25 || got > want*1.25 {
				t.Errorf("%s is %.2f times as slow as %s, want %.2f", slow, got, fast, want)
			}
		}
	}
}
