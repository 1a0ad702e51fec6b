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
	modelService = ident.Service("spool-llm")
	plainService = ident.Service("auktion-app")
	plainMethod  = ident.Method("place_bid")
)

// domainOf returns the failure domain of the i-th instance of a kind: instances go to
// the domains in turn.
func domainOf(i, domains int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("tirol-hall-%c", 'a'+i%domains))
}

// instanceName returns a pseudo-random instance ID of the usual length, the same in
// every run. Consecutive numbers would compress better than real IDs do.
func instanceName(kind string, i int) string {
	return fmt.Sprintf("%s-%016x", kind, xxhash.Sum64String(fmt.Sprint(kind, i)))
}

// socketAddress returns a pseudo-random IPv4 address with a port, the same in every run.
func socketAddress(kind string, i, port int) string {
	h := xxhash.Sum64String(fmt.Sprint("address", kind, i))
	return fmt.Sprintf("10.%d.%d.%d:%d", h>>16%256, h>>8%256, h%256, port)
}

// gatewayAt returns the i-th entry instance.
func gatewayAt(i, domains int) platform.Instance {
	return platform.Instance{
		ID:            ident.Instance(instanceName("g", i)),
		Incarnation:   ident.Incarnation(1_700_000_000 + i),
		Role:          platform.RoleEntry,
		Region:        "tirol",
		FailureDomain: domainOf(i, domains),
		Class:         "entry-small",
		Address:       socketAddress("g", i, 443),
		PeerAddress:   socketAddress("g", i, 7000),
		State:         platform.Live,
	}
}

// runnerAt returns the i-th runner, which is an instance with an engine.
func runnerAt(i, domains int) platform.Instance {
	return platform.Instance{
		ID:            ident.Instance(instanceName("i", i)),
		Incarnation:   ident.Incarnation(1_700_000_000 + i),
		Role:          platform.RoleEngine,
		Service:       modelService,
		Region:        "tirol",
		FailureDomain: domainOf(i, domains),
		Class:         "runner-large",
		Reclaimable:   i%3 > 0,
		Address:       socketAddress("i", i, 8000),
		State:         platform.Live,
	}
}

// instances returns so many gateways, followed by so many runners.
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

// instanceList is a platform.Instances whose list is fixed.
type instanceList []platform.Instance

// List implements platform.Instances.
func (l instanceList) List(context.Context) ([]platform.Instance, error) { return l, nil }

// loopbackServer is an HTTP server on loopback that counts the bytes of its
// connections in both directions, HTTP headers included.
type loopbackServer struct {
	address string
	bytes   atomic.Int64
	server  *http.Server
	served  sync.WaitGroup
}

func newLoopbackServer(handler http.Handler) (*loopbackServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &loopbackServer{address: listener.Addr().String(), server: transport.NewServer(handler)}
	l.served.Go(func() { _ = l.server.Serve(&countingListener{Listener: listener, bytes: &l.bytes}) })
	return l, nil
}

func (l *loopbackServer) url() string { return "http://" + l.address }

func (l *loopbackServer) close() {
	_ = l.server.Close()
	l.served.Wait()
}

// countingListener adds the bytes of the connections that it accepts to a counter.
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

// memoized runs an expensive measurement once for each size, so that several series
// can each take a figure of its result.
type memoized[T any] struct {
	run  func(size int) (T, error)
	done map[int]T
}

func newMemoized[T any](run func(size int) (T, error)) *memoized[T] {
	return &memoized[T]{run: run, done: map[int]T{}}
}

func (s *memoized[T]) at(size int) (T, error) {
	if r, ok := s.done[size]; ok {
		return r, nil
	}
	r, err := s.run(size)
	if err == nil {
		s.done[size] = r
	}
	return r, err
}

// backgroundLoops is a set of loops in goroutines that are stopped together.
type backgroundLoops struct {
	cancel  context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
}

func newBackgroundLoops() *backgroundLoops {
	b := &backgroundLoops{}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

func (b *backgroundLoops) run(loop func(context.Context)) {
	b.running.Go(func() { loop(b.ctx) })
}

// every calls tick at an interval until stop.
func (b *backgroundLoops) every(interval time.Duration, tick func()) {
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

// stop cancels the loops and waits until they have ended.
func (b *backgroundLoops) stop() {
	b.cancel()
	b.running.Wait()
}
