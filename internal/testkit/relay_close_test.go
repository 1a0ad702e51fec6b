package testkit

import (
	"net"
	"testing"
)

// Guards against a test that hangs at its end: a connection that the relay makes while it is closed stays open.
func TestARelayThatWasClosedKeepsNoConnection(t *testing.T) {
	client, clientEnd := net.Pipe()
	server, serverEnd := net.Pipe()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &Relay{listener: listener}
	r.close()
	r.add(&relayedConn{relay: r, client: client, server: server})
	for _, end := range []net.Conn{clientEnd, serverEnd} {
		if _, err := end.Read(make([]byte, 1)); err == nil {
			t.Error("the connection is open")
		}
	}
}
