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

// execute performs one action if the lease is still held.
func (c *Controller) execute(ctx context.Context, grant lease.Grant, doc *document.Document, h *holderState, o observation, action planner.Action) {
	// Without this check, a process that was paused would go on with a plan
	// that another holder has replaced. If the lease ends between this line
	// and the request, the cloud refuses the request because of its fence, or the new
	// holder corrects its effect, since it plans from the current state.
	if !grant.Valid() {
		actionsWithheldLeaseLost.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.RequestTimeout)
	defer cancel()
	log := c.deps.Log.With("service", doc.Service, "reason", action.Reason, "fence", grant.Fence)
	switch action.Kind {
	case planner.Start:
		err := c.start(ctx, grant, doc, h, action)
		log.Info("requested instance start", "start_id", action.StartID, "failure_domain", action.Offering.FailureDomain,
			"class", action.Offering.Class, "reclaimable", action.Offering.Reclaimable, "error", err)
	case planner.Drain:
		err := c.drain(ctx, h, o, action.Instance)
		log.Info("requested upstream drain", "upstream", action.Instance, "error", err)
	case planner.Stop:
		err := c.deps.Cloud.Stop(ctx, action.Instance, grant.Fence)
		stops.Add(1)
		log.Info("requested upstream stop", "upstream", action.Instance, "error", err)
	}
}

// start requests an instance from the cloud. A start whose answer was lost
// stays pending and is requested again with the same ID.
func (c *Controller) start(ctx context.Context, grant lease.Grant, doc *document.Document, h *holderState, action planner.Action) error {
	p := h.pendingStart(action, time.Now())
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
	h.recordStartResult(p, id, err, time.Now())
	return err
}

// pendingStart returns the pending start of an action and adds it if there is
// none yet. The pointer is valid until h.pending changes.
func (h *holderState) pendingStart(action planner.Action, now time.Time) *pending {
	for i := range h.pending {
		if h.pending[i].StartID == action.StartID {
			return &h.pending[i]
		}
	}
	h.startsRequested++
	h.pending = append(h.pending, pending{
		Pending:     planner.Pending{StartID: action.StartID, Offering: action.Offering},
		requestedAt: now,
	})
	return &h.pending[len(h.pending)-1]
}

// recordStartResult records the result of a start. A start that certainly had
// no effect is no longer pending.
func (h *holderState) recordStartResult(p *pending, id ident.Instance, err error, now time.Time) {
	refused := errors.Is(err, platform.ErrNoCapacity)
	notSent := errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrOldFence)
	switch {
	case err == nil:
		p.Answered, p.instance = true, id
	case refused || notSent:
		startsFailed.Add(1)
		h.dropPending(p.StartID)
	}
	if refused {
		h.recordFailure(p.Offering, now)
	}
}

// dropPending removes a pending start.
func (h *holderState) dropPending(startID string) {
	for i := range h.pending {
		if h.pending[i].StartID == startID {
			h.pending = append(h.pending[:i], h.pending[i+1:]...)
			return
		}
	}
}

// drain announces an upstream as leaving. The upstream counts as draining only
// once a gateway has acknowledged that; until then later rounds announce it
// again.
func (c *Controller) drain(ctx context.Context, h *holderState, o observation, id ident.Instance) error {
	for _, instance := range o.instances {
		if instance.ID != id {
			continue
		}
		if err := c.deps.Gateways.AnnounceLeaving(ctx, []platform.Instance{instance}); err != nil {
			return err
		}
		drains.Add(1)
		h.drainingSince[key(instance)] = time.Now()
	}
	return nil
}
