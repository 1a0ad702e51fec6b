package slotlease

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// linkState is what happens to messages to a gateway.
type linkState int

const (
	up linkState = iota
	// frozen: they arrive and are not answered.
	frozen
	// olderBuild: the gateway doesn't know the path.
	olderBuild
	// answersLost: they are handled, and the answers are lost.
	answersLost
)

// fakeFleet is some gateways with one upstream of 6 slots. It implements Network.
type fakeFleet struct {
	view    *directory.View
	servers map[ident.Instance]*Server

	mu      sync.Mutex
	links   map[ident.Instance]linkState
	leaving bool
}

// set sets what happens to messages to k, and whether k leaves.
func (f *fakeFleet) set(link linkState, leaving bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.links["k"], f.leaving = link, leaving
}

func (f *fakeFleet) link(gateway ident.Instance) linkState {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.links[gateway]
}

func (f *fakeFleet) keeps() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.leaving
}

func newFakeFleet(gateways ...ident.Instance) *fakeFleet {
	f := &fakeFleet{servers: make(map[ident.Instance]*Server), links: make(map[ident.Instance]linkState)}
	f.view = directory.NewView([]directory.Upstream{{ID: "u0", Name: "u0", Service: "svc", Slots: 6, State: directory.Ready}})
	for _, g := range gateways {
		f.servers[g] = NewServer(ServerConfig{
			Now: time.Now, Log: hclog.NewNullLogger(), View: func() *directory.View { return f.view }, InProgress: none, Work: unknownWork, Keeps: f.keeps,
		})
	}
	return f
}

// SendSlots implements Network.
func (f *fakeFleet) SendSlots(ctx context.Context, keeper gossip.Contact, data []byte) ([]byte, error) {
	time.Sleep(time.Millisecond)
	switch f.link(keeper.Node) {
	case frozen:
		<-ctx.Done()
		return nil, ctx.Err()
	case olderBuild:
		return nil, errors.New("answered with status 404")
	case answersLost:
		if _, err := f.servers[keeper.Node].Serve(ctx, data); err != nil {
			return nil, err
		}
		return nil, errors.New("connection reset")
	}
	return f.servers[keeper.Node].Serve(ctx, data)
}

// fakeGateway is one gateway's Client with what it does without a lease.
type fakeGateway struct {
	forward.Placement
	*fakeFleet
	client   *Client
	barred   []ident.Instance
	unusable bool
	alone    int
	finished int
	// removed is why calls may not go on.
	removed forward.Block
}

func (g *fakeGateway) MeanWork(service ident.Service) time.Duration { return unknownWork(service) }

func (g *fakeGateway) standing(*forward.Call) forward.Block { return g.removed }

func (f *fakeFleet) gateway(self ident.Instance, keepers ...ident.Instance) *fakeGateway {
	g := &fakeGateway{fakeFleet: f}
	server := f.servers[self]
	if server == nil {
		server = NewServer(ServerConfig{Now: time.Now, Log: hclog.NewNullLogger(), View: func() *directory.View { return f.view }, InProgress: none, Work: unknownWork, Keeps: func() bool { return true }})
	}
	g.client = NewClient(ClientConfig{
		Self: self, Incarnation: string(self), Now: time.Now, Log: hclog.NewNullLogger(), Network: f, Placement: g, Places: g, Standing: g.standing, Server: server,
	})
	var contacts []gossip.Contact
	for _, k := range keepers {
		contacts = append(contacts, gossip.Contact{Node: k, Address: string(k)})
	}
	g.client.SetKeepers(contacts)
	return g
}

func (g *fakeGateway) SharedSlots(*routetable.Service) []directory.Upstream { return g.view.Of("svc") }

func (g *fakeGateway) Barred(*forward.Call, []ident.Instance, time.Time) ([]ident.Instance, bool) {
	return g.barred, len(g.barred) < len(g.view.Of("svc"))
}

func (g *fakeGateway) ChooseOne(_ *forward.Call, id ident.Instance, _ time.Time) (forward.Choice, bool) {
	return forward.Choice{Upstream: id, Reservation: new(int)}, !g.unusable
}

func (g *fakeGateway) Take(context.Context, *forward.Call, []ident.Instance) (forward.Choice, bool) {
	g.alone++
	return forward.Choice{Upstream: "u0", Reservation: new(int)}, true
}

func (g *fakeGateway) Finished(forward.Choice, forward.Result, time.Time) { g.finished++ }

var calls int

// take takes a place for a call that needs an answer within 400 ms.
func (g *fakeGateway) take(ctx context.Context) (forward.Choice, bool) {
	calls++
	now := time.Now()
	return g.client.Take(ctx, &forward.Call{
		ID: ident.Request(fmt.Sprint(calls)), Service: &routetable.Service{Name: "svc"}, Route: &routetable.Route{Objective: 400 * time.Millisecond}, Received: now, Expires: now.Add(time.Second),
	}, nil)
}

func (f *fakeFleet) leases(gateway ident.Instance) int { return f.servers[gateway].Counters().Leases }

// Guards against slots that are leased and never given back, and against waiting calls that don't get them.
func TestLeaseAndReturn(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		g, own := f.gateway("g", "k"), f.gateway("k", "k")
		var held []forward.Choice
		for range room(6) {
			choice, found := g.take(context.Background())
			if !found || choice.Upstream != "u0" {
				t.Fatalf("%v, want a lease", choice)
			}
			held = append(held, choice)
		}
		waited := make(chan bool, 1)
		go func() {
			_, found := own.take(context.Background())
			waited <- found
		}()
		time.Sleep(10 * time.Millisecond)
		g.client.Finished(held[0], forward.Done, time.Now())
		if !<-waited {
			t.Error("the call that waits at the keeper itself got no slot")
		}
		if _, found := g.take(context.Background()); found || g.alone+own.alone > 0 {
			t.Errorf("a lease beyond the slots, or %d placed without one", g.alone+own.alone)
		}
		for _, c := range held[1:] {
			g.client.Finished(c, forward.Done, time.Now())
		}
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		if n := f.leases("k"); n != 1 || g.client.Counters().Returned != int64(room(6)) {
			t.Errorf("%d leases, want the one at the keeper itself; %+v", n, g.client.Counters())
		}
		time.Sleep(3 * time.Second) // the last lease ends
	})
}

// Guards against calls that aren't served because the gateway that keeps the slots is frozen, cut off, of an
// older build or leaves.
func TestWithoutKeeperGatewaysDecideAlone(t *testing.T) {
	for _, c := range []struct {
		name    string
		link    linkState
		leaving bool
	}{{"frozen", frozen, false}, {"older build", olderBuild, false}, {"leaving", up, true}} {
		testkit.Bubble(t, func() {
			f := newFakeFleet("k")
			g := f.gateway("g", "k")
			f.set(c.link, c.leaving)
			began := time.Now()
			for range 10 {
				if _, found := g.take(context.Background()); !found {
					t.Fatalf("%s: no place", c.name)
				}
			}
			if took := time.Since(began); took > 50*time.Millisecond+askTimeout || g.alone != 10 {
				t.Errorf("%s: %d placed alone after %v, want all, and only the first to wait", c.name, g.alone, took)
			}
			f.set(up, false)
			time.Sleep(silencePause)
			if _, found := g.take(context.Background()); !found || g.alone != 10 {
				t.Errorf("%s: the keeper is not asked again", c.name)
			}
			time.Sleep(3 * time.Second)
		})
	}
}

// Guards against a slot that stays taken for the whole time of a call whose lease was lost on the way back.
func TestLostAnswerIsGivenBack(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		g := f.gateway("g", "k")
		f.set(answersLost, false)
		if _, found := g.take(context.Background()); !found || g.alone != 1 {
			t.Fatal("not placed alone")
		}
		time.Sleep(10 * time.Millisecond)
		if n := f.leases("k"); n != 0 {
			t.Errorf("%d leases, want none", n)
		}
	})
}

// Guards against a slot that is leased to a caller that has gone while it waited.
func TestCallerThatLeavesHoldsNoSlot(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		g := f.gateway("g", "k")
		var held []forward.Choice
		for range room(6) {
			choice, _ := g.take(context.Background())
			held = append(held, choice)
		}
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(5*time.Millisecond, leave)
		if _, found := g.take(ctx); found || g.alone > 0 {
			t.Error("a caller that has gone got a place")
		}
		time.Sleep(5 * time.Millisecond)
		g.client.Finished(held[0], forward.Done, time.Now())
		time.Sleep(5 * time.Millisecond)
		if n := f.leases("k"); n != room(6)-1 {
			t.Errorf("%d leases, want %d", n, room(6)-1)
		}
		time.Sleep(3 * time.Second)
	})
}

// Guards against a call at an upstream that its gateway knows to be leaving, limited or paused.
func TestOwnKnowledgeWins(t *testing.T) {
	testkit.Bubble(t, func() {
		f := newFakeFleet("k")
		g := f.gateway("g", "k")
		g.unusable = true
		if _, found := g.take(context.Background()); !found || g.alone != 1 || g.client.Counters().Unusable != 1 {
			t.Errorf("found %v, alone %d, %+v, want the gateway to decide alone", found, g.alone, g.client.Counters())
		}
		g.barred = []ident.Instance{"u0"}
		if _, found := g.take(context.Background()); !found || g.alone != 2 || g.client.Counters().Asked != 2 {
			t.Errorf("found %v, alone %d, %+v, want no ask where all upstreams are barred", found, g.alone, g.client.Counters())
		}
		time.Sleep(10 * time.Millisecond)
		if n := f.leases("k"); n != 0 {
			t.Errorf("%d leases, want none", n)
		}
	})
}

// Guards against gateways that ask different keepers for the same slots, and against one keeper for all
// upstreams of a large service.
func TestPartsHaveOneKeeperEach(t *testing.T) {
	var gateways []gossip.Contact
	for i := range 5 {
		gateways = append(gateways, gossip.Contact{Node: ident.Instance(fmt.Sprint("g", i))})
	}
	var all []directory.Upstream
	for i := range 60 {
		id := ident.Instance(fmt.Sprint("u", i))
		all = append(all, directory.Upstream{ID: id, Name: id, Slots: 6, State: directory.Ready})
	}
	kept := 0
	for number := range countParts(len(all)) {
		part := partID{"svc", number}
		kept += len(upstreamsOf(part, all))
		keeper, _ := keeperOf(part, gateways)
		reversed := slices.Clone(gateways)
		slices.Reverse(reversed)
		if other, _ := keeperOf(part, reversed); other != keeper {
			t.Errorf("part %d is kept by %s and %s", number, keeper.Node, other.Node)
		}
	}
	if kept != len(all) || countParts(6) != 1 || countParts(17) != 2 {
		t.Errorf("%d of %d upstreams are kept", kept, len(all))
	}
	if _, found := keeperOf(partID{"svc", 0}, nil); found {
		t.Error("a keeper without gateways")
	}
}
