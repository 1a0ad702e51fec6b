package worker

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"
)

const (
	// forkTime bounds how long a process that is being started holds a copy of a closed listener: from its
	// fork to its exec.
	forkTime = 2 * time.Second
	// forkPoll is how often it is tried again whether it still does.
	forkPoll = 2 * time.Millisecond
)

// keepPort takes the port of a closed listener up to the end of the test.
func keepPort(t testing.TB, closed net.Listener) {
	address := closed.Addr().(*net.TCPAddr)
	release, err := holdPort(address)
	for end := time.Now().Add(forkTime); errors.Is(err, syscall.EADDRINUSE) && time.Now().Before(end); {
		<-time.After(forkPoll)
		release, err = holdPort(address)
	}
	if err != nil {
		t.Errorf("cannot hold the port of %s: %v", closed.Addr(), err)
		return
	}
	t.Cleanup(release)
}

// holdPort takes the port of a loopback address on which nobody listens any more, so that
// connections to it are refused. The caller must call release.
func holdPort(address *net.TCPAddr) (release func(), err error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	release = func() { _ = syscall.Close(socket) } // nothing was written
	// Only with the option the port can be taken while connections of the process are being closed, and
	// only without it nobody else can.
	err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(socket, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())})
	}
	if err == nil {
		err = syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
	}
	if err != nil {
		release()
		return nil, err
	}
	return release, nil
}
