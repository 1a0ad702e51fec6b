package probing

import (
	"cmp"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// assigned returns the upstreams that this process probes.
func (c *Controller) assigned(members *blackboard.Members) []platform.Instance {
	if !c.probesAreShared(members) {
		return upstreamsOf(members)
	}
	gateways := gatewaysByDomain(members)
	var out []platform.Instance
	for _, instance := range upstreamsOf(members) {
		if c.isProber(instance, gateways) {
			out = append(out, instance)
		}
	}
	return out
}

// probesAreShared reports whether there are too many upstreams for every
// gateway to probe them all.
func (c *Controller) probesAreShared(members *blackboard.Members) bool {
	count := 0
	for _, m := range members.ByID {
		if isUpstream(m.Instance) && m.State < blackboard.Leaving {
			count++
		}
	}
	return count > c.config.ProbeAllUpTo
}

// isProber reports whether this process is among the probers of an upstream.
// They are chosen from the gateways of the upstream's failure domain, or from
// all gateways if the domain has none.
func (c *Controller) isProber(instance platform.Instance, gateways map[ident.FailureDomain][]ident.Instance) bool {
	candidates := gateways[instance.FailureDomain]
	if len(candidates) == 0 {
		for _, others := range gateways {
			candidates = append(candidates, others...)
		}
	} else if instance.FailureDomain != c.config.FailureDomain {
		return false
	}
	return membership.Owns(c.config.Self, candidates, instance.ID, c.config.ProbersPerUpstream)
}

// gatewaysByDomain returns the gateways that are alive, in no order.
func gatewaysByDomain(members *blackboard.Members) map[ident.FailureDomain][]ident.Instance {
	out := map[ident.FailureDomain][]ident.Instance{}
	for id, m := range members.ByID {
		if m.Instance.Role == platform.RoleEntry && m.State == blackboard.Alive {
			out[m.Instance.FailureDomain] = append(out[m.Instance.FailureDomain], id)
		}
	}
	return out
}

// upstreamsOf returns the upstreams that are not leaving, in no order.
func upstreamsOf(members *blackboard.Members) []platform.Instance {
	var out []platform.Instance
	for _, m := range members.ByID {
		if isUpstream(m.Instance) && m.State < blackboard.Leaving {
			out = append(out, m.Instance)
		}
	}
	return out
}

// publish replaces Board.Upstreams. Leaving upstreams are included.
func (c *Controller) publish(members *blackboard.Members) {
	c.loadChanged = false
	loads := c.latestLoads()
	byService := map[ident.Service][]blackboard.Upstream{}
	for _, m := range members.ByID {
		if !isUpstream(m.Instance) || m.State == blackboard.Gone {
			continue
		}
		service := m.Instance.Service
		byService[service] = append(byService[service], c.buildUpstream(m, loads[m.Instance.ID]))
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b blackboard.Upstream) int { return cmp.Compare(a.Instance.ID, b.Instance.ID) })
	}
	c.deps.Board.Upstreams.Publish(&blackboard.Upstreams{ByService: byService})
}

// latestLoads returns the latest load of each instance that any process has
// reported.
func (c *Controller) latestLoads() map[ident.Instance]membership.Load {
	entries := c.deps.Membership.Entries()
	out := make(map[ident.Instance]membership.Load, len(entries))
	for _, e := range entries {
		if !e.Load.At.IsZero() {
			out[e.ID] = e.Load
		}
	}
	return out
}

// buildUpstream combines the membership's state and load of an upstream with
// the results of this process's own probes. The later load counts.
func (c *Controller) buildUpstream(m blackboard.Member, load membership.Load) blackboard.Upstream {
	u := blackboard.Upstream{Instance: m.Instance, State: m.State}
	if c.deps.Cache != nil && m.Instance.Role == platform.RoleEngine {
		u.Cache = c.deps.Cache.View(m.Instance.ID, m.Incarnation)
	}
	p, ok := c.probes[m.Instance.ID]
	if ok && p.incarnation == m.Incarnation {
		u.Report = p.report
		u.AsOf = p.asOf
		if m.State == blackboard.Alive && p.failures >= c.config.FailuresToSuspect {
			u.State = blackboard.Suspect
		}
	}
	if load.At.After(u.AsOf) {
		u.Report.Running = int(load.Running)
		u.Report.Queued = int(load.Queued)
		u.Report.QueuedPrefillTokens = int(load.QueuedPrefillTokens)
		u.AsOf = load.At
	}
	return u
}
