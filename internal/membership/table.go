package membership

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Limits are the time limits of a table. Forget must be longer than Admission
// and ListLag; see Table.Forget.
type Limits struct {
	// MaxProofAge is the greatest age of the proof of life with which a peer
	// can introduce a living instance, or a new life of one, that this
	// process does not know.
	MaxProofAge time.Duration
	// ForgetAfter is how long a gone instance is remembered.
	ForgetAfter time.Duration
	// MaxListLag is how far the platform's list is behind at most. An instance
	// that was missing for longer, and was silent, has ended.
	MaxListLag time.Duration
	// LocalRefresh and RemoteRefresh are how often new proof of life and load
	// of one instance are passed on: of upstreams of the own failure domain,
	// and of all others.
	LocalRefresh  time.Duration
	RemoteRefresh time.Duration
}

// DefaultLimits suit a list that lags by up to a minute.
func DefaultLimits() Limits {
	return Limits{
		MaxProofAge:   2 * time.Minute,
		ForgetAfter:   10 * time.Minute,
		MaxListLag:    time.Minute,
		LocalRefresh:  2 * time.Second,
		RemoteRefresh: 30 * time.Second,
	}
}

// Table is one process's knowledge of all instances.
type Table struct {
	limits Limits
	domain ident.FailureDomain
	self   ident.Instance
	// sequence numbers the changes that digests carry, from 1.
	sequence uint64
	records  map[ident.Instance]*record
	// lastFactSequence is the number of the last fact; checksum was computed at
	// checksumAt.
	lastFactSequence, checksumSequence, checksum uint64
	// byKey finds the instances by the Key of their present life.
	byKey map[uint64]ident.Instance
}

// record is an entry with what this process needs to know around it.
type record struct {
	Entry
	// factSequence and figuresAt are the numbers of the last change of the
	// incarnation, state or description, and of the last announced proof of
	// life and load.
	factSequence, figuresSequence uint64
	// announcedSeen is the Seen that figuresAt stands for.
	announcedSeen time.Time
	// factFrom and figuresFrom are the peers that told these changes; they
	// need no echo.
	factFrom, figuresFrom ident.Instance
	// absentSince is when the platform's list first missed the instance.
	absentSince time.Time
}

// Change tells what a merge did to an entry.
type Change int

// The changes, in the order of their weight.
const (
	// NoChange that others need to know has changed.
	NoChange Change = iota
	// Figures: newer proof of life or load.
	Figures
	// Fact: a new instance, incarnation or description.
	Fact
	// Departure: the instance was not known to be leaving before.
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

// Len returns the number of entries, gone ones included.
func (t *Table) Len() int { return len(t.records) }

// Sequence returns the number of the last change.
func (t *Table) Sequence() uint64 { return t.sequence }

// LastFact returns the number of the last change that was a fact.
func (t *Table) LastFact() uint64 { return t.lastFactSequence }

// Find returns the entry of an instance.
func (t *Table) Find(id ident.Instance) (Entry, bool) {
	r, ok := t.records[id]
	if !ok {
		return Entry{}, false
	}
	return r.Entry, true
}

// All calls yield for each entry, gone ones included, in no order.
func (t *Table) All(yield func(Entry) bool) {
	for _, r := range t.records {
		if !yield(r.Entry) {
			return
		}
	}
}

// MergePeer merges an entry of a peer's digest.
//
// What goes wrong without admission: a peer comes back from an hour's partition
// and still holds an instance as alive that all others have seen end and
// forgotten; it would be alive again everywhere. An instance that is gone gives
// no proof of life, so an old proof is the sign of it. That holds for each life:
// an earlier one may still be remembered where the later one is forgotten.
func (t *Table) MergePeer(from ident.Instance, e Entry, now time.Time) Change {
	if e.State == blackboard.Suspect {
		e.State = blackboard.Alive
	}
	r, known := t.records[e.ID]
	newLife := !known || e.Incarnation > r.Incarnation
	if !newLife || t.mayIntroduce(e, now) {
		return t.merge(from, e, now)
	}
	if !known {
		return NoChange
	}
	// Whether or not the later life goes on, the earlier one is over.
	return t.merge(from, Entry{ID: r.ID, Incarnation: r.Incarnation, State: blackboard.Gone}, now)
}

func (t *Table) mayIntroduce(e Entry, now time.Time) bool {
	switch e.State {
	case blackboard.Gone:
		return now.Sub(e.GoneAt) <= t.limits.ForgetAfter
	case blackboard.Leaving:
		// This process's list may show it as live yet.
		return true
	}
	return now.Sub(e.Seen) <= t.limits.MaxProofAge
}

// Observe merges what this process itself saw of an instance: its answer to a
// probe or a heartbeat, its own word that it leaves, or a reclaim notice.
func (t *Table) Observe(e Entry, now time.Time) Change {
	return t.merge("", e, now)
}

// merge joins e into the table and numbers the change.
func (t *Table) merge(from ident.Instance, e Entry, now time.Time) Change {
	if e.State == blackboard.Gone && e.GoneAt.IsZero() {
		e.GoneAt = now
	}
	r, known := t.records[e.ID]
	if !known {
		r = &record{Entry: e}
		t.records[e.ID] = r
		t.byKey[Key(e)] = e.ID
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

// classifyChange tells what a join changed, from the view of other processes.
func (t *Table) classifyChange(r *record, before Entry) Change {
	replaced := r.Incarnation != before.Incarnation
	if replaced {
		r.absentSince = time.Time{}
		delete(t.byKey, Key(before))
		t.byKey[Key(r.Entry)] = r.ID
	}
	departed := r.State >= blackboard.Leaving && (replaced || before.State < blackboard.Leaving)
	switch {
	case departed:
		return Departure
	case replaced, r.State != before.State:
		return Fact
	case r.PeerAddress != before.PeerAddress, r.FailureDomain != before.FailureDomain:
		return Fact
	case r.Seen.Sub(r.announcedSeen) >= t.refreshInterval(r.Entry):
		return Figures
	}
	return NoChange
}

func (t *Table) refreshInterval(e Entry) time.Duration {
	if e.FailureDomain == t.domain && e.PeerAddress == "" {
		return t.limits.LocalRefresh
	}
	return t.limits.RemoteRefresh
}

// assignSequence gives a change the next number, so that coming digests carry it.
func (t *Table) assignSequence(r *record, from ident.Instance, change Change) {
	if change == NoChange {
		return
	}
	t.sequence++
	r.announcedSeen = r.Seen
	r.figuresSequence = t.sequence
	r.figuresFrom = from
	if change >= Fact {
		r.factSequence = t.sequence
		t.lastFactSequence = t.sequence
		r.factFrom = from
	}
}

// ApplyList merges the platform's list, which lags and may be older than the
// one before. It returns the instances that were not known to leave before.
//
// A line that says "live" introduces an instance but is no proof of life and
// changes nothing of one that is known to leave. An instance that is missing
// counts as gone only when it is missing for long and silent as well, for gone
// is for good, and a list may be incomplete.
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

func (t *Table) applyListed(line *platform.Instance, now time.Time) Change {
	description := *line
	description.State = 0
	return t.merge("", Entry{
		ID:            line.ID,
		Incarnation:   line.Incarnation,
		State:         memberState(line.State),
		FailureDomain: line.FailureDomain,
		PeerAddress:   line.PeerAddress,
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

// markGoneIfAbsent turns an instance into gone when it was missing and silent for
// long enough, and reports whether that was the first sign of its leaving. An
// instance that was known before the first list without it, and is missing
// from a list read ListLag later, is missing from a list made after it started.
func (t *Table) markGoneIfAbsent(r *record, now time.Time) bool {
	if r.ID == t.self || r.State == blackboard.Gone {
		return false
	}
	if r.absentSince.IsZero() {
		r.absentSince = now
	}
	missing := now.Sub(r.absentSince) > t.limits.MaxListLag
	silent := now.Sub(r.Seen) > t.limits.MaxListLag
	if !missing || !silent {
		return false
	}
	gone := r.Entry
	gone.State = blackboard.Gone
	return t.merge("", gone, now) == Departure
}

// Forget drops the instances that have been gone for long, so that the table
// stays bounded. A stale "alive" cannot revive one that was dropped: from a
// peer it is not admitted, since its proof of life is older than GoneAt and so
// than Limits.MaxProofAge; from the platform's list only if that lags by more
// than Limits.ForgetAfter.
func (t *Table) Forget(now time.Time) {
	for id, r := range t.records {
		if r.State == blackboard.Gone && now.Sub(r.GoneAt) > t.limits.ForgetAfter {
			delete(t.records, id)
			delete(t.byKey, Key(r.Entry))
		}
	}
}
