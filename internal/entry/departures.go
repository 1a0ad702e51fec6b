package entry

import (
	"maps"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// departureLag is how much later than the store a gateway in touch hears that an entry was dropped.
	departureLag = time.Second
	// departuresKeptFor is how long it is remembered when an upstream was listed last.
	departuresKeptFor = time.Minute
)

// departures remembers when upstreams that had not announced that they leave were listed last. Some never announce it:
// their entry is dropped, and they serve on for a time. It is safe for concurrent use.
type departures struct {
	now boottime.Clock
	// serveOn is how long upstreams serve after their entry was dropped, at least.
	serveOn time.Duration

	mu     sync.Mutex
	newest *directory.View
	goneAt map[ident.Instance]time.Time
}

func newDepartures(now boottime.Clock, serveOn time.Duration) *departures {
	return &departures{now: now, serveOn: serveOn, newest: directory.NewView(nil), goneAt: make(map[ident.Instance]time.Time)}
}

// Observe records which upstreams a view lacks that the one before had.
func (d *departures) Observe(view *directory.View, _ time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	maps.DeleteFunc(d.goneAt, func(_ ident.Instance, at time.Time) bool { return now.Sub(at) >= departuresKeptFor })
	for _, id := range d.newest.MissingFrom(view) {
		if u, listed := d.newest.Upstream(id); listed && u.State == directory.Ready {
			d.goneAt[id] = now
		}
	}
	d.newest = view
}

// EndedEarly reports whether a process that has ended now, and is not listed any more, ended sooner than one that leaves
// without announcing it.
func (d *departures) EndedEarly(upstream ident.Instance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, known := d.goneAt[upstream]
	return known && d.now().Sub(at) < d.serveOn-departureLag
}
