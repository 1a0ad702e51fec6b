package probing

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	controller "github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Controller probes upstreams. Only the goroutine of Run uses its state.
type Controller struct {
	config  Config
	deps    Deps
	probes  map[ident.Instance]*probeState
	results chan result
	// loadChanged is whether a load has changed since the last publication.
	loadChanged bool
}

// probeState is the result of this process's own probes of one incarnation of
// an upstream.
type probeState struct {
	incarnation ident.Incarnation
	running     bool
	failures    int
	report      upstream.Report
	// asOf is when report was true. It is zero before the first answer.
	asOf time.Time
	// lastEvent is the sequence number of the last cache event.
	lastEvent uint64
}

// New returns a controller that has probed nothing yet.
func New(config Config, deps Deps) *Controller {
	return &Controller{
		config:  config,
		deps:    deps,
		probes:  map[ident.Instance]*probeState{},
		results: make(chan result),
	}
}

// Run probes and publishes until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	var running sync.WaitGroup
	defer running.Wait()
	probeTick := time.NewTicker(c.config.Interval)
	defer probeTick.Stop()
	publishTick := time.NewTicker(c.config.PublishInterval)
	defer publishTick.Stop()
	members := c.deps.Board.Members.Load()
	c.publish(members.Value)
	c.probeNew(ctx, &running, members.Value)
	for {
		select {
		case <-members.Changed():
			members = c.deps.Board.Members.Load()
			c.publish(members.Value)
			c.probeNew(ctx, &running, members.Value)
		case <-probeTick.C:
			c.probeAll(ctx, &running, members.Value)
		case r := <-c.results:
			if c.applyResult(r) {
				c.publish(members.Value)
			}
		case <-publishTick.C:
			if c.loadChanged || c.probesAreShared(members.Value) {
				c.publish(members.Value)
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// probeNew probes at once the upstreams that were never probed, so that a new
// one is used as soon as it answers. It also removes the state of upstreams
// that are gone.
func (c *Controller) probeNew(ctx context.Context, running *sync.WaitGroup, members *blackboard.Members) {
	for _, instance := range c.assigned(members) {
		p, ok := c.probes[instance.ID]
		if !ok || p.incarnation != instance.Incarnation {
			c.startProbe(ctx, running, instance)
		}
	}
	c.removeGone(members)
}

func (c *Controller) probeAll(ctx context.Context, running *sync.WaitGroup, members *blackboard.Members) {
	for _, instance := range c.assigned(members) {
		c.startProbe(ctx, running, instance)
	}
}

// startProbe starts a probe of an upstream unless one is running.
func (c *Controller) startProbe(ctx context.Context, running *sync.WaitGroup, instance platform.Instance) {
	p, ok := c.probes[instance.ID]
	if !ok || p.incarnation != instance.Incarnation {
		p = &probeState{incarnation: instance.Incarnation}
		c.probes[instance.ID] = p
	}
	if p.running {
		return
	}
	p.running = true
	after := p.lastEvent
	running.Go(func() {
		r := c.probe(ctx, instance, after)
		select {
		case c.results <- r:
		case <-ctx.Done():
		}
	})
}

// isUpstream reports whether an instance is an upstream with a known address.
// An instance of which only the ID is known has none yet.
func isUpstream(instance platform.Instance) bool {
	upstreamRole := instance.Role == platform.RoleEngine || instance.Role == platform.RolePlain
	return upstreamRole && instance.Address != ""
}

// applyResult applies the result of a probe and reports whether it changes the
// state that routing uses.
func (c *Controller) applyResult(r result) bool {
	p, ok := c.probes[r.id]
	if !ok || p.incarnation != r.incarnation {
		return false
	}
	p.running = false
	if r.err != nil {
		return c.recordFailure(r, p)
	}
	recovered := p.failures >= c.config.FailuresToSuspect || p.asOf.IsZero()
	p.failures = 0
	p.report = r.report
	p.asOf = r.asOf
	c.loadChanged = true
	c.deps.Membership.Observe(observationOf(r))
	c.applyEvents(r, p)
	return recovered
}

// recordFailure counts a failed probe and reports whether it makes the upstream
// suspect.
func (c *Controller) recordFailure(r result, p *probeState) bool {
	p.failures++
	probesFailed.Add(1)
	if p.failures == c.config.FailuresToSuspect {
		c.deps.Log.Warn("upstream is suspect, its probes fail", "upstream", r.id, "error", r.err)
		return true
	}
	return false
}

func observationOf(r result) controller.Observation {
	return controller.Observation{
		Instance:    r.report.Instance,
		Incarnation: r.report.Incarnation,
		Leaving:     r.report.Leaving,
		Load: membership.Load{
			Running:             uint32(max(r.report.Running, 0)),
			Queued:              uint32(max(r.report.Queued, 0)),
			QueuedPrefillTokens: uint32(max(r.report.QueuedPrefillTokens, 0)),
			At:                  r.asOf,
		},
	}
}

func (c *Controller) applyEvents(r result, p *probeState) {
	if c.deps.Cache == nil || r.eventsErr != nil {
		return
	}
	for _, e := range r.events {
		p.lastEvent = max(p.lastEvent, e.Sequence)
	}
	c.deps.Cache.Apply(r.id, r.incarnation, r.events)
}

// removeGone removes the state of upstreams that are gone.
func (c *Controller) removeGone(members *blackboard.Members) {
	for id := range c.probes {
		m, ok := members.ByID[id]
		if ok && m.State != blackboard.Gone {
			continue
		}
		delete(c.probes, id)
		if c.deps.Cache != nil {
			c.deps.Cache.Forget(id)
		}
	}
}
