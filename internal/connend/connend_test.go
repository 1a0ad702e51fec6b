package connend

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// dial returns a connection to a peer that is handled by serve.
func dial(t *testing.T, serve func(*net.TCPConn)) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	served := make(chan struct{})
	go func() {
		defer close(served)
		accepted, err := listener.Accept()
		if err != nil {
			t.Error(err)
			return
		}
		defer accepted.Close()
		serve(accepted.(*net.TCPConn))
	}()
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		<-served
	})
	return c
}

// reset ends a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0) // fails only if the connection is closed
	_ = c.Close()
}

// writeUntilItFails writes until the connection takes no more, and returns the error.
func writeUntilItFails(c net.Conn) error {
	part := bytes.Repeat([]byte("x"), 64<<10)
	for {
		if _, err := c.Write(part); err != nil {
			return err
		}
	}
}

// Guards against a reset that the reader takes for an orderly end, because the writer was the one to whom the kernel
// gave the error.
func TestAResetThatTheWriterSawIsNoOrderlyEnd(t *testing.T) {
	c := New(dial(t, func(peer *net.TCPConn) {
		_, _ = io.WriteString(peer, "part")
		_, _ = io.CopyN(io.Discard, peer, 1<<20)
		reset(peer)
	}))
	if err := writeUntilItFails(c); !errors.Is(err, syscall.ECONNRESET) {
		t.Fatalf("the write ended with %v", err)
	}
	got, err := io.ReadAll(c)
	if string(got) != "part" || !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v; want the part and the reset", got, err)
	}
}

// Guards against an orderly end that is taken for a reset: the peer ends its side first, and resets the connection only
// as it gets what it does not read.
func TestAResetAfterAnOrderlyEndChangesNothing(t *testing.T) {
	ended := make(chan struct{})
	c := New(dial(t, func(peer *net.TCPConn) {
		_, _ = io.WriteString(peer, "whole")
		_ = peer.CloseWrite()
		<-ended
		reset(peer)
	}))
	close(ended)
	if err := writeUntilItFails(c); !errors.Is(err, syscall.EPIPE) {
		t.Fatalf("the write ended with %v", err)
	}
	if got, err := io.ReadAll(c); string(got) != "whole" || err != nil {
		t.Errorf("read %q, %v; want the whole and no error", got, err)
	}
}

// Guards against a reader that waits for a writer that is never done: the peer ends its side and reads nothing.
func TestAnOrderlyEndDoesNotWaitForTheWriter(t *testing.T) {
	leave := make(chan struct{})
	c := New(dial(t, func(peer *net.TCPConn) {
		_, _ = io.WriteString(peer, "whole")
		_ = peer.CloseWrite()
		<-leave
	}))
	defer close(leave)
	written := make(chan error, 1)
	go func() { written <- writeUntilItFails(c) }()
	got, err := io.ReadAll(c)
	if string(got) != "whole" || err != nil {
		t.Errorf("read %q, %v; want the whole and no error", got, err)
	}
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Error("the write goes on, though nobody needs it")
	}
}
