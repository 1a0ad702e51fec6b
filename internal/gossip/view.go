package gossip

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// View describes the other gateways at an instant, whether they reported directly or through
// collectors.
type View struct {
	// Groups are the gateways with a current report: a group for each gateway, or one group for
	// all of them if the reports come as a collector's sum.
	Groups []Group
	// Heard counts the gateways in Groups. Known counts all that may admit requests, also those
	// without a current report.
	Heard, Known int
	// LeaseHeld is set if another gateway reports that it holds the lease of the duties.
	LeaseHeld bool
	// GivenUpFence is the highest fencing number under which a holder no longer acts.
	GivenUpFence ident.Fence
	// SilentDomains are the other failure domains from which reports or sums arrived within
	// KnownTimeout, but none within silentAfter.
	SilentDomains map[ident.FailureDomain]bool
	// Rank is this gateway's rank, from 0, in work that only a few gateways do for all, such
	// as reading the store.
	Rank int
	// WallCorrection is what to add to this machine's wall clock to get the median of the
	// gateways' clocks.
	WallCorrection time.Duration
}

// InitialView returns the view of a gateway that has received no report yet: it leaves work
// that only a few gateways do to others. With rank 0, each of a thousand gateways that start
// together would consider itself the first, and write a claim of the lease.
func InitialView() View { return View{Rank: lastRank} }

// Group is one or more gateways that are reported together.
type Group struct {
	// Name identifies the group. Totals of the same group cannot be compared if their sources
	// differ.
	Name, Source string
	Gateways     int
	// ReportedAt is when the gateways reported, on average, by this machine's boot-time clock.
	ReportedAt time.Time
	Loads      map[UpstreamKey]placement.Load
	Accounts   map[ident.ClientAccount]Spending
	Demand     map[ident.Service]placement.Demand
	Engines    map[ident.Service]enginemodel.Sums
	Rollouts   rollout.OrderStates
	Poison     poison.Report
	LimitUses  upstreamlimit.Uses
	// Speeds is what the gateways observed of some upstreams' speeds. If SpeedsIncludeOwn is set, it
	// includes what this gateway reported.
	Speeds           []speed.Entry
	SpeedsIncludeOwn bool
}

// allOthers is the name of the group that a collector's sum forms.
const allOthers = "all others"

// usesCollectors reports whether there are too many other gateways to exchange reports with
// each of them in every round.
func usesCollectors(others int) bool { return others > 2*fanout }

// View returns the other gateways as of now.
func (g *Gossip) View(now time.Time) View {
	direct := g.cfg.Table.DirectPeers(now)
	v := View{SilentDomains: make(map[ident.FailureDomain]bool), WallCorrection: direct.WallCorrection()}
	if !usesCollectors(g.cfg.Table.CountOthers(now)) {
		g.fillDirect(&v, direct, now)
		return v
	}
	g.fillCollected(&v, now)
	v.Known = max(v.Known, v.Heard)
	if v.Heard == 0 {
		v.Known = max(v.Known, direct.Known)
	}
	return v
}

// fillDirect fills a view from the gateways that reported directly.
func (g *Gossip) fillDirect(v *View, direct DirectPeers, now time.Time) {
	v.Heard, v.Known = len(direct.Fresh), direct.Known
	if v.Known == 0 && now.Sub(g.startedAt) < startupGrace {
		v.Rank = lastRank
	}
	for i := range direct.Fresh {
		m := &direct.Fresh[i]
		r := &m.Report
		incarnationID := IncarnationID(r.Node, r.Incarnation)
		v.Groups = append(v.Groups, Group{
			Name: incarnationID, Source: incarnationID, Gateways: 1, ReportedAt: m.ReceivedAt, Loads: r.Loads, Accounts: r.Accounts, Demand: r.Demand, Engines: r.Engines,
			Rollouts: r.Rollouts.Aged(now.Sub(m.ReceivedAt)), Poison: r.Poison.Aged(now.Sub(m.ReceivedAt)), LimitUses: r.LimitUses, Speeds: r.Speeds,
		})
		v.LeaseHeld = v.LeaseHeld || r.HoldsLease
		v.GivenUpFence = max(v.GivenUpFence, r.GivenUpFence)
		if !r.Leaving && r.Node < g.cfg.Self.Node {
			v.Rank++
		}
	}
	v.SilentDomains = SilentDomains(g.cfg.Table.Members(), g.cfg.Self.Domain, now)
}

// fillCollected fills a view from a collector's sum of all others, or from what this gateway
// collected itself.
func (g *Gossip) fillCollected(v *View, now time.Time) {
	v.Rank = lastRank
	sum, receivedAt, collecting := g.bestSum(now)
	if sum == nil {
		return
	}
	age := now.Sub(receivedAt)
	if collecting {
		g.mu.Lock()
		g.recordKnown(sum, now)
		g.mu.Unlock()
	}
	v.Known = g.knownOthers(now)
	for _, domain := range sum.SilentDomains {
		v.SilentDomains[domain] = true
	}
	if !collecting {
		v.WallCorrection = g.lastClockCorrection()
	} else {
		v.WallCorrection = g.collector.clockCorrection(now)
	}
	v.Rank = g.rank(now)
	if age > freshFor || sum.Heard == 0 {
		return
	}
	v.Heard, v.LeaseHeld, v.GivenUpFence = sum.Heard, sum.LeaseHolders > 0, sum.GivenUpFence
	v.Groups = []Group{{
		Name: allOthers, Source: sum.Source, Gateways: sum.Heard, ReportedAt: receivedAt.Add(-sum.Age),
		Loads: sum.Loads, Accounts: sum.Accounts, Demand: sum.Demand, Engines: sum.Engines, Rollouts: sum.Rollouts.Aged(age), Poison: sum.Poison.Aged(age),
		LimitUses: sum.LimitUses, Speeds: sum.Speeds, SpeedsIncludeOwn: true,
	}}
}

// bestSum returns the sum of all others, when it was received, and whether this gateway added
// it up itself. At a collector it is the collector's own sum, unless a current answer of
// another collector includes more gateways. At other gateways it is the newest answer of a
// collector; nil if there was none.
func (g *Gossip) bestSum(now time.Time) (sum *Sum, receivedAt time.Time, collecting bool) {
	g.mu.Lock()
	answer, answeredAt := g.collectorSum, g.collectorSumAt
	g.mu.Unlock()
	if g.isFirstCollector(now) || g.collector.ReceivesReports(now) {
		own := g.collector.Others(g.cfg.Self.Node, now, time.Now())
		if answer == nil || now.Sub(answeredAt) > freshFor || own.Heard >= answer.Heard {
			return &own, now, true
		}
	}
	return answer, answeredAt, false
}

// lastClockCorrection returns the clock correction by the collector that answered last.
func (g *Gossip) lastClockCorrection() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.collectorClockCorrection
}

// isFirstCollector reports whether this gateway comes first among the collectors of its
// domain.
func (g *Gossip) isFirstCollector(now time.Time) bool {
	if g.leaving.Load() {
		return false
	}
	order := g.cfg.Table.Collectors(g.cfg.Self.Domain, now)
	return len(order) == 0 || compareCollectors(g.cfg.Self, order[0]) < 0
}

const (
	// lastRank is the rank of a gateway that leaves the work of few gateways to others.
	lastRank = 1 << 10
	// startupGrace is how long after its start a gateway that has received no report leaves the
	// work of few gateways to others: four rounds. Without it, after all gateways were killed,
	// each would read the upstream entries and the lease for itself until it knows the others.
	startupGrace = 4 * Interval
)

// rank returns this gateway's rank among those that do work for all. The first collectors of
// the domains with a current sum have the ranks from 0 on, in the order of the domains' names;
// all other gateways have lastRank. First collectors are the first to learn what the others
// know, and what they know reaches the others first.
func (g *Gossip) rank(now time.Time) int {
	if !g.isFirstCollector(now) {
		return lastRank
	}
	rank := 0
	for _, domain := range g.collector.currentDomains(now) {
		if domain < g.cfg.Self.Domain {
			rank++
		}
	}
	return rank
}
