// Package fleet keeps the number and mix of each service's upstreams as its
// document requires. It runs the planner under a lease on the service's whole
// fleet and executes the planner's actions. It works from the current state
// alone: a new holder of the lease reads which instances exist and plans anew.
package fleet

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/planner"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// upstreamKey identifies one incarnation of an instance.
type upstreamKey struct {
	id          ident.Instance
	incarnation ident.Incarnation
}

// load is the state that an upstream reported about itself.
type load struct {
	running, queued int
	leaving         bool
	// asOf is when the values were true.
	asOf time.Time
}

// pending is a start that this holder has requested and whose instance is not
// listed yet.
type pending struct {
	planner.Pending
	requestedAt time.Time
	// instance is set once the cloud has answered.
	instance ident.Instance
}

const (
	// listTimeout is how long the platform may take to list an instance that
	// it has started. After that the start counts as failed.
	listTimeout = 2 * time.Minute
	// takeoverWait is how long a new holder starts nothing. Meanwhile the
	// instances that the previous holder started get listed; otherwise they
	// would be requested twice.
	takeoverWait = 10 * time.Second
	// maxListingAge is the age of the platform's list above which nothing is
	// planned from it.
	maxListingAge = 15 * time.Second
	// drainGrace is the time after the announcement in which gateways may
	// still send work to an upstream. The membership needs at most 4 s.
	drainGrace = 6 * time.Second
	// leavingReadInterval is the time between two requests for the leaving
	// instances.
	leavingReadInterval = 30 * time.Second
)

// holderState is what one holder of a service's lease knows in addition to the
// platform's list. Losing it delays actions but makes none wrong.
type holderState struct {
	fence ident.Fence
	// heldSince is when the holder got the lease.
	heldSince time.Time
	// startsRequested counts the starts requested so far.
	startsRequested int
	pending         []pending
	// failures holds the failed starts in a row of each offering.
	failures map[planner.Offering]planner.Failures
	// served holds the upstreams that have answered at least once.
	served map[upstreamKey]bool
	// leavingReadAt is when a gateway last answered which instances are
	// leaving.
	leavingReadAt time.Time
	// drainingSince is when this holder learnt that an upstream is leaving.
	drainingSince map[upstreamKey]time.Time
	// loads holds the loads of the upstreams that answered at
	// loadsReadAt.
	loads       map[upstreamKey]load
	loadsReadAt time.Time
	// reclaims estimates how often each offering is reclaimed.
	reclaims *reclaimRates
	demand   peakHold
}

func newHolderState(fence ident.Fence, now time.Time) *holderState {
	return &holderState{
		fence:         fence,
		heldSince:     now,
		failures:      make(map[planner.Offering]planner.Failures),
		served:        make(map[upstreamKey]bool),
		drainingSince: make(map[upstreamKey]time.Time),
		reclaims:      newReclaimRates(now),
	}
}

// observation is what one round has read about a service.
type observation struct {
	instances []platform.Instance
	// noticed holds the incarnations with a reclaim notice.
	noticed map[upstreamKey]bool
	loads   map[upstreamKey]load
	// slots is how many requests keep one upstream busy.
	slots float64
}

// plannerInput returns the planner's input, and removes the pending starts that
// have succeeded or failed.
func (h *holderState) plannerInput(service ident.Service, o observation, now time.Time) planner.Actual {
	h.resolvePending(o, now)
	actual := planner.Actual{Service: service, Failures: h.failures, Fence: h.fence, StartsRequested: h.startsRequested}
	work := 0
	for _, instance := range o.instances {
		counted := h.countInstance(instance, o, now)
		l := o.loads[key(instance)]
		work += l.running + l.queued
		actual.Instances = append(actual.Instances, counted)
	}
	if h.demand.updatedAt.IsZero() {
		h.demand.seed(len(o.instances), now)
	}
	for _, p := range h.pending {
		actual.Pending = append(actual.Pending, p.Pending)
	}
	actual.Demand = h.demand.update(float64(work)/o.slots, now)
	return actual
}

// countInstance returns one listed instance as the planner counts it.
func (h *holderState) countInstance(instance platform.Instance, o observation, now time.Time) planner.Instance {
	k := key(instance)
	l, answered := o.loads[k]
	if answered {
		h.served[k] = true
	}
	since, draining := h.drainingSince[k]
	counted := planner.Instance{
		ID:       instance.ID,
		Offering: offeringOf(instance),
		Running:  l.running + l.queued,
		State:    planner.Starting,
	}
	switch {
	case instance.State != platform.Live || o.noticed[k]:
		counted.State = planner.Leaving
	case draining:
		counted.State = planner.Draining
		counted.Idle = answered && counted.Running == 0 && l.asOf.Sub(since) >= drainGrace
	case l.leaving:
		// Something other than this holder has told it to stop.
		counted.State = planner.Leaving
	case h.served[k]:
		counted.State = planner.Serving
	}
	return counted
}

// resolvePending removes the pending starts whose instance is listed now, and
// counts those as failed that were not listed within listTimeout.
func (h *holderState) resolvePending(o observation, now time.Time) {
	listed := make(map[ident.Instance]bool)
	for _, instance := range o.instances {
		listed[instance.ID] = true
	}
	var open []pending
	for _, p := range h.pending {
		switch {
		case p.Answered && listed[p.instance]:
			delete(h.failures, p.Offering)
		case now.Sub(p.requestedAt) > listTimeout:
			h.recordFailure(p.Offering, now)
		default:
			open = append(open, p)
		}
	}
	h.pending = open
}

// recordFailure counts a failed start of an offering.
func (h *holderState) recordFailure(offering planner.Offering, now time.Time) {
	f := h.failures[offering]
	h.failures[offering] = planner.Failures{Count: f.Count + 1, Last: now}
}

// mayStart reports whether this holder has held the lease long enough for all
// instances that earlier holders started to be listed, and no start of the
// offering has failed since the plan was made: the other starts of the offering
// in this plan would fail as well.
func (h *holderState) mayStart(offering planner.Offering, planned time.Time) bool {
	settled := planned.Sub(h.heldSince) >= takeoverWait
	return settled && h.failures[offering].Last.Before(planned)
}

func key(instance platform.Instance) upstreamKey {
	return upstreamKey{instance.ID, instance.Incarnation}
}

func offeringOf(instance platform.Instance) planner.Offering {
	return planner.Offering{
		FailureDomain: instance.FailureDomain,
		Class:         instance.Class,
		Reclaimable:   instance.Reclaimable,
	}
}
