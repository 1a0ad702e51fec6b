package peer

import (
	"context"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Two processes find each other through a seed address and pass on the departure of
// an instance, over sockets with mutual TLS.
func TestMembershipOverSockets(t *testing.T) {
	files := newAuthority(t).issue("peer")
	listeners := []net.Listener{listen(t), listen(t)}
	boards := []*blackboard.Board{blackboard.NewBoard(), blackboard.NewBoard()}
	members := make([]*membership.Controller, 2)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range members {
		config := membership.DefaultConfig(platform.Instance{
			ID: ident.Instance('a' + rune(i)), Incarnation: 1, Role: platform.RoleEntry,
			FailureDomain: "one", PeerAddress: listeners[i].Addr().String(),
		})
		config.Seeds = []string{listeners[0].Addr().String()}
		// The machine may be busy.
		config.Timeout = 10 * time.Second
		members[i] = membership.New(config, membership.Deps{
			Board: boards[i], Transport: newPool(t, files), Log: hclog.NewNullLogger(),
		})
		server, err := NewServer(Handlers{Heartbeats: members[i]}, files)
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { _ = server.Serve(ctx, listeners[i], time.Millisecond) })
		running.Go(func() { _ = members[i].Run(ctx) })
	}
	members[1].NoteLeaving("u", 7)
	waitFor(t, boards[0], "u", blackboard.Leaving)
	waitFor(t, boards[0], members[1].Self(), blackboard.Alive)
	cancel()
	running.Wait()
}

// waitFor waits until an instance is in a state; it fails the test if the test's
// context ends before.
func waitFor(t *testing.T, board *blackboard.Board, id ident.Instance, want blackboard.MemberState) {
	t.Helper()
	snap := board.Members.Load()
	for snap.Value.ByID[id].State != want {
		next, err := board.Members.Wait(t.Context(), snap.Version)
		if err != nil {
			t.Fatal(err)
		}
		snap = next
	}
}

// countingListener counts the bytes in both directions on its connections.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (c *countingListener) Accept() (net.Conn, error) {
	conn, err := c.Listener.Accept()
	return &countedConn{Conn: conn, bytes: &c.bytes}, err
}

type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// TestCost logs how many bytes an exchange takes beyond its two messages. It runs
// only with MEMBERSHIP_COST=1.
func TestCost(t *testing.T) {
	if os.Getenv("MEMBERSHIP_COST") == "" {
		t.Skip("set MEMBERSHIP_COST=1 to measure")
	}
	tlsFiles := newAuthority(t).issue("peer")
	for name, files := range map[string]TLSFiles{"plaintext": {}, "mutual TLS": tlsFiles} {
		l := &countingListener{Listener: listen(t)}
		serve(t, l, files)
		pool := newPool(t, files)
		req := &peerv1.ExchangeRequest{From: "g-00000000000000001", Incarnation: 1_700_000_000}
		exchange := func() *peerv1.ExchangeResponse {
			resp, err := pool.Exchange(t.Context(), l.Addr().String(), req)
			if err != nil {
				t.Fatal(err)
			}
			return resp
		}
		const warm, count = 20, 1000
		for range warm {
			exchange()
		}
		before := l.bytes.Load()
		messages := 0
		for range count {
			messages += proto.Size(req) + proto.Size(exchange())
		}
		t.Logf("%s: %.1f bytes an exchange beyond its two messages", name, float64(l.bytes.Load()-before-int64(messages))/count)
	}
}
