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

// Leases returns the leases that this process holds. *lease.Manager implements
// it.
type Leases interface {
	Grant(name lease.Name) (lease.Grant, bool)
}

// Dialer returns the engine at an address without blocking.
type Dialer interface {
	Engine(address string) upstream.Engine
}

// Weights reserves transfers of weights. An engine gets an order for another
// version only after the store has granted a transfer, because the store is
// rate-limited.
type Weights interface {
	Reserve(ctx context.Context, model, version string) (platform.Transfer, error)
}

// Config holds the controller's interval and limits.
type Config struct {
	// Interval is the time between two rounds.
	Interval time.Duration
	// RequestTimeout bounds the time of one request. It must not exceed the
	// leases' margin: then an order that was sent right before the lease's
	// deadline has been applied, or its request has timed out, before another
	// process can hold the lease.
	RequestTimeout time.Duration
	// MaxParallel bounds the requests in progress.
	MaxParallel int
}

// DefaultMaxParallel is the usual Config.MaxParallel.
const DefaultMaxParallel = 32

// Deps holds the controller's dependencies.
type Deps struct {
	Documents *blackboard.Section[*document.Set]
	Listing   *blackboard.Section[blackboard.Listing]
	Leases    Leases
	Dialer    Dialer
	Weights   Weights
	Log       hclog.Logger
}

// Controller sends orders to engines. Create it with New.
type Controller struct {
	config Config
	deps   Deps
	// known holds the engines that answered in the last round.
	known map[engineKey]Engine
}

// engineKey identifies one incarnation of an instance.
type engineKey struct {
	id          ident.Instance
	incarnation ident.Incarnation
}

// New returns a controller that has read no reports yet.
func New(config Config, deps Deps) *Controller {
	return &Controller{config: config, deps: deps, known: make(map[engineKey]Engine)}
}

// Run reads reports and sends orders until ctx ends. It does not cancel a round
// in progress then, since a cancelled order could still be applied after the
// lease was released.
func (c *Controller) Run(ctx context.Context) error {
	finish := context.WithoutCancel(ctx)
	return rounds.Run(ctx, c.config.Interval, func() { c.Round(finish) })
}

// Round reads the reports of all engines under the held leases once and sends
// the orders that are due.
func (c *Controller) Round(ctx context.Context) {
	seen := make(map[engineKey]Engine)
	for name, instances := range c.heldEngines() {
		doc, found := c.deps.Documents.Value().Find(name.Service)
		if !found {
			continue
		}
		engines := c.readReports(ctx, instances)
		c.sendDue(ctx, name, doc.Model, engines)
		for _, engine := range engines {
			seen[engineKey{engine.ID, engine.Incarnation}] = *engine
		}
	}
	c.known = seen
}

// heldEngines returns the live engines, by lease, for the leases that this
// process holds.
func (c *Controller) heldEngines() map[lease.Name][]platform.Instance {
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

// readReports reads the engines' reports. It leaves out engines that do not
// answer or are leaving.
func (c *Controller) readReports(ctx context.Context, instances []platform.Instance) map[ident.Instance]*Engine {
	var mu sync.Mutex
	engines := make(map[ident.Instance]*Engine)
	var group errgroup.Group
	group.SetLimit(c.config.MaxParallel)
	for _, instance := range instances {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
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

// sendDue sends the wanted order to the engines of one lease that are due.
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
	group.SetLimit(c.config.MaxParallel)
	for _, id := range DueEngines(known, wanted, time.Now()) {
		engine := engines[id]
		group.Go(func() error {
			c.send(ctx, grant, engine, wanted)
			return nil
		})
	}
	_ = group.Wait()
}

// send sends one order if the lease is still held at that moment.
func (c *Controller) send(ctx context.Context, grant lease.Grant, engine *Engine, wanted upstream.Order) {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	if !engine.runs(wanted) && !equalOrders(engine.LastOrder, wanted) {
		if _, err := c.deps.Weights.Reserve(ctx, wanted.Model, wanted.Version); err != nil {
			reservationsRefused.Add(1)
			c.deps.Log.Debug("cannot reserve a transfer of weights", "engine", engine.ID, "error", err)
			return
		}
	}
	// Without this check, a process that was paused, or waited for the store,
	// until another process held the lease would still send its order. Check
	// and send directly follow each other: only an order from a process that
	// is paused between them has to be refused because of its fence, or be
	// corrected by the new holder.
	if !grant.Valid() {
		ordersWithheldLeaseLost.Add(1)
		return
	}
	engine.LastOrder, engine.LastOrderAt = wanted, time.Now()
	err := c.deps.Dialer.Engine(engine.Address).Apply(ctx, wanted)
	c.recordResult(engine, wanted, err)
}

// recordResult logs and counts the result of an order. After an error the order
// counts as not sent.
func (c *Controller) recordResult(engine *Engine, wanted upstream.Order, err error) {
	log := c.deps.Log.With("engine", engine.ID, "model", wanted.Model, "version", wanted.Version, "fence", wanted.Fence)
	switch {
	case err == nil:
		ordersApplied.Add(1)
		log.Info("engine accepted order", "from", engine.Version)
	case errors.Is(err, upstream.ErrOldFence):
		ordersRefused.Add(1)
		log.Warn("engine refused order, it has applied one of a newer lease holder")
	default:
		// The order may have been applied or may still be; the engine's next
		// report shows it.
		ordersFailed.Add(1)
		log.Debug("cannot send order to engine", "error", err)
	}
	if err != nil {
		engine.LastOrder = upstream.Order{}
	}
}
