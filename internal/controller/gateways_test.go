package controller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

// startGateway starts a server for the peers' protocol with a real membership
// that knows one upstream.
func startGateway(t *testing.T, id platform.Instance, upstream platform.Instance) (*blackboard.Board, platform.Instance) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	id.PeerAddress = listener.Addr().String()
	board := blackboard.NewBoard()
	members := membership.New(membership.DefaultConfig(id), membership.Deps{Board: board, Log: hclog.NewNullLogger()})
	members.ApplyList([]platform.Instance{id, upstream})
	server, err := peer.NewServer(peer.Handlers{Heartbeats: members}, peer.TLSFiles{})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(ctx, listener, time.Second)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return board, id
}

// Controllers and gateways must agree on the meaning of a digest: a controller
// announces an upstream as leaving to the gateways, and another controller
// reads from them that it is. Otherwise an upstream that is to be stopped would
// go on getting work, or a new holder would not know that it is draining.
func TestGatewaysReceiveAndReportLeavingUpstreams(t *testing.T) {
	upstream := platform.Instance{
		ID: "app-1", Incarnation: 3, Role: platform.RolePlain, Service: "auktion-app", FailureDomain: "hall-a", State: platform.Live,
	}
	entry := platform.Instance{ID: "entry-1", Incarnation: 1, Role: platform.RoleEntry, FailureDomain: "hall-a", State: platform.Live}
	board, entry := startGateway(t, entry, upstream)
	pool, err := peer.NewPool(peer.TLSFiles{})
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	unreachable := platform.Instance{
		ID: "entry-2", Role: platform.RoleEntry, FailureDomain: "hall-b", State: platform.Live, PeerAddress: "127.0.0.1:1",
	}
	listing := blackboard.NewSection(blackboard.Listing{Instances: []platform.Instance{unreachable, entry, upstream}})
	announcer := newGateways(settings.Instance{ID: "entry-1", Incarnation: 1, FailureDomain: "hall-a"}, pool, listing)
	if err := announcer.AnnounceLeaving(t.Context(), []platform.Instance{upstream}); err != nil {
		t.Fatal(err)
	}
	if got := board.Members.Value().ByID["app-1"].State; got != blackboard.Leaving {
		t.Errorf("the gateway has the upstream in state %v, want leaving", got)
	}
	if got := board.Members.Value().ByID["entry-1"].State; got != blackboard.Alive {
		t.Errorf("the gateway has itself in state %v, want alive", got)
	}
	successor := newGateways(settings.Instance{ID: "entry-9", Incarnation: 1, FailureDomain: "hall-c"}, pool, listing)
	leaving, err := successor.Leaving(t.Context())
	if err != nil || len(leaving) != 1 || leaving["app-1"] != 3 {
		t.Errorf("a new holder reads %v, %v; want app-1 of incarnation 3", leaving, err)
	}
}

func TestUnacknowledgedAnnouncementFails(t *testing.T) {
	pool, err := peer.NewPool(peer.TLSFiles{})
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Close()
	g := newGateways(settings.Instance{ID: "entry-1"}, pool, blackboard.NewSection(blackboard.Listing{}))
	if err := g.AnnounceLeaving(t.Context(), []platform.Instance{{ID: "app-1"}}); err == nil {
		t.Error("an announcement without a gateway succeeded")
	}
}
