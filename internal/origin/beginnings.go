package origin

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// recordTimeout bounds the recording of a beginning, and recordInterval is the shortest time between two tries.
	recordTimeout  = 500 * time.Millisecond
	recordInterval = 100 * time.Millisecond
	// beginningsFor is how long a recorded beginning is remembered: longer than any version is held back or counts as
	// unused.
	beginningsFor = time.Minute
)

// Beginnings keeps at which versions that had just appeared streams begin, where all gateways can read it: one that can
// ask too few others takes a version that has just appeared for one that began no streams.
type Beginnings interface {
	// Record records that streams begin at some software.
	Record(ctx context.Context, o Origin) error
	// Read returns what is recorded.
	Read(ctx context.Context) ([]Origin, error)
}

// beginnings is what a gateway knows of recorded beginnings. It is safe for concurrent use.
type beginnings struct {
	mu sync.Mutex
	// known are recorded, with when that was learned; triedAt is when recording was tried last.
	known, triedAt map[Origin]time.Time
}

func newBeginnings() *beginnings {
	return &beginnings{known: make(map[Origin]time.Time), triedAt: make(map[Origin]time.Time)}
}

func (b *beginnings) has(o Origin) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, known := b.known[o]
	return known
}

func (b *beginnings) add(now time.Time, list ...Origin) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, o := range list {
		b.known[o] = now
	}
	old := func(_ Origin, at time.Time) bool { return now.Sub(at) >= beginningsFor }
	maps.DeleteFunc(b.known, old)
	maps.DeleteFunc(b.triedAt, old)
}

// mayTry reports whether recording may be tried now, once a recordInterval.
func (b *beginnings) mayTry(o Origin, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if last, tried := b.triedAt[o]; tried && now.Sub(last) < recordInterval {
		return false
	}
	b.triedAt[o] = now
	return true
}

// MayBegin reports whether streams may begin at a version that is held back, where no other version takes them: it is
// recorded that they do. Otherwise it begins to record that; OnBegun is called once it is.
func (r *Registry) MayBegin(service ident.Service, version ident.SoftwareVersion) bool {
	o := Origin{service, version}
	if r.beginnings.has(o) {
		return true
	}
	if r.beginnings.mayTry(o, r.cfg.Now()) {
		go r.recordBeginning(o)
	}
	return false
}

func (r *Registry) recordBeginning(o Origin) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	err := r.cfg.Beginnings.Record(ctx, o)
	r.cfg.Log.Info("streams begin at a version that has just appeared", "service", o.Service, "software_version", o.SoftwareVersion, "error", err)
	if err == nil {
		r.beginnings.add(r.cfg.Now(), o)
		r.cfg.OnBegun()
	}
}

// readBeginnings reads at which versions streams have begun, and reports whether that is known now.
func (r *Registry) readBeginnings(ctx context.Context) bool {
	list, err := r.cfg.Beginnings.Read(ctx)
	if err != nil {
		r.cfg.Log.Info("not read at which versions streams have begun", "error", err)
		return false
	}
	r.beginnings.add(r.cfg.Now(), list...)
	return true
}
