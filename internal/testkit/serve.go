package testkit

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// Serve serves a handler on a loopback port that the kernel chooses, until the test ends,
// and returns the base URL.
func Serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := transport.NewServer(handler)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-ended
	})
	return "http://" + listener.Addr().String()
}

// nextPort is the last port that FreeAddress tried. Its ports are below those that the
// kernel gives to outgoing connections, so that no connection takes a port between its
// choice and its use. They depend on the process ID, because tests of other packages run
// at the same time.
var nextPort atomic.Int32

// FreeAddress returns a loopback address on which nobody listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	nextPort.CompareAndSwap(0, int32(20000+os.Getpid()%120*100))
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", nextPort.Add(1))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close() // the port was only tried
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
