package rollout

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Leases says whether this gateway may decide on orders: Grant returns false if it does not hold
// the lease.
type Leases interface {
	Grant() (duty.Grant, bool)
}

// ControllerConfig configures a Controller. All fields are required.
type ControllerConfig struct {
	Tracker     *Tracker
	Leases      Leases
	Store       platform.KeyedLog
	StatusTopic StatusTopic
	Now         boottime.Clock
	// TrueTime returns the time of day.
	TrueTime func() time.Time
	// Gateways returns the number of gateways that may exist, including this one.
	Gateways func() int
	// Settled reports whether this gateway has no requests at a service's old version and sends
	// none there.
	Settled func(service ident.Service) bool
	// DrainTime returns the duration within which nearly all answers of a service end.
	DrainTime func(ident.Service) time.Duration
	// Era returns the newest known era of the store.
	Era func() ident.Era
	// InFlight returns the number of requests that all gateways have in progress at a service.
	InFlight func(ident.Service) int
	Log      hclog.Logger
}

// Controller decides on rollout orders while this gateway holds the lease.
type Controller struct {
	cfg    ControllerConfig
	ledger ledger
	fence  ident.Fence
	// era is the newest era that was known; eraSeenAt is when it became known, and rereadAt when the records
	// were last read again since.
	era                 ident.Era
	eraSeenAt, rereadAt time.Time
}

// lateWriteTime is how long after a new era a write whose answer was lost may still be carried out. Its
// condition may hold again by chance, so that an older outcome replaces the recorded one.
const lateWriteTime = 10 * time.Second

// rereadInterval is how often the records are read again in that time.
const rereadInterval = 2 * time.Second

// rereadInNewEra makes the next step read the records again, now and then after a new era has begun.
func (c *Controller) rereadInNewEra() {
	now := c.cfg.Now()
	if era := c.cfg.Era(); era != c.era {
		c.era, c.eraSeenAt, c.rereadAt = era, now, time.Time{}
	}
	if !c.eraSeenAt.IsZero() && c.rereadAt.Sub(c.eraSeenAt) < lateWriteTime && now.Sub(c.rereadAt) >= rereadInterval {
		c.rereadAt = now
		c.ledger.invalidate()
	}
}

// NewController returns a controller that has read no records yet.
func NewController(cfg ControllerConfig) *Controller {
	return &Controller{cfg: cfg, era: cfg.Era(), ledger: ledger{store: cfg.Store, status: cfg.StatusTopic}}
}

// Step advances all orders if this gateway holds the lease. It must be called regularly.
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
	c.rereadInNewEra()
	err := c.ledger.load(ctx)
	if err != nil {
		c.cfg.Log.Info("cannot read rollout records", "error", err)
	}
	for i := range orders {
		c.step(ctx, &orders[i], err == nil)
	}
}

// step advances one order. While the records could not be read (recordsKnown is false), it can
// only roll back.
func (c *Controller) step(ctx context.Context, s *Status, recordsKnown bool) {
	service, order := s.Order.Service, s.Order.At
	if recordsKnown && c.adoptRecord(ctx, s) {
		return
	}
	next := Next(c.situation(s))
	switch {
	case next.Phase == RolledBack && s.Phase != RolledBack:
		c.cfg.Tracker.Advance(service, order, RolledBack, next.Reason)
	case !recordsKnown:
	case next.Phase == Completed && s.Phase != Completed:
		// The platform stops the old version once this outcome is reported. It is recorded
		// first, so that no other holder can decide otherwise before anybody acts on it.
		if c.recordOutcome(ctx, s, Completed) {
			c.cfg.Tracker.Advance(service, order, Completed, next.Reason)
		}
		return
	default:
		c.cfg.Tracker.Advance(service, order, next.Phase, next.Reason)
		c.cfg.Tracker.Confirm(service, order)
	}
	if recordsKnown && next.Phase != Waiting {
		c.recordOutcome(ctx, s, outcomeOf(next.Phase))
	}
}

// outcomeOf returns the outcome to record for a phase: Canary for all phases that are not final.
func outcomeOf(p Phase) Phase {
	if p.Ended() {
		return p
	}
	return Canary
}

// adoptRecord adopts what earlier holders recorded about an order, and reports whether the order
// has ended.
func (c *Controller) adoptRecord(ctx context.Context, s *Status) bool {
	r, found := c.ledger.records[s.Order.Service]
	if !found || !r.isOf(&s.Order) {
		return false
	}
	c.cfg.Tracker.SetMinAge(s.Order.Service, s.Order.At, c.cfg.TrueTime().Sub(time.UnixMilli(r.OrderedMillis)))
	if !r.Outcome.Ended() {
		return false
	}
	c.cfg.Tracker.Advance(s.Order.Service, s.Order.At, r.Outcome, "it was decided before")
	c.reportStatus(ctx, s)
	return true
}

// recordOutcome writes an outcome to the records and to the operators' status. It returns whether
// the outcome is recorded.
func (c *Controller) recordOutcome(ctx context.Context, s *Status, outcome Phase) bool {
	r := Record{Order: s.Order.At, To: s.Order.To, Outcome: outcome, OrderedMillis: c.cfg.TrueTime().Add(-s.Age).UnixMilli()}
	if last, found := c.ledger.records[s.Order.Service]; found && last.isOf(&s.Order) {
		r.OrderedMillis = last.OrderedMillis
	}
	if err := c.ledger.writeRecord(ctx, s.Order.Service, r); err != nil {
		c.cfg.Log.Warn("cannot record rollout outcome", "service", s.Order.Service, "order", r.Order, "outcome", outcome.String(), "fence", c.fence, "error", err)
		return false
	}
	c.reportStatus(ctx, s)
	return true
}

// reportStatus writes the recorded outcome to the operators' status topic.
func (c *Controller) reportStatus(ctx context.Context, s *Status) {
	if err := c.ledger.writeStatus(ctx, s.Order.Service); err != nil {
		c.cfg.Log.Warn("cannot report rollout status to the operators", "service", s.Order.Service, "order", s.Order.At, "fence", c.fence, "error", err)
	}
}

func (c *Controller) situation(s *Status) *Situation {
	settled := s.SettledOthers
	if c.cfg.Settled(s.Order.Service) {
		settled++
	}
	inFlight := c.cfg.InFlight(s.Order.Service)
	return &Situation{
		Phase: s.Phase, Age: s.Age, PhaseAge: s.PhaseAge, TimeLimit: s.Order.TimeLimit, NewReady: s.NewReady, OldLeft: s.OldLeft,
		HasCapacity: s.NewSlots == 0 && s.NewReady > 0 || float64(s.NewSlots) >= requiredHeadroom*float64(inFlight),
		Verdict:     s.Verdict, Stopped: s.Stopped, Settled: settled, Gateways: c.cfg.Gateways(), DrainTime: c.cfg.DrainTime(s.Order.Service),
	}
}

// requiredHeadroom is the number of slots that the new version needs per request in progress.
const requiredHeadroom = 1.2
