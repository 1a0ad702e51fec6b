package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Record is an upstream's entry as gateways send it to each other.
type Record struct {
	// Name is the upstream's name, not the ID of its incarnation.
	Name ident.Instance
	At   ident.Position
	// Upstream is nil for a dropped entry.
	Upstream *Upstream
	// UsableFor is how long a dropped entry stays usable, in case it expired only
	// because the store was unavailable.
	UsableFor time.Duration
	// Copied is the upstream's record in an older copy of the store, if the entry was dropped and is kept
	// against it; nil otherwise.
	Copied *Upstream
}

// Update is an update from one gateway's directory to another's.
type Update struct {
	Records []Record
	// UpTo is the position before which the receiver knows all records once it has applied
	// these.
	UpTo ident.Position
	// Complete is set if Records are all entries as of UpTo. Entries that are not among
	// them are gone.
	Complete bool
	// Through is set if the receiver's position is in the era before that of UpTo: what the sender knew of
	// that era. A receiver that knows more of it cannot use the update.
	Through ident.Position
}

// UpdateSince returns the update for a directory that knows all records before an offset:
// the newer changes, or all entries if those do not suffice (see HasChangesSince). A
// gateway that has just started lists the store's entries and does not know which were
// dropped before. If it sent only newer changes, a receiver that adopts its offset would
// keep such an upstream forever, and send it requests after it has left. Renewals are left
// out: with those of hundreds of upstreams, the few changes that matter would be delayed.
func (d *Directory) UpdateSince(from ident.Position, now time.Time) Update {
	from = d.inEraIfNone(from)
	update := Update{UpTo: d.next, Complete: !d.HasChangesSince(from)}
	if update.Complete {
		for name, entry := range d.entries {
			update.Records = append(update.Records, recordOf(name, entry, now))
		}
		return update
	}
	sameEra := from.SameEra(d.next)
	if !sameEra {
		update.Through = d.beforeEra
	}
	for _, change := range d.changes.since(from) {
		// An entry that has changed again has a later change in the log.
		if entry := d.entries[change.name]; entry != nil && (entry.Change == change.at || sameEra && entry.inEraSince == change.at && entry.Change.Before(from)) {
			update.Records = append(update.Records, recordOf(change.name, entry, now))
		}
	}
	for name := range d.kept {
		// The receiver may have read the copy's record at a later position than this one's.
		if entry := d.entries[name]; entry.Change.Before(from) {
			update.Records = append(update.Records, recordOf(name, entry, now))
		}
	}
	return update
}

// inEraIfNone returns a position that names no era as one of the present era: a gateway of an earlier build
// means that.
func (d *Directory) inEraIfNone(from ident.Position) ident.Position {
	if from.Era() == 0 && !from.IsZero() {
		return from.In(d.next.Era())
	}
	return from
}

func recordOf(name ident.Instance, entry *Entry, now time.Time) Record {
	record := Record{Name: name, At: entry.At}
	switch {
	case entry.Present:
		upstream := entry.Upstream
		record.Upstream = &upstream
	case now.Before(entry.UsableUntil):
		record.UsableFor = entry.UsableUntil.Sub(now)
	}
	if !entry.Present && entry.copied != nil {
		copied := entry.copied.upstream
		record.Copied = &copied
	}
	return record
}

// changeLog lists the changes of entries by position. Without it, a collector would examine
// all entries for each gateway of its domain that lacks a few, in each round, and its work
// would grow as gateways times upstreams.
type changeLog struct {
	entries []change
	// unsorted is set while a change stands after one with a later position.
	unsorted bool
}

// change says that the entry of a name was changed by the record at a position.
type change struct {
	at   ident.Position
	name ident.Instance
}

// add records that an entry changed. It is usually the newest change, but those that other
// gateways send arrive in any order.
func (l *changeLog) add(at ident.Position, name ident.Instance) {
	if n := len(l.entries); n > 0 && l.entries[n-1].at.After(at) {
		l.unsorted = true
	}
	l.entries = append(l.entries, change{at, name})
}

// trim removes the changes after which the same entry changed again, once they are more than
// half of all.
func (l *changeLog) trim(entries map[ident.Instance]*Entry) {
	const slack = 64
	if len(l.entries) <= 2*len(entries)+slack {
		return
	}
	l.entries = slices.DeleteFunc(l.entries, func(c change) bool {
		entry := entries[c.name]
		return entry == nil || entry.Change != c.at && entry.inEraSince != c.at
	})
}

// since returns the changes from a position on, sorted by position.
func (l *changeLog) since(from ident.Position) []change {
	if l.unsorted {
		slices.SortFunc(l.entries, func(a, b change) int {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.name, b.name))
		})
		l.entries = slices.Compact(l.entries)
		l.unsorted = false
	}
	i, _ := slices.BinarySearchFunc(l.entries, from, func(c change, from ident.Position) int { return c.at.Compare(from) })
	return l.entries[i:]
}

// HasChangesSince reports whether this directory can update one that knows all records before a
// position with newer changes alone, rather than with all entries. That is so too for a position in the era
// before, unless more was known there than here. Of an era that was itself heard of as changes, only the later
// records are known.
func (d *Directory) HasChangesSince(from ident.Position) bool {
	from = d.inEraIfNone(from)
	if from.SameEra(d.next) {
		return !from.Before(d.dropsKnownFrom) && !from.Before(d.knownFrom)
	}
	return from.SameEra(d.beforeEra) && !from.After(d.beforeEra) && !from.Before(d.dropsKnownFrom)
}

// ApplyUpdate applies another gateway's update. It returns the records that changed
// something, and whether anything changed: a complete update also drops the entries that it
// lacks. A dropped entry stays usable for as long as the sender says: this gateway alone
// may have been cut off from the store, or may receive the drop long after it, and would
// otherwise give a departure the grace of an outage. An update of an earlier era changes nothing.
func (d *Directory) ApplyUpdate(update Update, now time.Time) (changes []Record, changed bool) {
	newEra := update.UpTo.InNewEra(d.next)
	switch {
	case update.UpTo.Era() < d.era:
		return nil, false
	case newEra && !update.Complete && (!update.Through.SameEra(d.next) || d.next.After(update.Through)):
		return nil, false
	}
	d.BeginEra(update.UpTo, now)
	present := make(map[ident.Instance]bool)
	for i := range update.Records {
		r := update.Records[i]
		present[r.Name] = r.Upstream != nil || r.Copied != nil
		if d.applyFromPeer(&r, now) {
			changes = append(changes, r)
		}
	}
	changed = len(changes) > 0
	if update.Complete {
		changed = d.ApplyListing(present, update.UpTo, now) || changed
	}
	d.next = d.next.Later(update.UpTo)
	if newEra {
		d.knownFrom = update.UpTo
	}
	return changes, changed
}

// applyFromPeer applies one record of another gateway's update, and reports whether it changed something.
func (d *Directory) applyFromPeer(r *Record, now time.Time) (changed bool) {
	mayBeListed := r.At.IsKept() && d.mayBeListed(r)
	changed = d.apply(r.Name, r.At, r.Upstream, now.Add(r.UsableFor), now)
	copied := cmp.Or(r.Copied, r.Upstream)
	if entry := d.entries[r.Name]; mayBeListed && copied != nil && entry != nil && entry.At == r.At {
		d.setCopied(r.Name, copied, now)
	}
	return changed
}
