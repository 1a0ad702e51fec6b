package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Controller maintains the membership table of one process. All exported
// methods are safe for concurrent use.
type Controller struct {
	config Config
	deps   Deps
	// epoch is a random number that distinguishes this run of the process
	// from earlier ones; never 0.
	epoch uint64
	// pushWake wakes the goroutine that pushes departures.
	pushWake chan struct{}

	mu       sync.Mutex
	table    *membership.Table
	sessions map[ident.Instance]*session
	// recent is the table's change number from one to two recentWindows ago,
	// nextRecent that from up to one recentWindow ago.
	recent, nextRecent mark
	// published is the last published state of each instance.
	published map[ident.Instance]blackboard.Member
	// lastPublishedFact is the change number of the last published fact.
	lastPublishedFact uint64
	// listRead is whether the platform's list was read at least once.
	listRead bool
	// factsDiffer is whether a peer's facts have differed from ours since
	// lastFullRequest.
	factsDiffer     bool
	lastFullRequest time.Time
	// turn counts rounds of heartbeats and pushRounds counts rounds of
	// pushes. Both rotate through the peers from rotationStart on, which
	// differs between processes.
	rotationStart, turn, pushRounds int
	// pushLocal and pushRemote are the change numbers of the last departures
	// that have to be pushed to the own failure domain and to the others.
	pushLocal, pushRemote uint64
	// pushes holds the pushes by their keys; see receivers.
	pushes       map[string]*push
	ownDeparture sync.Once
}

// mark is a change number of the table and when it was reached.
type mark struct {
	sequence uint64
	at       time.Time
}

// maxRotationStart bounds rotationStart, so that its sum with turn fits into an
// int.
const maxRotationStart = 1 << 16

func hash(id ident.Instance) uint64 { return xxhash.Sum64String(string(id)) }

// recentWindow is the least age of the changes that the first digest to a peer
// leaves out.
const recentWindow = 15 * time.Second

// New returns a controller that knows only its own instance.
func New(config Config, deps Deps) *Controller {
	now := time.Now()
	c := &Controller{
		config:        config,
		deps:          deps,
		epoch:         rand.Uint64() | 1,
		rotationStart: int(hash(config.Self.ID) % maxRotationStart),
		pushWake:      make(chan struct{}, 1),
		table:         membership.NewTable(config.Self.ID, config.Self.FailureDomain, config.Limits),
		sessions:      map[ident.Instance]*session{},
		published:     map[ident.Instance]blackboard.Member{},
		pushes:        map[string]*push{},
	}
	description := config.Self
	description.State = 0
	c.table.Observe(membership.Entry{
		ID:            config.Self.ID,
		Incarnation:   config.Self.Incarnation,
		State:         blackboard.Alive,
		FailureDomain: config.Self.FailureDomain,
		PeerAddress:   config.Self.PeerAddress,
		LastSeen:      now,
		Description:   &description,
	}, now)
	c.publish(now)
	return c
}

// Run sends heartbeats and pushes departures until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.sendHeartbeats(ctx) })
	group.Go(func() error { return c.pushDepartures(ctx) })
	group.Go(func() error { return c.watchStopping(ctx) })
	return group.Wait()
}

// watchStopping announces to the peers when this process begins to leave.
func (c *Controller) watchStopping(ctx context.Context) error {
	snap := c.deps.Board.Stopping.Load()
	for !snap.Value {
		next, err := c.deps.Board.Stopping.Wait(ctx, snap.Version)
		if err != nil {
			return err
		}
		snap = next
	}
	c.NoteLeaving(c.config.Self.ID, c.config.Self.Incarnation)
	<-ctx.Done()
	return ctx.Err()
}

// ApplyList merges the platform's list.
func (c *Controller) ApplyList(list []platform.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.listRead = true
	departed := c.table.ApplyList(list, now)
	if len(departed) > 0 {
		c.handleDepartures(departed, everyone)
	}
	c.publish(now)
}

// NoteLeaving records a sign that an instance is leaving: a reclaim notice, its
// own report, or its refusal of a request. The first sign is pushed to the
// peers at once. The data path may call it for every refusal.
func (c *Controller) NoteLeaving(id ident.Instance, incarnation ident.Incarnation) {
	if c.knownToLeave(id, incarnation) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	e := membership.Entry{ID: id, Incarnation: incarnation, State: blackboard.Leaving}
	if known, ok := c.table.Find(id); ok {
		e.FailureDomain = known.FailureDomain
	}
	if c.table.Observe(e, now) == membership.Departure {
		c.handleDepartures([]ident.Instance{id}, everyone)
	}
	c.publish(now)
}

// knownToLeave reports whether the published snapshot shows that an incarnation
// is leaving or gone. It takes no lock, so that a burst of refusals by one
// upstream is cheap.
func (c *Controller) knownToLeave(id ident.Instance, incarnation ident.Incarnation) bool {
	m, ok := c.deps.Board.Members.Value().ByID[id]
	if !ok {
		return false
	}
	return m.Incarnation > incarnation || (m.Incarnation == incarnation && m.State >= blackboard.Leaving)
}

// Observation is what an instance's own answer to this process says.
type Observation struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Leaving     bool
	// Load is zero when the answer carried none.
	Load membership.Load
}

// Observe records an instance's own answer: that it is alive, and its load.
func (c *Controller) Observe(o Observation) {
	if o.Leaving {
		c.NoteLeaving(o.Instance, o.Incarnation)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	e := membership.Entry{
		ID:          o.Instance,
		Incarnation: o.Incarnation,
		State:       blackboard.Alive,
		LastSeen:    now,
		Load:        o.Load,
	}
	if known, ok := c.table.Find(o.Instance); ok {
		e.FailureDomain = known.FailureDomain
	}
	if c.table.Observe(e, now) >= membership.Fact || c.published[o.Instance].State == blackboard.Suspect {
		c.publish(now)
	}
}

// Entries returns a copy of all entries that are not gone, with the latest load
// that any process has reported.
func (c *Controller) Entries() []membership.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]membership.Entry, 0, c.table.Len())
	for e := range c.table.All {
		if e.State != blackboard.Gone {
			out = append(out, e)
		}
	}
	return out
}

// handleDepartures requests a push of departures to an audience. The caller
// holds mu.
func (c *Controller) handleDepartures(ids []ident.Instance, to audience) {
	c.pushLocal = c.table.Sequence()
	if to == everyone {
		c.pushRemote = c.table.Sequence()
	}
	departuresSeen.Add(int64(len(ids)))
	c.deps.Log.Info("instances are leaving", "instances", ids)
	c.checkOwnDeparture(ids)
	select {
	case c.pushWake <- struct{}{}:
	default:
	}
}

// notifyOwnDeparture calls OnOwnDeparture, unless that has happened already.
func (c *Controller) notifyOwnDeparture() {
	if c.deps.OnOwnDeparture != nil {
		c.ownDeparture.Do(func() { go c.deps.OnOwnDeparture() })
	}
}

// publishFacts publishes unless only figures have changed since the last time.
// A suspicion that new figures clear is published with the next heartbeat.
func (c *Controller) publishFacts(now time.Time) {
	if c.table.LastFactSequence() != c.lastPublishedFact {
		c.publish(now)
	}
}

// publish removes outdated entries from the table and replaces Board.Members if
// a state, incarnation or description differs from the published one. The
// caller holds mu, so there is one writer.
func (c *Controller) publish(now time.Time) {
	c.table.Forget(now)
	c.lastPublishedFact = c.table.LastFactSequence()
	if !c.membersChanged(now) {
		return
	}
	next := make(map[ident.Instance]blackboard.Member, c.table.Len())
	for e := range c.table.All {
		m := c.newMember(e, now)
		old, ok := c.published[e.ID]
		if ok && old.State == m.State && old.Incarnation == m.Incarnation {
			m.Since = old.Since
		}
		next[e.ID] = m
	}
	c.published = next
	c.deps.Board.Members.Publish(&blackboard.Members{ByID: next})
}

// membersChanged reports whether the table differs from the published members.
func (c *Controller) membersChanged(now time.Time) bool {
	if c.table.Len() != len(c.published) {
		return true
	}
	for e := range c.table.All {
		old, ok := c.published[e.ID]
		if !ok || old.State != c.effectiveState(e, now) || old.Incarnation != e.Incarnation {
			return true
		}
		if old.Instance != instanceOf(e) {
			return true
		}
	}
	return false
}

// effectiveState returns an entry's state, or Suspect for an instance that is
// alive but was not seen for too long or failed PeerFailures exchanges in a
// row.
func (c *Controller) effectiveState(e membership.Entry, now time.Time) blackboard.MemberState {
	state := c.table.EffectiveState(e, c.config.Suspicion, now)
	s, ok := c.sessions[e.ID]
	if ok && state == blackboard.Alive && s.failures >= c.config.PeerFailures {
		return blackboard.Suspect
	}
	return state
}

func (c *Controller) newMember(e membership.Entry, now time.Time) blackboard.Member {
	return blackboard.Member{
		Instance:    instanceOf(e),
		Incarnation: e.Incarnation,
		State:       c.effectiveState(e, now),
		Since:       now,
	}
}

// instanceOf returns an entry's description, or if it has none, the parts that
// facts carry. Only gateways have a PeerAddress.
func instanceOf(e membership.Entry) platform.Instance {
	if e.Description != nil {
		return *e.Description
	}
	instance := platform.Instance{
		ID:            e.ID,
		Incarnation:   e.Incarnation,
		FailureDomain: e.FailureDomain,
		PeerAddress:   e.PeerAddress,
	}
	if e.PeerAddress != "" {
		instance.Role = platform.RoleEntry
	}
	return instance
}

// Self returns this process's own instance.
func (c *Controller) Self() ident.Instance { return c.config.Self.ID }
