// Package directory keeps which upstreams there are, from the entries that they
// write to the platform's store, and from departures that peers tell of.
//
// It is a fold without I/O. Entries carry the offset of their record, so that
// views from the store and from peers join in any order and never go back.
package directory

import (
	"cmp"
	"maps"
	"slices"
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
	ID            ident.Instance
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
}

// Entry is the newest known record of one upstream.
type Entry struct {
	Offset ident.Offset
	// Present is false where the record dropped the entry. Upstream then
	// holds what was known last.
	Present  bool
	Upstream Upstream
	// ChangedAt is when this process learned of the state.
	ChangedAt time.Time
}

// graceAfterOutage is until when after the end of an outage of the platform's
// store a dropped entry stays usable: entries lapse while upstreams cannot renew
// them, and are back within two seconds (the platform's word) of the store's
// return. What is dropped later is a departure, which is due within two seconds
// of the drop, so that it gets no grace.
const graceAfterOutage = 2 * time.Second

// dropKept is how long a dropped entry is remembered, so that a peer that is
// behind cannot bring it back, and departures can be passed on.
const dropKept = 60 * time.Second

// Directory holds the entries. It is not safe for concurrent use.
type Directory struct {
	entries map[ident.Instance]*Entry
	next    ident.Offset
	// outageEnded is when the store was last seen to be back; zero if never
	// away.
	outageEnded time.Time
	away        bool
	// lapsed are dropped entries that stay usable until a time.
	lapsed map[ident.Instance]time.Time
}

// New returns a directory that knows nothing.
func New() *Directory {
	return &Directory{entries: make(map[ident.Instance]*Entry), lapsed: make(map[ident.Instance]time.Time)}
}

// Next is the offset up to which all records of the store are known.
func (d *Directory) Next() ident.Offset { return d.next }

// StoreAway notes that the store did not answer.
func (d *Directory) StoreAway() { d.away = true }

// StoreBack notes that the store answered.
func (d *Directory) StoreBack(now time.Time) {
	if d.away {
		d.away = false
		d.outageEnded = now
	}
}

// Apply takes one record and reports whether something changed beyond its
// offset. A record that is not newer than what is known changes nothing.
func (d *Directory) Apply(id ident.Instance, offset ident.Offset, u *Upstream, now time.Time) bool {
	known := d.entries[id]
	if known != nil && offset <= known.Offset {
		return false
	}
	if u == nil {
		return d.drop(id, offset, now)
	}
	delete(d.lapsed, id)
	next := &Entry{Offset: offset, Present: true, Upstream: *u, ChangedAt: now}
	d.entries[id] = next
	if known == nil || !known.Present {
		return true
	}
	if known.Upstream.State == Leaving && u.State == Ready {
		// A leaving upstream never becomes ready again under its ID.
		next.Upstream.State = Leaving
	}
	if sameButTime(known.Upstream, next.Upstream) {
		next.ChangedAt = known.ChangedAt
		return false
	}
	return true
}

func sameButTime(a, b Upstream) bool {
	a.LeavesIn, b.LeavesIn = 0, 0
	return a == b
}

func (d *Directory) drop(id ident.Instance, offset ident.Offset, now time.Time) bool {
	known := d.entries[id]
	if known == nil {
		d.entries[id] = &Entry{Offset: offset, ChangedAt: now}
		return false
	}
	next := *known
	next.Offset = offset
	wasPresent := known.Present
	next.Present = false
	if wasPresent {
		next.ChangedAt = now
	}
	d.entries[id] = &next
	if wasPresent && known.Upstream.State == Ready && d.lapsesNow(now) {
		d.lapsed[id] = d.graceEnd(now)
	}
	return wasPresent
}

// lapsesNow reports whether an entry that is dropped now may have lapsed only
// because the store was away.
func (d *Directory) lapsesNow(now time.Time) bool { return d.away || now.Before(d.graceEnd(now)) }

// graceEnd is until when entries that lapse now stay usable.
func (d *Directory) graceEnd(now time.Time) time.Time {
	if d.away {
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
			changed = d.drop(id, end-1, now) || changed
		}
	}
	d.next = max(d.next, end)
	return changed
}

// Expire forgets what was dropped long ago and ends the grace of lapsed entries.
// It reports whether an entry stopped to be usable.
func (d *Directory) Expire(now time.Time) bool {
	changed := false
	for id, until := range d.lapsed {
		if !now.Before(until) && !d.away {
			delete(d.lapsed, id)
			changed = true
		}
	}
	for id, entry := range d.entries {
		if _, lapsed := d.lapsed[id]; !entry.Present && !lapsed && now.Sub(entry.ChangedAt) > dropKept {
			delete(d.entries, id)
		}
	}
	return changed
}

// Entries returns a copy of all entries, also dropped ones.
func (d *Directory) Entries() map[ident.Instance]Entry {
	out := make(map[ident.Instance]Entry, len(d.entries))
	for id, entry := range d.entries {
		out[id] = *entry
	}
	return out
}

// View is an immutable snapshot of the upstreams, by service.
type View struct {
	services map[ident.Service][]Upstream
	known    map[ident.Instance]Upstream
}

// NewView returns a view of upstreams, for tests and fixed settings.
func NewView(upstreams []Upstream) *View {
	v := &View{services: make(map[ident.Service][]Upstream), known: make(map[ident.Instance]Upstream)}
	for _, u := range upstreams {
		v.services[u.Service] = append(v.services[u.Service], u)
		v.known[u.ID] = u
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// Snapshot returns a view of the upstreams that still run: ready, leaving, and
// lapsed ones within their grace.
func (d *Directory) Snapshot(now time.Time) *View {
	var list []Upstream
	for id, entry := range d.entries {
		until, lapsed := d.lapsed[id]
		lapsed = lapsed && (now.Before(until) || d.away)
		if entry.Present || lapsed {
			list = append(list, entry.Upstream)
		}
	}
	return NewView(list)
}

// Of returns a service's upstreams in the order of their IDs, also leaving ones.
func (v *View) Of(service ident.Service) []Upstream { return v.services[service] }

// Upstream returns one upstream.
func (v *View) Upstream(id ident.Instance) (Upstream, bool) {
	u, ok := v.known[id]
	return u, ok
}

// Count returns how many upstreams run.
func (v *View) Count() int { return len(v.known) }

// IDs returns all upstreams that run.
func (v *View) IDs() []ident.Instance { return slices.Sorted(maps.Keys(v.known)) }
