// Package instances is an in-memory stand-in for the platform's list of
// instances, which readers see with a lag.
package instances

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
)

// List is a platform.Instances in memory. Its embedded Injector makes it fail.
type List struct {
	fault.Injector

	lag time.Duration

	mu      sync.Mutex
	current map[ident.Instance]platform.Instance
	// history holds the list after each change, oldest first. List drops the
	// versions before the one that readers see.
	history []version
}

// version is the list after one change.
type version struct {
	since     time.Time
	instances []platform.Instance
}

var _ platform.Instances = (*List)(nil)

// New returns an empty list whose readers see changes after lag.
func New(lag time.Duration) *List {
	return &List{lag: lag, current: make(map[ident.Instance]platform.Instance)}
}

// Register adds an instance, or replaces an earlier incarnation of it. It returns
// the incarnation: the given one, or the next if that is 0. An instance without a
// state becomes live.
func (l *List) Register(instance platform.Instance) ident.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	if instance.Incarnation == 0 {
		instance.Incarnation = l.current[instance.ID].Incarnation + 1
	}
	if instance.State == 0 {
		instance.State = platform.Live
	}
	l.current[instance.ID] = instance
	l.appendVersion()
	return instance.Incarnation
}

// SetState changes the state of one incarnation of an instance; 0 means the
// current one. It returns false if there is no such instance or its incarnation
// is another.
func (l *List) SetState(id ident.Instance, incarnation ident.Incarnation, state platform.InstanceState) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.current[id]
	if !ok || (incarnation != 0 && incarnation != instance.Incarnation) {
		return false
	}
	instance.State = state
	l.current[id] = instance
	l.appendVersion()
	return true
}

// Find returns an instance's current entry, without lag.
func (l *List) Find(id ident.Instance) (platform.Instance, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance, ok := l.current[id]
	return instance, ok
}

// List implements platform.Instances.
func (l *List) List(ctx context.Context) ([]platform.Instance, error) {
	if err := l.Begin(ctx); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newestVisible := time.Now().Add(-l.lag)
	for len(l.history) > 1 && !l.history[1].since.After(newestVisible) {
		l.history = l.history[1:]
	}
	if len(l.history) == 0 || l.history[0].since.After(newestVisible) {
		return nil, nil
	}
	return slices.Clone(l.history[0].instances), nil
}

// appendVersion adds the current list to the history. The caller holds l.mu.
func (l *List) appendVersion() {
	list := slices.SortedFunc(maps.Values(l.current), func(a, b platform.Instance) int {
		return cmp.Compare(a.ID, b.ID)
	})
	l.history = append(l.history, version{since: time.Now(), instances: list})
}
