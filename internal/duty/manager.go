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
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

const (
	// Topic and leaseKey say where the lease is in the platform's store.
	Topic    = "keyed.duties"
	leaseKey = "entry"
	// tickInterval is how often a candidate checks whether a write is due.
	tickInterval = 100 * time.Millisecond
	// idleTickInterval is the same at a gateway that is no candidate: nearly all of a
	// thousand gateways.
	idleTickInterval = 500 * time.Millisecond
	// readInterval is how often a candidate reads the lease while no gateway reports
	// that it holds the lease.
	readInterval = 700 * time.Millisecond
	// candidateCount is how many gateways watch the lease: enough to lose two of them
	// together with the holder.
	candidateCount = 3
)

// ErrNotHeld is returned when this gateway does not hold the lease.
var ErrNotHeld = errors.New("the lease is not held")

// Config configures a Manager.
type Config struct {
	Self        ident.Instance
	Incarnation ident.Incarnation
	Timing      Timing
	Store       platform.KeyedLog
	Now         boottime.Clock
	// TrueTime returns the time of day.
	TrueTime func() time.Time
	// Era returns the newest known era of the store.
	Era func() ident.Era
	Log hclog.Logger
	// Rank returns this gateway's rank among the candidates, from 0, and whether
	// another gateway reports that it holds the lease.
	Rank func() (rank int, held bool)
	// GatewayCount returns how many gateways are known.
	GatewayCount func() int
	// StateToStore returns the state to store in the lease's record, for later holders of
	// the lease. RestoreState merges the stored state of a record that was read; it is
	// called before this gateway can write a record itself. Both may be nil.
	StateToStore func() StoredState
	RestoreState func(stored StoredState)
	// GivenUpFence returns the highest fencing number whose holder reports that it no longer
	// acts under it; 0 if none. Without that report, a holder that alone cannot reach the
	// store is replaced only after its record has not changed for the lease's length
	// (some 4 s).
	GivenUpFence func() ident.Fence
	// OnGivenUp is called when this gateway's lease has expired and no call under it is in
	// flight, to tell the other gateways.
	OnGivenUp func()
}

// Manager claims, renews and releases the lease. It is safe for concurrent use.
type Manager struct {
	cfg Config

	// writeMu is held during a write, so that a commit and a renewal never
	// write with the same condition.
	writeMu sync.Mutex

	mu         sync.Mutex
	state      *State
	lastReadAt time.Time
	// loggedHeld is whether the newest log message said that the lease is held.
	loggedHeld bool
	// callsInFlight counts the calls that began under a lease and have not ended.
	callsInFlight int
	// expiredFence is the fencing number of this gateway's newest lease that expired,
	// and givenUpFence that of the newest one of which the other gateways are told.
	expiredFence, givenUpFence ident.Fence
}

// NewManager returns a manager that does not hold the lease.
func NewManager(cfg Config) *Manager {
	return &Manager{cfg: cfg, state: NewState(cfg.Self, cfg.Incarnation)}
}

// Grant is the right to make calls under the lease. Its deadline leaves time for calls
// in flight.
type Grant struct {
	platform.Authority
	Deadline time.Time
	// UnsureBefore is a true time: decisions that holders committed before it may be lost; zero if none are.
	UnsureBefore time.Time
}

// Grant returns the right to make calls, or false if the lease is not held now.
func (m *Manager) Grant() (Grant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.holds() {
		return Grant{}, false
	}
	fence := m.state.fence
	return Grant{
		UnsureBefore: timeOf(m.state.record.UnsureBefore),
		Authority:    platform.Authority{Fence: fence, Begin: func() (func(), error) { return m.beginCall(fence) }},
		Deadline:     m.state.Deadline(m.cfg.Timing),
	}, true
}

// timeOf returns the time of a number of milliseconds since 1970; zero for 0.
func timeOf(millis int64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(millis)
}

// holds reports whether this gateway may act under its lease now; the caller holds m.mu.
func (m *Manager) holds() bool {
	deadline := m.state.Deadline(m.cfg.Timing)
	return !deadline.IsZero() && m.cfg.Now().Before(deadline)
}

// beginCall counts a call as in flight until ended is called. It returns ErrNotHeld if
// the lease is not held under that fencing number any more.
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

// FenceRejected gives the lease up after a call under its fencing number was rejected because
// a later holder has made a call. A number other than the current one is ignored.
func (m *Manager) FenceRejected(fence ident.Fence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state.fence == fence {
		m.state.Drop()
		m.cfg.Log.Warn("lease given up: a later holder has made a call", "fence", fence)
	}
}

// GivenUpFence returns the fencing number of this gateway's newest lease that expired and has
// no call in flight; 0 if there is none. The gateway never acts under that number again.
func (m *Manager) GivenUpFence() ident.Fence {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.givenUpFence
}

// handleExpiry marks the lease as expired when its deadline has passed. The other gateways
// are told once no call under it is in flight: as soon as they are told, a successor makes
// calls, and where the platform does not check fencing numbers, an older call that arrives
// after them would take effect.
func (m *Manager) handleExpiry() {
	m.mu.Lock()
	if fence, expired := m.state.Expire(m.cfg.Timing, m.cfg.Now()); expired {
		m.expiredFence = fence
	}
	tell := m.expiredFence != m.givenUpFence && m.callsInFlight == 0
	if tell {
		m.givenUpFence = m.expiredFence
	}
	m.mu.Unlock()
	if tell {
		m.cfg.OnGivenUp()
	}
}

// ReadGatewayCount reads from the store how many gateways the newest holder knew; 0 if there
// is no record.
func (m *Manager) ReadGatewayCount(ctx context.Context) (int, error) {
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

// Decided returns the committed decisions of the newest record known here.
func (m *Manager) Decided() json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.record.Decided
}

// Run claims and renews the lease until ctx ends, and then releases it.
func (m *Manager) Run(ctx context.Context) {
	wait := tickInterval
	for sleep.For(ctx, wait) {
		wait = idleTickInterval
		if m.tick(ctx) {
			wait = tickInterval
		}
		m.logHeldChange()
	}
	m.release()
}

// tick reads the lease if this gateway holds it or may have to claim it, and makes the
// write that is due. It reports whether this gateway holds the lease or is a candidate.
func (m *Manager) tick(ctx context.Context) bool {
	m.handleExpiry()
	rank, heldElsewhere := m.cfg.Rank()
	now := m.cfg.Now()
	_, holding := m.Grant()
	if !holding && (heldElsewhere || rank >= candidateCount) {
		m.mu.Lock()
		// Another gateway holds the lease, or this one is no candidate. An earlier
		// read must not count for how long the record has not changed.
		m.state.upToDate = false
		m.mu.Unlock()
		return rank < candidateCount
	}
	m.mu.Lock()
	stale := !m.state.upToDate || !holding && now.Sub(m.lastReadAt) >= readInterval || m.state.logEnd.Era() < m.cfg.Era()
	m.mu.Unlock()
	if stale {
		if err := m.read(ctx); err != nil {
			m.cfg.Log.Debug("cannot read the lease", "error", err)
			return true
		}
	}
	m.mu.Lock()
	action := m.state.NextAction(m.cfg.Timing, rank, m.cfg.GivenUpFence(), m.cfg.Now())
	m.mu.Unlock()
	if action == Wait {
		return true
	}
	if err := m.write(ctx, action, nil); err != nil {
		m.cfg.Log.Info("cannot write the lease", "action", int(action), "error", err)
	}
	return true
}

// read reads the newest lease record, and applies it.
func (m *Manager) read(ctx context.Context) error {
	batch, err := m.cfg.Store.Newest(ctx, Topic, nil)
	if err != nil {
		return err
	}
	var newest *Record
	var at ident.Position
	for _, r := range batch.Records {
		if r.Key != leaseKey || r.Value == nil {
			continue
		}
		var record Record
		if err := json.Unmarshal(r.Value, &record); err != nil {
			return pkgerrors.Wrapf(err, "decode lease record at %v", r.At)
		}
		newest, at = &record, r.At
	}
	if newest != nil && m.cfg.RestoreState != nil {
		m.cfg.RestoreState(newest.StoredState)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastReadAt = m.cfg.Now()
	before := m.state.logEnd
	m.state.ApplyRead(newest, at, batch.End, m.lastReadAt)
	if m.state.logEnd.InNewEra(before) {
		m.cfg.Log.Info("lease is of a new era", "known", before, "end", batch.End, "record", at, "held", m.state.last.runs(m.cfg.Timing, m.lastReadAt))
	}
	return nil
}

// Commit writes decisions into the lease's record, in place of the earlier ones. Without
// an error they are committed, and every later holder knows them. After an error they may
// be committed or not: Decided tells later. It returns ErrNotHeld if the lease is not held.
func (m *Manager) Commit(ctx context.Context, decided json.RawMessage) error {
	if _, holds := m.Grant(); !holds {
		return ErrNotHeld
	}
	return m.write(ctx, Renew, decided)
}

// write writes the lease's next record. A nil decided leaves the committed decisions as
// they are.
func (m *Manager) write(ctx context.Context, action Action, decided json.RawMessage) error {
	m.writeMu.Lock()
	defer m.writeMu.Unlock()
	m.mu.Lock()
	previousExtension := m.state.extendedAt
	if action == Renew && (m.state.claimID == "" || m.state.fence == 0 || !m.state.upToDate) {
		m.mu.Unlock()
		return ErrNotHeld
	}
	record, condition := m.state.NextRecord(m.cfg.Timing, action, uuid.NewString(), decided, m.cfg.Now(), m.cfg.TrueTime())
	m.mu.Unlock()
	record.GatewayCount = m.cfg.GatewayCount()
	if m.cfg.StateToStore != nil {
		record.StoredState = m.cfg.StateToStore()
	}
	at, err := m.put(ctx, record, condition)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err == nil:
		m.state.ApplyWrite(record, at, m.cfg.Now())
	case action == Claim && errors.Is(err, platform.ErrAnswerLost):
		// The claim may be stored now or later. The next read shows it, and the
		// deadline counts from before the write.
		m.state.upToDate = false
	default:
		// A write that failed, or may have failed, does not extend the lease.
		m.state.WriteFailed(previousExtension)
		if action == Claim {
			m.state.forgetClaim()
		}
	}
	return err
}

// put writes a record on the condition that the log still ends at the given position.
func (m *Manager) put(ctx context.Context, record Record, condition ident.Position) (ident.Position, error) {
	data, err := json.Marshal(record)
	if err != nil {
		return ident.Position{}, pkgerrors.Wrap(err, "encode lease record")
	}
	return m.cfg.Store.Put(ctx, Topic, leaseKey, data, &condition)
}

// logHeldChange logs when this gateway begins or ceases to hold the lease.
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

// release releases the lease, so that a successor need not wait until it expires.
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
		m.cfg.Log.Info("cannot release the lease, it will expire", "error", err)
		return
	}
	m.cfg.Log.Info("lease released", "fence", record.Fence)
}
