package entry

import (
	"context"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// peerView is a snapshot of the other gateways' reports for the data path. It is immutable
// and replaced as a whole twice per round of the exchange.
type peerView struct {
	gossip.View
	// loads are the total loads that the other gateways have at each upstream.
	loads map[gossip.UpstreamKey]placement.Load
}

// followPeers applies the other gateways' reports twice per round, until ctx ends.
func (p *Process) followPeers(ctx context.Context) {
	for sleep.For(ctx, gossip.Interval/2) {
		p.refreshPeers()
	}
}

// refreshPeers replaces the peerView and applies the other gateways' reports.
func (p *Process) refreshPeers() {
	now := p.now()
	v := &peerView{View: p.gossip.View(now)}
	v.loads = totalLoads(v.Groups)
	p.ledger.MergeCounts(p.incarnationID, p.counter.Windows())
	p.view.Store(v)
	p.rollouts.Refresh(mergeRolloutStates(v.Groups))
	p.poison.Refresh(mergePoisonReports(v.Groups))
	p.refreshSpeeds(v, now)
	p.refreshAnnounced(v)
	p.refreshKeepers(v, now)
	p.refreshOriginPeers(now)
	if table := p.table(); table != nil {
		p.quotas.ApplyReports(table.Accounts(), now)
		p.refreshRetrySlack(table, now)
	}
	p.room.WakeAll()
}

// mergeRolloutStates merges what the groups report about rollouts.
func mergeRolloutStates(groups []gossip.Group) rollout.OrderStates {
	var merged rollout.OrderStates
	for i := range groups {
		merged = merged.Merge(groups[i].Rollouts)
	}
	return merged
}

// mergePoisonReports merges what the groups report about poison requests.
func mergePoisonReports(groups []gossip.Group) poison.Report {
	var merged poison.Report
	for i := range groups {
		merged = merged.Merge(groups[i].Poison)
	}
	return merged
}

// totalLoads adds up what the groups have at each upstream.
func totalLoads(groups []gossip.Group) map[gossip.UpstreamKey]placement.Load {
	if len(groups) == 1 {
		return groups[0].Loads
	}
	loads := make(map[gossip.UpstreamKey]placement.Load)
	for i := range groups {
		for key, load := range groups[i].Loads {
			loads[key] = loads[key].Plus(load)
		}
	}
	return loads
}

// age returns the mean age of the other gateways' reports; 0 if there are none.
func (v *peerView) age(now time.Time) time.Duration {
	sum, gateways := time.Duration(0), 0
	for i := range v.Groups {
		sum += time.Duration(v.Groups[i].Gateways) * now.Sub(v.Groups[i].ReportedAt)
		gateways += v.Groups[i].Gateways
	}
	return sum / time.Duration(max(1, gateways))
}

// loadOf returns the total load that the other gateways have at an upstream.
func (v *peerView) loadOf(id ident.Instance) placement.Load { return v.loads[gossip.UpstreamKeyOf(id)] }

// storeRank returns this gateway's rank among the gateways whose reports it receives; 0 is
// the first to ask the store.
func (p *Process) storeRank() int { return p.view.Load().Rank }

// gatewaysBeforeStartPeriod is how long after its start a process assumes that there are at
// least as many gateways as before. Without it, when many gateways start at once, each knows
// none of the others for some rounds of the exchange, and each of them lets callers use the
// whole limit of each account.
const gatewaysBeforeStartPeriod = 3 * time.Second

// gatewayCount returns how many gateways there may be, including this one.
func (p *Process) gatewayCount() int { return p.gatewayCountAt(p.now()) }

// gatewayCountAt is gatewayCount for a given time.
func (p *Process) gatewayCountAt(now time.Time) int {
	known := p.view.Load().Known + 1
	if now.Sub(p.started) < gatewaysBeforeStartPeriod {
		return max(known, int(p.gatewaysBeforeStart.Load()))
	}
	return known
}

// alone reports whether this gateway hears no other one, though there are some.
func (p *Process) alone() bool { return p.view.Load().Heard == 0 && p.gatewayCount() > 1 }

// trueTime returns the wall-clock time, corrected to that of most gateways.
func (p *Process) trueTime() time.Time { return time.Now().Add(p.view.Load().WallCorrection) }

// quotaReports returns what the other gateways report about an account. It reads no clock
// because it is called for each of hundreds of accounts, eight times a second.
func (p *Process) quotaReports(account ident.ClientAccount, now time.Time) quota.OtherGateways {
	if !p.countsGateways(now) {
		return quota.OtherGateways{}
	}
	v := p.view.Load()
	o := quota.OtherGateways{Known: p.gatewayCountAt(now) - 1, Reports: make([]quota.Report, len(v.Groups))}
	for i := range v.Groups {
		g := &v.Groups[i]
		spending := g.Accounts[account]
		o.Reports[i] = quota.Report{
			Name: g.Name, Source: g.Source, Gateways: g.Gateways, Spent: spending.Spent, Refused: spending.Refused, Age: now.Sub(g.ReportedAt),
		}
	}
	return o
}

// engineSums adds up the other gateways' measurements of a service's engines.
func (p *Process) engineSums(service ident.Service) enginemodel.Sums {
	var sum enginemodel.Sums
	v := p.view.Load()
	for i := range v.Groups {
		sum.Add(v.Groups[i].Engines[service])
	}
	return sum
}

// knowledge implements gossip.Knowledge with the state of a Process: what it reports to the
// other gateways, and how it applies their reports.
type knowledge struct{ p *Process }

// BriefReport implements gossip.Knowledge.
func (k knowledge) BriefReport(time.Time) gossip.Report {
	p := k.p
	r := gossip.Report{
		Contact: p.contact(), Incarnation: p.incarnation, Seq: p.seq.Add(1), WallMillis: time.Now().UnixMilli(), Leaving: p.leaving.Load(),
		GivenUpFence: p.lease.GivenUpFence(),
	}
	r.Revision, r.RevisionAge = p.configuration.state()
	r.UpstreamsKnown, r.UpstreamsAge = p.upstreams.state()
	r.StoreEra = p.storeEra()
	r.KeptEntries, r.CopyEnd = p.upstreams.eraState()
	_, r.HoldsLease = p.lease.Grant()
	r.Lends = p.lends.Load()
	r.Rollouts = p.rollouts.OrderStates(p.hasNoRequests)
	r.Poison = p.poison.Report()
	reports := p.announced.Reports()
	r.Limits, r.UpstreamsLeaving = reports.Limits, reports.Leaving
	r.LimitSet = p.limits.LimitedSet().Hash
	return r
}

// Report implements gossip.Knowledge.
func (k knowledge) Report(now time.Time) gossip.Report {
	p := k.p
	r := k.BriefReport(now)
	r.StartedRequests = p.counter.Windows()
	r.Loads = make(map[gossip.UpstreamKey]placement.Load)
	for id, load := range p.chooser.ReportedLoads(now) {
		r.Loads[gossip.UpstreamKeyOf(id)] = load
	}
	r.Accounts = make(map[ident.ClientAccount]gossip.Spending)
	for account, total := range p.quotas.Totals() {
		r.Accounts[account] = gossip.Spending{Spent: total.Spent, Refused: total.Refused}
	}
	r.LimitUses = p.limits.Uses()
	r.Demand = p.demand(now)
	r.Engines = p.chooser.EngineSums()
	r.Speeds = p.speeds.Report(now)
	return r
}

// contact returns how the other gateways reach this one.
func (p *Process) contact() gossip.Contact {
	return gossip.Contact{
		Node: p.settings.Instance.ID, Address: p.settings.Listen.Peers, Domain: p.settings.Instance.FailureDomain, Cores: p.settings.Machine.Cores,
	}
}

// ConfigSince implements gossip.Knowledge.
func (k knowledge) ConfigSince(revision ident.Revision) *gossip.ConfigRecord {
	return k.p.configuration.newerThan(revision)
}

// UpstreamsSince implements gossip.Knowledge.
func (k knowledge) UpstreamsSince(from ident.Position, all bool) *directory.Update {
	return k.p.upstreams.updateSince(from, all)
}

// NeedsFetch implements gossip.Knowledge.
func (k knowledge) NeedsFetch() bool {
	return k.p.configuration.needsFetch() || k.p.upstreams.needsFetch()
}

// ApplyUpdates implements gossip.Knowledge.
func (k knowledge) ApplyUpdates(config *gossip.ConfigRecord, upstreams *directory.Update) {
	if config != nil {
		k.p.configuration.apply(config.At, config.Data, "gateway")
	}
	if upstreams != nil {
		k.p.upstreams.applyUpdate(*upstreams)
	}
}

// ApplyReport implements gossip.Knowledge.
func (k knowledge) ApplyReport(r *gossip.Report, asOf time.Time) {
	// The orders in the report are applied before what it confirms, so that this gateway
	// doesn't count its knowledge of the operators' records as complete without them.
	k.p.rollouts.Merge(r.Rollouts)
	k.p.applyAnnounced(r, asOf)
	applyStoreReport(k.p.ports.Eras, k.p.configuration, k.p.upstreams, r, asOf)
	k.p.ledger.MergeCounts(gossip.IncarnationID(r.Node, r.Incarnation), r.StartedRequests)
}

// applyStoreReport applies what another gateway's report confirms of the store's records. An old report
// confirms nothing, but it may still announce a newer revision. Nor does that of a gateway that has not heard
// of the store's present era.
func applyStoreReport(eras *platform.Eras, configuration *configFollower, upstreams *upstreamsFollower, r *gossip.Report, asOf time.Time) {
	confirmedAt := asOf.Add(-r.RevisionAge)
	if eras.Observe(r.StoreEra) > r.StoreEra {
		confirmedAt = time.Time{}
	}
	configuration.confirmFromPeer(r.Revision, confirmedAt)
	upstreams.applyCopyEnd(r.CopyEnd)
	upstreams.confirmFromPeer(r.UpstreamsKnown, asOf.Add(-r.UpstreamsAge))
}

// LimitedSet implements gossip.Knowledge.
func (k knowledge) LimitedSet() upstreamlimit.LimitedSet { return k.p.limits.LimitedSet() }

// ApplyCounts implements gossip.Knowledge.
func (k knowledge) ApplyCounts(counts []gossip.IncarnationCounts) {
	for _, c := range counts {
		k.p.ledger.MergeCounts(c.IncarnationID, c.StartedRequests)
	}
}
