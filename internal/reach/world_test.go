package reach

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/relay"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// world is a fleet in virtual time: gateways, upstreams, and a link for each pair of them. Everything
// in it is guarded by mu.
type world struct {
	mu        sync.Mutex
	rng       *rand.Rand
	gateways  []*simGateway
	upstreams []*simUpstream
	// faults are the links' faults, by gateway and upstream.
	faults [][]testkit.LinkFault
}

// simUpstream is an upstream of the world.
type simUpstream struct {
	id   ident.Instance
	down testkit.LinkFault // LinkRefuses: its process has ended; LinkHangs: its host is gone
	// runs counts how often each call ran there.
	runs map[ident.Request]int
	// dials counts the connections that were made.
	dials int
}

// simGateway is a gateway of the world, with its own connections. It implements Direct.
type simGateway struct {
	w       *world
	index   int
	node    ident.Instance
	network *Network
	// dead: its process has ended.
	dead bool
	// pool is what a pool keeps of each upstream.
	pool       map[ident.Instance]*simConns
	suspicions int
	avoidUntil map[int]time.Time
	// failedAt lists the connection attempts that failed.
	failedAt []failedDial
}

// failedDial is a connection attempt that failed.
type failedDial struct {
	at       time.Time
	upstream ident.Instance
}

// simConns are a gateway's kept connections to an upstream.
type simConns struct {
	// kept are the times until which the kept connections may be used.
	kept                []time.Time
	suspected, verified int
	answers             uint64
}

// keepAlive is how long a connection is kept that is not used.
const keepAlive = 5 * time.Second

// put keeps a connection, and take takes one that may be used and reports whether there was one.
func (c *simConns) put() { c.kept = append(c.kept, time.Now().Add(keepAlive)) }
func (c *simConns) take() bool {
	for len(c.kept) > 0 {
		until := c.kept[len(c.kept)-1]
		c.kept = c.kept[:len(c.kept)-1]
		if time.Now().Before(until) {
			return true
		}
	}
	return false
}

// hopTime is the time of one hop, in either direction.
const hopTime = 500 * time.Microsecond

func newWorld(seed uint64, gateways, upstreams int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range upstreams {
		w.upstreams = append(w.upstreams, &simUpstream{id: ident.Instance(fmt.Sprint("u", i)), runs: make(map[ident.Request]int)})
	}
	for i := range gateways {
		g := &simGateway{w: w, index: i, node: ident.Instance(fmt.Sprint("gw", i)), pool: make(map[ident.Instance]*simConns), avoidUntil: make(map[int]time.Time)}
		for _, u := range w.upstreams {
			g.pool[u.id] = &simConns{}
		}
		g.network = New(Config{
			Self: g.node, Now: time.Now, Log: hclog.NewNullLogger(), Direct: g, Relay: simRelay{w}, Introduce: func(gossip.Contact) {},
			Gateways:  func(time.Time) []gossip.Contact { return w.contacts() },
			Upstreams: func() []ident.Instance { return w.ids() },
		})
		w.gateways = append(w.gateways, g)
		w.faults = append(w.faults, make([]testkit.LinkFault, upstreams))
	}
	return w
}

func (w *world) contacts() []gossip.Contact {
	var out []gossip.Contact
	for _, g := range w.gateways {
		out = append(out, gossip.Contact{Node: g.node, Address: string(g.node)})
	}
	return out
}

func (w *world) ids() []ident.Instance {
	var out []ident.Instance
	for _, u := range w.upstreams {
		out = append(out, u.id)
	}
	return out
}

// link returns the fault between a gateway and an upstream: that of the link, or else that of the
// upstream. w.mu must be held.
func (w *world) link(gateway int, id ident.Instance) testkit.LinkFault {
	for i, u := range w.upstreams {
		if u.id == id {
			if fault := w.faults[gateway][i]; fault != testkit.LinkUp {
				return fault
			}
			return u.down
		}
	}
	return testkit.LinkRefuses
}

func (w *world) upstream(id ident.Instance) *simUpstream {
	i := slices.IndexFunc(w.upstreams, func(u *simUpstream) bool { return u.id == id })
	return w.upstreams[i]
}

// set sets the fault of the links of some gateways to some upstreams. Connections that a fault resets
// are gone.
func (w *world) set(fault testkit.LinkFault, gateways, upstreams []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range gateways {
		for _, u := range upstreams {
			w.faults[g][u] = fault
			if fault == testkit.LinkResets || fault == testkit.LinkRefuses {
				w.gateways[g].pool[w.upstreams[u].id].kept = nil
			}
		}
	}
}

// crash ends upstreams' processes, or their hosts.
func (w *world) crash(how testkit.LinkFault, upstreams []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, u := range upstreams {
		w.upstreams[u].down = how
		for _, g := range w.gateways {
			if how == testkit.LinkRefuses {
				g.pool[w.upstreams[u].id].kept = nil
			}
		}
	}
}

func (w *world) kill(gateways []int, dead bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range gateways {
		w.gateways[g].dead = dead
	}
}

// dial opens a connection.
func (g *simGateway) dial(ctx context.Context, target httpconn.Target) error {
	timeout := 350 * time.Millisecond
	if target.DialTimeout > 0 {
		timeout = target.DialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	g.w.mu.Lock()
	fault := g.w.link(g.index, target.ID)
	suspicions := g.suspicions
	g.w.mu.Unlock()
	failed := func(err error) error {
		g.w.mu.Lock()
		defer g.w.mu.Unlock()
		g.failedAt = append(g.failedAt, failedDial{time.Now(), target.ID})
		return &net.OpError{Op: "dial", Err: err}
	}
	switch fault {
	case testkit.LinkHangs, testkit.LinkLosesReplies:
		<-ctx.Done()
		return failed(context.DeadlineExceeded)
	case testkit.LinkResets:
		return failed(syscall.ECONNRESET)
	case testkit.LinkRefuses, testkit.LinkRefusesNew:
		return failed(syscall.ECONNREFUSED)
	}
	time.Sleep(2 * hopTime)
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	g.w.upstream(target.ID).dials++
	c := g.pool[target.ID]
	c.verified = max(c.verified, suspicions)
	return nil
}

// Connect implements Direct.
func (g *simGateway) Connect(ctx context.Context, target httpconn.Target, _ bool) error {
	err := g.dial(ctx, target)
	if err == nil {
		g.w.mu.Lock()
		defer g.w.mu.Unlock()
		g.pool[target.ID].put()
	}
	return err
}

// Send implements Direct.
func (g *simGateway) Send(ctx context.Context, target httpconn.Target, req *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	g.w.mu.Lock()
	c := g.pool[target.ID]
	useKept := c.verified >= c.suspected && c.take()
	suspicions := g.suspicions
	g.w.mu.Unlock()
	if !useKept {
		if target.KeptOnly {
			return nil, &httpconn.Failure{Stage: httpconn.StageConnect, Err: httpconn.ErrNoKeptConnection}
		}
		if err := g.dial(ctx, target); err != nil {
			return nil, &httpconn.Failure{Stage: httpconn.StageConnect, Err: err}
		}
	}
	if failure := g.exchange(ctx, target.ID, ident.Request(req.URI)); failure != nil {
		return nil, failure
	}
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	c.put()
	c.verified = max(c.verified, suspicions)
	c.answers++
	return &httpconn.Answer{}, nil
}

// exchange sends a call over an open connection and waits for its answer.
func (g *simGateway) exchange(ctx context.Context, id ident.Instance, call ident.Request) *httpconn.Failure {
	broke := func(err error) *httpconn.Failure {
		return &httpconn.Failure{Stage: httpconn.StageHeader, MaybeSent: true, Err: err}
	}
	for step := range 2 {
		g.w.mu.Lock()
		fault := g.w.link(g.index, id)
		work := 20*time.Millisecond + time.Duration(g.w.rng.IntN(20))*time.Millisecond
		if step == 0 && (fault == testkit.LinkUp || fault == testkit.LinkRefusesNew || fault == testkit.LinkLosesReplies) {
			g.w.upstream(id).runs[call]++
		}
		g.w.mu.Unlock()
		switch fault {
		case testkit.LinkHangs, testkit.LinkLosesReplies:
			<-ctx.Done()
			return broke(context.Cause(ctx))
		case testkit.LinkResets, testkit.LinkRefuses:
			return broke(syscall.ECONNRESET)
		}
		if step == 0 {
			time.Sleep(work)
		}
	}
	return nil
}

// Suspect implements Direct.
func (g *simGateway) Suspect(upstreams ...ident.Instance) {
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	g.suspicions++
	for _, id := range upstreams {
		g.pool[id].suspected = g.suspicions
	}
}

// Doubtful implements Direct.
func (g *simGateway) Doubtful(id ident.Instance) bool {
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	c := g.pool[id]
	return c.verified < c.suspected
}

// Answers implements Direct.
func (g *simGateway) Answers(id ident.Instance) uint64 {
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	return g.pool[id].answers
}

// CloseIdle and Forget implement Direct.
func (g *simGateway) CloseIdle(ident.Instance) {}
func (g *simGateway) Forget(ident.Instance)    {}

// simRelay implements Relay as relay.Client and relay.Server do.
type simRelay struct{ w *world }

func (r simRelay) gateway(ctx context.Context, by gossip.Contact) (*simGateway, error) {
	time.Sleep(hopTime)
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	i := slices.IndexFunc(r.w.gateways, func(g *simGateway) bool { return g.node == by.Node })
	if r.w.gateways[i].dead {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	return r.w.gateways[i], ctx.Err()
}

// Send implements Relay.
func (r simRelay) Send(ctx context.Context, by gossip.Contact, target httpconn.Target, _ ident.Request, _ time.Duration, req *httpconn.Request) (*httpconn.Answer, *httpconn.Failure) {
	g, err := r.gateway(ctx, by)
	if err != nil {
		return nil, &httpconn.Failure{Stage: httpconn.StageConnect, Err: err}
	}
	target.DialTimeout = 40 * time.Millisecond
	answer, failure := g.network.SendDirect(ctx, target, req)
	time.Sleep(hopTime)
	r.w.mu.Lock()
	dead := g.dead
	r.w.mu.Unlock()
	switch {
	case dead:
		return nil, &httpconn.Failure{Stage: httpconn.StageHeader, MaybeSent: true, Err: syscall.ECONNRESET}
	case failure == nil:
		answer.Relayed = &httpconn.RelayedEnd{By: by.Node}
		return answer, nil
	case failure.MaybeSent:
		return nil, &httpconn.Failure{Stage: httpconn.StageHeader, MaybeSent: true, Err: errors.WithMessage(relay.ErrNoAnswer, failure.Error())}
	}
	return nil, &httpconn.Failure{Stage: httpconn.StageConnect, Err: notSent(failure)}
}

// Connect implements Relay.
func (r simRelay) Connect(ctx context.Context, by gossip.Contact, target httpconn.Target) error {
	g, err := r.gateway(ctx, by)
	if err != nil {
		return err
	}
	defer time.Sleep(hopTime)
	target.DialTimeout = 40 * time.Millisecond
	if err := g.network.Connect(ctx, target); err != nil {
		return notSent(err)
	}
	return nil
}

func notSent(err error) error {
	if errors.Is(err, syscall.ECONNREFUSED) {
		return errors.WithMessage(relay.ErrRefused, err.Error())
	}
	return errors.WithMessage(relay.ErrNotReached, err.Error())
}

// way sends a call to an upstream.
type way func(g *simGateway, ctx context.Context, target httpconn.Target, e forward.Exchange) (*httpconn.Answer, *httpconn.Failure)

// viaOthers is the product's way, and alone that of a gateway without others.
func viaOthers(g *simGateway, ctx context.Context, target httpconn.Target, e forward.Exchange) (*httpconn.Answer, *httpconn.Failure) {
	return g.network.Send(ctx, target, e)
}

func alone(g *simGateway, ctx context.Context, target httpconn.Target, e forward.Exchange) (*httpconn.Answer, *httpconn.Failure) {
	return g.Send(ctx, target, e.Request)
}

// callResult is how a call ended.
type callResult struct {
	at      time.Duration
	gateway int
	served  bool
	relayed bool
	took    time.Duration
}

// call makes one call that may not be repeated, as forward does: an attempt that was not sent may go
// to another upstream, up to five times.
func (g *simGateway) call(id ident.Request, deadline time.Duration, by way) callResult {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var tried []int
	for range 5 {
		u := g.choose(tried)
		if u < 0 || ctx.Err() != nil {
			break
		}
		tried = append(tried, u)
		target := httpconn.Target{ID: g.w.upstreams[u].id}
		e := forward.Exchange{Request: &httpconn.Request{URI: string(id)}, ID: id, TimeLeft: deadline - time.Since(start), SuspectAfter: minSilence}
		answer, failure := by(g, ctx, target, e)
		if failure == nil {
			if answer.OnClose != nil {
				answer.OnClose()
			}
			return callResult{served: true, relayed: answer.Relayed != nil, took: time.Since(start)}
		}
		if failure.MaybeSent {
			break
		}
		g.w.mu.Lock()
		g.avoidUntil[u] = time.Now().Add(500 * time.Millisecond)
		g.w.mu.Unlock()
	}
	return callResult{took: time.Since(start)}
}

// choose draws an upstream that was not tried, and that is not avoided if there is one.
func (g *simGateway) choose(tried []int) int {
	g.w.mu.Lock()
	defer g.w.mu.Unlock()
	var good, rest []int
	for u := range g.w.upstreams {
		if slices.Contains(tried, u) {
			continue
		}
		rest = append(rest, u)
		if time.Now().After(g.avoidUntil[u]) {
			good = append(good, u)
		}
	}
	if len(good) == 0 {
		good = rest
	}
	if len(good) == 0 {
		return -1
	}
	return good[g.w.rng.IntN(len(good))]
}
