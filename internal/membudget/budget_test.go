package membudget

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const testConnectionBytes = 10 << 10

func newTestBudget(bytes int64, connections int) *Budget {
	return New(Config{Now: time.Now, Log: hclog.NewNullLogger(), Bytes: bytes, Connections: connections, ConnectionBytes: testConnectionBytes, MetersHeads: true})
}

// caller is the far end of a connection that the budget admitted.
type caller struct {
	conn *Conn
	far  net.Conn
}

// connect returns a new connection, or a nil conn if there is no room for it.
func connect(b *Budget) caller {
	near, far := net.Pipe()
	return caller{conn: b.admit(near), far: far}
}

func (c caller) leave() {
	if c.conn != nil {
		_ = c.conn.closeNow() // may be closed already
	}
	_ = c.far.Close() // may be closed already
}

// begin begins a request whose reader fails as soon as it has to yield.
func begin(t testing.TB, b *Budget, c *Conn) (*Request, *arrivingBody) {
	t.Helper()
	body := newArrivingBody()
	r, err := b.Begin(c, 0, yieldFunc(sync.OnceFunc(func() { close(body.cut) })))
	if err != nil {
		t.Fatal(err)
	}
	return r, body
}

// yieldFunc is what ends the reading of a body.
type yieldFunc func()

// SetReadDeadline implements ReadDeadliner.
func (f yieldFunc) SetReadDeadline(time.Time) error { f(); return nil }

// arrivingBody is a body whose bytes come through a channel.
type arrivingBody struct {
	more chan []byte
	cut  chan struct{}
	// over is closed when nothing more is read.
	over chan struct{}
	rest []byte
}

func newArrivingBody() *arrivingBody {
	return &arrivingBody{more: make(chan []byte), cut: make(chan struct{}), over: make(chan struct{})}
}

var errCut = errors.New("cut")

func (b *arrivingBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		select {
		case data, open := <-b.more:
			if !open {
				return 0, io.EOF
			}
			b.rest = data
		case <-b.cut:
			return 0, errCut
		}
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// send lets bytes come, unless nothing more is read.
func (b *arrivingBody) send(n int) {
	select {
	case b.more <- make([]byte, n):
	case <-b.cut:
	case <-b.over:
	}
}

// framed ends a body at its length, as net/http does, unless it is not known.
func framed(body io.Reader, length int64) io.Reader {
	if length < 0 {
		return body
	}
	return io.LimitReader(body, length)
}

// read reads the body of a request elsewhere, and returns where its result comes.
func read(r *Request, body *arrivingBody, length, limit int64) <-chan error {
	result := make(chan error, 1)
	go func() {
		defer close(body.over)
		_, err := r.ReadBody(framed(body, length), length, limit)
		result <- err
		if err != nil {
			r.End()
		}
	}()
	return result
}

// Guards against a crowd that stops short of its bodies' ends and keeps everybody out for as long as it stays.
func TestBodiesThatStopYieldToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(2<<20, 100)
		var stopped []<-chan error
		var bodies []*arrivingBody
		for range 3 {
			r, body := begin(t, b, connect(b).conn)
			bodies = append(bodies, body)
			stopped = append(stopped, read(r, body, 256<<10, 1<<20))
			body.send(255 << 10)
		}
		time.Sleep(stallTime)
		r, body := begin(t, b, connect(b).conn)
		result := read(r, body, 1<<20, 1<<20)
		body.send(1 << 20)
		if err := <-result; err != nil {
			t.Errorf("the body that came whole: %v", err)
		}
		yielded := 0
		for _, each := range stopped {
			select {
			case err := <-each:
				if !errors.Is(err, ErrYielded) {
					t.Errorf("a body that stopped: %v, want ErrYielded", err)
				}
				yielded++
			default:
			}
		}
		if yielded == 0 || yielded == 3 {
			t.Errorf("%d of 3 bodies yielded, want as many as were needed", yielded)
		}
		r.End()
		for _, each := range bodies {
			close(each.more)
		}
	})
}

// Guards against a body that is cut off for others though it comes steadily.
func TestABodyThatProgressesNeverYields(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 100)
		r, body := begin(t, b, connect(b).conn)
		steady := read(r, body, 512<<10, 1<<20)
		refused := 0
		for range 32 {
			body.send(16 << 10)
			synctest.Wait() // so that it has its room before the other
			other, otherBody := begin(t, b, nil)
			result := read(other, otherBody, 512<<10, 1<<20)
			otherBody.send(512 << 10)
			if err := <-result; err != nil {
				refused++
			}
			other.End()
			time.Sleep(stallTime / 2)
		}
		if err := <-steady; err != nil {
			t.Errorf("the steady body: %v", err)
		}
		if refused == 0 {
			t.Error("room was not short, so that the test shows nothing")
		}
		r.End()
	})
}

// Guards against requests that leave no room for shorter ones: of each length they get room up to a part of the
// budget, the shortest up to all of it.
func TestShorterRequestsHaveRoomBesideLongerOnes(t *testing.T) {
	b := newTestBudget(1<<20, 1)
	for _, c := range []struct {
		bytes int64
		share float64
	}{{100 << 10, bulkShare}, {30 << 10, shortShare}, {1 << 10, 1}} {
		for {
			if _, err := b.Begin(nil, c.bytes, yieldFunc(func() {})); err != nil {
				break
			}
		}
		least, most := int64(c.share*float64(1<<20))-c.bytes, int64(c.share*float64(1<<20))
		if held := b.State().Bytes; held <= least || held > most {
			t.Errorf("requests of %d bytes hold %d in the end, want more than %d and %d at the most", c.bytes, held, least, most)
		}
	}
}

// slowToYield begins a request of so many bytes that has made no progress, and that takes some time to end once
// it has to yield.
func slowToYield(t *testing.T, b *Budget, bytes int64, takes time.Duration) {
	t.Helper()
	var r *Request
	r, err := b.Begin(nil, bytes, yieldFunc(func() { time.AfterFunc(takes, func() { r.End() }) }))
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(stallTime)
}

// grow lets a request grow elsewhere, and returns where its result comes.
func grow(r *Request, n int64) <-chan error {
	result := make(chan error, 1)
	go func() { result <- r.Grow(n) }()
	synctest.Wait()
	return result
}

// Guards against a request that has to yield because it waits for others that yield.
func TestWhoWaitsForRoomDoesNotYield(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 1)
		slowToYield(t, b, 600<<10, yieldTime)
		waits, err := b.Begin(nil, 150<<10, yieldFunc(func() {}))
		if err != nil {
			t.Fatal(err)
		}
		result := grow(waits, 450<<10)
		time.Sleep(yieldTime * 9 / 10)
		if other, err := b.Begin(nil, 400<<10, yieldFunc(func() {})); err == nil {
			t.Errorf("another request took the room: %+v", other)
		}
		if err := <-result; err != nil {
			t.Errorf("the request that waited: %v", err)
		}
		waits.End()
	})
}

// Guards against a request that waits, and is refused late, for room that another one waits for already.
func TestRoomIsAwaitedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 1)
		slowToYield(t, b, 700<<10, yieldTime)
		first, _ := begin(t, b, nil)
		result := grow(first, 700<<10)
		began := time.Now()
		second, _ := begin(t, b, nil)
		if err := second.Grow(700 << 10); !errors.Is(err, ErrNoRoom) || time.Since(began) > 0 {
			t.Errorf("the second request: %v after %v, want ErrNoRoom at once", err, time.Since(began))
		}
		if err := <-result; err != nil {
			t.Errorf("the first request: %v", err)
		}
	})
}

// Guards against a request that is told that it was not run, and runs: once it had to yield, it is never whole.
func TestARequestThatYieldedIsNeverWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 1)
		r, err := b.Begin(nil, 700<<10, yieldFunc(func() {}))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(stallTime)
		other, _ := begin(t, b, nil)
		result := grow(other, 700<<10)
		if err := r.Whole(); !errors.Is(err, ErrYielded) {
			t.Errorf("got %v, want ErrYielded", err)
		}
		r.End()
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
}

// Guards against long bodies that leave no room for the short requests of ordinary callers.
func TestShortBodiesHaveRoomBesideLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(1<<20, 100)
		long := 0
		for range 20 {
			r, body := begin(t, b, nil)
			result := read(r, body, 100<<10, 1<<20)
			body.send(100 << 10)
			if err := <-result; err == nil {
				long++ // it is being answered, and holds its share
			} else if !errors.Is(err, ErrNoRoom) {
				t.Errorf("a long body: %v", err)
			}
		}
		r, body := begin(t, b, nil)
		result := read(r, body, 1000, 1<<20)
		body.send(1000)
		if err := <-result; err != nil || long == 20 {
			t.Errorf("beside %d long bodies a short one: %v", long, err)
		}
	})
}
