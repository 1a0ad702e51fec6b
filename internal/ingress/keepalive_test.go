package ingress

import (
	"net"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// Guards against callers' connections that the kernel gives up after some seconds of silence, while their
// answer is made: with a user time-out, probes would end them sooner, whatever their count.
func TestCallersConnectionsEndByProbesAlone(t *testing.T) {
	plain, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	memory := membudget.New(membudget.Config{Now: time.Now, Log: hclog.NewNullLogger(), Bytes: 1 << 20, Connections: 1, ConnectionBytes: 1, MetersHeads: true})
	l := memory.Listener(plain)
	defer l.Close()
	caller, err := net.Dial("tcp", plain.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	got := testkit.KeepAliveOf(t, accepted.(*membudget.Conn).TCP())
	if want := (testkit.KeepAlive{On: true, IdleSeconds: 15, IntervalSeconds: 15, Probes: 9}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
