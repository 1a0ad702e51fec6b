package ingress

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// oneConnection is a listener that accepts one connection.
type oneConnection struct {
	net.Listener
	conn net.Conn
}

func (l oneConnection) Accept() (net.Conn, error) { return l.conn, nil }

// Guards against closing the connection of a caller that observes the idle limit: if the
// operators lower the limit while the connection is idle, the earlier limit must count.
func TestTheLongestIdleLimitInForceCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	clock := func() time.Time { return now }
	memory := membudget.New(membudget.Config{Now: clock, Log: hclog.NewNullLogger(), Bytes: 1 << 20, Connections: 1, ConnectionBytes: 1})
	limit := 15 * time.Second
	s := New(Config{Now: clock, Log: hclog.NewNullLogger(), Memory: memory, Table: func() *routetable.Table {
		return routetable.New(routetable.Spec{Revision: 1, Limits: routetable.Limits{IdleTimeout: limit}})
	}})
	near, far := net.Pipe()
	defer far.Close()
	if _, err := memory.Listener(oneConnection{conn: near}).Accept(); err != nil {
		t.Fatal(err)
	}
	s.SweepIdle()
	now = now.Add(10 * time.Second)
	limit = 5 * time.Second
	s.SweepIdle()
	if memory.State().Connections != 1 {
		t.Error("closed after 10 s under a limit of 15 s")
	}
	now = now.Add(7 * time.Second)
	s.SweepIdle()
	if memory.State().Connections != 0 {
		t.Error("still open after 17 s")
	}
}
