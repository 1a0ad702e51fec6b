package duty

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	pkgerrors "github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

const (
	// Topic and key of the lease in the platform's store.
	Topic = "keyed.duties"
	leaseKey   = "entry"
	// tickInterval is how often a candidate looks whether something is due.
	tickInterval = 100 * time.Millisecond
	// idleTickInterval is the same at a gateway that is no candidate: of a thousand, nearly all.
	idleTickInterval = 500 * time.Millisecond
	// readInterval is how often a candidate reads the lease when it does not hear
	// of a holder.
	readInterval = 700 * time.Millisecond
	// candidateCount is how many gateways watch the lease: enough for two that are
	// lost together with the holder.
	candidateCount = 3
)

// ErrNotHeld: this gateway does not hold the lease now.
var ErrNotHeld = errors.New("the lease is not held")

// Config is what a Manager works with.
type Config struct {
	Self   ident.Instance
	Life   ident.Incarnation
	Timing Timing
	Store  platform.KeyedLog
	Now    boottime.Clock
	Log    hclog.Logger
	// Rank is this gateway's place among the candidates, from 0, and whether
	// another gateway says that it holds the lease.
	Rank func() (rank int, held bool)
	// Gateways is how many gateways are known.
	Gateways func() int
	// Keep returns what the record carries for gateways that start, and Learn takes in
	// what it carried; it is called before this gateway can write one. Both may be nil.
	Keep  func() Kept
	Learn func(kept Kept)
	// GivenUp is the highest fencing number whose holder says that it acts under it
	// no more. Without its word, a holder that has lost the store, and it alone, is
	// followed only when its record has stood for the lease's length (some 4 s).
	GivenUp func() ident.Fence
	// Lost is called when this gateway's lease has run out, to tell the others.
	Lost func()
}

// Manager keeps the lease. It is safe for concurrent use.
type Manager struct {
	cfg Config

	// writeMu is held during a write, so that a commit and a renewal never
	// write under the same condition.
	writeMu sync.Mutex

	mu     sync.Mutex
	state  *State
	lastReadAt time.Time
	loggedHeld   bool
	// callsInFlight counts the calls that were begun under a lease and have not ended.
	callsInFlight int
	// expiredFence is the newest lease of this gateway that ran out, and givenUp the newest
	// one of which the others are told.
	expiredFence, givenUpFence ident.Fence
}

// NewManager returns a manager that holds nothing.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, state: NewState(cfg.Self, cfg.Life)}
}

// Grant is the right to make calls. Its deadline leaves time for a call's flight.
type Grant struct {
	platform.Authority
	Deadline time.Time
}

// Grant returns the right to call now.
func (m *Manager) Grant() (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holds() {
		return Grant{}, false
	}
	fence := m.state.fence
	return Grant{
		Authority: platform.Authority{Fence: fence, Begin: func() (func(), error) { return m.beginCall(fence) }},
		Deadline:  m.state.Deadline(m.cfg.Timing),
	}, true
}

// holds reports whether this gateway may act under its lease; m.mu is held.
func (m *Manager) holds() bool {
	deadline := m.state.Deadline(m.cfg.Timing)
	return !deadline.IsZero() && m.cfg.Now().Before(deadline)
}

// beginCall counts one call under the lease, if it is still held under that number, until
// ended. Errors: ErrNotHeld.
func (m *Manager) beginCall(fence ident.Fence) (ended func(), err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holds() || m.state.fence != fence {
		return nil, ErrNotHeld
	}
	m.callsInFlight++
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.callsInFlight--
	}, nil
}

// Refused notes that a call was refused because a later holder has called.
func (m *Manager) Refused(fence ident.Fence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.fence == fence {
		m.state.Drop()
		m.cfg.Log.Warn("lease given up, a later holder has called", "fence", fence)
	}
}

// GivenUp returns the fencing number of this gateway's newest lease that ran out; 0 if
// none did. It acts under that number no more.
func (m *Manager) GivenUp() ident.Fence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.givenUpFence
}

// handleExpiry notes when the lease has run out. The others are told once no call under it is
// in flight: at its holder's word a successor calls at once, and where the platform does
// not check fencing numbers, a call that arrives after that one would count.
func (m *Manager) handleExpiry() {
	m.mu.Lock()
	if fence, over := m.state.Expire(m.cfg.Timing, m.cfg.Now()); over {
		m.expiredFence = fence
	}
	tell := m.expiredFence != m.givenUpFence && m.callsInFlight == 0
	if tell {
		m.givenUpFence = m.expiredFence
	}
	m.mu.Unlock()
	if tell {
		m.cfg.Lost()
	}
}

// ReadGateways reads how many gateways the newest holder knew; 0 where nothing is
// on record.
func (m *Manager) ReadGateways(ctx context.Context) (int, error) {
	if err := m.read(ctx); err != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.state.hasRecord {
		return 0, nil
	}
	return m.state.record.GatewayCount, nil
}

// Decided returns what holders decided for good, as far as it is known here.
func (m *Manager) Decided() json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.record.Decided
}

// Run keeps the lease until ctx ends, and then releases it.
func (m *Manager) Run(ctx context.Context) {
	wait := tickInterval
	for pause.For(ctx, wait) {
		wait = idleTickInterval
		if m.tick(ctx) {
			wait = tickInterval
		}
		m.logHeldChange()
	}
	m.release()
}

// tick reads what is new where that matters, and writes what is due. It reports whether this
// gateway holds the lease or is a candidate for it.
func (m *Manager) tick(ctx context.Context) bool {
	m.handleExpiry()
	rank, heard := m.cfg.Rank()
	now := m.cfg.Now()
	_, holding := m.Grant()
	if !holding && (heard || rank >= candidateCount) {
		m.mu.Lock()
		// A holder is heard: what was read before says nothing about how long
		// its record has stood.
		m.state.upToDate = false
		m.mu.Unlock()
		return rank < candidateCount
	}
	m.mu.Lock()
	stale := !m.state.upToDate || !holding && now.Sub(m.lastReadAt) >= readInterval
	m.mu.Unlock()
	if stale {
		if err := m.read(ctx); err != nil {
			m.cfg.Log.Debug("lease not read", "error", err)
			return true
		}
	}
	m.mu.Lock()
	action := m.state.NextAction(m.cfg.Timing, rank, m.cfg.GivenUp(), m.cfg.Now())
	m.mu.Unlock()
	if action == Wait {
		return true
	}
	if err := m.write(ctx, action, nil); err != nil {
		m.cfg.Log.Info("lease not written", "action", int(action), "error", err)
	}
	return true
}

// read reads the lease's record.
func (m *Manager) read(ctx context.Context) error {
	batch, err := m.cfg.Store.Newest(ctx, Topic, nil)
	if err != nil {
		return err
	}
	var newest *Record
	var offset ident.Offset
	for _, r := range batch.Records {
		if r.Key != leaseKey || r.Value == nil {
			continue
		}
		var record Record
		if err := json.Unmarshal(r.Value, &record); err != nil {
			return pkgerrors.Wrapf(err, "lease record at %d", r.Offset)
		}
		newest, offset = &record, r.Offset
	}
	if newest != nil && m.cfg.Learn != nil {
		m.cfg.Learn(newest.Kept)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReadAt = m.cfg.Now()
	m.state.ApplyRead(newest, offset, batch.End, m.lastReadAt)
	return nil
}

// Commit writes a decision under the lease. Without an error it stands, and every
// later holder knows it. After an error it may stand or not: read Decided later.
func (m *Manager) Commit(ctx context.Context, decided json.RawMessage) error {
	if _, holds := m.Grant(); !holds {
		return ErrNotHeld
	}
	return m.write(ctx, Renew, decided)
}

// write writes the lease's next record.
func (m *Manager) write(ctx context.Context, action Action, decided json.RawMessage) error {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	m.mu.Lock()
	before := m.state.extendedAt
	if action == Renew && (m.state.claimID == "" || m.state.fence == 0 || !m.state.upToDate) {
		m.mu.Unlock()
		return ErrNotHeld
	}
	record, condition := m.state.NextRecord(action, uuid.NewString(), decided, m.cfg.Now())
	m.mu.Unlock()
	record.GatewayCount = m.cfg.Gateways()
	if m.cfg.Keep != nil {
		record.Kept = m.cfg.Keep()
	}
	offset, err := m.put(ctx, record, condition)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.state.ApplyWrite(record, offset, m.cfg.Now())
	case action == Claim && errors.Is(err, platform.ErrAnswerLost):
		// It may be there now or later: the next read tells, and the deadline
		// counts from before the write.
		m.state.upToDate = false
	default:
		// What was not written, or is not known to be, extends nothing.
		m.state.WriteFailed(before)
		if action == Claim {
			m.state.forgetClaim()
		}
	}
	return err
}

// put writes a record if nothing was written since the one that it follows.
func (m *Manager) put(ctx context.Context, record Record, condition ident.Offset) (ident.Offset, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return 0, pkgerrors.Wrap(err, "encode lease record")
	}
	return m.cfg.Store.Put(ctx, Topic, leaseKey, data, &condition)
}

// logHeldChange logs when the lease is taken or lost.
func (m *Manager) logHeldChange() {
	grant, held := m.Grant()
	m.mu.Lock()
	defer m.mu.Unlock()
	if held == m.loggedHeld {
		return
	}
	m.loggedHeld = held
	if held {
		m.cfg.Log.Info("lease held", "fence", grant.Fence, "before", m.state.record.PreviousHolder)
	} else {
		m.cfg.Log.Info("lease lost", "holder", m.state.record.Holder, "dropped", m.state.dropped, "run_out", m.expiredFence)
	}
}

// release gives the lease up, so that a successor need not wait for its length.
// Calls under it must have ended.
func (m *Manager) release() {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	m.mu.Lock()
	record, condition, holds := m.state.ReleaseRecord(m.cfg.Timing, m.cfg.Now())
	m.state.Drop()
	m.mu.Unlock()
	if !holds {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), tickInterval*5)
	defer cancel()
	if _, err := m.put(ctx, record, condition); err != nil {
		m.cfg.Log.Info("lease not released, it runs out", "error", err)
		return
	}
	m.cfg.Log.Info("lease released", "fence", record.Fence)
}
