package testkit

import (
	"net"
	"net/http"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// Serve serves a handler on a loopback port that the kernel chose, until the
// test ends, and returns the base URL.
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
