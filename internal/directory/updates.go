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
	Name   ident.Instance `json:"id"`
	Offset ident.Offset   `json:"off"`
	// Upstream is nil for a dropped entry.
	Upstream *Upstream `json:"up,omitempty"`
	// UsableFor is how long a dropped entry stays usable, in case it expired only
	// because the store was unavailable.
	UsableFor time.Duration `json:"usable,omitempty"`
}

// Update is an update from one gateway's directory to another's.
type Update struct {
	Records []Record `json:"records,omitempty"`
	// UpTo is the offset before which the receiver knows all records once it has applied
	// these.
	UpTo ident.Offset `json:"upto"`
	// Complete is set if Records are all entries as of UpTo. Entries that are not among
	// them are gone.
	Complete bool `json:"complete,omitempty"`
}

// UpdateSince returns the update for a directory that knows all records before an offset:
// the newer changes, or all entries if those do not suffice (see HasChangesSince). A
// gateway that has just started lists the store's entries and does not know which were
// dropped before. If it sent only newer changes, a receiver that adopts its offset would
// keep such an upstream forever, and send it requests after it has left. Renewals are left
// out: with those of hundreds of upstreams, the few changes that matter would be delayed.
func (d *Directory) UpdateSince(from ident.Offset, now time.Time) Update {
	update := Update{UpTo: d.next, Complete: !d.HasChangesSince(from)}
	if update.Complete {
		for name, entry := range d.entries {
			update.Records = append(update.Records, recordOf(name, entry, now))
		}
		return update
	}
	for _, change := range d.changes.since(from) {
		// An entry that has changed again has a later change in the log.
		if entry := d.entries[change.name]; entry != nil && entry.ChangeOffset == change.offset {
			update.Records = append(update.Records, recordOf(change.name, entry, now))
		}
	}
	return update
}

func recordOf(name ident.Instance, entry *Entry, now time.Time) Record {
	record := Record{Name: name, Offset: entry.Offset}
	switch {
	case entry.Present:
		upstream := entry.Upstream
		record.Upstream = &upstream
	case now.Before(entry.UsableUntil):
		record.UsableFor = entry.UsableUntil.Sub(now)
	}
	return record
}

// changeLog lists the changes of entries by offset. Without it, a collector would examine
// all entries for each gateway of its domain that lacks a few, in each round, and its work
// would grow as gateways times upstreams.
type changeLog struct {
	entries []change
	// unsorted is set while a change stands after one with a higher offset.
	unsorted bool
}

// change says that the entry of a name was changed by the record at an offset.
type change struct {
	offset ident.Offset
	name   ident.Instance
}

// add records that an entry changed. It is usually the newest change, but those that other
// gateways send arrive in any order.
func (l *changeLog) add(offset ident.Offset, name ident.Instance) {
	if n := len(l.entries); n > 0 && l.entries[n-1].offset > offset {
		l.unsorted = true
	}
	l.entries = append(l.entries, change{offset, name})
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
		return entry == nil || entry.ChangeOffset != c.offset
	})
}

// since returns the changes from an offset on, sorted by offset.
func (l *changeLog) since(offset ident.Offset) []change {
	if l.unsorted {
		slices.SortFunc(l.entries, func(a, b change) int {
			return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.name, b.name))
		})
		l.entries = slices.Compact(l.entries)
		l.unsorted = false
	}
	i, _ := slices.BinarySearchFunc(l.entries, offset, func(c change, offset ident.Offset) int { return cmp.Compare(c.offset, offset) })
	return l.entries[i:]
}

// HasChangesSince reports whether this directory can update one that knows all records before an
// offset with newer changes alone, rather than with all entries.
func (d *Directory) HasChangesSince(from ident.Offset) bool { return from >= d.dropsKnownFrom }

// ApplyUpdate applies another gateway's update. It returns the records that changed
// something, and whether anything changed: a complete update also drops the entries that it
// lacks. A dropped entry stays usable for as long as the sender says: this gateway alone
// may have been cut off from the store, or may receive the drop long after it, and would
// otherwise give a departure the grace of an outage.
func (d *Directory) ApplyUpdate(update Update, now time.Time) (changes []Record, changed bool) {
	present := make(map[ident.Instance]bool)
	for _, r := range update.Records {
		present[r.Name] = r.Upstream != nil
		if d.apply(r.Name, r.Offset, r.Upstream, now.Add(r.UsableFor), now) {
			changes = append(changes, r)
		}
	}
	changed = len(changes) > 0
	if update.Complete {
		changed = d.ApplyListing(present, update.UpTo, now) || changed
	}
	d.next = max(d.next, update.UpTo)
	return changes, changed
}
