package membudget

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/headcost"
)

// Guards against heads of many lines that are held without room, and against a caller that is then closed
// without a word.
func TestALongHeadNeedsRoom(t *testing.T) {
	for _, c := range []struct {
		bytes   int64
		refused bool
	}{{4 << 20, false}, {100 << 10, true}} {
		b := newTestBudget(c.bytes, 1)
		caller := connect(b)
		head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 3000)
		go func() { _, _ = io.WriteString(caller.far, head) }() // its end may be refused
		answer := make(chan []byte, 1)
		go func() {
			text, _ := io.ReadAll(caller.far)
			answer <- text
		}()
		read := 0
		for read < len(head) {
			n, err := caller.conn.Read(make([]byte, 4096))
			if err != nil {
				break
			}
			read += n
		}
		if refused := read < len(head); refused != c.refused {
			t.Errorf("of %d bytes: refused %v, want %v", c.bytes, refused, c.refused)
		}
		if held := b.State().Bytes; !c.refused && held < 3000*headcost.LineBytes {
			t.Errorf("%d bytes are held for a head of 3000 lines", held)
		}
		_ = caller.conn.Close() // nothing is open beside it
		if text := <-answer; c.refused != strings.HasPrefix(string(text), "HTTP/1.1 503 ") {
			t.Errorf("of %d bytes: the caller got %q", c.bytes, text)
		}
		if held := b.State().Bytes; held != 0 {
			t.Errorf("%d bytes are held after the end", held)
		}
	}
}

// listen returns a listener of a budget on loopback.
func listen(t *testing.T, b *Budget) net.Listener {
	t.Helper()
	plain, err := Listen("127.0.0.1:0", hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	l := b.Listener(plain)
	t.Cleanup(func() { _ = l.Close() }) // nothing is left to accept
	return l
}

// dial returns a new connection to a listener.
func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // may be closed already
	return c
}

// Guards against what the kernel may hold for a long body, and that nobody counts: also when the body has been
// read or refused, up to the connection's next request.
func TestTheWindowOfALongBodyIsHeld(t *testing.T) {
	b := newTestBudget(4<<20, 1)
	l := listen(t, b)
	dial(t, l)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	conn := accepted.(*Conn)
	before := b.State().Bytes
	r, err := b.Begin(conn, 0, yieldFunc(func() {}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := r.ReadBody(strings.NewReader(strings.Repeat("x", 200<<10)), 200<<10, 1<<20); err != nil {
		t.Fatal(err)
	}
	r.End()
	if window := b.State().Bytes - before; window != unreadBytes(bulkReceiveBuffer)-unreadBytes(smallReceiveBuffer) {
		t.Errorf("%d bytes are held for the window", window)
	}
	conn.setIdle()
	if after := b.State().Bytes; after != before {
		t.Errorf("%d bytes are held by the idle connection, %d before", after, before)
	}
}

// Guards against an accepted caller whose answer is cut off for others: what has been read whole does not yield,
// and its connection keeps its place until the answer has been written.
func TestWhatIsAnsweredNeverYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 1)
		c := connect(b)
		r, _ := begin(t, b, c.conn)
		if _, err := r.ReadBody(strings.NewReader(""), 0, 1); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Hour)
		if other := connect(b); other.conn != nil {
			t.Error("a connection took the place of one that is being answered")
		}
		r.End()
		time.Sleep(time.Hour)
		if other := connect(b); other.conn != nil {
			t.Error("a connection took the place of one whose answer is being written")
		}
		c.conn.setIdle()
		other := connect(b)
		if other.conn == nil {
			t.Error("an idle connection kept its place")
		}
		other.leave()
	})
}

// Guards against idle connections on which requests were shared, which cost far more than others, and keep all
// newcomers out.
func TestIdleSharedConnectionsYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 1000)
		for range 50 {
			c := connect(b)
			if c.conn == nil || !c.conn.Multiplex(100<<10) {
				t.Fatal("a newcomer found no room beside idle connections")
			}
			r, _ := begin(t, b, c.conn)
			if _, err := r.ReadBody(strings.NewReader("body"), 4, 4); err != nil {
				t.Fatal(err)
			}
			r.End()
			c.conn.setIdle()
			checkSums(t, b)
		}
	})
}

// Guards against connections that yield in the wrong order, so that ordinary callers pay for a crowd.
func TestTheOrderInWhichConnectionsYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 4)
		idle := connect(b)
		whole, _ := begin(t, b, idle.conn)
		if _, err := whole.ReadBody(strings.NewReader(""), 0, 1); err != nil {
			t.Fatal(err)
		}
		whole.End()
		idle.conn.setIdle()
		time.Sleep(time.Second)
		stopped := connect(b)
		r, body := begin(t, b, stopped.conn)
		result := read(r, body, 1000, 1000)
		time.Sleep(time.Second)
		silent := connect(b)
		time.Sleep(time.Second)
		young := connect(b)
		time.Sleep(time.Millisecond)
		for _, want := range []caller{stopped, silent, idle, young} {
			if c := connect(b); c.conn == nil {
				t.Fatal("no place")
			}
			time.Sleep(time.Millisecond)
			b.mu.Lock()
			yielded := want.conn.yielded
			b.mu.Unlock()
			if !yielded {
				t.Errorf("not in the order: stopped, silent, idle, young; %+v", b.State())
			}
		}
		if err := <-result; !errors.Is(err, ErrYielded) {
			t.Errorf("the request on the connection that yielded: %v", err)
		}
		time.Sleep(2 * yieldTime)
	})
}

// Guards against a refused caller that keeps its place because its answer is on its way: it lingers, and yields
// before all others.
func TestALingeringConnectionYieldsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 2)
		silent := connect(b)
		time.Sleep(time.Minute)
		refused := connect(b)
		r, _ := begin(t, b, refused.conn)
		r.Refused(make(http.Header), -1)
		r.End()
		b.mu.Lock()
		refused.conn.lingering = true
		b.mu.Unlock()
		other := connect(b)
		defer other.leave()
		defer silent.leave()
		b.mu.Lock()
		defer b.mu.Unlock()
		if silent.conn.yielded || !refused.conn.yielded {
			t.Errorf("the silent one yielded: %v, the one that lingers: %v", silent.conn.yielded, refused.conn.yielded)
		}
	})
}

// Guards against a request that is used though its connection was closed for another: its caller would hear
// nothing, and may have sent it again.
func TestNothingIsUsedOfAConnectionThatYielded(t *testing.T) {
	b := newTestBudget(1<<20, 1)
	late := newLateConn()
	c := b.admit(late)
	late.readAsItCloses(t, c)
	if other := connect(b); other.conn == nil {
		t.Fatal("the connection did not yield")
	}
	if n, err := c.Read(make([]byte, 10)); n != 0 || err == nil {
		t.Errorf("read %d bytes, error %v", n, err)
	}
	if _, err := b.Begin(c, 0, yieldFunc(func() {})); !errors.Is(err, ErrYielded) {
		t.Errorf("a request that had been read before: %v, want ErrYielded", err)
	}
}

// lateConn is a connection that still delivers bytes while it is closed and afterwards.
type lateConn struct {
	net.Conn
	onClose func()
}

func newLateConn() *lateConn {
	near, far := net.Pipe()
	_ = far.Close() // nothing comes from it
	return &lateConn{Conn: near, onClose: func() {}}
}

// readAsItCloses makes bytes be read from the Conn around it at the moment of its close.
func (l *lateConn) readAsItCloses(t *testing.T, c *Conn) {
	l.onClose = func() {
		if n, err := c.Read(make([]byte, 10)); n != 0 || err == nil {
			t.Errorf("read %d bytes as it was closed, error %v", n, err)
		}
	}
}

func (*lateConn) Read(p []byte) (int, error) { return copy(p, "GET "), nil }

func (l *lateConn) Close() error {
	l.onClose()
	return l.Conn.Close()
}

// Guards against what is reserved for a connection that has been closed meanwhile, and that nothing gives back.
func TestNothingIsHeldForAClosedConnection(t *testing.T) {
	b := newTestBudget(4<<20, 1)
	near, far := net.Pipe()
	defer far.Close()
	c := b.admit(longHeadConn{near})
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if n, err := c.Read(make([]byte, 64<<10)); n != 0 || err == nil {
		t.Errorf("read %d bytes, error %v", n, err)
	}
	if c.Multiplex(100 << 10) {
		t.Error("a closed connection is shared")
	}
	c.tcp = &net.TCPConn{}
	c.widen()
	if s := b.State(); s.Bytes != 0 || s.Connections != 0 {
		t.Errorf("%+v", s)
	}
}

// longHeadConn is a connection that still delivers a long head after it was closed.
type longHeadConn struct{ net.Conn }

func (longHeadConn) Read(p []byte) (int, error) {
	return copy(p, bytes.Repeat([]byte("a:\r\n"), 3000)), nil
}

// Guards against long heads that are not ended, or shorts bodies that stop, and that keep newcomers out: a new
// connection and a short request find room at the cost of what makes no progress.
func TestNewcomersFindRoomBesideHeadsThatStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(2<<20, 100)
		head := "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1000)
		for range 30 {
			near, far := net.Pipe()
			defer far.Close()
			c := b.admit(near)
			if c == nil {
				t.Fatal("a connection found no place")
			}
			go func() { _, _ = io.WriteString(far, head) }() // it may be refused
			go func() { _, _ = io.Copy(io.Discard, far) }()
			for read := 0; read < len(head); {
				n, err := c.Read(make([]byte, 4096))
				if err != nil {
					_ = c.closeNow()
					break
				}
				read += n
			}
			checkSums(t, b)
		}
		if held := b.State().Bytes; held < 1<<20 {
			t.Errorf("heads hold %d bytes, so that the test shows nothing", held)
		}
		for range 50 {
			c := connect(b)
			if c.conn == nil {
				t.Fatal("a newcomer found no place")
			}
			r, err := b.Begin(c.conn, 4<<10, yieldFunc(func() {}))
			if err != nil {
				t.Fatalf("a short request: %v", err)
			}
			r.End()
			checkSums(t, b)
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// Guards against a caller that is left waiting, or closed without a word, where all places are taken by
// requests that are being answered.
func TestACallerWithoutAPlaceIsToldSo(t *testing.T) {
	b := newTestBudget(1<<20, 1)
	l := listen(t, b)
	accepted := make(chan net.Conn, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := b.Begin(c.(*Conn), 0, yieldFunc(func() {}))
			if err != nil || r.Whole() != nil {
				t.Error("the first request was refused")
			}
			accepted <- c
		}
	}()
	dial(t, l)
	defer (<-accepted).Close()
	answer, err := io.ReadAll(dial(t, l))
	if err != nil || !strings.HasPrefix(string(answer), "HTTP/1.1 503 ") || !strings.Contains(string(answer), "\r\nRetry-After: ") {
		t.Errorf("got %q, %v", answer, err)
	}
	_, body, _ := strings.Cut(string(answer), "\r\n\r\n")
	if !strings.Contains(string(answer), "Content-Length: "+strconv.Itoa(len(body))+"\r\n") {
		t.Errorf("the length is not that of the body: %q", answer)
	}
}
