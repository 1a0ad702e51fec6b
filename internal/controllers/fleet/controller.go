package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/rounds"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/planner"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Leases returns the leases that this process holds. *lease.Manager implements
// it.
type Leases interface {
	Grant(name lease.Name) (lease.Grant, bool)
}

// Dialer returns the upstream at an address without blocking.
type Dialer interface {
	Engine(address string) upstream.Engine
	Plain(address string) upstream.Plain
}

// Gateways announces to the gateways which upstreams must get no new work, and
// asks them which instances they know as leaving.
type Gateways interface {
	// AnnounceLeaving announces upstreams as leaving. It returns an error if
	// no gateway has acknowledged the announcement.
	AnnounceLeaving(ctx context.Context, upstreams []platform.Instance) error
	// Leaving returns the instances that one gateway knows as leaving.
	Leaving(ctx context.Context) (map[ident.Instance]ident.Incarnation, error)
}

// Config holds the intervals, limits and capacities that the controller uses.
type Config struct {
	// Interval is the time between two rounds.
	Interval time.Duration
	// LoadInterval is the least time between two requests to an upstream for
	// its load. These are the largest part of the controller's cost.
	LoadInterval time.Duration
	// RequestTimeout bounds the time of one request. It must not exceed the
	// leases' margin.
	RequestTimeout time.Duration
	// MaxParallel bounds the load requests in progress.
	MaxParallel int
	// SlotsPerEngine and SlotsPerPlain are how many requests keep one
	// upstream busy. Documents do not specify it yet.
	SlotsPerEngine, SlotsPerPlain float64
}

// The defaults of Config.
const (
	DefaultMaxParallel    = 32
	DefaultLoadInterval   = 5 * time.Second
	DefaultSlotsPerEngine = 16
	DefaultSlotsPerPlain  = 32
)

// Deps holds the controller's dependencies.
type Deps struct {
	Documents *blackboard.Section[*document.Set]
	Listing   *blackboard.Section[blackboard.Listing]
	Leases    Leases
	Cloud     platform.Cloud
	Dialer    Dialer
	Gateways  Gateways
	Log       hclog.Logger
}

// Controller manages the fleets of the services whose lease this process holds.
// Create it with New.
type Controller struct {
	config Config
	deps   Deps
	states map[ident.Service]*holderState
	// noticed holds the incarnations whose reclaim notice was read, and
	// lastNotice is the sequence number of the last notice.
	noticed    map[upstreamKey]bool
	lastNotice uint64
}

// New returns a controller that has read nothing yet.
func New(config Config, deps Deps) *Controller {
	return &Controller{
		config:  config,
		deps:    deps,
		states:  make(map[ident.Service]*holderState),
		noticed: make(map[upstreamKey]bool),
	}
}

// Run plans and executes the plans until ctx ends. It does not cancel a round
// in progress then, since a cancelled request could still take effect after the
// lease was released.
func (c *Controller) Run(ctx context.Context) error {
	finish := context.WithoutCancel(ctx)
	return rounds.Run(ctx, c.config.Interval, func() { c.Round(finish) })
}

// Round plans each service whose lease this process holds and executes the
// plan.
//
// It does nothing without a recent list of instances: an instance that the list
// lacks would be started a second time, and one that has ended would be
// counted.
func (c *Controller) Round(ctx context.Context) {
	if time.Since(c.deps.Listing.Value().ReadAt) > maxListingAge {
		roundsWithoutList.Add(1)
		return
	}
	held := make(map[ident.Service]*holderState)
	for service, entry := range c.deps.Documents.Value().Services {
		grant, holds := c.deps.Leases.Grant(lease.Name{Service: service})
		if !holds {
			continue
		}
		held[service] = c.stateOf(ctx, service, grant)
		if len(held) == 1 {
			c.readNotices(ctx)
		}
		c.planService(ctx, grant, entry.Document, held[service])
	}
	c.states = held
}

// stateOf returns the state of the holder with this grant's fence, which is a new
// one after a change of holder. It reads the leaving instances from a gateway when
// that is due.
func (c *Controller) stateOf(ctx context.Context, service ident.Service, grant lease.Grant) *holderState {
	h := c.states[service]
	now := time.Now()
	if h == nil || h.fence != grant.Fence {
		h = newHolderState(grant.Fence, now)
	}
	if now.Sub(h.leavingReadAt) >= leavingReadInterval {
		c.readLeaving(ctx, h, now)
	}
	return h
}

// readLeaving reads from a gateway which instances are leaving already: because
// an earlier holder announced them, or because the answer to an announcement
// was lost.
func (c *Controller) readLeaving(ctx context.Context, h *holderState, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	leaving, err := c.deps.Gateways.Leaving(ctx)
	if err != nil {
		c.deps.Log.Debug("cannot read the leaving instances from a gateway", "error", err)
		return
	}
	h.leavingReadAt = now
	for id, incarnation := range leaving {
		k := upstreamKey{id, incarnation}
		if _, known := h.drainingSince[k]; !known {
			h.drainingSince[k] = now
		}
	}
}

// planService plans one service and executes the plan.
func (c *Controller) planService(ctx context.Context, grant lease.Grant, doc *document.Document, h *holderState) {
	o := c.observe(ctx, doc, h)
	now := time.Now()
	h.reclaims.update(o, now)
	actual := h.plannerInput(doc.Service, o, now)
	wanted := planner.Wanted{Placement: doc.Placement, Reclaims: h.reclaims.estimate()}
	for _, action := range planner.Plan(actual, wanted, now) {
		if action.Kind == planner.Start && !h.mayStart(action.Offering, now) {
			continue
		}
		c.execute(ctx, grant, doc, h, o, action)
	}
}

// observe returns the service's listed upstreams and their loads, which it
// reads anew when that is due.
func (c *Controller) observe(ctx context.Context, doc *document.Document, h *holderState) observation {
	o := observation{noticed: c.noticed, slots: c.config.SlotsPerEngine}
	if doc.Kind == document.Plain {
		o.slots = c.config.SlotsPerPlain
	}
	for _, instance := range c.deps.Listing.Value().Instances {
		isUpstream := instance.Role == platform.RoleEngine || instance.Role == platform.RolePlain
		if isUpstream && instance.Service == doc.Service && instance.State != platform.Ended {
			o.instances = append(o.instances, instance)
		}
	}
	if now := time.Now(); now.Sub(h.loadsReadAt) >= c.config.LoadInterval {
		h.loads, h.loadsReadAt = c.readLoads(ctx, o.instances), now
	}
	o.loads = h.loads
	return o
}

// readLoads reads the loads of all instances and leaves out those that do not
// answer.
func (c *Controller) readLoads(ctx context.Context, instances []platform.Instance) map[upstreamKey]load {
	var mu sync.Mutex
	loads := make(map[upstreamKey]load)
	var group errgroup.Group
	group.SetLimit(c.config.MaxParallel)
	for _, instance := range instances {
		group.Go(func() error {
			l, err := c.readLoad(ctx, instance)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			loads[key(instance)] = l
			return nil
		})
	}
	_ = group.Wait()
	return loads
}

// readLoad reads one upstream's load from the upstream.
func (c *Controller) readLoad(ctx context.Context, instance platform.Instance) (load, error) {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	now := time.Now()
	if instance.Role == platform.RolePlain {
		health, err := c.deps.Dialer.Plain(instance.Address).Health(ctx)
		return load{running: health.Running, leaving: health.Leaving, asOf: now}, err
	}
	report, err := c.deps.Dialer.Engine(instance.Address).Report(ctx)
	return load{running: report.Running, queued: report.Queued, leaving: report.Leaving, asOf: now.Add(-report.Age)}, err
}

// readNotices reads the reclaim notices that it has not read yet.
func (c *Controller) readNotices(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	notices, err := c.deps.Cloud.Notices(ctx, c.lastNotice)
	if err != nil {
		c.deps.Log.Debug("cannot read the reclaim notices", "error", err)
		return
	}
	for _, notice := range notices {
		c.noticed[upstreamKey{notice.Instance, notice.Incarnation}] = true
		c.lastNotice = max(c.lastNotice, notice.Sequence)
	}
}
