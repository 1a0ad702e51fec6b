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

// Controller keeps the table of one process. All methods are safe for
// concurrent use.
type Controller struct {
	config Config
	deps   Deps
	// epoch tells this run of the process from earlier ones.
	epoch uint64
	// departures wakes the pushing loop.
	departures chan struct{}

	mu       sync.Mutex
	table    *membership.Table
	sessions map[ident.Instance]*session
	// recent is a number of the table from at least recentWindow ago.
	recent, nextRecent mark
	// published is the last published state of each instance.
	published     map[ident.Instance]blackboard.Member
	publishedFact uint64
	// listed: the platform's list was read at least once.
	listed bool
	// mismatch: a peer's facts differed from ours since lastFull.
	mismatch bool
	lastFull time.Time
	// turn counts heartbeats and rounds counts pushes; both rotate through
	// the peers, from a start of this process's own.
	start, turn, rounds int
	// pushLocal and pushRemote are the numbers of the last departures that
	// the own failure domain and the others have to hear of at once.
	pushLocal, pushRemote uint64
	pushes                map[string]*push
	ownDeparture          sync.Once
}

// mark is a number of the table and when it was reached.
type mark struct {
	sequence uint64
	at       time.Time
}

// maxStart keeps the sum of start and turn well within an int.
const maxStart = 1 << 16

func hash(id ident.Instance) uint64 { return xxhash.Sum64String(string(id)) }

// recentWindow is how far back the first digest to a peer reaches.
const recentWindow = 15 * time.Second

// New returns a controller that knows only its own instance.
func New(config Config, deps Deps) *Controller {
	now := time.Now()
	c := &Controller{
		config:     config,
		deps:       deps,
		epoch:      rand.Uint64() | 1,
		start:      int(hash(config.Self.ID) % maxStart),
		departures: make(chan struct{}, 1),
		table:      membership.NewTable(config.Self.ID, config.Self.FailureDomain, config.Limits),
		sessions:   map[ident.Instance]*session{},
		published:  map[ident.Instance]blackboard.Member{},
		pushes:     map[string]*push{},
	}
	description := config.Self
	description.State = 0
	c.table.Observe(membership.Entry{
		ID:            config.Self.ID,
		Incarnation:   config.Self.Incarnation,
		State:         blackboard.Alive,
		FailureDomain: config.Self.FailureDomain,
		PeerAddress:   config.Self.PeerAddress,
		Seen:          now,
		Description:   &description,
	}, now)
	c.publish(now)
	return c
}

// Run sends heartbeats and spreads departures until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return c.beat(ctx) })
	group.Go(func() error { return c.spread(ctx) })
	group.Go(func() error { return c.watchStopping(ctx) })
	return group.Wait()
}

// watchStopping tells the peers when this process begins to leave.
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
	c.listed = true
	departed := c.table.ApplyList(list, now)
	if len(departed) > 0 {
		c.departed(departed, everyone)
	}
	c.publish(now)
}

// NoteLeaving records the first sign that an instance is leaving: a reclaim
// notice, its own report, or its refusal of a request. Peers are told at once.
// The data path may call it for every refusal.
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
		c.departed([]ident.Instance{id}, everyone)
	}
	c.publish(now)
}

// knownToLeave looks at the published snapshot, so that a burst of refusals by
// the same upstream takes no lock.
func (c *Controller) knownToLeave(id ident.Instance, incarnation ident.Incarnation) bool {
	m, ok := c.deps.Board.Members.Value().ByID[id]
	if !ok {
		return false
	}
	return m.Incarnation > incarnation || (m.Incarnation == incarnation && m.State >= blackboard.Leaving)
}

// Observation is an instance's own answer to this process.
type Observation struct {
	Instance    ident.Instance
	Incarnation ident.Incarnation
	Leaving     bool
	// Load is zero when the answer told none.
	Load membership.Load
}

// Observe records an instance's own answer: proof of life and load.
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
		Seen:        now,
		Load:        o.Load,
	}
	if known, ok := c.table.Find(o.Instance); ok {
		e.FailureDomain = known.FailureDomain
	}
	if c.table.Observe(e, now) >= membership.Fact || c.published[o.Instance].State == blackboard.Suspect {
		c.publish(now)
	}
}

// Entries returns a copy of all entries that are not gone, with their latest
// load as told by any process.
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

// departed asks for a push of departures to an audience. The lock is held.
func (c *Controller) departed(ids []ident.Instance, to audience) {
	c.pushLocal = c.table.Sequence()
	if to == everyone {
		c.pushRemote = c.table.Sequence()
	}
	departuresSeen.Add(int64(len(ids)))
	c.deps.Log.Info("instances are leaving", "instances", ids)
	c.checkOwnDeparture(ids)
	select {
	case c.departures <- struct{}{}:
	default:
	}
}

// tellOwner reports that somebody else knows this instance to be leaving.
func (c *Controller) tellOwner() {
	if c.deps.OnOwnDeparture != nil {
		c.ownDeparture.Do(func() { go c.deps.OnOwnDeparture() })
	}
}

// publishFacts publishes unless only proofs of life and loads have changed since
// the last time; a suspicion that these clear waits for the next turn.
func (c *Controller) publishFacts(now time.Time) {
	if c.table.LastFact() != c.publishedFact {
		c.publish(now)
	}
}

// publish replaces board.Members when a state differs from the published one.
// The lock is held, so there is one writer.
func (c *Controller) publish(now time.Time) {
	c.table.Forget(now)
	c.publishedFact = c.table.LastFact()
	if !c.differs(now) {
		return
	}
	next := make(map[ident.Instance]blackboard.Member, c.table.Len())
	for e := range c.table.All {
		m := c.member(e, now)
		old, ok := c.published[e.ID]
		if ok && old.State == m.State && old.Incarnation == m.Incarnation {
			m.Since = old.Since
		}
		next[e.ID] = m
	}
	c.published = next
	c.deps.Board.Members.Publish(&blackboard.Members{ByID: next})
}

func (c *Controller) differs(now time.Time) bool {
	if c.table.Len() != len(c.published) {
		return true
	}
	for e := range c.table.All {
		old, ok := c.published[e.ID]
		if !ok || old.State != c.effective(e, now) || old.Incarnation != e.Incarnation {
			return true
		}
		if old.Instance != instanceOf(e) {
			return true
		}
	}
	return false
}

func (c *Controller) effective(e membership.Entry, now time.Time) blackboard.MemberState {
	state := c.table.Effective(e, c.config.Suspicion, now)
	s, ok := c.sessions[e.ID]
	if ok && state == blackboard.Alive && s.failures >= c.config.PeerFailures {
		return blackboard.Suspect
	}
	return state
}

func (c *Controller) member(e membership.Entry, now time.Time) blackboard.Member {
	return blackboard.Member{
		Instance:    instanceOf(e),
		Incarnation: e.Incarnation,
		State:       c.effective(e, now),
		Since:       now,
	}
}

// instanceOf returns the description, or as much of it as the digests carry.
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
