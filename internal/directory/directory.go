// Package directory keeps which upstreams there are, from the entries that they
// write to the platform's store, and from departures that peers tell of.
//
// It is a fold without I/O. Entries carry the offset of their record, so that
// views from the store and from peers join in any order and never go back.
package directory

import (
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// State is what an upstream says of itself.
type State int

// The states.
const (
	// Ready upstreams take work.
	Ready State = 1
	// Leaving upstreams finish what they have.
	Leaving State = 2
)

// Upstream is one upstream's entry.
type Upstream struct {
	// ID names one life of an upstream, so that whatever is kept by ID (loads,
	// connections, failures, what it holds in memory) ends with that life. See
	// LifeID.
	ID ident.Instance
	// Name is the upstream's key in the store, and what it answers to. A later life
	// may have the name of an earlier one.
	Name ident.Instance
	// Born is the upstream's own time of its start, milliseconds since 1970, and
	// higher in a later life; 0 if not said.
	Born          int64
	Service       ident.Service
	Address       string
	FailureDomain ident.FailureDomain
	// Slots is how many requests it works on at a time.
	Slots int
	State State
	// Reclaimable upstreams can be taken away, all of a failure domain at once.
	Reclaimable bool
	// LeavesIn is the time left when the entry was written; 0 if not said.
	LeavesIn time.Duration
	// Version is that of its software; empty if not said.
	Version ident.Version
	// ColdFor is how much longer it is slow after its start, as of when the entry was
	// written, and WarmAt when this process takes it to be over; zero if it was warm.
	ColdFor time.Duration
	WarmAt  time.Time
}

// LifeID returns the ID of an upstream's life. What goes wrong if lives share an ID:
// an upstream that was leaving, crashed and came back under its name never gets work
// again, or its next life gets the blame, the load and the believed memory of the one
// before.
func LifeID(name ident.Instance, born int64) ident.Instance {
	if born == 0 {
		return name
	}
	return name + ident.Instance("/"+strconv.FormatInt(born, 36))
}

// Entry is the newest known record of one upstream's newest life.
type Entry struct {
	// Offset is that of the record that gave the entry its state.
	Offset ident.Offset
	// dropEnd is the offset after the newest record that dropped the name, also
	// before Offset; 0 if none did.
	dropEnd ident.Offset
	// ChangeOffset is the offset of the record that said anything new: upstreams renew
	// their entries about once a second, and a renewal says nothing new.
	ChangeOffset ident.Offset
	// Present is false where the record dropped the entry. Upstream then
	// holds what was known last.
	Present  bool
	Upstream Upstream
	// ChangedAt is when this process learned of the state.
	ChangedAt time.Time
	// UsableUntil is until when a dropped entry may still be used, because it may
	// have lapsed only while the store was away; zero for a departure.
	UsableUntil time.Time
}

// graceAfterOutage is until when after the end of an outage of the platform's
// store a dropped entry stays usable: entries lapse while upstreams cannot renew
// them, and are back within two seconds (the platform's word) of the store's
// return. What is dropped later is a departure, which is due within two seconds
// of the drop, so that it gets no grace.
const graceAfterOutage = 2 * time.Second

// dropRetention is how long a dropped entry is remembered, so that a peer that is
// behind cannot bring it back, and departures can be passed on.
const dropRetention = 60 * time.Second

// Directory holds the entries. It is not safe for concurrent use.
type Directory struct {
	entries map[ident.Instance]*Entry
	// next is the offset up to which all records are known, and since the one from
	// which on all drops are: a listing of the store does not tell what it lacks.
	next, dropsKnownFrom ident.Offset
	// outageEnded is when the store was last seen to be back; zero if never
	// away.
	outageEnded time.Time
	storeAway   bool
	views       viewBuilder
	changes     changeLog
}

// New returns a directory that knows nothing.
func New() *Directory {
	return &Directory{entries: make(map[ident.Instance]*Entry), views: newViewBuilder()}
}

// set replaces an entry.
func (d *Directory) set(name ident.Instance, next *Entry) {
	known := d.entries[name]
	if known == nil || known.Present != next.Present || known.UsableUntil != next.UsableUntil || known.Upstream != next.Upstream {
		d.views.changed[name] = true
	}
	if known == nil || known.ChangeOffset != next.ChangeOffset {
		d.changes.add(next.ChangeOffset, name)
	}
	d.entries[name] = next
	d.changes.trim(d.entries)
}

// Next is the offset up to which all records of the store are known.
func (d *Directory) Next() ident.Offset { return d.next }

// StoreAway notes that the store did not answer.
func (d *Directory) StoreAway() { d.storeAway = true }

// StoreBack notes that the store answered at an instant, to this gateway or to
// another one.
func (d *Directory) StoreBack(at time.Time) {
	if d.storeAway {
		d.storeAway = false
		d.outageEnded = at
	}
}

// Apply takes one record of the store and reports whether something changed beyond
// its offset; a nil upstream drops the name. A record that is not newer than what is
// known changes nothing, nor does one of an earlier life, however late it was written.
func (d *Directory) Apply(name ident.Instance, offset ident.Offset, u *Upstream, now time.Time) bool {
	return d.apply(name, offset, u, d.graceEnd(now), now)
}

// Unreadable takes a record that names no upstream to use. Whoever wrote it, the name
// gets no work until a readable record follows: another gateway that lists the store
// now sees nothing else of it.
func (d *Directory) Unreadable(name ident.Instance, offset ident.Offset, now time.Time) bool {
	if _, known := d.entries[name]; !known {
		return false
	}
	return d.apply(name, offset, nil, time.Time{}, now)
}

func (d *Directory) apply(name ident.Instance, offset ident.Offset, u *Upstream, graceEnd, now time.Time) bool {
	known := d.entries[name]
	if u == nil {
		if known != nil {
			known.dropEnd = max(known.dropEnd, offset+1)
			if offset <= known.Offset {
				return false
			}
		}
		return d.drop(name, offset, graceEnd, now)
	}
	next := &Entry{Offset: offset, ChangeOffset: offset, Present: true, Upstream: *u, ChangedAt: now}
	if u.ColdFor > 0 {
		next.Upstream.WarmAt = now.Add(u.ColdFor)
	}
	if known == nil {
		d.set(name, next)
		return true
	}
	next.dropEnd = known.dropEnd
	switch {
	case u.Born < known.Upstream.Born:
		return false
	case u.Born > known.Upstream.Born:
		return d.applyNewIncarnation(name, known, next)
	case offset <= known.Offset:
		return false
	}
	if known.Upstream.State == Leaving && u.State == Ready && (known.Present || u.Born != 0) {
		// A leaving upstream never becomes ready again in the same life.
		next.Upstream.State = Leaving
	}
	same := known.Present && equalIgnoringTimes(known.Upstream, next.Upstream)
	if same {
		next.ChangedAt, next.ChangeOffset = known.ChangedAt, known.ChangeOffset
	}
	d.set(name, next)
	return !same
}

// applyNewIncarnation replaces an entry by that of a later life. The records of two lives may
// come in any order: a drop after the later life's record concerns that life, also if
// it was seen first.
func (d *Directory) applyNewIncarnation(name ident.Instance, known, next *Entry) bool {
	if next.dropEnd <= next.Offset {
		d.set(name, next)
		return true
	}
	next.Offset, next.ChangeOffset = next.dropEnd-1, next.dropEnd-1
	next.Present = false
	d.set(name, next)
	return known.Present || !known.UsableUntil.IsZero()
}

func equalIgnoringTimes(a, b Upstream) bool {
	a.LeavesIn, b.LeavesIn = 0, 0
	a.ColdFor, b.ColdFor = 0, 0
	a.WarmAt, b.WarmAt = time.Time{}, time.Time{}
	return a == b
}

// drop notes that an entry was dropped; until graceEnd it stays usable.
func (d *Directory) drop(id ident.Instance, offset ident.Offset, graceEnd, now time.Time) bool {
	next := Entry{Offset: offset, ChangeOffset: offset, dropEnd: offset + 1, ChangedAt: now}
	known := d.entries[id]
	wasPresent := known != nil && known.Present
	if known != nil {
		next.Upstream = known.Upstream
	}
	switch {
	case known == nil:
	case !wasPresent:
		next.ChangedAt, next.ChangeOffset = known.ChangedAt, known.ChangeOffset
	case known.Upstream.State == Ready && now.Before(graceEnd):
		next.UsableUntil = graceEnd
	}
	d.set(id, &next)
	return wasPresent
}

// graceEnd is until when entries that the store drops now stay usable; zero if
// they get no grace.
func (d *Directory) graceEnd(now time.Time) time.Time {
	if d.storeAway {
		return now.Add(graceAfterOutage)
	}
	if d.outageEnded.IsZero() {
		return time.Time{}
	}
	return d.outageEnded.Add(graceAfterOutage)
}

// Reached notes that all records before an offset were applied.
func (d *Directory) Reached(next ident.Offset) { d.next = max(d.next, next) }

// Listed takes a complete listing of the store's newest records as of an offset:
// what it does not hold, and was not written since, is gone.
func (d *Directory) Listed(present map[ident.Instance]bool, end ident.Offset, now time.Time) bool {
	changed := false
	for id, entry := range d.entries {
		if entry.Present && !present[id] && entry.Offset < end {
			changed = d.drop(id, end-1, d.graceEnd(now), now) || changed
		}
	}
	d.next, d.dropsKnownFrom = max(d.next, end), max(d.dropsKnownFrom, end)
	return changed
}

// Expire forgets what was dropped long ago and ends the grace of lapsed entries.
// It reports whether an entry stopped to be usable, and whether the grace of others goes on.
func (d *Directory) Expire(now time.Time) (changed, more bool) {
	for id, entry := range d.entries {
		switch {
		case entry.Present:
		case d.usable(entry, now):
			more = true
		case !entry.UsableUntil.IsZero():
			lapsed := *entry
			lapsed.UsableUntil = time.Time{}
			d.set(id, &lapsed)
			changed = true
		case now.Sub(entry.ChangedAt) > dropRetention:
			d.dropsKnownFrom = max(d.dropsKnownFrom, entry.Offset+1)
			delete(d.entries, id)
		}
	}
	return changed, more
}

// usable reports whether a dropped entry is within its grace, which does not end
// while the store is away.
func (d *Directory) usable(entry *Entry, now time.Time) bool {
	return !entry.UsableUntil.IsZero() && (d.storeAway || now.Before(entry.UsableUntil))
}
