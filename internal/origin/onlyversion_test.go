package origin

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// keptBeginnings is what is recorded of beginnings; err fails all calls.
type keptBeginnings struct {
	mu   sync.Mutex
	list []Origin
	err  error
}

func (b *keptBeginnings) set(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.err = err
}

func (b *keptBeginnings) Record(_ context.Context, o Origin) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.list = append(b.list, o)
	}
	return b.err
}

func (b *keptBeginnings) Read(context.Context) ([]Origin, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list, b.err
}

// answering reaches the gateways that it has; the others are silent.
type answering map[ident.Instance]*Registry

func (a answering) Tell(context.Context, Peer, []byte) error { return nil }

func (a answering) Ask(_ context.Context, to Peer, question []byte) ([]byte, error) {
	if r := a[to.Node]; r != nil {
		return r.Answer(question)
	}
	return nil, errDown
}

// lateGateway is a gateway that may not have heard of all versions.
type lateGateway struct {
	others     answering
	peers      int
	viewAge    time.Duration
	refreshes  bool
	beginnings *keptBeginnings
}

// registryOf returns a gateway's registry that has long known v1, and the given versions besides for 0.3 s.
func (g *lateGateway) registryOf(newVersions ...ident.SoftwareVersion) *Registry {
	if g.beginnings == nil {
		g.beginnings = &keptBeginnings{}
	}
	r := NewRegistry(Config{
		Now: time.Now, Log: hclog.NewNullLogger(), Network: g.others, ViewAge: func() time.Duration { return g.viewAge }, Beginnings: g.beginnings, OnBegun: func() {},
		Refresh: func(context.Context) bool { return g.refreshes }, Earlier: func(context.Context, time.Duration) (Earlier, error) { return Earlier{}, errDown },
	})
	r.Observe(viewOf("v1"), 0)
	r.MarkComplete(time.Now().Add(-time.Hour))
	if len(newVersions) > 0 {
		r.Observe(viewOf(append(newVersions, "v1")...), 0)
		time.Sleep(300 * time.Millisecond)
	}
	return r
}

// Guards against a stream that goes on at the one version that a gateway knows, though it alone has not heard of another
// one, and nothing says that there is none: neither most of the others nor what the store lists now.
func TestWhatShowsThatOnlyOneVersionCanHaveBegunAStream(t *testing.T) {
	v2 := Origin{"svc", "v2"}
	for _, c := range []struct {
		name   string
		gw     lateGateway
		knows  []ident.SoftwareVersion
		others [][]ident.SoftwareVersion
		want   Source
	}{
		{name: "no others", gw: lateGateway{refreshes: true}, want: OnlyVersion},
		{name: "cut off from the others", gw: lateGateway{peers: 3}, want: NotKnown},
		{name: "cut off from the others, the store was read", gw: lateGateway{peers: 3, refreshes: true}, want: OnlyVersion},
		{name: "few others answer", gw: lateGateway{peers: 4}, others: [][]ident.SoftwareVersion{nil}, want: NotKnown},
		{name: "most others answer", gw: lateGateway{peers: 2}, others: [][]ident.SoftwareVersion{nil, nil}, want: OnlyVersion},
		{name: "most others answer, one lists another version", gw: lateGateway{peers: 2}, others: [][]ident.SoftwareVersion{nil, {"v2"}}, want: NotKnown},
		{name: "they do, and nobody began a stream there", gw: lateGateway{peers: 2, refreshes: true}, others: [][]ident.SoftwareVersion{nil, {"v2"}}, want: OnlyVersion},
		{name: "they do, and somebody did", gw: lateGateway{peers: 2, refreshes: true, beginnings: &keptBeginnings{list: []Origin{v2}}}, others: [][]ident.SoftwareVersion{nil, {"v2"}}, want: NotKnown},
		{name: "cut off, another version has just appeared", gw: lateGateway{peers: 3, refreshes: true}, knows: []ident.SoftwareVersion{"v2"}, want: OnlyVersion},
		{name: "and began streams", gw: lateGateway{peers: 3, refreshes: true, beginnings: &keptBeginnings{list: []Origin{v2}}}, knows: []ident.SoftwareVersion{"v2"}, want: NotKnown},
		{name: "and it is not known whether", gw: lateGateway{peers: 3, refreshes: true, beginnings: &keptBeginnings{err: errDown}}, knows: []ident.SoftwareVersion{"v2"}, want: NotKnown},
		{name: "stood still, most others have heard lately", gw: lateGateway{peers: 2, viewAge: time.Minute}, others: [][]ident.SoftwareVersion{nil, nil}, want: OnlyVersion},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c.gw.others = make(answering)
				names := []ident.Instance{"gw1", "gw2", "gw3", "gw4"}
				for i, versions := range c.others {
					c.gw.others[names[i]] = (&lateGateway{}).registryOf(versions...)
				}
				r := c.gw.registryOf(c.knows...)
				var peers []Peer
				for _, name := range names[:c.gw.peers] {
					peers = append(peers, Peer{Node: name})
				}
				r.SetPeers(peers)
				if got := r.Find(t.Context(), Question{Stream: Stream{"acct", "first"}, Services: []ident.Service{"svc"}, Within: 12 * time.Second}); got.Source != c.want {
					t.Errorf("%+v, want %v", got, c.want)
				}
			})
		})
	}
}

// Guards against streams that begin at a version that has just appeared before others can find that out, and against a
// gateway that has just started, knows no better, and begins some at once.
func TestStreamsBeginAtAVersionThatHasJustAppearedOnceThatIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gw := lateGateway{beginnings: &keptBeginnings{err: errDown}}
		r := gw.registryOf("v2")
		for range 3 {
			if r.MayBegin("svc", "v2") {
				t.Error("streams begin there though that could not be recorded")
			}
			time.Sleep(2 * recordInterval)
		}
		gw.beginnings.set(nil)
		r.MayBegin("svc", "v2")
		synctest.Wait()
		if !r.MayBegin("svc", "v2") || len(gw.beginnings.list) != 1 {
			t.Errorf("not recorded: %v", gw.beginnings.list)
		}
		started := NewRegistry(Config{Now: time.Now, Log: hclog.NewNullLogger(), ViewAge: func() time.Duration { return 0 }})
		started.Observe(viewOf("v1", "v2"), 0)
		alone := NewRegistry(Config{Now: time.Now, Log: hclog.NewNullLogger(), ViewAge: func() time.Duration { return 0 }})
		alone.Observe(viewOf("v1"), 0)
		for _, after := range []time.Duration{0, holdBack - 1, holdBack} {
			at := time.Now().Add(after)
			if got, want := started.HoldsBack("svc", "v2", at), after < holdBack; got != want {
				t.Errorf("%v after its start a gateway holds a version back: %v, want %v", after, got, want)
			}
			if alone.HoldsBack("svc", "v1", at) {
				t.Errorf("%v after its start a gateway holds the only version back", after)
			}
		}
	})
}
