package httpconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/connend"
)

// unread returns how many bytes the kernel holds of what was received.
func (c *conn) unread(t *testing.T) int {
	t.Helper()
	raw, err := c.net.NetConn().(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	var failed error
	err = raw.Control(func(fd uintptr) { n, failed = unix.IoctlGetInt(int(fd), unix.SIOCINQ) })
	if err != nil || failed != nil {
		t.Fatal(err, failed)
	}
	return n
}

// Guards against memory that the kernel holds of an answer that nobody reads, as it waits for room or for its caller.
func TestLittleOfAnAnswerIsHeldUnread(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"); err != nil {
			return
		}
		for part := strings.Repeat("x", 64<<10); err == nil; {
			_, err = io.WriteString(c, part)
		}
	}()
	answer, failure := NewPool(boottime.Now).Send(t.Context(), Target{ID: "u", Address: listener.Addr().String()}, &Request{Method: http.MethodGet, URI: "/x", Host: "app", Header: http.Header{}})
	if failure != nil {
		t.Fatal(failure)
	}
	defer answer.Close()
	if _, err := io.CopyN(io.Discard, answer, 4<<20); err != nil { // the kernel lets an upstream send more that is read fast
		t.Fatal(err)
	}
	for last := -1; ; {
		<-time.After(50 * time.Millisecond)
		held := answer.conn.unread(t)
		if held > connend.UnreadBytes {
			t.Fatalf("%d bytes are held unread, want %d at the most", held, connend.UnreadBytes)
		}
		if held == last {
			break
		}
		last = held
	}
}
