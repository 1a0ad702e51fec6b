package origin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

const (
	// hop is the time of a message between gateways, or between a caller and a gateway.
	hop = time.Millisecond
	// peerLag is how late a gateway hears of another one's end or start. Of an upstream it hears within
	// viewLag.
	peerLag = 500 * time.Millisecond
	// exchangeRound is how long after its start a gateway hears of the others.
	exchangeRound = 250 * time.Millisecond
	// timeout is the route's.
	timeout = 12 * time.Second
	domains = 4
)

// way is a way to know which software began a stream.
type way struct {
	name string
	// copies and ask are how many gateways are told of a stream and asked about it; -1 for all.
	copies, ask int
	// tellDelay is how long after a stream's first event the others are told at the latest.
	tellDelay time.Duration
	// byID: nobody remembers or asks; the attempt's ID chooses the version among those that are listed.
	byID bool
	// guess: a stream of which nothing is known goes on at any version; blind: so does any other.
	guess, blind bool
}

var chosen = way{name: "told to 4 at once, 8 asked", copies: copies, ask: askWidth}

// world is a fleet of gateways with a service's upstreams and callers, in virtual time. Each goroutine
// holds mu while it runs, and gives it up while it waits.
type world struct {
	mu        sync.Mutex
	way       way
	rng       *rand.Rand
	upstreams []directory.Upstream
	nextID    int
	// history are the versions that were listed and until when; zero while they are.
	history  map[ident.SoftwareVersion]time.Time
	gateways []*simGateway
	// full are the versions whose upstreams take no new streams, though they go on with those that are taken up.
	full map[ident.SoftwareVersion]bool
	// begun is what is recorded of beginnings.
	begun []Origin
	// storeLost: no gateway reaches the store.
	storeLost bool
	// resets counts how often all streams were broken off.
	resets int
	// cut are the domains that are cut off from the others.
	cut map[ident.FailureDomain]bool
	tally
}

// unlocked calls f without the lock.
func (w *world) unlocked(f func()) {
	w.mu.Unlock()
	defer w.mu.Lock()
	f()
}

// sleep waits for a time, and reports whether ctx did not end.
func (w *world) sleep(ctx context.Context, d time.Duration) (ok bool) {
	w.unlocked(func() { ok = sleep.For(ctx, d) })
	return ok
}

func (w *world) wait(d time.Duration) { w.sleep(context.Background(), d) }

// spawn runs f in a goroutine that holds the lock.
func (w *world) spawn(f func()) {
	go func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		f()
	}()
}

// tally counts what callers saw.
type tally struct {
	streams, broken int
	// notBegun streams found no upstream at which they might begin.
	notBegun int
	// mixed streams have events of two versions.
	mixed int
	// able counts the take-ups that could have gone on, since an upstream of the version was listed and
	// reached, and wentOn those of them that did. refusedUnknown are those of the rest of them for which
	// the software was not known.
	able, wentOn, refusedUnknown int
	// ableStreams counts the breaks after which a stream could have gone on at some take-up, and lost
	// those of them after which it never did.
	ableStreams, lost int
	// impossible counts the take-ups for which no upstream of the version was left.
	impossible int
	waited     time.Duration
	messages   int
	bytes      int
	remembered int
}

// simGateway is a gateway of the world.
type simGateway struct {
	w           *world
	node        ident.Instance
	domain      ident.FailureDomain
	incarnation ident.Incarnation
	registry    *Registry
	view        []directory.Upstream
	alive       bool
	// deafSince is since when it hears of no upstream, in nanoseconds; 0 if it does. The registry asks for
	// it without the lock.
	deafSince atomic.Int64
	// frozen: its process stands still.
	frozen bool
	ctx    context.Context
	kill   context.CancelFunc
}

func newWorld(seed uint64, gateways int, w way) *world {
	out := &world{way: w, rng: rand.New(rand.NewPCG(seed, uint64(gateways))), history: make(map[ident.SoftwareVersion]time.Time), cut: make(map[ident.FailureDomain]bool), full: make(map[ident.SoftwareVersion]bool)}
	for i := range gateways {
		out.gateways = append(out.gateways, &simGateway{w: out, node: ident.Instance(fmt.Sprint("gw", i)), domain: ident.FailureDomain(fmt.Sprint("d", i%domains))})
	}
	return out
}

// list lists n more upstreams of a version; delist removes n of a version, or all of them for n < 0.
func (w *world) list(version ident.SoftwareVersion, n int) {
	for range n {
		w.nextID++
		w.upstreams = append(slices.Clone(w.upstreams), directory.Upstream{
			ID: ident.Instance(fmt.Sprint("u", w.nextID)), Service: "svc", SoftwareVersion: version, State: directory.Ready,
		})
	}
	w.history[version] = time.Time{}
	w.changed()
}

func (w *world) delist(version ident.SoftwareVersion, n int) {
	left := slices.DeleteFunc(slices.Clone(w.upstreams), func(u directory.Upstream) bool {
		if u.SoftwareVersion != version || n == 0 {
			return false
		}
		n--
		return true
	})
	w.upstreams = left
	if !slices.ContainsFunc(left, func(u directory.Upstream) bool { return u.SoftwareVersion == version }) {
		w.history[version] = time.Now()
	}
	w.changed()
}

// changed tells each gateway of the upstreams, each at its own time.
func (w *world) changed() {
	for _, g := range w.gateways {
		if g.alive && g.deafSince.Load() == 0 {
			upstreams := w.upstreams
			g.after(time.Duration(w.rng.Int64N(int64(viewLag))), func() { g.observe(upstreams) })
		}
	}
}

// after calls f after a time, unless the gateway's process has ended by then.
func (g *simGateway) after(d time.Duration, f func()) {
	ctx := g.ctx
	g.w.spawn(func() {
		if g.w.sleep(ctx, d) {
			f()
		}
	})
}

func (g *simGateway) observe(upstreams []directory.Upstream) {
	g.view = upstreams
	g.registry.Observe(directory.NewView(upstreams), g.viewAge())
}

// peersForgottenAfter is how old the reports of the other gateways are when they count no more.
const peersForgottenAfter = 2 * time.Second

// freeze stops the processes of some gateways for a time. When they go on, what they know of the
// upstreams is as old, for as long as it takes to hear of them again.
func (w *world) freeze(share float64, d time.Duration) {
	var frozen []*simGateway
	for _, i := range w.rng.Perm(len(w.gateways))[:max(1, int(share*float64(len(w.gateways))))] {
		g := w.gateways[i]
		g.frozen = true
		g.deafSince.Store(time.Now().UnixNano())
		frozen = append(frozen, g)
	}
	w.wait(d)
	for _, g := range frozen {
		g.frozen = false
		if g.alive {
			if d > peersForgottenAfter {
				g.registry.SetPeers(nil)
			}
			g.after(exchangeRound, func() {
				g.observe(w.upstreams)
				g.deafSince.Store(0)
			})
		}
	}
}

// loseStore keeps all gateways from hearing of upstreams for a time; none changes meanwhile.
func (w *world) loseStore(d time.Duration) {
	since := time.Now()
	w.storeLost = true
	defer func() { w.storeLost = false }()
	for end := since.Add(d); time.Now().Before(end); w.wait(100 * time.Millisecond) {
		for _, g := range w.gateways {
			g.deafSince.Store(since.UnixNano())
		}
	}
	for _, g := range w.gateways {
		g.deafSince.Store(0)
	}
}

// refresh reads what is listed now.
func (g *simGateway) refresh(ctx context.Context) bool {
	w := g.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeLost || !w.sleep(ctx, 5*hop) || !g.alive {
		return false
	}
	g.observe(w.upstreams)
	return true
}

// simBeginnings implements Beginnings for a gateway of the world, or for one without any.
type simBeginnings struct {
	w   *world
	ctx context.Context
}

// Record implements Beginnings.
func (b *simBeginnings) Record(_ context.Context, o Origin) error {
	if b.w == nil {
		return nil
	}
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	if b.w.storeLost || !b.w.sleep(b.ctx, 5*hop) {
		return errDown
	}
	b.w.begun = append(b.w.begun, o)
	return nil
}

// Read implements Beginnings.
func (b *simBeginnings) Read(context.Context) ([]Origin, error) {
	if b.w == nil {
		return nil, nil
	}
	b.w.mu.Lock()
	defer b.w.mu.Unlock()
	if b.w.storeLost || !b.w.sleep(b.ctx, 5*hop) {
		return nil, errDown
	}
	return slices.Clone(b.w.begun), nil
}

// viewAge returns how old what a gateway knows of the upstreams is.
func (g *simGateway) viewAge() time.Duration {
	if since := g.deafSince.Load(); since != 0 {
		return time.Duration(time.Now().UnixNano() - since)
	}
	return 0
}

// start starts a gateway's process.
func (g *simGateway) start() {
	g.incarnation++
	g.alive = true
	g.ctx, g.kill = context.WithCancel(context.Background())
	g.registry = NewRegistry(Config{Now: time.Now, Log: hclog.NewNullLogger(), Network: simNetwork{g, g.incarnation}, Earlier: g.w.earlier, ViewAge: g.viewAge, Refresh: g.refresh, Beginnings: &simBeginnings{w: g.w, ctx: g.ctx}, OnBegun: func() {}})
	all := len(g.w.gateways)
	g.registry.copies, g.registry.askWidth = orAll(g.w.way.copies, all), orAll(g.w.way.ask, all)
	g.observe(g.w.upstreams)
	g.registry.MarkComplete(time.Now())
	ctx := g.ctx
	g.w.spawn(func() { g.followPeers(ctx) })
}

func orAll(n, all int) int {
	if n < 0 {
		return all
	}
	return n
}

func (g *simGateway) end() {
	g.alive = false
	g.kill()
}

// followPeers tells the registry of the other gateways, as of some time ago.
func (g *simGateway) followPeers(ctx context.Context) {
	for lag := exchangeRound; ; lag = peerLag {
		var list []Peer
		for _, other := range g.w.gateways {
			if other != g && other.alive && g.w.meet(g, other) {
				list = append(list, Peer{Node: other.node, Domain: other.domain, Incarnation: other.incarnation})
			}
		}
		slices.SortFunc(list, func(a, b Peer) int {
			return int(xxhash.Sum64String(string(a.Node))>>1) - int(xxhash.Sum64String(string(b.Node))>>1)
		})
		if !g.w.sleep(ctx, lag) {
			return
		}
		g.registry.SetPeers(list)
	}
}

// meet reports whether two gateways reach each other.
func (w *world) meet(a, b *simGateway) bool {
	return a.domain == b.domain || !w.cut[a.domain] && !w.cut[b.domain]
}

// earlier is what the store tells of the time before.
func (w *world) earlier(ctx context.Context, within time.Duration) (Earlier, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sleep(ctx, 5*hop)
	out := Earlier{For: within}
	for version, until := range w.history {
		if until.IsZero() || time.Since(until) < within {
			out.Listed = append(out.Listed, Origin{"svc", version})
		}
	}
	return out, ctx.Err()
}

// simNetwork carries a gateway's messages.
type simNetwork struct {
	g           *simGateway
	incarnation ident.Incarnation
}

var errDown = errors.New("connection refused")

// reach returns the registry of the gateway with a name, once a message has reached it.
func (n simNetwork) reach(ctx context.Context, to Peer, size int) (*Registry, error) {
	w := n.g.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.messages++
	w.bytes += size
	other := w.gateways[slices.IndexFunc(w.gateways, func(g *simGateway) bool { return g.node == to.Node })]
	if !w.sleep(ctx, hop) {
		return nil, ctx.Err()
	}
	if !w.meet(n.g, other) || other.frozen {
		w.unlocked(func() { <-ctx.Done() })
		return nil, ctx.Err()
	}
	if !other.alive {
		return nil, errDown
	}
	return other.registry, nil
}

// writes reports whether the process that sends still runs when its message is written.
func (n simNetwork) writes() bool {
	w := n.g.w
	w.mu.Lock()
	defer w.mu.Unlock()
	if d := w.way.tellDelay; d > 0 {
		w.wait(time.Duration(w.rng.Int64N(int64(d))))
	}
	return n.g.alive && n.g.incarnation == n.incarnation
}

func (n simNetwork) Tell(ctx context.Context, to Peer, records []byte) error {
	if !n.writes() {
		return errDown
	}
	registry, err := n.reach(ctx, to, len(records))
	if err != nil {
		return err
	}
	return registry.Told(records)
}

func (n simNetwork) Ask(ctx context.Context, to Peer, question []byte) ([]byte, error) {
	registry, err := n.reach(ctx, to, len(question))
	if err != nil {
		return nil, err
	}
	answer, err := registry.Answer(question)
	n.g.w.mu.Lock()
	defer n.g.w.mu.Unlock()
	n.g.w.bytes += len(answer)
	n.g.w.sleep(ctx, hop)
	return answer, err
}

// play plays a story and returns what callers saw.
func play(t *testing.T, s story, gateways int, seed uint64, w way) (out tally) {
	synctest.Test(t, func(*testing.T) {
		world := newWorld(seed, gateways, w)
		world.mu.Lock()
		defer world.mu.Unlock()
		s.prepare(world)
		for _, g := range world.gateways {
			g.start()
		}
		world.wait(30 * time.Second) // the gateways know for long enough what was listed
		world.tally = tally{}
		world.spawn(func() { s.happen(world) })
		for end, id := time.Now().Add(playTime), 0; time.Now().Before(end); id++ {
			c := &caller{w: world, id: id}
			world.spawn(c.run)
			world.wait(time.Duration(world.rng.ExpFloat64() * float64(time.Second) / streamsPerSecond))
		}
		for _, g := range world.gateways {
			if g.alive {
				world.remembered = max(world.remembered, g.registry.Counters().Remembered)
			}
		}
		world.wait(2 * timeout)
		out = world.tally
		for _, g := range world.gateways {
			g.end()
		}
		world.wait(time.Minute)
	})
	return out
}

// playTime is how long streams begin in a play, and streamsPerSecond how many do.
const (
	playTime         = 20 * time.Second
	streamsPerSecond = 20
)
