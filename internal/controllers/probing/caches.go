package probing

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/cacheview"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Caches holds one cache view for each engine. Only the goroutine of
// Controller.Run may call its methods; other goroutines read the views.
type Caches struct {
	params cacheview.Params
	views  map[ident.Instance]engineCache
}

// engineCache is the view of one incarnation of an engine.
type engineCache struct {
	incarnation ident.Incarnation
	view        *cacheview.View
}

var _ CacheIndex = (*Caches)(nil)

// NewCaches returns an empty index.
func NewCaches(params cacheview.Params) *Caches {
	return &Caches{params: params, views: map[ident.Instance]engineCache{}}
}

// Apply implements CacheIndex.
func (c *Caches) Apply(id ident.Instance, incarnation ident.Incarnation, events []upstream.CacheEvent) {
	c.view(id, incarnation).Apply(events, time.Now())
}

// Forget implements CacheIndex.
func (c *Caches) Forget(id ident.Instance) { delete(c.views, id) }

// View implements CacheIndex. An engine that this process does not probe has a
// view too, which holds the prefixes that this process sends there.
func (c *Caches) View(id ident.Instance, incarnation ident.Incarnation) blackboard.CachedPrefix {
	return c.view(id, incarnation)
}

// view returns the view of one incarnation. A later incarnation starts with an
// empty view.
func (c *Caches) view(id ident.Instance, incarnation ident.Incarnation) *cacheview.View {
	e, ok := c.views[id]
	if !ok || e.incarnation < incarnation {
		e = engineCache{incarnation: incarnation, view: cacheview.New(c.params, time.Now())}
		c.views[id] = e
	}
	return e.view
}
