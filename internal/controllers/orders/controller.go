package orders

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/rounds"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Leases tells whether this process may act; lease.Manager does.
type Leases interface {
	Grant(name lease.Name) (lease.Grant, bool)
}

// Dialer returns the engine at an address without blocking.
type Dialer interface {
	Engine(address string) upstream.Engine
}

// Weights grants transfers of weights. An engine is ordered to another version
// only when the store has granted one, because it is rate-limited.
type Weights interface {
	Reserve(ctx context.Context, model, version string) (platform.Transfer, error)
}

// Config says how often to look and how long an order may take.
type Config struct {
	// Interval is the time between two looks at all engines.
	Interval time.Duration
	// Flight bounds one order. It must not exceed the leases' margin: an
	// order that leaves right before the deadline has then landed, or was
	// given up, before another holder can exist.
	Flight time.Duration
	// Parallel bounds the requests in progress.
	Parallel int
}

// DefaultParallel is the usual Config.MaxParallel.
const DefaultParallel = 32

// Deps is what the controller works with.
type Deps struct {
	Documents *blackboard.Section[*document.Set]
	Listing   *blackboard.Section[blackboard.Listing]
	Leases    Leases
	Dialer    Dialer
	Weights   Weights
	Log       hclog.Logger
}

// Controller orders engines. Create it with New.
type Controller struct {
	config Config
	deps   Deps
	known  map[engineKey]Engine
}

// engineKey tells two lives of an instance apart.
type engineKey struct {
	id          ident.Instance
	incarnation ident.Incarnation
}

// New returns a controller that has looked at nothing yet.
func New(config Config, deps Deps) *Controller {
	return &Controller{config: config, deps: deps, known: make(map[engineKey]Engine)}
}

// Run looks and orders until ctx ends. An order that has left is not given up
// then, since it could land after the lease was released.
func (c *Controller) Run(ctx context.Context) error {
	finish := context.WithoutCancel(ctx)
	return rounds.Run(ctx, c.config.Interval, func() { c.Round(finish) })
}

// Round looks at all engines of held leases once and orders what is due.
func (c *Controller) Round(ctx context.Context) {
	seen := make(map[engineKey]Engine)
	for name, instances := range c.held() {
		doc, found := c.deps.Documents.Value().Find(name.Service)
		if !found {
			continue
		}
		engines := c.look(ctx, instances)
		c.sendDue(ctx, name, doc.Model, engines)
		for _, engine := range engines {
			seen[engineKey{engine.ID, engine.Incarnation}] = *engine
		}
	}
	c.known = seen
}

// held returns the live engines by the leases that this process holds.
func (c *Controller) held() map[lease.Name][]platform.Instance {
	documents := c.deps.Documents.Value()
	held := make(map[lease.Name][]platform.Instance)
	for _, instance := range c.deps.Listing.Value().Instances {
		doc, found := documents.Find(instance.Service)
		isEngine := instance.Role == platform.RoleEngine && instance.State == platform.Live
		if !found || doc.Kind != document.Model || !isEngine {
			continue
		}
		name := lease.Name{Service: instance.Service, FailureDomain: instance.FailureDomain}
		if _, holds := c.deps.Leases.Grant(name); holds {
			held[name] = append(held[name], instance)
		}
	}
	return held
}

// look asks engines for their reports. One that does not answer, or that is
// leaving, is left out.
func (c *Controller) look(ctx context.Context, instances []platform.Instance) map[ident.Instance]*Engine {
	var mu sync.Mutex
	engines := make(map[ident.Instance]*Engine)
	var group errgroup.Group
	group.SetLimit(c.config.Parallel)
	for _, instance := range instances {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, c.config.Flight)
			defer cancel()
			report, err := c.deps.Dialer.Engine(instance.Address).Report(ctx)
			if err != nil || report.Leaving {
				return nil
			}
			engine := c.known[engineKey{instance.ID, instance.Incarnation}]
			engine.ID, engine.Incarnation = instance.ID, instance.Incarnation
			engine.Address = instance.Address
			engine.Model, engine.Version, engine.Fence = report.Model, report.Version, report.AppliedFence
			mu.Lock()
			defer mu.Unlock()
			engines[engine.ID] = &engine
			return nil
		})
	}
	_ = group.Wait()
	return engines
}

// sendDue orders the engines of one lease that are due.
func (c *Controller) sendDue(ctx context.Context, name lease.Name, model document.ModelSpec, engines map[ident.Instance]*Engine) {
	grant, held := c.deps.Leases.Grant(name)
	if !held {
		return
	}
	wanted := upstream.Order{Fence: grant.Fence, Model: model.Name, Version: model.Version, Adapters: model.Adapters}
	var known []Engine
	for _, engine := range engines {
		known = append(known, *engine)
	}
	var group errgroup.Group
	group.SetLimit(c.config.Parallel)
	for _, id := range Decide(known, wanted, time.Now()) {
		engine := engines[id]
		group.Go(func() error {
			c.send(ctx, grant, engine, wanted)
			return nil
		})
	}
	_ = group.Wait()
}

// send sends one order if the lease is still held when it leaves.
func (c *Controller) send(ctx context.Context, grant lease.Grant, engine *Engine, wanted upstream.Order) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Flight)
	defer cancel()
	if !engine.at(wanted) && !equal(engine.Last, wanted) {
		if _, err := c.deps.Weights.Reserve(ctx, wanted.Model, wanted.Version); err != nil {
			reservationsRefused.Add(1)
			c.deps.Log.Debug("no transfer of weights", "engine", engine.ID, "error", err)
			return
		}
	}
	// What went wrong without this check: the process is frozen, or waits for
	// the store, until its lease is another's, and goes on as if nothing had
	// happened. Check and send stand next to each other, so that only a freeze
	// between these two lines is left to the fence and to the repair.
	if !grant.Valid() {
		ordersWithheld.Add(1)
		return
	}
	engine.Last, engine.LastAt = wanted, time.Now()
	err := c.deps.Dialer.Engine(engine.Address).Apply(ctx, wanted)
	c.note(engine, wanted, err)
}

func (c *Controller) note(engine *Engine, wanted upstream.Order, err error) {
	log := c.deps.Log.With("engine", engine.ID, "model", wanted.Model, "version", wanted.Version, "fence", wanted.Fence)
	switch {
	case err == nil:
		ordersApplied.Add(1)
		log.Info("engine ordered", "from", engine.Version)
	case errors.Is(err, upstream.ErrOldFence):
		ordersRefused.Add(1)
		log.Warn("engine obeys a newer holder")
	default:
		// It may have been applied, or be applied yet: its report tells.
		ordersFailed.Add(1)
		log.Debug("order failed", "error", err)
	}
	if err != nil {
		engine.Last = upstream.Order{}
	}
}
