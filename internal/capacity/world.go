package capacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

const (
	service = ident.Service("spool-llm")
	app     = ident.Service("auktion-app")
	method  = ident.Method("place_bid")
)

func domainOf(i, domains int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("tirol-hall-%c", 'a'+i%domains))
}

// name is a random-looking name of a platform's usual length, the same at
// every run: numbers in a row would compress better than real names do.
func name(kind string, i int) string {
	return fmt.Sprintf("%s-%016x", kind, xxhash.Sum64String(fmt.Sprint(kind, i)))
}

// address is a random-looking address.
func address(kind string, i, port int) string {
	h := xxhash.Sum64String(fmt.Sprint("address", kind, i))
	return fmt.Sprintf("10.%d.%d.%d:%d", h>>16%256, h>>8%256, h%256, port)
}

// gatewayAt describes the i-th entry instance.
func gatewayAt(i, domains int) platform.Instance {
	return platform.Instance{
		ID:            ident.Instance(name("g", i)),
		Incarnation:   ident.Incarnation(1_700_000_000 + i),
		Role:          platform.RoleEntry,
		Region:        "tirol",
		FailureDomain: domainOf(i, domains),
		Class:         "entry-small",
		Address:       address("g", i, 443),
		PeerAddress:   address("g", i, 7000),
		State:         platform.Live,
	}
}

// runnerAt describes the i-th engine.
func runnerAt(i, domains int) platform.Instance {
	return platform.Instance{
		ID:            ident.Instance(name("i", i)),
		Incarnation:   ident.Incarnation(1_700_000_000 + i),
		Role:          platform.RoleEngine,
		Service:       service,
		Region:        "tirol",
		FailureDomain: domainOf(i, domains),
		Class:         "runner-large",
		Reclaimable:   i%3 > 0,
		Address:       address("i", i, 8000),
		State:         platform.Live,
	}
}

// instances lists gateways and runners.
func instances(gateways, runners, domains int) []platform.Instance {
	var list []platform.Instance
	for i := range gateways {
		list = append(list, gatewayAt(i, domains))
	}
	for i := range runners {
		list = append(list, runnerAt(i, domains))
	}
	return list
}

// listed is a platform's list of instances.
type listed []platform.Instance

// List implements platform.Instances.
func (l listed) List(context.Context) ([]platform.Instance, error) { return l, nil }

// loopback is an HTTP server on loopback that counts the bytes of its
// connections, in both directions and with all headers of HTTP.
type loopback struct {
	address string
	bytes   atomic.Int64
	server  *http.Server
	served  sync.WaitGroup
}

func newLoopback(handler http.Handler) (*loopback, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &loopback{address: listener.Addr().String(), server: transport.NewServer(handler)}
	l.served.Go(func() { _ = l.server.Serve(&countingListener{Listener: listener, bytes: &l.bytes}) })
	return l, nil
}

func (l *loopback) url() string { return "http://" + l.address }

func (l *loopback) close() {
	_ = l.server.Close()
	l.served.Wait()
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// shared runs an expensive measurement once for each size and lets several
// series take a figure from it.
type shared[T any] struct {
	run  func(size int) (T, error)
	done map[int]T
}

func newShared[T any](run func(size int) (T, error)) *shared[T] {
	return &shared[T]{run: run, done: map[int]T{}}
}

func (s *shared[T]) at(size int) (T, error) {
	if r, ok := s.done[size]; ok {
		return r, nil
	}
	r, err := s.run(size)
	if err == nil {
		s.done[size] = r
	}
	return r, err
}

// background is a set of loops that end together.
type background struct {
	cancel  context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
}

func newBackground() *background {
	b := &background{}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

func (b *background) run(loop func(context.Context)) {
	b.running.Go(func() { loop(b.ctx) })
}

// every calls tick at an interval.
func (b *background) every(interval time.Duration, tick func()) {
	b.run(func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				tick()
			case <-ctx.Done():
				return
			}
		}
	})
}

func (b *background) stop() {
	b.cancel()
	b.running.Wait()
}
