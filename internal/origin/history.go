package origin

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// historyFor is how long versions are remembered that are no longer listed. No caller waits so long.
const historyFor = 10 * time.Minute

const (
	// viewLag is how much later than another a gateway in touch hears of an upstream.
	viewLag = time.Second
	// holdBack is how long a version that appears beside another one begins no streams, if upstreams of
	// the other take them. Until all gateways have heard of it, one could take a stream of it for one of
	// the only version that it knows.
	holdBack = 2 * viewLag
	// unusedFor is how long after this gateway heard of a version no gateway begins streams there.
	unusedFor = holdBack - viewLag
)

// Listed are the software versions of a service's upstreams that were listed at any time since some
// instant, as far as a gateway knows.
type Listed struct {
	Versions []ident.SoftwareVersion
	// Unused are other versions, which began no streams yet: they have only just appeared.
	Unused []ident.SoftwareVersion
	// Complete: all are known.
	Complete bool
}

// History remembers which software versions the upstreams of each service had, from the views of the
// upstreams. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// completeSince is since when all listed upstreams are known; zero until they are.
	completeSince time.Time
	services      map[ident.Service]map[ident.SoftwareVersion]*listing
	// settledAt is when no version is held back any more, in nanoseconds of the clock that Observe gets.
	settledAt atomic.Int64
}

// listing is when upstreams of a version were listed.
type listing struct {
	present bool
	last    time.Time
	// appeared is when the version appeared beside another one; zero if it may have been listed before
	// this gateway heard of it.
	appeared time.Time
	// newHereAt is when this gateway heard of it while others were listed, or at first with others; zero if it was the
	// only one.
	newHereAt time.Time
}

// NewHistory returns an empty History.
func NewHistory() *History {
	return &History{services: make(map[ident.Service]map[ident.SoftwareVersion]*listing)}
}

// Observe records which versions a view lists. age is how old the one before had become.
func (h *History) Observe(view *directory.View, age time.Duration, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sawOthersBefore := age <= viewLag && !h.completeSince.IsZero()
	for service, versions := range h.services {
		for version, l := range versions {
			if l.present {
				l.present, l.last = false, now
			}
			if !l.present && now.Sub(l.last) > historyFor {
				delete(versions, version)
			}
		}
		if len(versions) == 0 {
			delete(h.services, service)
		}
	}
	view.Each(func(u *directory.Upstream) {
		_, known := h.services[u.Service][u.SoftwareVersion]
		l := h.listingOf(u.Service, u.SoftwareVersion, now)
		l.present, l.last = true, now
		if !known && sawOthersBefore && len(h.services[u.Service]) > 1 {
			l.appeared = now
			h.settledAt.Store(now.Add(holdBack).UnixNano())
		}
		if !known {
			l.newHereAt = now
		}
	})
	for _, versions := range h.services {
		for _, l := range versions {
			switch {
			case l.newHereAt != now:
			case len(versions) == 1:
				l.newHereAt = time.Time{}
			default:
				h.settledAt.Store(now.Add(holdBack).UnixNano())
			}
		}
	}
}

// IsNewHere reports whether this gateway has heard of a version so lately, beside others, that it may have appeared
// then: it knows no better if it has just started, or heard of the upstreams after a silence.
func (h *History) IsNewHere(service ident.Service, version ident.SoftwareVersion, now time.Time) bool {
	if now.UnixNano() >= h.settledAt.Load() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.services[service][version]
	return l != nil && !l.newHereAt.IsZero() && now.Sub(l.newHereAt) < holdBack
}

// HoldsBack reports whether a version of a service begins no streams yet, if upstreams of another one
// take them.
func (h *History) HoldsBack(service ident.Service, version ident.SoftwareVersion, now time.Time) bool {
	if now.UnixNano() >= h.settledAt.Load() {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.services[service][version]
	return l != nil && !l.appeared.IsZero() && now.Sub(l.appeared) < holdBack
}

// AddEarlier records that an upstream of a version was listed before, not after the given time.
func (h *History) AddEarlier(service ident.Service, version ident.SoftwareVersion, last time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.listingOf(service, version, last)
	l.last, l.appeared = later(l.last, last), time.Time{}
}

// MarkComplete records that all upstreams that have been listed since an instant are known.
func (h *History) MarkComplete(since time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.completeSince.IsZero() || since.Before(h.completeSince) {
		h.completeSince = since
	}
}

// isComplete reports whether all upstreams that have been listed since an instant are known. h.mu must
// be held.
func (h *History) isComplete(since time.Time) bool {
	return !h.completeSince.IsZero() && !h.completeSince.After(since)
}

// KnownFor returns for how long all listed upstreams have been known.
func (h *History) KnownFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.completeSince.IsZero() {
		return 0
	}
	return now.Sub(h.completeSince)
}

// Listed returns the versions of a service's upstreams that were listed at any time since an instant.
func (h *History) Listed(service ident.Service, since, now time.Time) Listed {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := Listed{Complete: h.isComplete(since)}
	for version, l := range h.services[service] {
		switch {
		case !l.appeared.IsZero() && now.Sub(l.appeared) < unusedFor:
			out.Unused = append(out.Unused, version)
		case l.present || !l.last.Before(since):
			out.Versions = append(out.Versions, version)
		}
	}
	slices.Sort(out.Versions)
	return out
}

// listingOf returns the listing of a version, which it adds if it is missing. h.mu must be held.
func (h *History) listingOf(service ident.Service, version ident.SoftwareVersion, now time.Time) *listing {
	versions := h.services[service]
	if versions == nil {
		versions = make(map[ident.SoftwareVersion]*listing)
		h.services[service] = versions
	}
	l := versions[version]
	if l == nil {
		l = &listing{last: now}
		versions[version] = l
	}
	return l
}
