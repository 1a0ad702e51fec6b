package fleet

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/planner"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// act carries one action out if the lease is still held when it leaves.
func (c *Controller) act(ctx context.Context, grant lease.Grant, doc *document.Document, m *memory, o observation, action planner.Action) {
	// What goes wrong without this check: a frozen process wakes and goes on
	// with a plan that another holder has replaced. What slips through between
	// this line and the request is refused by its fence, or repaired by the
	// new holder, which plans from what is there.
	if !grant.Valid() {
		actionsWithheld.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Flight)
	defer cancel()
	log := c.deps.Log.With("service", doc.Service, "reason", action.Reason, "fence", grant.Fence)
	switch action.Kind {
	case planner.Start:
		err := c.start(ctx, grant, doc, m, action)
		log.Info("start", "start_id", action.StartID, "failure_domain", action.Offering.FailureDomain,
			"class", action.Offering.Class, "reclaimable", action.Offering.Reclaimable, "error", err)
	case planner.Drain:
		err := c.drain(ctx, m, o, action.Instance)
		log.Info("drain", "upstream", action.Instance, "error", err)
	case planner.Stop:
		err := c.deps.Cloud.Stop(ctx, action.Instance, grant.Fence)
		stops.Add(1)
		log.Info("stop", "upstream", action.Instance, "error", err)
	}
}

// start asks the cloud for an instance. A start whose answer was lost stays
// pending and is asked for again with the same ID.
func (c *Controller) start(ctx context.Context, grant lease.Grant, doc *document.Document, m *memory, action planner.Action) error {
	p := m.pendingStart(action, time.Now())
	role := platform.RoleEngine
	if doc.Kind == document.Plain {
		role = platform.RolePlain
	}
	starts.Add(1)
	id, err := c.deps.Cloud.Start(ctx, platform.StartRequest{
		StartID:       action.StartID,
		Service:       doc.Service,
		Role:          role,
		FailureDomain: action.Offering.FailureDomain,
		Class:         action.Offering.Class,
		Reclaimable:   action.Offering.Reclaimable,
		Fence:         grant.Fence,
	})
	m.answerStart(p, id, err, time.Now())
	return err
}

// pendingStart returns the pending start of an action, a new one if need be.
func (m *memory) pendingStart(action planner.Action, now time.Time) *pending {
	for i := range m.pending {
		if m.pending[i].StartID == action.StartID {
			return &m.pending[i]
		}
	}
	m.starts++
	m.pending = append(m.pending, pending{
		Pending: planner.Pending{StartID: action.StartID, Offering: action.Offering},
		askedAt: now,
	})
	return &m.pending[len(m.pending)-1]
}

// answerStart notes how a start ended.
func (m *memory) answerStart(p *pending, id ident.Instance, err error, now time.Time) {
	refused := errors.Is(err, platform.ErrNoCapacity)
	notSent := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOldFence)
	switch {
	case err == nil:
		p.Answered, p.instance = true, id
	case refused || notSent:
		startsFailed.Add(1)
		m.drop(p.StartID)
	}
	if refused {
		m.fail(p.Offering, now)
	}
}

func (m *memory) drop(startID string) {
	for i := range m.pending {
		if m.pending[i].StartID == startID {
			m.pending = append(m.pending[:i], m.pending[i+1:]...)
			return
		}
	}
}

// drain announces an upstream as leaving. It counts as draining only once a
// gateway has heard it; until then a later round announces it again.
func (c *Controller) drain(ctx context.Context, m *memory, o observation, id ident.Instance) error {
	for _, instance := range o.instances {
		if instance.ID != id {
			continue
		}
		if err := c.deps.Gateways.AnnounceLeaving(ctx, []platform.Instance{instance}); err != nil {
			return err
		}
		drains.Add(1)
		m.draining[key(instance)] = time.Now()
	}
	return nil
}
