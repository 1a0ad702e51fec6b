package testkit

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
)

// Serve serves a handler on a loopback port that the kernel chooses, until the test ends,
// and returns the base URL.
func Serve(t testing.TB, handler http.Handler) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: handler, Protocols: &protocols}
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

// The ports of FreeAddress are below those that the kernel gives to outgoing connections, so that no
// connection takes a port between its choice and its use. Each process has a block of them for
// itself, because tests of other packages run at the same time, and a process under test that is
// started again needs the port that it had.
const (
	firstPort     = 20000
	portsPerBlock = 1000
	portBlocks    = 12
)

// portBlock is a block of ports that belongs to this process as long as claim, the listener at its
// first port, is open.
type portBlock struct {
	first int
	claim net.Listener
}

// ownPorts returns this process's block, which it claims at the first call.
var ownPorts = sync.OnceValues(func() (portBlock, error) { return claimPortBlock(os.Getpid()) })

// nextPort counts the ports of the block that were tried.
var nextPort atomic.Int32

// claimPortBlock claims a block of ports, preferably the one with an index.
func claimPortBlock(preferred int) (portBlock, error) {
	var err error
	for i := range portBlocks {
		first := firstPort + (preferred+i)%portBlocks*portsPerBlock
		var claim net.Listener
		if claim, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first)); err == nil {
			return portBlock{first: first, claim: claim}, nil
		}
	}
	return portBlock{}, errors.Wrap(err, "all blocks of ports are claimed")
}

// FreeAddress returns a loopback address on which nobody listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	block, err := ownPorts()
	if err != nil {
		t.Fatal(err)
	}
	for range 2 * portsPerBlock {
		address := fmt.Sprintf("127.0.0.1:%d", block.first+1+int(nextPort.Add(1))%(portsPerBlock-1))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close() // the port was only tried
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}
