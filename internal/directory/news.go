package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Record is an upstream's entry as gateways tell it each other.
type Record struct {
	// ID is the upstream's name.
	ID     ident.Instance `json:"id"`
	Offset ident.Offset   `json:"off"`
	// Upstream is nil for a dropped entry.
	Upstream *Upstream `json:"up,omitempty"`
	// Usable is for how long a dropped entry stays usable, because it may have
	// lapsed only while the store was away.
	Usable time.Duration `json:"usable,omitempty"`
}

// News is what one gateway's directory has beyond another's.
type News struct {
	Records []Record `json:"records,omitempty"`
	// UpTo is the offset up to which the receiver knows all records with these.
	UpTo ident.Offset `json:"upto"`
	// Complete: Records are all entries as of UpTo; what they lack is gone.
	Complete bool `json:"complete,omitempty"`
}

// News returns what a directory lacks that knows all records before an offset. What
// goes wrong if it were always only what is newer: a gateway that has just started
// lists the store's entries, and knows nothing of those dropped before. Another one
// that takes over its offset would keep such an upstream for good, and send it requests
// after it has left. Renewals are left out: with them, the news of hundreds of upstreams
// delay the few that matter.
func (d *Directory) News(from ident.Offset, now time.Time) News {
	news := News{UpTo: d.next, Complete: !d.Covers(from)}
	if news.Complete {
		for name, entry := range d.entries {
			news.Records = append(news.Records, recordOf(name, entry, now))
		}
		return news
	}
	for _, change := range d.changes.since(from) {
		// An entry that has changed again since stands there once more.
		if entry := d.entries[change.name]; entry != nil && entry.ChangeOffset == change.offset {
			news.Records = append(news.Records, recordOf(change.name, entry, now))
		}
	}
	return news
}

func recordOf(name ident.Instance, entry *Entry, now time.Time) Record {
	record := Record{ID: name, Offset: entry.Offset}
	switch {
	case entry.Present:
		upstream := entry.Upstream
		record.Upstream = &upstream
	case now.Before(entry.UsableUntil):
		record.Usable = entry.UsableUntil.Sub(now)
	}
	return record
}

// changeLog is the entries in the order in which they changed. What goes wrong if all
// entries are looked at for each gateway that lacks a few: a collector does it for each
// gateway of its domain in each round, and its work grows as gateways times upstreams.
type changeLog struct {
	entries  []change
	unsorted bool
}

type change struct {
	offset ident.Offset
	name   ident.Instance
}

// add notes that an entry changed. Mostly it is the newest change; what other gateways tell
// comes in any order.
func (o *changeLog) add(since ident.Offset, name ident.Instance) {
	if n := len(o.entries); n > 0 && o.entries[n-1].offset > since {
		o.unsorted = true
	}
	o.entries = append(o.entries, change{since, name})
}

// trim leaves out changes after which an entry changed again, once they are most of all.
func (o *changeLog) trim(entries map[ident.Instance]*Entry) {
	const least = 64
	if len(o.entries) <= 2*len(entries)+least {
		return
	}
	o.entries = slices.DeleteFunc(o.entries, func(c change) bool {
		entry := entries[c.name]
		return entry == nil || entry.ChangeOffset != c.offset
	})
}

// since returns the changes from an offset on.
func (o *changeLog) since(offset ident.Offset) []change {
	if o.unsorted {
		slices.SortFunc(o.entries, func(a, b change) int {
			return cmp.Or(cmp.Compare(a.offset, b.offset), cmp.Compare(a.name, b.name))
		})
		o.entries = slices.Compact(o.entries)
		o.unsorted = false
	}
	i, _ := slices.BinarySearchFunc(o.entries, offset, func(c change, offset ident.Offset) int { return cmp.Compare(c.offset, offset) })
	return o.entries[i:]
}

// Covers reports whether the news for a directory that knows all records before an
// offset is only what is newer, and not all entries.
func (d *Directory) Covers(from ident.Offset) bool { return from >= d.dropsKnownFrom }

// Take takes another gateway's news and returns the records that changed something,
// and whether anything did. A dropped entry stays usable for as long as it does
// there: this gateway alone may have been away from the store, or may hear of the
// drop long after it, and would give a departure the grace of an outage.
func (d *Directory) Take(news News, now time.Time) (changes []Record, changed bool) {
	present := make(map[ident.Instance]bool)
	for _, r := range news.Records {
		present[r.ID] = r.Upstream != nil
		if d.apply(r.ID, r.Offset, r.Upstream, now.Add(r.Usable), now) {
			changes = append(changes, r)
		}
	}
	changed = len(changes) > 0
	if news.Complete {
		changed = d.Listed(present, news.UpTo, now) || changed
	}
	d.next = max(d.next, news.UpTo)
	return changes, changed
}
