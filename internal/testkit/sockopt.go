package testkit

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
)

// KeepAlive are the socket options that decide when the kernel gives up a connection whose other end does
// not answer.
type KeepAlive struct {
	// On: probes are sent. They begin after IdleSeconds, come each IntervalSeconds, and Probes of them
	// without an answer end the connection, unless UserTimeoutMillis is set, which decides then.
	On                           bool
	IdleSeconds, IntervalSeconds int
	Probes, UserTimeoutMillis    int
}

// KeepAliveOf returns the options of a TCP connection.
func KeepAliveOf(t testing.TB, c net.Conn) KeepAlive {
	t.Helper()
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	option := func(level, name int) (value int) {
		var failure error
		if err := raw.Control(func(fd uintptr) { value, failure = unix.GetsockoptInt(int(fd), level, name) }); err != nil || failure != nil {
			t.Fatal(err, failure)
		}
		return value
	}
	return KeepAlive{
		On: option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0, IdleSeconds: option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), IntervalSeconds: option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL),
		Probes: option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT), UserTimeoutMillis: option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT),
	}
}
