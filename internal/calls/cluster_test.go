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
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
)

const (
	service = ident.Service("auktion-app")
	account = ident.ClientAccount("agentur-nord")
	confirm = ident.Method("confirm")
)

var errKilled = errors.New("process was killed")

// cluster holds several gateways over one log and a few upstreams, all in memory.
type cluster struct {
	trust document.UpstreamSpec
	docs  *blackboard.Section[*document.Set]
	log   *logstore.Log

	mu        sync.Mutex
	gateways  []*gateway
	upstreams []*server
	started   int
	picks     int
	// split reports that the failure domains hall-a and hall-b cannot reach each
	// other.
	split bool
	// loseHandOverAnswers reports that peers accept hand-overs and their answers
	// are lost.
	loseHandOverAnswers bool
	// arrivalDelays holds the delays of the calls that are sent next. A delayed
	// call arrives after its sender was told that the connection was lost.
	arrivalDelays []time.Duration
	// possiblyRun counts, by key, the calls that an upstream may have run as far
	// as their senders know.
	possiblyRun map[ident.CallKey]int
	// upstreamReplaced reports that a new incarnation of an upstream has started,
	// which does not know the calls of the former one.
	upstreamReplaced bool
}

// server is the upstream of one failure domain, with all its incarnations; the last
// one is the current. The calls that a former incarnation ran still count.
type server struct {
	id            ident.Instance
	domain        ident.FailureDomain
	checksFencing bool
	incarnations  []*plain.Service
}

// gateway is an entry instance with its Coordinator.
type gateway struct {
	cluster *cluster
	id      ident.Instance
	domain  ident.FailureDomain
	calls   *Coordinator
	health  *blackboard.Section[blackboard.JournalHealth]
	cancel  context.CancelFunc
	done    chan struct{}
	// cutOff reports that the gateway cannot reach the platform.
	cutOff  atomic.Bool
	leaving atomic.Bool
	// freezeAtDispatch freezes the gateway when it is about to send a call.
	freezeAtDispatch atomic.Bool

	mu     sync.Mutex
	frozen chan struct{}
	killed bool
}

func newCluster(trust document.UpstreamSpec) *cluster {
	d := &document.Document{
		Service:  service,
		Kind:     document.Plain,
		Upstream: trust,
		Methods:  []document.Method{{Name: confirm, Timeout: 3 * time.Second}},
	}
	set := &document.Set{Services: map[ident.Service]document.Entry{service: {Document: d}}}
	c := &cluster{
		trust:       trust,
		docs:        blackboard.NewSection(set),
		log:         logstore.New(logstore.Options{}),
		possiblyRun: map[ident.CallKey]int{},
	}
	for _, domain := range []ident.FailureDomain{"hall-a", "hall-b"} {
		s := &server{id: ident.Instance("app-" + domain), domain: domain, checksFencing: trust.ChecksFencing}
		s.start()
		c.upstreams = append(c.upstreams, s)
	}
	return c
}

func (s *server) start() {
	s.incarnations = append(s.incarnations, plain.New(plain.Options{
		Instance:      s.id,
		Incarnation:   s.incarnation() + 1,
		ChecksFencing: s.checksFencing,
		// The test asks for outcomes at any upstream; dispatcher.Find refuses
		// where the upstreams of the case cannot find them.
		FindsOutcomes: true,
	}))
}

func (s *server) incarnation() ident.Incarnation { return ident.Incarnation(len(s.incarnations)) }

func (s *server) current() *plain.Service { return s.incarnations[len(s.incarnations)-1] }

// newGateway starts a gateway and waits until it has read the journal. It must run
// in virtual time.
func (c *cluster) newGateway(domain ident.FailureDomain) *gateway {
	g := c.newGatewayUnsynced(domain)
	synctest.Wait()
	return g
}

// newGatewayUnsynced starts a gateway and does not wait. It also works outside
// virtual time.
func (c *cluster) newGatewayUnsynced(domain ident.FailureDomain) *gateway {
	c.mu.Lock()
	c.started++
	g := &gateway{
		cluster: c,
		id:      ident.Instance(fmt.Sprintf("entry-%s-%d", domain, c.started)),
		domain:  domain,
		health:  blackboard.NewSection(blackboard.JournalHealth{}),
		done:    make(chan struct{}),
	}
	c.mu.Unlock()
	g.calls = New(Config{
		Instance:    g.id,
		Incarnation: 1,
		Log:         gatewayLog{g},
		Dispatcher:  dispatcher{g},
		Peers:       peers{g},
		Documents:   c.docs,
		Health:      g.health,
	})
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	c.locked(func() { c.gateways = append(c.gateways, g) })
	go func() {
		defer close(g.done)
		_ = g.calls.Run(ctx)
	}()
	return g
}

// freeze stops the gateway at its next checkpoint; after unfreeze it goes on as if
// nothing had happened.
func (g *gateway) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gateway) unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// kill ends the gateway at its next checkpoint.
func (g *gateway) kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.unfreeze()
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

// checkpoint is called before and after each access of the gateway to anything
// outside. It blocks while the gateway is frozen, and returns an error when it was
// killed.
func (g *gateway) checkpoint() error {
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

func (c *cluster) losesHandOverAnswers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loseHandOverAnswers
}

// locked calls change with w.mu held.
func (c *cluster) locked(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// effects returns how many calls upstreams ran for a key, and their answers, as the
// upstreams themselves report them.
func (c *cluster) effects(key ident.CallKey) (count int, replies []string) {
	for _, s := range c.upstreams {
		for _, incarnation := range s.incarnations {
			n := incarnation.Effects(key.String())
			count += n
			if n > 0 {
				found, _ := incarnation.Find(context.Background(), key.String(), 0)
				replies = append(replies, string(found.Answer.Payload))
			}
		}
	}
	return count, replies
}

// history formats the journal's records of a key for the message of a failed check.
func (c *cluster) history(key ident.CallKey) string {
	batch, _ := c.log.Read(context.Background(), journal.Stream(journal.Partition(key)), 0, 1<<20, 0)
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

// live returns the gateways that were neither killed nor told to leave.
func (c *cluster) live() []*gateway {
	var live []*gateway
	for _, g := range c.gateways {
		if g.alive() && !g.leaving.Load() {
			live = append(live, g)
		}
	}
	return live
}

// heal ends all faults but the ends of gateways and upstreams.
func (c *cluster) heal() {
	c.mu.Lock()
	c.split, c.loseHandOverAnswers, c.arrivalDelays = false, false, nil
	c.mu.Unlock()
	c.log.SetOutage(false)
	c.log.SetDelay(0)
	for range 200 {
		// Uses up losses that were set and have not yet met an append.
		_, _ = c.log.Append(context.Background(), "unused", nil)
	}
	for _, g := range c.gateways {
		g.cutOff.Store(false)
		g.freezeAtDispatch.Store(false)
		g.unfreeze()
	}
	for _, s := range c.upstreams {
		s.current().SetLeaving(false)
		s.current().SetDelays(plain.Delays{})
	}
}

// close ends all gateways and waits for them.
func (c *cluster) close() {
	c.heal()
	for _, g := range c.gateways {
		g.kill()
	}
	for _, g := range c.gateways {
		<-g.done
	}
	time.Sleep(time.Minute)
}

// reply is what a caller was told about one attempt.
type reply struct {
	attempt uint32
	outcome outcome.Outcome
	// byKey reports that the caller asked by key alone, which several requests
	// may use.
	byKey bool
}
