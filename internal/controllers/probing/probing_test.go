package probing

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/cacheview"
	controller "github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func init() { testkit.OneProcessor() }

// engines holds the reports with which the engines at each address answer
// probes.
type engines struct {
	mu      sync.Mutex
	reports map[string]upstream.Report
	events  []upstream.CacheEvent
	probes  map[string]int
}

func (e *engines) Engine(address string) upstream.Engine { return &engine{all: e, address: address} }
func (e *engines) Plain(string) upstream.Plain           { return nil }

func (e *engines) set(address string, r upstream.Report) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports[address] = r
}

func (e *engines) remove(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.reports, address)
}

type engine struct {
	upstream.Engine
	all     *engines
	address string
}

// Report does not answer at an address without a report.
func (e *engine) Report(ctx context.Context) (upstream.Report, error) {
	e.all.mu.Lock()
	report, ok := e.all.reports[e.address]
	e.all.probes[e.address]++
	e.all.mu.Unlock()
	if !ok {
		<-ctx.Done()
		return upstream.Report{}, errors.New("no answer")
	}
	return report, nil
}

func (e *engine) CacheEvents(_ context.Context, after uint64) ([]upstream.CacheEvent, error) {
	e.all.mu.Lock()
	defer e.all.mu.Unlock()
	var out []upstream.CacheEvent
	for _, event := range e.all.events {
		if event.Sequence > after {
			out = append(out, event)
		}
	}
	return out, nil
}

// noPeers is a transport that reaches no peers.
type noPeers struct{}

func (noPeers) Exchange(context.Context, string, *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return nil, errors.New("no peer")
}

// fixture is one gateway process with its membership, probing and engines.
type fixture struct {
	t       *testing.T
	board   *blackboard.Board
	members *controller.Controller
	engines *engines
	probing *Controller
}

func runWithFixture(t *testing.T, scenario func(f *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		self := platform.Instance{ID: "g", Incarnation: 1, Role: platform.RoleEntry, FailureDomain: "one"}
		f := &fixture{
			t:       t,
			board:   blackboard.NewBoard(),
			engines: &engines{reports: map[string]upstream.Report{}, probes: map[string]int{}},
		}
		log := hclog.NewNullLogger()
		f.members = controller.New(controller.DefaultConfig(self), controller.Deps{Board: f.board, Transport: noPeers{}, Log: log})
		f.probing = New(DefaultConfig("g", "one"), Deps{
			Board: f.board, Membership: f.members, Dialer: f.engines,
			Cache: NewCaches(cacheview.DefaultParams()), Log: log,
		})
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		running.Go(func() { _ = f.members.Run(ctx) })
		running.Go(func() { _ = f.probing.Run(ctx) })
		scenario(f)
		cancel()
		running.Wait()
	})
}

func engineInstance(id ident.Instance, incarnation ident.Incarnation, address string) platform.Instance {
	return platform.Instance{
		ID: id, Incarnation: incarnation, Role: platform.RoleEngine, Service: "spool-llm",
		FailureDomain: "one", Address: address, State: platform.Live,
	}
}

// expect compares the state of an upstream as routing sees it.
func (f *fixture) expect(id ident.Instance, want blackboard.MemberState) {
	f.t.Helper()
	synctest.Wait()
	for _, u := range f.board.Upstreams.Value().ByService["spool-llm"] {
		if u.Instance.ID == id {
			if u.State != want {
				f.t.Errorf("%s is in state %v, want %v", id, u.State, want)
			}
			return
		}
	}
	f.t.Errorf("%s is not published", id)
}

// An upstream is used once it answers, avoided while it doesn't, and used once
// it answers again.
func TestUpstreamStateFollowsAnswers(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.members.ApplyList([]platform.Instance{engineInstance("u", 1, "a:1")})
		f.expect("u", blackboard.Suspect)
		f.engines.set("a:1", upstream.Report{Instance: "u", Incarnation: 1, Running: 3, PrefillRate: 5000})
		time.Sleep(2 * time.Second)
		f.expect("u", blackboard.Alive)
		if u := f.board.Upstreams.Value().ByService["spool-llm"][0]; u.Report.Running != 3 || u.Report.PrefillRate != 5000 || u.AsOf.IsZero() {
			t.Errorf("load %+v as of %v", u.Report, u.AsOf)
		}
		f.engines.remove("a:1")
		time.Sleep(3500 * time.Millisecond)
		f.expect("u", blackboard.Suspect)
		f.engines.set("a:1", upstream.Report{Instance: "u", Incarnation: 1})
		time.Sleep(2 * time.Second)
		f.expect("u", blackboard.Alive)
	})
}

// An upstream that reports that it is leaving, or refuses a request for that
// reason, must get no more work at once, not only after the next list or probe,
// and although the list still shows it as live.
func TestLeavingReportedByTheUpstreamCountsAtOnce(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		list := []platform.Instance{engineInstance("u", 1, "a:1"), engineInstance("v", 1, "a:2")}
		f.engines.set("a:1", upstream.Report{Instance: "u", Incarnation: 1})
		f.engines.set("a:2", upstream.Report{Instance: "v", Incarnation: 1})
		f.members.ApplyList(list)
		time.Sleep(100 * time.Millisecond)
		f.expect("u", blackboard.Alive)
		f.members.NoteLeaving("u", 1)
		f.expect("u", blackboard.Leaving)
		f.engines.set("a:2", upstream.Report{Instance: "v", Incarnation: 1, Leaving: true})
		time.Sleep(time.Second)
		f.expect("v", blackboard.Leaving)
		f.members.ApplyList(list)
		time.Sleep(2 * time.Second)
		f.expect("u", blackboard.Leaving)
		f.expect("v", blackboard.Leaving)
	})
}

// An answer at an instance's address must not count as that instance's if
// another instance sent it. Otherwise, if an upstream crashes and its address
// goes to a new instance while the list still shows the old one, requests for
// one service reach an instance of another.
func TestReusedAddressIsNoProofOfLife(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.engines.set("a:1", upstream.Report{Instance: "u", Incarnation: 1})
		f.members.ApplyList([]platform.Instance{engineInstance("u", 1, "a:1")})
		time.Sleep(time.Second)
		f.expect("u", blackboard.Alive)
		f.engines.set("a:1", upstream.Report{Instance: "other", Incarnation: 1})
		time.Sleep(3 * time.Second)
		f.expect("u", blackboard.Suspect)
		f.members.ApplyList([]platform.Instance{engineInstance("other", 1, "a:1")})
		time.Sleep(time.Second)
		f.expect("other", blackboard.Alive)
	})
}

// Cache events are pulled after the last one known, and a new incarnation
// starts with an empty cache.
func TestCacheEventsReachRouting(t *testing.T) {
	runWithFixture(t, func(f *fixture) {
		f.engines.events = []upstream.CacheEvent{{Sequence: 1, Stored: true, Block: 7}, {Sequence: 2, Stored: true, Block: 8}}
		f.engines.set("a:1", upstream.Report{Instance: "u", Incarnation: 1})
		f.members.ApplyList([]platform.Instance{engineInstance("u", 1, "a:1")})
		time.Sleep(2 * time.Second)
		cached := func() float64 {
			synctest.Wait()
			return f.board.Upstreams.Value().ByService["spool-llm"][0].Cache.Cached([]uint64{7, 8}, time.Now())
		}
		if got := cached(); got < 1.5 {
			t.Errorf("estimated %v cached blocks, want about 2", got)
		}
		f.engines.mu.Lock()
		f.engines.events = nil
		f.engines.mu.Unlock()
		f.engines.set("a:1", upstream.Report{Instance: "u", Incarnation: 2})
		f.members.ApplyList([]platform.Instance{engineInstance("u", 2, "a:1")})
		time.Sleep(2 * time.Second)
		if got := cached(); got != 0 {
			t.Errorf("estimated %v cached blocks in a new incarnation, want 0", got)
		}
	})
}

// In a large fleet each upstream is probed by ProbersPerUpstream gateways, and
// none is left out.
func TestSharesCoverAllUpstreams(t *testing.T) {
	const gateways, upstreams = 33, 69
	members := &blackboard.Members{ByID: map[ident.Instance]blackboard.Member{}}
	add := func(i platform.Instance) {
		members.ByID[i.ID] = blackboard.Member{Instance: i, State: blackboard.Alive}
	}
	for i := range gateways {
		add(platform.Instance{ID: ident.Instance(fmt.Sprintf("g%d", i)), Role: platform.RoleEntry, FailureDomain: "one"})
	}
	for i := range upstreams {
		add(engineInstance(ident.Instance(fmt.Sprintf("u%d", i)), 1, "a:1"))
	}
	orphan := engineInstance("orphan", 1, "a:1")
	orphan.FailureDomain = "without gateways"
	add(orphan)
	count := map[ident.Instance]int{}
	for i := range gateways {
		c := New(DefaultConfig(ident.Instance(fmt.Sprintf("g%d", i)), "one"), Deps{})
		for _, u := range c.assigned(members) {
			count[u.ID]++
		}
	}
	for id, n := range count {
		if n != DefaultConfig("", "").ProbersPerUpstream {
			t.Errorf("%s has %d probers", id, n)
		}
	}
	if len(count) != upstreams+1 {
		t.Errorf("%d upstreams are probed, want %d", len(count), upstreams+1)
	}
}

// fixedMembership is a membership with fixed entries that ignores observations.
type fixedMembership []membership.Entry

func (fixedMembership) Observe(controller.Observation) {}
func (m fixedMembership) Entries() []membership.Entry  { return m }

// BenchmarkPublish measures the publication of a new snapshot of all upstreams,
// as after each round of probes or digests.
func BenchmarkPublish(b *testing.B) {
	for _, upstreams := range []int{13, 210, 690} {
		b.Run(fmt.Sprint(upstreams), func(b *testing.B) {
			members := &blackboard.Members{ByID: map[ident.Instance]blackboard.Member{}}
			var entries fixedMembership
			for i := range upstreams {
				u := engineInstance(ident.Instance(fmt.Sprintf("u%d", i)), 1, "a:1")
				members.ByID[u.ID] = blackboard.Member{Instance: u, Incarnation: 1, State: blackboard.Alive}
				entries = append(entries, membership.Entry{ID: u.ID, Incarnation: 1, Load: membership.Load{Running: 3, At: time.Now()}})
			}
			c := New(DefaultConfig("g", "one"), Deps{Board: blackboard.NewBoard(), Membership: entries})
			b.ReportAllocs()
			for b.Loop() {
				c.publish(members)
			}
		})
	}
}
