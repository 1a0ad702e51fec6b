// Package directory keeps the list of upstreams, from the entries that they write to the
// platform's store and from the updates that other gateways send.
//
// It does no I/O. Entries carry the position of their record, so that records from the store
// and from other gateways can be merged in any order, and a stale one changes nothing. If the
// store comes back from an older copy, in a new era, what was known of an upstream is kept
// against its record in the copy (see era.go).
package directory

import (
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// State says whether an upstream accepts work, as its entry states.
type State int

// The states.
const (
	// Ready upstreams accept work.
	Ready State = 1
	// Leaving upstreams accept no new work and finish what they have.
	Leaving State = 2
)

// Upstream is one upstream's entry.
type Upstream struct {
	// ID identifies one incarnation of an upstream, so that whatever is kept by ID (loads,
	// connections, failures, what its cache holds) ends with the incarnation. See
	// IncarnationID.
	ID ident.Instance
	// Name is the upstream's key in the store, by which requests address it. A later
	// incarnation may have the same name.
	Name ident.Instance
	// Born is when the upstream started by its own clock, in milliseconds since 1970. It
	// is higher in a later incarnation; 0 if not reported.
	Born          int64
	Service       ident.Service
	Address       string
	FailureDomain ident.FailureDomain
	// Slots is how many requests it processes at the same time.
	Slots int
	State State
	// Reclaimable upstreams can be reclaimed, all of a failure domain at once.
	Reclaimable bool
	// LeavesIn is the time that a leaving upstream had left when the entry was written; 0
	// if not reported.
	LeavesIn time.Duration
	// SoftwareVersion is empty if it is not reported. It is neither the version of the weights nor that of
	// the configuration.
	SoftwareVersion ident.SoftwareVersion
	// ColdFor is how much longer the upstream was slow after its start when the entry was
	// written, and WarmAt when this process assumes that it no longer is. Both are zero if
	// it was warm.
	ColdFor time.Duration
	WarmAt  time.Time
}

// IncarnationID returns the ID of the incarnation that started at born. If incarnations shared an
// ID, an upstream that was leaving, crashed and came back under its name would never get
// work again, or the new incarnation would be given the failures, the load and the assumed
// cache content of the one before.
func IncarnationID(name ident.Instance, born int64) ident.Instance {
	if born == 0 {
		return name
	}
	return name + ident.Instance("/"+strconv.FormatInt(born, 36))
}

// Entry is the newest known record of an upstream's newest incarnation.
type Entry struct {
	// At is the position of the record that gave the entry its state.
	At ident.Position
	// written is the position of the newest record that the upstream wrote; zero if none is known.
	written ident.Position
	// dropEnd is the position after the newest record that dropped the name, which may be
	// before At; zero if there is none.
	dropEnd ident.Position
	// Change is the position of the newest record that changed the entry. Upstreams
	// renew their entries about once a second, and a renewal changes nothing.
	Change ident.Position
	// inEraSince is the position of the record that first showed the entry unchanged in its era; zero if that
	// changed it.
	inEraSince ident.Position
	// Present is false if the record dropped the entry. Upstream then holds what was
	// last known.
	Present  bool
	Upstream Upstream
	// ChangedAt is when this process learned of the state.
	ChangedAt time.Time
	// UsableUntil is until when a dropped entry may still be used, in case it expired only
	// because the store was unavailable; zero for a departure.
	UsableUntil time.Time
	// copied is the record of an older copy against which the entry is kept; nil if there is none.
	copied *copiedRecord
}

// graceAfterOutage is how long after an outage of the platform's store a dropped entry
// stays usable. Entries expire while upstreams cannot renew them, and the platform
// guarantees that they are back within two seconds of the outage's end. An entry that is
// dropped later is a departure, which must be applied within two seconds of the drop, and
// gets no grace.
const graceAfterOutage = 2 * time.Second

// dropRetention is how long a dropped entry is remembered, so that a gateway with a stale
// view cannot bring it back, and departures can be passed on.
const dropRetention = 60 * time.Second

// Directory holds the entries of all upstreams. It is not safe for concurrent use.
type Directory struct {
	// entries are by the upstreams' names.
	entries map[ident.Instance]*Entry
	// All records before next are known, and all drops from dropsKnownFrom on: a listing of the
	// store does not show earlier drops.
	next, dropsKnownFrom ident.Position
	// era is the newest era of which a record or a listing is known, which next reaches at the end of a listing.
	// beforeEra is what next was in the era before; zero if none was known then.
	era       ident.Era
	beforeEra ident.Position
	// knownFrom is the position from which on all records of this era are known, if others came before: a listing
	// shows no drops, and another gateway passes on only what has changed since the era before.
	knownFrom ident.Position
	// copyEnd is the lowest known end of the log in this era: what lies behind it was written since; zero if the
	// era is the first that this process knows. eraSeenAt is when the era became known.
	copyEnd   ident.Position
	eraSeenAt time.Time
	// kept are the names of the entries that are kept against an older copy.
	kept map[ident.Instance]bool
	// renewal is the interval at which upstreams renew their entries.
	renewal time.Duration
	// outageEnded is when the store's last outage ended; zero if there was none.
	outageEnded time.Time
	storeAway   bool
	views       viewBuilder
	changes     changeLog
	// announcedLeaving reports whether an upstream announced in an answer that it leaves; nil if
	// entries alone tell.
	announcedLeaving func(ident.Instance) bool
}

// New returns an empty directory that knows no records.
func New() *Directory {
	return &Directory{entries: make(map[ident.Instance]*Entry), kept: make(map[ident.Instance]bool), views: newViewBuilder()}
}

// UseAnnouncements sets the function that reports whether an upstream announced in an answer that
// it leaves. Views show such an upstream as leaving, whatever its entry says. ShowLeaving must be
// called when the function's result changes.
func (d *Directory) UseAnnouncements(leaving func(ident.Instance) bool) { d.announcedLeaving = leaving }

// ShowLeaving makes the next view show upstreams as leaving that have just announced it, and
// reports whether that changes the view.
func (d *Directory) ShowLeaving(ids []ident.Instance) (changed bool) {
	for _, id := range ids {
		if u, listed := d.views.newest.Upstream(id); listed && u.State == Ready {
			d.views.changed[u.Name] = true
			changed = true
		}
	}
	return changed
}

// set replaces an entry, and records the change for views and updates.
func (d *Directory) set(name ident.Instance, next *Entry) {
	known := d.entries[name]
	if known == nil || known.Present != next.Present || known.UsableUntil != next.UsableUntil || known.Upstream != next.Upstream {
		d.views.changed[name] = true
	}
	if known == nil || known.Change != next.Change {
		d.changes.add(next.Change, name)
	}
	if !next.inEraSince.IsZero() && (known == nil || known.inEraSince != next.inEraSince) {
		d.changes.add(next.inEraSince, name)
	}
	d.entries[name] = next
	if next.copied != nil {
		d.kept[name] = true
	} else {
		delete(d.kept, name)
	}
	d.changes.trim(d.entries)
}

// Next returns the position up to which all records of the store are known.
func (d *Directory) Next() ident.Position { return d.next }

// StoreAway records that the store did not answer.
func (d *Directory) StoreAway() { d.storeAway = true }

// StoreBack records that the store answered this gateway or another one at the given
// time. It ends an outage that StoreAway began.
func (d *Directory) StoreBack(at time.Time) {
	if d.storeAway {
		d.storeAway = false
		d.outageEnded = at
	}
}

// Apply applies one record of the store and reports whether it changed more than the
// entry's position. A nil upstream drops the name. A record that is not newer than the known
// one changes nothing, nor does one of an earlier incarnation, however late it was written.
func (d *Directory) Apply(name ident.Instance, at ident.Position, u *Upstream, now time.Time) bool {
	return d.apply(name, at, u, d.graceEnd(now), now)
}

// ApplyUnreadable applies a record that cannot be decoded, and reports whether it changed
// something. Whoever wrote it, the upstream gets no work until a readable record follows,
// because a gateway that lists the store now sees no other record of it.
func (d *Directory) ApplyUnreadable(name ident.Instance, at ident.Position, now time.Time) bool {
	if _, known := d.entries[name]; !known {
		return false
	}
	return d.apply(name, at, nil, time.Time{}, now)
}

func (d *Directory) apply(name ident.Instance, at ident.Position, u *Upstream, graceEnd, now time.Time) bool {
	known := d.entries[name]
	if u == nil && at.IsKept() && d.isWrittenSince(at) {
		return false // the sender has not heard where the copy ends
	}
	if u == nil {
		if known != nil {
			known.dropEnd = known.dropEnd.Later(at.Next())
			if !at.After(known.At) {
				return false
			}
		}
		return d.drop(name, at, graceEnd, now)
	}
	next := &Entry{At: at, written: at, Change: at, Present: true, Upstream: *u, ChangedAt: now}
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
	case !at.After(known.At):
		if !known.Present && known.At == at.Kept() {
			d.setCopied(name, u, now)
		}
		return false
	case !d.isWrittenSince(at) && known.outlivesCopy(at):
		kept := *known
		kept.keepAgainst(at, &next.Upstream, now)
		d.set(name, &kept)
		return false
	}
	if known.Upstream.State == Leaving && u.State == Ready && (known.Present || u.Born != 0) {
		// A leaving upstream never becomes ready again in the same incarnation.
		next.Upstream.State = Leaving
		if known.copied != nil || !at.SameEra(known.At) {
			next.keepAgainst(at, u, now)
		}
	}
	same := known.Present && known.Upstream.IsRenewedBy(next.Upstream)
	if same {
		next.ChangedAt, next.Change, next.inEraSince = known.ChangedAt, known.Change, known.inEraSince
		if known.isNewsAt(at) {
			next.inEraSince = at
		}
	}
	d.set(name, next)
	return !same
}

// applyNewIncarnation replaces an entry by that of a later incarnation, and reports whether
// something changed. The records of two incarnations may arrive in any order: a drop whose
// position is after the later incarnation's record applies to it, even if the drop arrived
// first.
func (d *Directory) applyNewIncarnation(name ident.Instance, known, next *Entry) bool {
	if !next.dropEnd.After(next.At) {
		d.set(name, next)
		return true
	}
	next.At, next.Change = next.dropEnd.Previous(), next.dropEnd.Previous()
	next.Present = false
	d.set(name, next)
	return known.Present || !known.UsableUntil.IsZero()
}

// IsRenewedBy reports whether an entry renews this one: only the remaining times may differ.
func (u Upstream) IsRenewedBy(next Upstream) bool {
	u.LeavesIn, next.LeavesIn = 0, 0
	u.ColdFor, next.ColdFor = 0, 0
	u.WarmAt, next.WarmAt = time.Time{}, time.Time{}
	return u == next
}

// drop records that an entry was dropped, and reports whether that changed something: it was present, or in
// its grace. A ready upstream's entry stays usable until graceEnd.
func (d *Directory) drop(id ident.Instance, at ident.Position, graceEnd, now time.Time) bool {
	next := Entry{At: at, Change: at, dropEnd: at.Next(), ChangedAt: now}
	known := d.entries[id]
	wasPresent := known != nil && known.Present
	if known != nil {
		next.Upstream, next.written = known.Upstream, known.written
	}
	switch {
	case known == nil:
	case !wasPresent:
		next.ChangedAt = known.ChangedAt
		if !known.isNewsAt(at) {
			next.Change = known.Change
		}
	case known.Upstream.State == Ready && now.Before(graceEnd):
		next.UsableUntil = graceEnd
	}
	d.set(id, &next)
	return wasPresent || known != nil && !known.UsableUntil.IsZero() && next.UsableUntil.IsZero()
}

// graceEnd returns until when entries that the store drops now stay usable; zero if they
// get no grace.
func (d *Directory) graceEnd(now time.Time) time.Time {
	if d.storeAway {
		return now.Add(graceAfterOutage)
	}
	if d.outageEnded.IsZero() {
		return time.Time{}
	}
	return d.outageEnded.Add(graceAfterOutage)
}

// AdvanceTo records that all records before a position were applied.
func (d *Directory) AdvanceTo(next ident.Position) { d.next = d.next.Later(next) }

// ApplyListing applies a complete listing of the store's newest records before the position end,
// and reports whether something changed. Entries that are not in it and were not written
// since are dropped.
func (d *Directory) ApplyListing(present map[ident.Instance]bool, end ident.Position, now time.Time) bool {
	d.BeginEra(end, now)
	newEra := end.InNewEra(d.next)
	changed := false
	for id, entry := range d.entries {
		switch {
		case present[id] || !entry.At.Before(end):
		case entry.Present:
			changed = d.drop(id, end.Previous(), d.graceEnd(now), now) || changed
		default:
			d.confirmGone(id, entry, end)
		}
	}
	d.next = d.next.Later(end)
	if newEra {
		d.knownFrom = end
	} else {
		d.dropsKnownFrom = d.dropsKnownFrom.Later(end)
	}
	return changed
}

// Expire forgets entries that were dropped long ago, ends the grace of expired ones, and gives up the
// entries that are kept against an older copy once it has proved right. confirmed is when the view was known
// to be complete last. Expire reports whether the view changed, and whether entries wait for their time.
func (d *Directory) Expire(now, confirmed time.Time) (changed, more bool) {
	changed, more = d.giveWay(now, confirmed)
	for id, entry := range d.entries {
		switch {
		case entry.Present:
		case d.usable(entry, now):
			more = true
		case !entry.UsableUntil.IsZero():
			expired := *entry
			expired.UsableUntil = time.Time{}
			d.set(id, &expired)
			changed = true
		case now.Sub(entry.ChangedAt) > dropRetention:
			d.dropsKnownFrom = d.dropsKnownFrom.Later(entry.At.Next())
			delete(d.entries, id)
			delete(d.kept, id)
		}
	}
	return changed, more
}

// usable reports whether a dropped entry is within its grace, which does not end while the
// store is unavailable.
func (d *Directory) usable(entry *Entry, now time.Time) bool {
	return !entry.UsableUntil.IsZero() && (d.storeAway || now.Before(entry.UsableUntil))
}
