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

// The defaults of Config. With them a holder keeps its lease after two lost
// renewals, and another process acts about 12 s after a holder has died.
const (
	DefaultLength      = 10 * time.Second
	DefaultMargin      = 2 * time.Second
	DefaultRenewEvery  = 3 * time.Second
	DefaultPoll        = time.Second
	DefaultCallTimeout = 2 * time.Second
)

// maxRecordsPerRead is the number of records that one read asks for.
const maxRecordsPerRead = 1000

// Config identifies this process and holds the timing of its leases. A zero
// duration means the default, except that a zero Margin means no margin.
type Config struct {
	Holder Holder
	// Length is how long a lease stays taken after its newest record.
	Length time.Duration
	// Margin is how long before the end of Length a holder stops acting. It
	// must be at least the longest time that an order takes to arrive: then an
	// order that is sent right before the holder's deadline has arrived before
	// another process can hold the lease.
	Margin time.Duration
	// RenewEvery is the time between two renewals.
	RenewEvery time.Duration
	// Poll is the time between two reads of the log by a candidate.
	Poll time.Duration
	// CallTimeout limits one call to the log, so that a connection without
	// answers costs a renewal but not the lease.
	CallTimeout time.Duration
	Log         hclog.Logger
}

// Check returns an error if the durations don't fit together.
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

// Grant is the right to act under a lease until its deadline. Call Valid right
// before each action, because a process can be paused at any point between two
// statements.
type Grant struct {
	Name     Name
	Fence    ident.Fence
	deadline time.Time
	// revoked is set when the grant ends early; all copies of a grant share it.
	revoked *atomic.Bool
}

// Valid reports whether the holder may still begin an action.
func (g Grant) Valid() bool { return time.Now().Before(g.deadline) && !g.revoked.Load() }

// Remaining returns the time until the holder must stop acting; it is negative
// after that.
func (g Grant) Remaining() time.Duration { return time.Until(g.deadline) }

// Manager claims, renews and releases leases for this process. Create it with New,
// keep Run running, and call Grant before every action. It is safe for concurrent
// use.
type Manager struct {
	cfg    Config
	log    platform.Log
	timing timing

	wanted  atomic.Pointer[[]Wanted]
	wake    chan struct{}
	grants  atomic.Pointer[map[Name]Grant]
	metrics *metrics

	// mu guards the fields below. It is never held during a call to the log.
	mu    sync.Mutex
	state *State
	views map[Name]leaseView
	// pending holds, by record ID, when the append of each record started that
	// has not been read back yet.
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

// SetWanted sets the leases for which this process is a candidate. A lease that it
// holds but no longer wants is revoked at once and released after Config.Margin.
func (m *Manager) SetWanted(wanted []Wanted) {
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

// Grant returns the right to act under a lease, or false if this process does not
// hold the lease now.
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

// Find returns the newest accepted record of a lease among those read so far.
func (m *Manager) Find(name Name) (Entry, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Find(name)
}

// Run claims and renews the wanted leases until ctx ends, and then releases all
// held ones at once. End ctx only after the last order was answered. While no
// lease is wanted or held, Run does not read, so that the many processes that are
// no candidates cause no load on the log.
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

// hasWork reports whether a lease is wanted or still to be released.
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

// Step reads the new records, appends those that are due, and reads back its own.
func (m *Manager) Step(ctx context.Context) {
	if err := m.catchUp(ctx); err != nil {
		m.cfg.Log.Debug("cannot read lease records", "error", err)
		return
	}
	if m.append(ctx, m.dueRecords()) {
		// An appended record is not necessarily accepted: another one may have
		// come first. Only reading it back in order shows that.
		if err := m.catchUp(ctx); err != nil {
			m.cfg.Log.Debug("cannot read back appended lease records", "error", err)
		}
	}
}

// releaseAll releases all held leases, so that another process can claim them
// without waiting for their length. It revokes the grants first, because no order
// may be sent after the release.
func (m *Manager) releaseAll() {
	m.SetWanted(nil)
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.CallTimeout)
	defer cancel()
	m.append(ctx, m.takeReleases(func(leaseView) bool { return true }))
}

// catchUp reads and applies the records up to the log's head. If records have
// expired unread, it starts over at the oldest one that the log keeps.
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

// restartFrom discards the state and starts over at offset first, the oldest
// record that the log keeps.
func (m *Manager) restartFrom(first ident.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = StateFrom(first)
	m.views = make(map[Name]leaseView)
	m.publishGrants()
}

// applyBatch applies a batch and reports whether there is nothing more to read.
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

// updateView updates the view of a record's lease and removes the record from
// pending. The lock is held.
func (m *Manager) updateView(record Record, verdict Verdict, readAt time.Time) {
	if verdict == Ignored {
		return
	}
	started, own := m.pending[record.ID]
	delete(m.pending, record.ID)
	if own {
		m.metrics.countResult(record.Kind, verdict)
	}
	switch {
	case verdict == Undecided:
		m.views[record.Name] = leaseView{readAt: readAt}
	case verdict == Accepted && own && record.Kind != Release:
		m.views[record.Name] = leaseView{readAt: readAt, appendStarted: started}
	case verdict == Accepted:
		m.views[record.Name] = leaseView{readAt: readAt}
	}
}

// expirePending drops records that did not appear in the log for longer than
// Horizon. If one appears after all, it is not recognized as this process's own,
// which only means that the lease has to be claimed again.
func (m *Manager) expirePending(now time.Time) {
	for id, started := range m.pending {
		if now.Sub(started) > Horizon {
			delete(m.pending, id)
		}
	}
}

// revokeUnwanted marks held leases that are no longer wanted, and clears the mark
// of all others.
func (m *Manager) revokeUnwanted(now time.Time) {
	isWanted := make(map[Name]bool)
	for _, want := range *m.wanted.Load() {
		isWanted[want.Name] = true
	}
	for name, v := range m.views {
		switch {
		case isWanted[name] || v.appendStarted.IsZero():
			v.revokedAt = time.Time{}
		case v.revokedAt.IsZero():
			v.revokedAt = now
		}
		m.views[name] = v
	}
}

// publishGrants replaces the grants that Grant returns by those of the leases
// that this process wants and holds now, and revokes the others.
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
