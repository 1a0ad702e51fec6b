package calls

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls/journal"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

const (
	service = ident.Service("auktion-app")
	account = ident.ClientAccount("agentur-nord")
	confirm = ident.Method("confirm")
)

var errKilled = errors.New("process was killed")

// world is several gateways over one log and a few upstreams, all in memory.
type world struct {
	trust document.UpstreamSpec
	docs  *blackboard.Section[*document.Set]
	log   *logstore.Log

	mu        sync.Mutex
	gateways  []*gateway
	upstreams []*server
	started   int
	picks     int
	// split: the failure domains hall-a and hall-b do not reach each other.
	split bool
	// loseHandOver: peers take hand-overs and the answers are lost.
	loseHandOver bool
	// lateness delays the calls sent next until after their sender has
	// heard that the connection was lost.
	lateness []time.Duration
	// taken counts the calls that an upstream may have run as far as their
	// senders can tell, by key.
	taken map[ident.CallKey]int
	// replaced: an upstream has forgotten what its former incarnation knew.
	replaced bool
}

// server is the upstream of one failure domain, in one incarnation after the
// other. What a former incarnation ran stays run.
type server struct {
	id     ident.Instance
	domain ident.FailureDomain
	fences bool
	lives  []*plain.Service
}

// gateway is one entry instance.
type gateway struct {
	w      *world
	id     ident.Instance
	domain ident.FailureDomain
	calls  *Coordinator
	health *blackboard.Section[blackboard.JournalHealth]
	cancel context.CancelFunc
	done   chan struct{}
	// cut: the gateway does not reach the platform.
	cut     atomic.Bool
	leaving atomic.Bool
	// freezeAtDispatch freezes the gateway when it is about to send a call.
	freezeAtDispatch atomic.Bool

	mu     sync.Mutex
	frozen chan struct{}
	killed bool
}

func newWorld(trust document.UpstreamSpec) *world {
	d := &document.Document{
		Service:  service,
		Kind:     document.Plain,
		Upstream: trust,
		Methods:  []document.Method{{Name: confirm, Timeout: 3 * time.Second}},
	}
	set := &document.Set{Services: map[ident.Service]document.Entry{service: {Document: d}}}
	w := &world{
		trust: trust,
		docs:  blackboard.NewSection(set),
		log:   logstore.New(logstore.Options{}),
		taken: map[ident.CallKey]int{},
	}
	for _, domain := range []ident.FailureDomain{"hall-a", "hall-b"} {
		s := &server{id: ident.Instance("app-" + domain), domain: domain, fences: trust.ChecksFencing}
		s.start()
		w.upstreams = append(w.upstreams, s)
	}
	return w
}

func (s *server) start() {
	s.lives = append(s.lives, plain.New(plain.Options{
		Instance:      s.id,
		Incarnation:   s.incarnation() + 1,
		ChecksFencing: s.fences,
		// The oracle asks it; the dispatcher only where it may.
		FindsOutcomes: true,
	}))
}

func (s *server) incarnation() ident.Incarnation { return ident.Incarnation(len(s.lives)) }

func (s *server) life() *plain.Service { return s.lives[len(s.lives)-1] }

// newGateway starts an entry instance and waits until it has read the journal.
func (w *world) newGateway(domain ident.FailureDomain) *gateway {
	g := w.newGatewayUnsynced(domain)
	synctest.Wait()
	return g
}

// newGatewayUnsynced starts an entry instance, also outside virtual time.
func (w *world) newGatewayUnsynced(domain ident.FailureDomain) *gateway {
	w.mu.Lock()
	w.started++
	g := &gateway{
		w:      w,
		id:     ident.Instance(fmt.Sprintf("entry-%s-%d", domain, w.started)),
		domain: domain,
		health: blackboard.NewSection(blackboard.JournalHealth{}),
		done:   make(chan struct{}),
	}
	w.mu.Unlock()
	g.calls = New(Config{
		Instance:    g.id,
		Incarnation: 1,
		Log:         gatewayLog{g},
		Dispatcher:  dispatcher{g},
		Peers:       peers{g},
		Documents:   w.docs,
		Health:      g.health,
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	w.locked(func() { w.gateways = append(w.gateways, g) })
	go func() {
		defer close(g.done)
		_ = g.calls.Run(ctx)
	}()
	return g
}

// freeze stops the gateway at its next step towards the outside; thaw lets it
// go on as if nothing had happened.
func (g *gateway) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gateway) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// kill ends the gateway at its next step towards the outside.
func (g *gateway) kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.thaw()
	g.cancel()
}

func (g *gateway) alive() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.killed
}

func (g *gateway) isFrozen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen != nil
}

// step is passed before and after everything that the gateway does to the
// outside. It blocks while the gateway is frozen.
func (g *gateway) step() error {
	for {
		g.mu.Lock()
		frozen, killed := g.frozen, g.killed
		g.mu.Unlock()
		if killed {
			return errKilled
		}
		if frozen == nil {
			return nil
		}
		<-frozen
	}
}

// gatewayLog is the log as one gateway reaches it.
type gatewayLog struct{ g *gateway }

func (l gatewayLog) Append(ctx context.Context, stream string, records [][]byte) (ident.Offset, error) {
	if err := l.g.step(); err != nil {
		return 0, err
	}
	if l.g.cut.Load() {
		return 0, platform.ErrUnavailable
	}
	offset, err := l.g.w.log.Append(ctx, stream, records)
	if killed := l.g.step(); killed != nil {
		return 0, killed
	}
	return offset, err
}

func (l gatewayLog) Read(ctx context.Context, stream string, from ident.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if err := l.g.step(); err != nil {
		return platform.Batch{}, err
	}
	if l.g.cut.Load() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	batch, err := l.g.w.log.Read(ctx, stream, from, limit, wait)
	if killed := l.g.step(); killed != nil {
		return platform.Batch{}, killed
	}
	return batch, err
}

// dispatcher reaches the upstreams of the gateway's side of a split.
type dispatcher struct{ g *gateway }

func (d dispatcher) Pick(_ context.Context, _ Call, exclude []ident.Instance) (journal.Target, bool) {
	w := d.g.w
	w.mu.Lock()
	defer w.mu.Unlock()
	w.picks++
	for i := range w.upstreams {
		s := w.upstreams[(w.picks+i)%len(w.upstreams)]
		excluded := len(exclude) > 0 && exclude[0] == s.id
		if excluded || w.split && s.domain != d.g.domain {
			continue
		}
		return journal.Target{Instance: s.id, Incarnation: s.incarnation()}, true
	}
	return journal.Target{}, false
}

// life returns the running incarnation of a target if it is the target's.
func (w *world) life(target journal.Target) (*plain.Service, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.upstreams {
		if s.id == target.Instance {
			return s.life(), s.incarnation() == target.Incarnation
		}
	}
	return nil, false
}

// upstreamPayload marks the attempt, so that the oracle sees which one ran.
func upstreamPayload(payload []byte, attempt uint32) []byte {
	return fmt.Appendf(nil, "%s#%d", payload, attempt)
}

func (w *world) nextLateness() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lateness) == 0 {
		return 0
	}
	late := w.lateness[0]
	w.lateness = w.lateness[1:]
	return late
}

// Invoke sends the call even if ctx has ended while the gateway was frozen: a
// real process can be stopped after its last look at a deadline.
func (d dispatcher) Invoke(ctx context.Context, call Call, target journal.Target, fence ident.Fence) (upstream.Answer, error) {
	if d.g.freezeAtDispatch.CompareAndSwap(true, false) {
		d.g.freeze()
	}
	if err := d.g.step(); err != nil {
		return upstream.Answer{}, err
	}
	w := d.g.w
	late := w.nextLateness()
	req := upstream.InvokeRequest{
		Method:  call.Method,
		Key:     call.Key.String(),
		Fence:   fence,
		Payload: upstreamPayload(call.Payload, call.Attempt),
	}
	send := func(ctx context.Context) (upstream.Answer, error) {
		life, same := w.life(target)
		if !same {
			return upstream.Answer{}, upstream.ErrNotSent
		}
		answer, err := life.Invoke(ctx, req)
		if upstream.Ran(err) {
			w.locked(func() { w.taken[call.Key]++ })
		}
		return answer, err
	}
	if late > 0 {
		w.locked(func() { w.taken[call.Key]++ })
		time.AfterFunc(late, func() { _, _ = send(context.Background()) })
		return upstream.Answer{}, plain.ErrConnectionLost
	}
	if ctx.Err() != nil {
		w.locked(func() { w.taken[call.Key]++ })
		_, _ = send(context.Background())
		return upstream.Answer{}, ctx.Err()
	}
	answer, err := send(ctx)
	if killed := d.g.step(); killed != nil {
		return upstream.Answer{}, killed
	}
	return answer, err
}

func (d dispatcher) Find(ctx context.Context, key ident.CallKey, target journal.Target, fence ident.Fence) (upstream.FindResult, error) {
	if err := d.g.step(); err != nil {
		return upstream.FindResult{}, err
	}
	life, same := d.g.w.life(target)
	if !same || !d.g.w.trust.FindsOutcomes {
		return upstream.FindResult{}, upstream.ErrRefused
	}
	return life.Find(ctx, key.String(), fence)
}

// peers are the other gateways, those of the other failure domain first.
type peers struct{ g *gateway }

func (p peers) Candidates() []Peer {
	w := p.g.w
	w.mu.Lock()
	defer w.mu.Unlock()
	var near, far []Peer
	for _, other := range w.gateways {
		switch {
		case other == p.g || !other.alive():
		case other.domain == p.g.domain:
			near = append(near, peer{p.g, other})
		default:
			far = append(far, peer{p.g, other})
		}
	}
	return append(far, near...)
}

// peer is another gateway as one gateway reaches it.
type peer struct{ from, to *gateway }

func (p peer) ID() ident.Instance { return p.to.id }

// reach returns an error when the peer cannot be reached at all.
func (p peer) reach() error {
	if err := p.from.step(); err != nil {
		return err
	}
	p.from.w.mu.Lock()
	split := p.from.w.split && p.from.domain != p.to.domain
	p.from.w.mu.Unlock()
	if split || !p.to.alive() {
		return ErrNotHanded
	}
	return nil
}

func (p peer) PutOutcomes(_ context.Context, outcomes []KeyedOutcome) error {
	if err := p.reach(); err != nil {
		return err
	}
	p.to.calls.PutOutcomes(outcomes)
	return nil
}

// FindOutcome hears nothing from a frozen peer.
func (p peer) FindOutcome(ctx context.Context, key ident.CallKey) (PeerAnswer, error) {
	if err := p.reach(); err != nil {
		return PeerAnswer{}, err
	}
	if p.to.isFrozen() {
		<-ctx.Done()
		return PeerAnswer{}, ctx.Err()
	}
	return p.to.calls.FindLocal(key), nil
}

// HandOver reaches a frozen peer once that goes on, however late.
func (p peer) HandOver(ctx context.Context, h HandOver) ([]journal.ClaimID, error) {
	if err := p.reach(); err != nil {
		return nil, err
	}
	answer := make(chan []journal.ClaimID, 1)
	go func() {
		if p.to.step() == nil {
			answer <- p.to.calls.TakeOver(h)
		}
	}()
	select {
	case accepted := <-answer:
		if p.from.w.handOverLost() {
			return nil, errors.New("answer of hand-over lost")
		}
		return accepted, p.from.step()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (w *world) handOverLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loseHandOver
}

func (w *world) locked(change func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change()
}

// effects returns the answers of all calls that upstreams ran for a key, as
// the upstreams themselves tell them.
func (w *world) effects(key ident.CallKey) (count int, replies []string) {
	for _, s := range w.upstreams {
		for _, life := range s.lives {
			n := life.Effects(key.String())
			count += n
			if n > 0 {
				found, _ := life.Find(context.Background(), key.String(), 0)
				replies = append(replies, string(found.Answer.Payload))
			}
		}
	}
	return count, replies
}

// history tells the journal's records of a key, for the message of a failure.
func (w *world) history(key ident.CallKey) string {
	batch, _ := w.log.Read(context.Background(), journal.Stream(journal.Partition(key)), 0, 1<<20, 0)
	var b strings.Builder
	for _, r := range batch.Records {
		event, _ := journal.Decode(r.Data)
		at := r.AppendedAt.Format("04:05.000")
		switch e := event.(type) {
		case journal.Claim:
			if e.Key == key {
				fmt.Fprintf(&b, "\n%s %d claim %.4x attempt %d by %s for %s", at, r.Offset, e.ID, e.Attempt, e.Holder, e.Target.Instance)
			}
		case journal.Release:
			if e.Key == key {
				fmt.Fprintf(&b, "\n%s %d release %.4x", at, r.Offset, e.ID)
			}
		case journal.Outcome:
			if e.Key == key {
				fmt.Fprintf(&b, "\n%s %d %s %.4x (%s)", at, r.Offset, e.Kind, e.ID, e.Reason)
			}
		}
	}
	return b.String()
}

// live returns the gateways that were neither killed nor stopped.
func (w *world) live() []*gateway {
	var live []*gateway
	for _, g := range w.gateways {
		if g.alive() && !g.leaving.Load() {
			live = append(live, g)
		}
	}
	return live
}

// heal ends all faults but deaths.
func (w *world) heal() {
	w.mu.Lock()
	w.split, w.loseHandOver, w.lateness = false, false, nil
	w.mu.Unlock()
	w.log.SetOutage(false)
	w.log.SetDelay(0)
	for _, g := range w.gateways {
		g.cut.Store(false)
		g.freezeAtDispatch.Store(false)
		g.thaw()
	}
	for _, s := range w.upstreams {
		s.life().SetLeaving(false)
		s.life().SetDelays(plain.Delays{})
	}
}

// close ends everything that runs.
func (w *world) close() {
	w.heal()
	for _, g := range w.gateways {
		g.kill()
	}
	for _, g := range w.gateways {
		<-g.done
	}
	time.Sleep(time.Minute)
}

// told is what a caller heard of one attempt.
type told struct {
	attempt uint32
	outcome outcome.Outcome
	// byKey: the question named the key alone, which requests may share.
	byKey bool
}
