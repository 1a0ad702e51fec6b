package rollout

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Leases is what a controller needs of the lease.
type Leases interface {
	Grant() (duty.Grant, bool)
}

// ControllerConfig is what a Controller works with. All fields are required.
type ControllerConfig struct {
	Tracker *Tracker
	Leases  Leases
	Store   platform.KeyedLog
	Reports Reports
	// TrueTime is the time of day.
	TrueTime func() time.Time
	// Gateways is how many gateways there may be, with this one.
	Gateways func() int
	// Settled reports whether this gateway has nothing at a service's old version, and
	// sends nothing there.
	Settled func(service ident.Service) bool
	// Drain is how long nearly all answers of a service take.
	Drain func(ident.Service) time.Duration
	// Running is how many requests all gateways have at a service.
	Running func(ident.Service) int
	Log     hclog.Logger
}

// Controller decides on orders while this gateway holds the lease of the duties.
type Controller struct {
	cfg    ControllerConfig
	ledger ledger
	fence  ident.Fence
}

// NewController returns a controller that knows nothing.
func NewController(cfg ControllerConfig) *Controller {
	return &Controller{cfg: cfg, ledger: ledger{store: cfg.Store, status: cfg.Reports}}
}

// Step does what is due.
func (c *Controller) Step(ctx context.Context) {
	orders := c.cfg.Tracker.Orders()
	grant, holds := c.cfg.Leases.Grant()
	if !holds || len(orders) == 0 {
		return
	}
	if grant.Fence != c.fence {
		c.fence = grant.Fence
		c.ledger.invalidate()
	}
	err := c.ledger.load(ctx)
	if err != nil {
		c.cfg.Log.Info("records of rollouts not read", "error", err)
	}
	for i := range orders {
		c.step(ctx, &orders[i], err == nil)
	}
}

// step takes one order further. While the records are not known, a version can only be
// stopped.
func (c *Controller) step(ctx context.Context, s *Status, known bool) {
	service, order := s.Order.Service, s.Order.Offset
	if known && c.adoptRecord(ctx, s) {
		return
	}
	next := Next(c.situation(s))
	switch {
	case next.Phase == RolledBack && s.Phase != RolledBack:
		c.cfg.Tracker.Advance(service, order, RolledBack, next.Reason)
	case !known:
	case next.Phase == Completed && s.Phase != Completed:
		// The platform stops the old version at this word, so that it is on record, and
		// no other holder can decide otherwise, before anybody acts on it.
		if c.recordOutcome(ctx, s, Completed) {
			c.cfg.Tracker.Advance(service, order, Completed, next.Reason)
		}
		return
	default:
		c.cfg.Tracker.Advance(service, order, next.Phase, next.Reason)
		c.cfg.Tracker.Confirm(service, order)
	}
	if known && next.Phase != Waiting {
		c.recordOutcome(ctx, s, outcomeOf(next.Phase))
	}
}

func outcomeOf(p Phase) Phase {
	if p.Ended() {
		return p
	}
	return Canary
}

// adoptRecord takes over what earlier holders decided of an order, and reports whether it has
// ended.
func (c *Controller) adoptRecord(ctx context.Context, s *Status) bool {
	r, some := c.ledger.records[s.Order.Service]
	if !some || r.Order != s.Order.Offset {
		return false
	}
	c.cfg.Tracker.Began(s.Order.Service, r.Order, c.cfg.TrueTime().Sub(time.UnixMilli(r.OrderedMillis)))
	if !r.Outcome.Ended() {
		return false
	}
	c.cfg.Tracker.Advance(s.Order.Service, r.Order, r.Outcome, "it was decided before")
	c.reportStatus(ctx, s)
	return true
}

// recordOutcome records and reports an outcome, and reports whether it stands.
func (c *Controller) recordOutcome(ctx context.Context, s *Status, outcome Phase) bool {
	r := Record{Order: s.Order.Offset, To: s.Order.To, Outcome: outcome, OrderedMillis: c.cfg.TrueTime().Add(-s.Age).UnixMilli()}
	if last, some := c.ledger.records[s.Order.Service]; some && last.Order == r.Order {
		r.OrderedMillis = last.OrderedMillis
	}
	if err := c.ledger.writeRecord(ctx, s.Order.Service, r); err != nil {
		c.cfg.Log.Warn("rollout not recorded", "service", s.Order.Service, "order", r.Order, "outcome", outcome.String(), "fence", c.fence, "error", err)
		return false
	}
	c.reportStatus(ctx, s)
	return true
}

func (c *Controller) reportStatus(ctx context.Context, s *Status) {
	if err := c.ledger.writeStatus(ctx, s.Order.Service); err != nil {
		c.cfg.Log.Warn("rollout not reported", "service", s.Order.Service, "order", s.Order.Offset, "fence", c.fence, "error", err)
	}
}

func (c *Controller) situation(s *Status) *Situation {
	settled := s.SettledOthers
	if c.cfg.Settled(s.Order.Service) {
		settled++
	}
	running := c.cfg.Running(s.Order.Service)
	return &Situation{
		Phase: s.Phase, Age: s.Age, PhaseAge: s.PhaseAge, TimeLimit: s.Order.Length, NewReady: s.NewReady, OldLeft: s.OldLeft,
		HasCapacity: s.NewSlots == 0 && s.NewReady > 0 || float64(s.NewSlots) >= requiredHeadroom*float64(running),
		Verdict:     s.Verdict, Stopped: s.Stopped, Settled: settled, Gateways: c.cfg.Gateways(), DrainTime: c.cfg.Drain(s.Order.Service),
	}
}

// requiredHeadroom times the requests in progress must fit into the new version's slots.
const requiredHeadroom = 1.2
