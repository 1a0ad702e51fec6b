package membership

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Limits are the time limits of a table. ForgetAfter must be longer than
// MaxProofAge and MaxListLag; see Table.Forget.
type Limits struct {
	// MaxProofAge is the maximum age of the proof of life with which a peer can
	// introduce a live instance, or a new incarnation of one, that this process
	// does not know.
	MaxProofAge time.Duration
	// ForgetAfter is how long a gone instance is remembered.
	ForgetAfter time.Duration
	// MaxListLag is the maximum delay of the platform's list. An instance that
	// was missing from the list and silent for longer than this has ended.
	MaxListLag time.Duration
	// LocalRefresh and RemoteRefresh are the intervals at which new proofs of
	// life and load of one instance are passed on: LocalRefresh for upstreams in
	// this process's own failure domain, RemoteRefresh for all other instances.
	LocalRefresh  time.Duration
	RemoteRefresh time.Duration
}

// DefaultLimits returns limits for a platform whose list lags by up to a minute.
func DefaultLimits() Limits {
	return Limits{
		MaxProofAge:   2 * time.Minute,
		ForgetAfter:   10 * time.Minute,
		MaxListLag:    time.Minute,
		LocalRefresh:  2 * time.Second,
		RemoteRefresh: 30 * time.Second,
	}
}

// Table holds the entries of all instances that one process knows. It numbers
// its changes, so that a digest needs to carry only those that a peer lacks.
type Table struct {
	limits Limits
	domain ident.FailureDomain
	self   ident.Instance
	// sequence is the number of the last change; the first has number 1.
	sequence uint64
	records  map[ident.Instance]*record
	// lastFactSequence is the number of the last change that was a Fact or
	// Departure. checksum is the result of Checksum that was computed when
	// lastFactSequence was checksumSequence.
	lastFactSequence, checksumSequence, checksum uint64
	// byKey maps the key of each instance's current incarnation to its ID.
	byKey map[uint64]ident.Instance
}

// record is an entry with this process's own data about it.
type record struct {
	Entry
	// factSequence is the number of the last change that was a Fact or
	// Departure, and figuresSequence that of the last change of any kind.
	factSequence, figuresSequence uint64
	// announcedSeen is the value that Entry.LastSeen had at figuresSequence.
	announcedSeen time.Time
	// factFrom and figuresFrom are the peers that these two changes came from,
	// empty if from none. The changes are not sent back to them.
	factFrom, figuresFrom ident.Instance
	// absentSince is when the platform's lists began to lack the instance;
	// zero if the last list had it.
	absentSince time.Time
}

// Change is the kind of change that a merge made to an entry.
type Change int

// The kinds of changes, from the least to the most important.
const (
	// NoChange: nothing changed that other processes need to know.
	NoChange Change = iota
	// Figures: there is a newer proof of life, and perhaps a newer load.
	Figures
	// Fact: the instance, its incarnation, state, failure domain or peer address
	// is new.
	Fact
	// Departure: the instance is leaving or gone, and was not known to leave
	// before.
	Departure
)

// NewTable returns an empty table of the process self in a failure domain.
func NewTable(self ident.Instance, domain ident.FailureDomain, limits Limits) *Table {
	return &Table{
		limits:  limits,
		self:    self,
		domain:  domain,
		records: map[ident.Instance]*record{},
		byKey:   map[uint64]ident.Instance{},
	}
}

// Len returns the number of entries, including those of gone instances.
func (t *Table) Len() int { return len(t.records) }

// Sequence returns the number of the last change; 0 before the first one.
func (t *Table) Sequence() uint64 { return t.sequence }

// LastFactSequence returns the number of the last change that was a Fact or Departure.
func (t *Table) LastFactSequence() uint64 { return t.lastFactSequence }

// Find returns the entry of an instance.
func (t *Table) Find(id ident.Instance) (Entry, bool) {
	r, ok := t.records[id]
	if !ok {
		return Entry{}, false
	}
	return r.Entry, true
}

// All calls yield for each entry, including those of gone instances, in no
// particular order, until yield returns false.
func (t *Table) All(yield func(Entry) bool) {
	for _, r := range t.records {
		if !yield(r.Entry) {
			return
		}
	}
}

// MergePeer merges an entry of a peer's digest.
//
// A live incarnation that this process does not know is accepted from a peer only
// with a recent proof of life. Otherwise a peer that was cut off for an hour, and
// still holds an instance as alive that all others have seen end and have
// forgotten, would make it alive again everywhere. The check applies to each
// incarnation, not only to unknown instances: a process may remember an earlier
// incarnation and have forgotten a later one. An instance that is gone gives no
// more proofs of life, so the last one gets too old.
func (t *Table) MergePeer(from ident.Instance, e Entry, now time.Time) Change {
	if e.State == blackboard.Suspect {
		e.State = blackboard.Alive
	}
	r, known := t.records[e.ID]
	isNew := !known || e.Incarnation > r.Incarnation
	if !isNew || t.mayIntroduce(e, now) {
		return t.merge(from, e, now)
	}
	if !known {
		return NoChange
	}
	// Whether or not the later incarnation still lives, the earlier one is over.
	return t.merge(from, Entry{ID: r.ID, Incarnation: r.Incarnation, State: blackboard.Gone}, now)
}

// mayIntroduce reports whether a peer's entry is recent enough to add an
// incarnation that this process does not know.
func (t *Table) mayIntroduce(e Entry, now time.Time) bool {
	switch e.State {
	case blackboard.Gone:
		return now.Sub(e.GoneAt) <= t.limits.ForgetAfter
	case blackboard.Leaving:
		// The platform's list may still show the instance as live.
		return true
	}
	return now.Sub(e.LastSeen) <= t.limits.MaxProofAge
}

// Observe merges what this process itself observed of an instance: its answer to
// a probe or a heartbeat, its own report that it is leaving, or a reclaim notice.
func (t *Table) Observe(e Entry, now time.Time) Change {
	return t.merge("", e, now)
}

// merge merges e into the table and numbers the change. from is the peer that
// sent e, or empty.
func (t *Table) merge(from ident.Instance, e Entry, now time.Time) Change {
	if e.State == blackboard.Gone && e.GoneAt.IsZero() {
		e.GoneAt = now
	}
	r, known := t.records[e.ID]
	if !known {
		r = &record{Entry: e}
		t.records[e.ID] = r
		t.byKey[IncarnationKey(e)] = e.ID
		t.assignSequence(r, from, Fact)
		if e.State >= blackboard.Leaving {
			return Departure
		}
		return Fact
	}
	before := r.Entry
	r.Entry = Merge(before, e)
	change := t.classifyChange(r, before)
	t.assignSequence(r, from, change)
	return change
}

// classifyChange returns the kind of change that a merge made to an entry, as far
// as it matters to other processes, and updates byKey for a new incarnation.
func (t *Table) classifyChange(r *record, before Entry) Change {
	replaced := r.Incarnation != before.Incarnation
	if replaced {
		r.absentSince = time.Time{}
		delete(t.byKey, IncarnationKey(before))
		t.byKey[IncarnationKey(r.Entry)] = r.ID
	}
	departed := r.State >= blackboard.Leaving && (replaced || before.State < blackboard.Leaving)
	switch {
	case departed:
		return Departure
	case replaced, r.State != before.State:
		return Fact
	case r.PeerAddress != before.PeerAddress, r.FailureDomain != before.FailureDomain:
		return Fact
	case r.LastSeen.Sub(r.announcedSeen) >= t.refreshInterval(r.Entry):
		return Figures
	}
	return NoChange
}

// refreshInterval returns how often figures of an instance are passed on.
func (t *Table) refreshInterval(e Entry) time.Duration {
	if e.FailureDomain == t.domain && e.PeerAddress == "" {
		return t.limits.LocalRefresh
	}
	return t.limits.RemoteRefresh
}

// assignSequence gives a change the next number, so that later digests include
// it.
func (t *Table) assignSequence(r *record, from ident.Instance, change Change) {
	if change == NoChange {
		return
	}
	t.sequence++
	r.announcedSeen = r.LastSeen
	r.figuresSequence = t.sequence
	r.figuresFrom = from
	if change >= Fact {
		r.factSequence = t.sequence
		t.lastFactSequence = t.sequence
		r.factFrom = from
	}
}

// ApplyList merges the platform's list, which lags and may be older than the
// previous one. It returns the instances whose departure was not known before.
//
// An instance that is listed as live is added to the table, but that is no proof
// of life and does not change the state of one that is known to leave. An
// instance that is not listed counts as gone only after it has been both missing
// and silent for longer than Limits.MaxListLag, because the state "gone" is final
// and a list may be incomplete.
func (t *Table) ApplyList(list []platform.Instance, now time.Time) []ident.Instance {
	var departed []ident.Instance
	listed := make(map[ident.Instance]bool, len(list))
	for i := range list {
		listed[list[i].ID] = true
		if t.applyListed(&list[i], now) == Departure {
			departed = append(departed, list[i].ID)
		}
	}
	for id, r := range t.records {
		if listed[id] {
			r.absentSince = time.Time{}
			continue
		}
		if t.markGoneIfAbsent(r, now) {
			departed = append(departed, id)
		}
	}
	return departed
}

func (t *Table) applyListed(listed *platform.Instance, now time.Time) Change {
	description := *listed
	description.State = 0
	return t.merge("", Entry{
		ID:            listed.ID,
		Incarnation:   listed.Incarnation,
		State:         memberState(listed.State),
		FailureDomain: listed.FailureDomain,
		PeerAddress:   listed.PeerAddress,
		Description:   &description,
	}, now)
}

func memberState(s platform.InstanceState) blackboard.MemberState {
	switch s {
	case platform.Leaving:
		return blackboard.Leaving
	case platform.Ended:
		return blackboard.Gone
	}
	return blackboard.Alive
}

// markGoneIfAbsent marks an instance as gone if it has been missing from the
// platform's lists and silent for longer than MaxListLag, and reports whether it
// was not known to leave before.
//
// A single list without the instance may have been made before the instance
// started. But the instance was known when the first such list was read, so a
// list that is read MaxListLag later was made after its start.
func (t *Table) markGoneIfAbsent(r *record, now time.Time) bool {
	if r.ID == t.self || r.State == blackboard.Gone {
		return false
	}
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	missing := now.Sub(r.absentSince) > t.limits.MaxListLag
	silent := now.Sub(r.LastSeen) > t.limits.MaxListLag
	if !missing || !silent {
		return false
	}
	gone := r.Entry
	gone.State = blackboard.Gone
	return t.merge("", gone, now) == Departure
}

// Forget deletes the instances that have been gone for longer than
// Limits.ForgetAfter, so that the table stays bounded. A stale "alive" does not
// bring a deleted instance back: a peer's entry is rejected, since its proof of
// life is older than GoneAt and therefore than Limits.MaxProofAge, and the
// platform's list would have to lag by more than Limits.ForgetAfter.
func (t *Table) Forget(now time.Time) {
	for id, r := range t.records {
		if r.State == blackboard.Gone && now.Sub(r.GoneAt) > t.limits.ForgetAfter {
			delete(t.records, id)
			delete(t.byKey, IncarnationKey(r.Entry))
		}
	}
}
