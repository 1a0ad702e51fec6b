package directory

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// copiedRecord is an upstream's record in the older copy that an era began with, where later news of the
// upstream is known.
type copiedRecord struct {
	upstream Upstream
	// since is when this process first had both.
	since time.Time
}

// hearingTime is how long it takes until a drop in the store is known to a gateway that reaches it or others.
const hearingTime = time.Second

// entryLifetime is how long after a store's return it may still seem to list an upstream that has ended: entries
// that are not renewed for three intervals expire.
func (d *Directory) entryLifetime() time.Duration { return 3*d.renewal + hearingTime }

// LapseTime is how long after the end of an upstream's process its entry may still be listed, or be usable after an
// outage of the store.
func (d *Directory) LapseTime() time.Duration { return d.entryLifetime() + graceAfterOutage }

// UseRenewal sets the interval at which upstreams renew their entries.
func (d *Directory) UseRenewal(interval time.Duration) { d.renewal = interval }

// BeginEra records that the store's log is of an era and had an end. If the era is new, the store came back: an
// entry that is missing has as long to be back as after an outage.
func (d *Directory) BeginEra(end ident.Position, now time.Time) {
	if end.Era() <= d.era {
		return
	}
	d.era, d.copyEnd = end.Era(), ident.Position{}
	if end.InNewEra(d.next) {
		d.beforeEra = d.next
		d.storeAway, d.outageEnded = false, now
		d.copyEnd, d.eraSeenAt = end, now
	}
}

// CopyEnd returns the lowest known end of the log in its era, as long after that began as entries may be kept against
// the copy; zero otherwise.
func (d *Directory) CopyEnd(now time.Time) ident.Position {
	if d.copyEnd.IsZero() || now.Sub(d.eraSeenAt) > 2*d.entryLifetime() {
		return ident.Position{}
	}
	return d.copyEnd
}

// LowerCopyEnd records an end of the log in an era that another gateway saw, and reports whether the view
// changed: entries that were kept against a record that is no copy give way.
func (d *Directory) LowerCopyEnd(end ident.Position, now time.Time) (changed bool) {
	if end.IsZero() || d.era != end.Era() || !d.copyEnd.IsZero() && !end.Before(d.copyEnd) {
		return false
	}
	if d.copyEnd.IsZero() {
		d.eraSeenAt = now
	}
	d.copyEnd = end
	for name := range d.kept {
		if entry := d.entries[name]; !entry.Present && d.isWrittenSince(entry.At) {
			d.giveWayTo(name, entry, now)
			changed = true
		}
	}
	return changed
}

// isWrittenSince reports whether a record at a position was written since its era began, and is not in the copy.
func (d *Directory) isWrittenSince(at ident.Position) bool {
	return !d.copyEnd.IsZero() && at.SameEra(d.copyEnd) && !at.Before(d.copyEnd)
}

// outlivesCopy reports whether a dropped entry is kept against a record at a position, because that record may
// be older than the drop. Otherwise a copy would bring back upstreams that are gone, whose address may be
// another's by now. An entry that is still in its grace is perhaps not gone, and does not.
func (e *Entry) outlivesCopy(at ident.Position) bool {
	known := e.written
	if known.IsZero() {
		known = e.At
	}
	return !e.Present && e.UsableUntil.IsZero() && !e.At.SameEra(at) && at.MayBeCopyOf(known)
}

// isNewsAt reports whether a record at a position, though it says what is known here, is news for a gateway that
// knows only the log of its era: that may have nothing of the entry before.
func (e *Entry) isNewsAt(at ident.Position) bool { return !e.At.SameEra(at) || e.At.IsKept() }

// keepAgainst makes an entry one that is kept against the record of an older copy at a position.
func (e *Entry) keepAgainst(at ident.Position, record *Upstream, now time.Time) {
	e.At = at.Kept()
	e.Change = e.At
	e.copied = &copiedRecord{*record, now}
}

// confirmGone applies that a listing up to end lacks a dropped entry. If the entry was dropped in an earlier
// era, it now counts as dropped in that of the listing, and is passed on as that: what is written from end on is
// new.
func (d *Directory) confirmGone(name ident.Instance, entry *Entry, end ident.Position) {
	gone := *entry
	gone.copied = nil
	if !entry.At.SameEra(end) {
		gone.At, gone.Change, gone.dropEnd = end.Previous(), end.Previous(), end
	}
	d.set(name, &gone)
}

// mayBeListed reports whether the store may still have the record against which another gateway keeps an entry: this
// process knows it, or has not listed the store so far.
func (d *Directory) mayBeListed(r *Record) bool {
	known := d.entries[r.Name]
	if known != nil && known.Present && known.At.SameEra(r.At) && known.At.SameOffset(r.At) {
		return true
	}
	return !r.At.SameEra(d.next) || !r.At.Before(d.next)
}

// setCopied notes the record of an older copy against which an entry is kept, if none is known. That the entry is
// kept was another gateway's decision.
func (d *Directory) setCopied(name ident.Instance, record *Upstream, now time.Time) {
	if d.entries[name].copied != nil {
		return
	}
	kept := *d.entries[name]
	kept.copied = &copiedRecord{*record, now}
	d.set(name, &kept)
}

// giveWay gives up the dropped entries whose upstream is still listed after the time in which the store drops
// one that has ended: it lives, and was dropped only because it could not renew its entry. It reports
// whether there were any, and whether others wait.
func (d *Directory) giveWay(now, confirmed time.Time) (changed, more bool) {
	for name := range d.kept {
		entry := d.entries[name]
		if entry.Present {
			continue
		}
		if confirmed.Sub(entry.copied.since) < d.entryLifetime() {
			more = true
			continue
		}
		d.giveWayTo(name, entry, now)
		changed = true
	}
	return changed, more
}

// giveWayTo makes a dropped entry that was kept against a record what that record says.
func (d *Directory) giveWayTo(name ident.Instance, entry *Entry, now time.Time) {
	d.set(name, &Entry{At: entry.At, written: entry.At, dropEnd: entry.dropEnd, Change: entry.Change, Present: true, Upstream: entry.copied.upstream, ChangedAt: now})
}

// KeptDigest returns a digest of the entries that are kept against an older copy; 0 if there are none.
func (d *Directory) KeptDigest() uint32 {
	sum := uint64(0)
	for name := range d.kept {
		sum ^= xxhash.Sum64String(string(name) + " " + d.entries[name].At.String())
	}
	return uint32(sum)
}

// KeptEntries returns how many entries are kept against an older copy.
func (d *Directory) KeptEntries() int { return len(d.kept) }
