package fleetsim

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/scaling"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

const (
	// reclaimablePrice is the price of a reclaimable engine as a fraction of that of
	// an on-demand one.
	reclaimablePrice = 0.22
	// reclaimNotice is the time from an engine's reclaim notice until it ends, and
	// noticeDelay the time from the notice until the gateways know of it.
	reclaimNotice = 2500 * time.Millisecond
	noticeDelay   = 600 * time.Millisecond
)

// cloud starts and ends engines as the holder of the lease orders, and reclaims reclaimable
// engines.
type cloud struct {
	w                *world
	controller       *scaling.Controller
	wanted           map[scaling.Slot]int
	unavailableUntil time.Duration
	started          int
	orders           int
	refused          int
	// paidUntil is the time up to which the engines' costs were added up.
	paidUntil time.Duration
}

func newCloud(w *world) *cloud {
	c := &cloud{w: w, wanted: make(map[scaling.Slot]int)}
	c.controller = &scaling.Controller{
		Now: w.Clock, Table: w.table, View: func() *directory.View { return w.view }, Leases: c, Duties: c, Log: hclog.NewNullLogger(),
		Serves: func(*directory.Upstream) bool { return true }, RolloutRunning: func(ident.Service) bool { return false },
		UnservedShare: func(ident.Instance) float64 { return 0 },
		Need: func(s *routetable.Service) float64 {
			return scaling.Need(w.demand(), w.gateways[0].chooser.EngineEstimate(service, w.Clock()), s.Engine.Slots)
		},
	}
	return c
}

// table returns a configuration with the only service.
func (w *world) table() *routetable.Table {
	return routetable.New(routetable.Spec{Revision: 1, Services: []routetable.Service{*w.svc}})
}

// startFleet starts the engines of the beginning: one and a half times as many as the traffic
// keeps busy, but at least one in each failure domain. With Case.FixedEngines it starts so many
// on-demand engines, and nothing changes them later.
func (c *cloud) startFleet() {
	n := c.w.c.FixedEngines
	if n == 0 {
		n = max(c.w.c.Fleet.Domains, int(1.5*c.w.c.BusyEngines+0.5))
		for _, at := range c.w.c.Load.Reclaims {
			c.w.At(at, func() { c.reclaim(at) })
		}
		c.w.every(dutyEvery, func() { c.controller.Step(context.Background()) })
	}
	for i := range n {
		slot := scaling.Slot{FailureDomain: c.w.domain(i % c.w.c.Fleet.Domains), Reclaimable: c.w.c.FixedEngines == 0}
		c.wanted[slot]++
		c.startEngine(slot)
	}
	c.w.every(dutyEvery, c.addCosts)
}

// startEngine adds an engine that is ready.
func (c *cloud) startEngine(slot scaling.Slot) {
	w := c.w
	slowdown := w.c.slowdownOf(c.started)
	id := ident.Instance(fmt.Sprintf("e%04d", c.started))
	c.started++
	s := &simEngine{Upstream: directory.Upstream{
		ID: id, Name: id, Service: service, FailureDomain: slot.FailureDomain, Slots: w.c.Engine.Slots, State: directory.Ready, Reclaimable: slot.Reclaimable,
	}, slowdown: slowdown, model: engine.NewModel(w.c.Engine.parameters(slowdown))}
	w.engines = append(w.engines, s)
	w.byID[id] = s
	w.publish()
}

// addCosts adds the costs of all engines since the last call. Only the time between the warm-up
// and the end of arrivals counts.
func (c *cloud) addCosts() {
	elapsed := c.w.Now() - c.paidUntil
	c.paidUntil = c.w.Now()
	if c.w.Now() < warmUp || c.w.Now() > arrivalsEnd {
		return
	}
	for _, s := range c.w.engines {
		price := 1.0
		if s.Reclaimable {
			price = reclaimablePrice
		}
		c.w.paidSeconds += price * elapsed.Seconds()
	}
}

// reclaim reclaims all reclaimable engines of a failure domain: the n-th reclaim of the load
// those of the n-th domain.
func (c *cloud) reclaim(at time.Duration) {
	n := 0
	for i, other := range c.w.c.Load.Reclaims {
		if other == at {
			n = i
		}
	}
	domain := c.w.domain(n % c.w.c.Fleet.Domains)
	c.unavailableUntil = c.w.Now() + reclaimNotice + c.w.c.Load.UnavailableFor
	c.wanted[scaling.Slot{FailureDomain: domain, Reclaimable: true}] = 0
	for _, s := range c.w.engines {
		if s.FailureDomain == domain && s.Reclaimable {
			c.announceEnd(s, reclaimNotice)
		}
	}
}

// announceEnd announces that an engine is leaving and ends it after the given time.
func (c *cloud) announceEnd(s *simEngine, after time.Duration) {
	c.w.At(c.w.Now()+noticeDelay, func() {
		s.State = directory.Leaving
		c.w.publish()
	})
	c.w.At(c.w.Now()+after, func() { c.w.endEngine(s) })
}

// Grant implements scaling.Leases.
func (c *cloud) Grant() (duty.Grant, bool) {
	return duty.Grant{Authority: platform.Authority{Fence: 1}}, true
}

// FenceRejected implements scaling.Leases.
func (c *cloud) FenceRejected(ident.Fence) {}

// Report implements platform.Duties.
func (c *cloud) Report(context.Context, platform.Authority, platform.UsageReport) error { return nil }

// drainTime is how long an engine that is no longer wanted continues with its requests.
const drainTime = 20 * time.Second

// Scale implements platform.Duties.
func (c *cloud) Scale(_ context.Context, _ platform.Authority, o platform.ScaleOrder) error {
	slot := scaling.Slot{FailureDomain: o.FailureDomain, Reclaimable: o.Reclaimable}
	c.orders++
	more := o.Wanted - c.wanted[slot]
	if more > 0 && o.Reclaimable && c.w.Now() < c.unavailableUntil {
		c.refused++
		return platform.ErrNoCapacity
	}
	c.wanted[slot] = o.Wanted
	for range more {
		c.w.At(c.w.Now()+c.w.svc.Scale.Startup, func() { c.startEngine(slot) })
	}
	for _, s := range c.w.engines {
		if more >= 0 {
			break
		}
		if s.FailureDomain == slot.FailureDomain && s.Reclaimable == slot.Reclaimable && s.State == directory.Ready {
			more++
			c.announceEnd(s, drainTime)
		}
	}
	return nil
}
