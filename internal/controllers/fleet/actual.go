// Package fleet keeps the size and mix of each service's upstreams. It runs
// the planner under a lease over the service's whole fleet and carries its
// actions out. It repairs from state: a new holder reads what is there and
// plans anew.
package fleet

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/planner"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// upstreamKey tells two lives of an instance apart.
type upstreamKey struct {
	id          ident.Instance
	incarnation ident.Incarnation
}

// load is what an upstream told of itself.
type load struct {
	running, queued int
	leaving         bool
	// asOf is when the figures were true.
	asOf time.Time
}

// pending is a start that this holder asked for.
type pending struct {
	planner.Pending
	askedAt time.Time
	// instance is set once the cloud has answered.
	instance ident.Instance
}

const (
	// listedWithin is how long the platform may take to list an instance that
	// it has started. After that the start counts as failed.
	listedWithin = 2 * time.Minute
	// settle is how long a new holder starts nothing: the starts of the
	// holder before it must be listed, or they would be asked for twice.
	settle = 10 * time.Second
	// oldestListing is the age of the platform's list above which nothing is
	// planned by it.
	oldestListing = 15 * time.Second
	// drainGrace is when, after the announcement, no gateway sends work to an
	// upstream any more. The membership takes at most 4 s.
	drainGrace = 6 * time.Second
	// askLeavingEvery is the time between two questions what drains.
	askLeavingEvery = 30 * time.Second
)

// memory is what one holder of a service's lease knows besides the platform's
// list. Losing it costs time and never correctness.
type memory struct {
	fence   ident.Fence
	since   time.Time
	starts  int
	pending []pending
	// failures by offering.
	failures map[planner.Offering]planner.Failures
	// served are the upstreams that have answered at least once.
	served map[upstreamKey]bool
	// askedAt is when a gateway last told what drains.
	askedAt time.Time
	// draining is when this holder learnt that an upstream drains.
	draining map[upstreamKey]time.Time
	// loads are what the upstreams that answered told at loadsAt.
	loads   map[upstreamKey]load
	loadsAt time.Time
	// reclaims estimates how often each offering is reclaimed.
	reclaims *reclaimRates
	demand   peakHold
}

func newMemory(fence ident.Fence, now time.Time) *memory {
	return &memory{
		fence:    fence,
		since:    now,
		failures: make(map[planner.Offering]planner.Failures),
		served:   make(map[upstreamKey]bool),
		draining: make(map[upstreamKey]time.Time),
		reclaims: newReclaimRates(now),
	}
}

// observation is what one round has read.
type observation struct {
	instances []platform.Instance
	// noticed are the instances with a reclaim notice.
	noticed map[upstreamKey]bool
	loads   map[upstreamKey]load
	slots   float64
}

// actual returns what the planner counts, and forgets the starts that are
// settled.
func (m *memory) actual(service ident.Service, o observation, now time.Time) planner.Actual {
	m.settlePending(o, now)
	actual := planner.Actual{Service: service, Failures: m.failures, Holder: m.fence, Starts: m.starts}
	work := 0
	for _, instance := range o.instances {
		counted := m.count(instance, o, now)
		l := o.loads[key(instance)]
		work += l.running + l.queued
		actual.Instances = append(actual.Instances, counted)
	}
	if m.demand.at.IsZero() {
		m.demand.seed(len(o.instances), now)
	}
	for _, p := range m.pending {
		actual.Pending = append(actual.Pending, p.Pending)
	}
	actual.Demand = m.demand.update(float64(work)/o.slots, now)
	return actual
}

// count tells how the planner counts one listed instance.
func (m *memory) count(instance platform.Instance, o observation, now time.Time) planner.Instance {
	k := key(instance)
	l, answered := o.loads[k]
	if answered {
		m.served[k] = true
	}
	since, draining := m.draining[k]
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
		// Somebody else has told it to stop.
		counted.State = planner.Leaving
	case m.served[k]:
		counted.State = planner.Serving
	}
	return counted
}

// settlePending forgets the starts that are listed now, and counts those as
// failed that never were.
func (m *memory) settlePending(o observation, now time.Time) {
	listed := make(map[ident.Instance]bool)
	for _, instance := range o.instances {
		listed[instance.ID] = true
	}
	var open []pending
	for _, p := range m.pending {
		switch {
		case p.Answered && listed[p.instance]:
			delete(m.failures, p.Offering)
		case now.Sub(p.askedAt) > listedWithin:
			m.fail(p.Offering, now)
		default:
			open = append(open, p)
		}
	}
	m.pending = open
}

func (m *memory) fail(offering planner.Offering, now time.Time) {
	f := m.failures[offering]
	m.failures[offering] = planner.Failures{Count: f.Count + 1, Last: now}
}

// mayStart reports whether this holder has held the lease for long enough to
// see all that earlier holders started, and whether no start of the offering
// was refused since the plan was made: the others would be refused as well.
func (m *memory) mayStart(offering planner.Offering, planned time.Time) bool {
	settled := planned.Sub(m.since) >= settle
	return settled && m.failures[offering].Last.Before(planned)
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
