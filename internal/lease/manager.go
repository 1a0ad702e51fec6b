package lease

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Stream is the log stream that holds the leases.
const Stream = "leases"

// The defaults of Config. With them a holder survives two lost renewals, and
// a successor acts some 12 s after a holder died.
const (
	DefaultLength      = 10 * time.Second
	DefaultMargin      = 2 * time.Second
	DefaultRenewEvery  = 3 * time.Second
	DefaultPoll        = time.Second
	DefaultCallTimeout = 2 * time.Second
)

// maxRecordsPerRead is how many records one read asks for.
const maxRecordsPerRead = 1000

// Config says who this process is and how it keeps leases. Zero durations
// stand for the defaults, but for Margin, where zero is none.
type Config struct {
	Holder Holder
	// Length is for how long after its newest record a lease stays taken.
	Length time.Duration
	// Margin is by how much a holder stops before the lease can move. It
	// must be at least the longest flight of an order: an order that leaves
	// right before the deadline has then landed before a new holder exists.
	Margin time.Duration
	// RenewEvery is the time between two renewals.
	RenewEvery time.Duration
	// Poll is the time between two reads of a candidate.
	Poll time.Duration
	// CallTimeout bounds one call of the log, so that a silent connection
	// costs a renewal and not the lease.
	CallTimeout time.Duration
	Log         hclog.Logger
}

// Check returns what is wrong with the durations, or nil.
func (c Config) Check() error {
	c = c.withDefaults()
	if c.Length > maxLeaseLength {
		return errcode.Errorf(errcode.InvalidArgument, "lease length %v is above %v", c.Length, maxLeaseLength)
	}
	if c.Margin < 0 || c.RenewEvery+c.Poll+c.Margin >= c.Length {
		return errcode.Errorf(errcode.InvalidArgument,
			"lease length %v must exceed renewal %v, poll %v and margin %v together", c.Length, c.RenewEvery, c.Poll, c.Margin)
	}
	return nil
}

func (c Config) withDefaults() Config {
	c.Length = durationOr(c.Length, DefaultLength)
	c.RenewEvery = durationOr(c.RenewEvery, DefaultRenewEvery)
	c.Poll = durationOr(c.Poll, DefaultPoll)
	c.CallTimeout = durationOr(c.CallTimeout, DefaultCallTimeout)
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	return c
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// Grant is the right to act under a lease until its deadline. It is a value:
// check Valid right before each action, because a process can be frozen
// between any two lines.
type Grant struct {
	Name     Name
	Fence    ident.Fence
	deadline time.Time
	// revoked is shared by all copies of a grant.
	revoked *atomic.Bool
}

// Valid reports whether the holder may still begin an action.
func (g Grant) Valid() bool { return time.Now().Before(g.deadline) && !g.revoked.Load() }

// Remaining is the time until the holder must stop.
func (g Grant) Remaining() time.Duration { return time.Until(g.deadline) }

// Manager keeps this process's leases. Create it with New, run Run, and ask
// Grant before every action.
type Manager struct {
	cfg    Config
	log    platform.Log
	timing timing

	wanted  atomic.Pointer[[]Wanted]
	wake    chan struct{}
	grants  atomic.Pointer[map[Name]Grant]
	metrics *metrics

	// mu guards the rest; it is never held during a call of the log.
	mu      sync.Mutex
	state   *State
	views   map[Name]leaseView
	pending map[string]time.Time
}

// New returns a manager that wants no lease yet.
func New(cfg Config, log platform.Log) *Manager {
	cfg = cfg.withDefaults()
	m := &Manager{
		cfg: cfg,
		log: log,
		timing: timing{
			length:     cfg.Length,
			margin:     cfg.Margin,
			renewEvery: cfg.RenewEvery,
			rankDelay:  2 * cfg.Poll,
		},
		wake:    make(chan struct{}, 1),
		metrics: &counters,
		state:   &State{},
		views:   make(map[Name]leaseView),
		pending: make(map[string]time.Time),
	}
	m.wanted.Store(&[]Wanted{})
	m.grants.Store(&map[Name]Grant{})
	return m
}

// Want replaces the leases for which this process is a candidate. One that it
// holds and no longer wants is revoked at once and released later.
func (m *Manager) Want(wanted []Wanted) {
	m.mu.Lock()
	m.wanted.Store(&wanted)
	m.revokeUnwanted(time.Now())
	m.publishGrants()
	m.mu.Unlock()
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Grant returns the right to act under a lease. It is false for a lease that
// this process does not hold.
func (m *Manager) Grant(name Name) (Grant, bool) {
	grant, held := (*m.grants.Load())[name]
	return grant, held && grant.Valid()
}

// Held returns the names of the leases that this process holds now.
func (m *Manager) Held() []Name {
	var names []Name
	for name, grant := range *m.grants.Load() {
		if grant.Valid() {
			names = append(names, name)
		}
	}
	return names
}

// Find returns the newest accepted record of a lease, as far as it was read.
func (m *Manager) Find(name Name) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Find(name)
}

// Run keeps the wanted leases until ctx ends, and then releases them at once.
// End ctx only after the last order was answered. Run reads nothing while no
// lease is wanted or held, so that the many processes that are no candidates
// cost the log nothing.
func (m *Manager) Run(ctx context.Context) {
	ticker := time.NewTicker(m.cfg.Poll)
	defer ticker.Stop()
	for {
		if m.hasWork() {
			m.Step(ctx)
		}
		select {
		case <-ctx.Done():
			m.releaseAll()
			return
		case <-m.wake:
		case <-ticker.C:
		}
	}
}

// hasWork reports whether a lease is wanted or waits for its release.
func (m *Manager) hasWork() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(*m.wanted.Load()) > 0 {
		return true
	}
	for _, v := range m.views {
		if !v.revokedAt.IsZero() {
			return true
		}
	}
	return false
}

// Step reads what is new, appends what is due, and reads its own records back.
func (m *Manager) Step(ctx context.Context) {
	if err := m.catchUp(ctx); err != nil {
		m.cfg.Log.Debug("leases not read", "error", err)
		return
	}
	if m.append(ctx, m.dueRecords()) {
		// A successful append is not yet an accepted record: another one may
		// have come first. Only the fold tells, so read it back at once.
		if err := m.catchUp(ctx); err != nil {
			m.cfg.Log.Debug("lease records not read back", "error", err)
		}
	}
}

// releaseAll gives all held leases up, so that a successor need not wait for
// their length. It revokes the grants first: no order may follow the release.
func (m *Manager) releaseAll() {
	m.Want(nil)
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.CallTimeout)
	defer cancel()
	m.append(ctx, m.takeReleases(func(leaseView) bool { return true }))
}

// catchUp applies the records up to the log's head.
func (m *Manager) catchUp(ctx context.Context) error {
	for {
		batch, err := m.read(ctx)
		if errors.Is(err, platform.ErrExpired) {
			m.restartFrom(batch.First)
			continue
		}
		if err != nil {
			return err
		}
		if m.applyBatch(batch) {
			return nil
		}
	}
}

func (m *Manager) read(ctx context.Context) (platform.Batch, error) {
	m.mu.Lock()
	from := m.state.Next()
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	m.metrics.reads.Add(1)
	return m.log.Read(ctx, Stream, from, maxRecordsPerRead, 0)
}

// restartFrom begins anew at the oldest record that the log keeps.
func (m *Manager) restartFrom(first ident.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = StateFrom(first)
	m.views = make(map[Name]leaseView)
	m.publishGrants()
}

// applyBatch folds a batch and reports whether it reached the log's head.
func (m *Manager) applyBatch(batch platform.Batch) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	readAt := time.Now()
	for _, raw := range batch.Records {
		record, verdict := m.state.Apply(raw)
		m.updateView(record, verdict, readAt)
	}
	m.expirePending(readAt)
	m.revokeUnwanted(readAt)
	m.publishGrants()
	if m.state.Next() >= batch.Head {
		m.state.MarkHeadReached()
		return true
	}
	return len(batch.Records) == 0
}

// updateView updates what this process knows of a record's lease.
func (m *Manager) updateView(record Record, verdict Verdict, readAt time.Time) {
	if verdict == Ignored {
		return
	}
	started, mine := m.pending[record.ID]
	delete(m.pending, record.ID)
	if mine {
		m.metrics.countResult(record.Kind, verdict)
	}
	switch {
	case verdict == Undecided:
		m.views[record.Name] = leaseView{readAt: readAt}
	case verdict == Accepted && mine && record.Kind != Release:
		m.views[record.Name] = leaseView{readAt: readAt, appendStarted: started}
	case verdict == Accepted:
		m.views[record.Name] = leaseView{readAt: readAt}
	}
}

// expirePending drops appends whose records never came. One that comes later
// still is not taken for this process's own, which only costs a claim.
func (m *Manager) expirePending(now time.Time) {
	for id, started := range m.pending {
		if now.Sub(started) > Horizon {
			delete(m.pending, id)
		}
	}
}

// revokeUnwanted marks the held leases that are not wanted any more.
func (m *Manager) revokeUnwanted(now time.Time) {
	keep := make(map[Name]bool)
	for _, want := range *m.wanted.Load() {
		keep[want.Name] = true
	}
	for name, v := range m.views {
		switch {
		case keep[name] || v.appendStarted.IsZero():
			v.revokedAt = time.Time{}
		case v.revokedAt.IsZero():
			v.revokedAt = now
		}
		m.views[name] = v
	}
}

// publishGrants makes the grants that follow from the fold visible to Grant, and
// revokes those that no longer do.
func (m *Manager) publishGrants() {
	old := *m.grants.Load()
	grants := make(map[Name]Grant)
	for _, want := range *m.wanted.Load() {
		entry, known := m.state.Find(want.Name)
		v := m.views[want.Name]
		if !known || entry.Record.Holder != m.cfg.Holder || v.appendStarted.IsZero() {
			continue
		}
		grant, had := old[want.Name]
		if !had || grant.Fence != entry.Fence {
			grant = Grant{Name: want.Name, Fence: entry.Fence, revoked: new(atomic.Bool)}
		}
		grant.deadline = m.timing.deadline(v.appendStarted)
		grants[want.Name] = grant
	}
	m.grants.Store(&grants)
	for name, grant := range old {
		if kept, held := grants[name]; !held || kept.revoked != grant.revoked {
			grant.revoked.Store(true)
		}
	}
}
