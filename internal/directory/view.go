package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// View is an immutable snapshot of the upstreams, by service.
type View struct {
	// services holds each service's upstreams in the order of their IDs.
	services map[ident.Service][]Upstream
	// count is the number of all upstreams.
	count int
}

// NewView returns a view of the given upstreams, for tests and fixed settings.
func NewView(upstreams []Upstream) *View {
	v := &View{services: make(map[ident.Service][]Upstream), count: len(upstreams)}
	for _, u := range upstreams {
		v.services[u.Service] = append(v.services[u.Service], u)
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	}
	return v
}

// Of returns a service's upstreams in the order of their IDs, including leaving ones. The
// caller must not change them.
func (v *View) Of(service ident.Service) []Upstream { return v.services[service] }

// Upstream returns the upstream with an ID, or false if the view does not have it.
func (v *View) Upstream(id ident.Instance) (Upstream, bool) {
	for _, list := range v.services {
		if i, found := find(list, id); found {
			return list[i], true
		}
	}
	return Upstream{}, false
}

func find(list []Upstream, id ident.Instance) (int, bool) {
	return slices.BinarySearchFunc(list, id, func(u Upstream, id ident.Instance) int { return cmp.Compare(u.ID, id) })
}

// Count returns how many upstreams the view has.
func (v *View) Count() int { return v.count }

// Each calls f for each upstream, in no particular order. f must not change it.
func (v *View) Each(f func(*Upstream)) {
	for _, list := range v.services {
		for i := range list {
			f(&list[i])
		}
	}
}

// IDs returns the sorted IDs of all upstreams.
func (v *View) IDs() []ident.Instance {
	ids := make([]ident.Instance, 0, v.count)
	v.Each(func(u *Upstream) { ids = append(ids, u.ID) })
	slices.Sort(ids)
	return ids
}

// MissingFrom returns the IDs of the upstreams in this view that a later view does not have.
func (v *View) MissingFrom(later *View) []ident.Instance {
	var gone []ident.Instance
	for service, list := range v.services {
		next := later.services[service]
		if len(list) > 0 && len(list) == len(next) && &list[0] == &next[0] {
			continue
		}
		j := 0
		for i := range list {
			for j < len(next) && next[j].ID < list[i].ID {
				j++
			}
			if j == len(next) || next[j].ID != list[i].ID {
				gone = append(gone, list[i].ID)
			}
		}
	}
	return gone
}

// viewBuilder builds each view from the one before. With thousands of upstreams, something
// changes several times a second. If each view were built from all entries, every gateway of
// a fleet would spend most of its time on copying what has not changed.
type viewBuilder struct {
	newest *View
	// listed says under which service and ID the newest view has each name. changed are the
	// names whose upstreams in it may be stale.
	listed  map[ident.Instance]viewKey
	changed map[ident.Instance]bool
	// inGrace are the dropped names that were in their grace in the newest view.
	inGrace map[ident.Instance]bool
}

// viewKey identifies an upstream in a view.
type viewKey struct {
	id      ident.Instance
	service ident.Service
}

func newViewBuilder() viewBuilder {
	return viewBuilder{
		newest: NewView(nil), listed: make(map[ident.Instance]viewKey), changed: make(map[ident.Instance]bool), inGrace: make(map[ident.Instance]bool),
	}
}

// Snapshot returns a view of the upstreams that are present, ready or leaving, and of the
// dropped ones within their grace.
func (d *Directory) Snapshot(now time.Time) *View {
	b := &d.views
	for name := range b.inGrace {
		b.changed[name] = true
	}
	if len(b.changed) == 0 {
		return b.newest
	}
	edits := make(map[ident.Service]*edit)
	for name := range b.changed {
		if was, known := b.listed[name]; known {
			editOf(edits, was.service).remove(was.id)
			delete(b.listed, name)
		}
		entry := d.entries[name]
		delete(b.inGrace, name)
		if entry == nil || !entry.Present && !d.usable(entry, now) {
			continue
		}
		if !entry.Present {
			b.inGrace[name] = true
		}
		editOf(edits, entry.Upstream.Service).add(d.withAnnounced(entry.Upstream))
		b.listed[name] = viewKey{entry.Upstream.ID, entry.Upstream.Service}
	}
	clear(b.changed)
	b.newest = b.newest.with(edits)
	return b.newest
}

// withAnnounced returns an upstream as the view shows it: leaving, if it announced that itself.
func (d *Directory) withAnnounced(u Upstream) Upstream {
	if d.announcedLeaving != nil && d.announcedLeaving(u.ID) {
		u.State = Leaving
	}
	return u
}

// with returns a view with edits applied. Services without edits share their list with this
// view.
func (v *View) with(edits map[ident.Service]*edit) *View {
	next := &View{services: maps.Clone(v.services), count: v.count}
	for service, e := range edits {
		list := e.applyTo(v.services[service])
		next.count += len(list) - len(v.services[service])
		if len(list) == 0 {
			delete(next.services, service)
			continue
		}
		next.services[service] = list
	}
	return next
}

// edit holds the changes to a service's list of upstreams. It may remove and add the same
// ID.
type edit struct {
	removed []ident.Instance
	added   []Upstream
}

// editOf returns the edit of a service, which it adds to edits if it is missing.
func editOf(edits map[ident.Service]*edit, service ident.Service) *edit {
	e := edits[service]
	if e == nil {
		e = &edit{}
		edits[service] = e
	}
	return e
}

func (e *edit) remove(id ident.Instance) { e.removed = append(e.removed, id) }

func (e *edit) add(u Upstream) { e.added = append(e.added, u) }

// applyTo returns a new list with the changes, in the order of the IDs. It leaves the given
// list as it is.
func (e *edit) applyTo(list []Upstream) []Upstream {
	slices.Sort(e.removed)
	slices.SortFunc(e.added, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	next := make([]Upstream, 0, len(list)+len(e.added))
	removed, added := e.removed, e.added
	for i := range list {
		if len(removed) > 0 && removed[0] == list[i].ID {
			removed = removed[1:]
			continue
		}
		for len(added) > 0 && added[0].ID < list[i].ID {
			next, added = append(next, added[0]), added[1:]
		}
		next = append(next, list[i])
	}
	return append(next, added...)
}
