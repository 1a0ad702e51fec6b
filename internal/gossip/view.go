package gossip

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// View is the other gateways at an instant, however they were heard.
type View struct {
	// Groups are who is heard: single gateways, or all of them by one collector's word.
	Groups []Group
	// Heard counts them, and Known those that may admit requests, heard lately or not.
	Heard, Known int
	// Holds: another gateway says that it holds the lease of the duties. GivenUp is the
	// highest fencing number under which its holder acts no more.
	Holds   bool
	GivenUp ident.Fence
	// Silent are the other failure domains in which gateways were heard lately, and
	// none is now.
	Silent map[ident.FailureDomain]bool
	// Place is this gateway's place in line for what few of all do, from 0.
	Place int
	// WallCorrection is what to add to this machine's time of day so that it is that of
	// most gateways.
	WallCorrection time.Duration
}

// NoView is what a gateway knows before it has heard anything: it leaves what few of all do
// to others. What goes wrong with a place of 0: of a thousand gateways that start together
// each takes itself for the first in line, and writes a claim of the lease.
func NoView() View { return View{Place: lastRank} }

// Group is one or more gateways that are reported together.
type Group struct {
	// Name tells groups apart. Totals of the same group and another source cannot be
	// compared.
	Name, Source string
	Gateways     int
	// ReportedAt is as of when, on average, by this machine's boot time.
	ReportedAt time.Time
	Loads      map[UpstreamKey]placement.Load
	Accounts   map[ident.ClientAccount]Spending
	Work       map[ident.Service]placement.Demand
	Engines    map[ident.Service]enginemodel.Sums
	Rollouts   rollout.Words
	Poison     poison.Words
	LimitUses  upstreamlimit.Uses
}

// allOthers names the group of all gateways by a collector's word.
const allOthers = "all others"

// usesCollectors reports whether so many other gateways are too many to meet each of them in
// every round.
func usesCollectors(others int) bool { return others > 2*fanout }

// View returns the other gateways.
func (g *Gossip) View(now time.Time) View {
	direct := g.cfg.Table.DirectPeers(now)
	v := View{Silent: make(map[ident.FailureDomain]bool), WallCorrection: direct.WallCorrection()}
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

// fillDirect fills a view from the gateways that were heard directly.
func (g *Gossip) fillDirect(v *View, direct DirectPeers, now time.Time) {
	v.Heard, v.Known = len(direct.Fresh), direct.Known
	if v.Known == 0 && now.Sub(g.startedAt) < startupGrace {
		v.Place = lastRank
	}
	for i := range direct.Fresh {
		m := &direct.Fresh[i]
		r := &m.Report
		life := LifeOf(r.Node, r.Incarnation)
		v.Groups = append(v.Groups, Group{
			Name: life, Source: life, Gateways: 1, ReportedAt: m.HeardAt, Loads: r.Loads, Accounts: r.Accounts, Work: r.Work, Engines: r.Engines,
			Rollouts: r.Rollouts.Aged(now.Sub(m.HeardAt)), Poison: r.Poison.Aged(now.Sub(m.HeardAt)), LimitUses: r.LimitUses,
		})
		v.Holds = v.Holds || r.Holds
		v.GivenUp = max(v.GivenUp, r.GivenUp)
		if !r.Leaving && r.Node < g.cfg.Self.Node {
			v.Place++
		}
	}
	v.Silent = SilentDomains(g.cfg.Table.Members(), g.cfg.Self.Domain, now)
}

// fillCollected fills a view from what a collector says of all others, or from what this one
// collected.
func (g *Gossip) fillCollected(v *View, now time.Time) {
	v.Place = lastRank
	sum, heardAt, collecting := g.bestSum(now)
	if sum == nil {
		return
	}
	age := now.Sub(heardAt)
	if collecting {
		g.mu.Lock()
		g.recordKnown(sum, now)
		g.mu.Unlock()
	}
	v.Known = g.knownOthers(now)
	for _, domain := range sum.SilentDomains {
		v.Silent[domain] = true
	}
	if !collecting {
		v.WallCorrection = g.lastClockCorrection()
	} else {
		v.WallCorrection = g.collector.clockCorrection(now)
	}
	v.Place = g.rank(now)
	if age > freshFor || sum.Heard == 0 {
		return
	}
	v.Heard, v.Holds, v.GivenUp = sum.Heard, sum.LeaseHolders > 0, sum.GivenUpFence
	v.Groups = []Group{{
		Name: allOthers, Source: sum.Source, Gateways: sum.Heard, ReportedAt: heardAt.Add(-sum.Age),
		Loads: sum.Loads, Accounts: sum.Accounts, Work: sum.Demand, Engines: sum.Engines, Rollouts: sum.Rollouts.Aged(age), Poison: sum.Poison.Aged(age),
		LimitUses: sum.LimitUses,
	}}
}

// bestSum returns what is known of all others, since when, and whether this gateway added
// it up itself: its own collector's sum, or a newer answer that holds more gateways.
func (g *Gossip) bestSum(now time.Time) (sum *Sum, heardAt time.Time, collecting bool) {
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

// lastClockCorrection is that of the collector that answered last.
func (g *Gossip) lastClockCorrection() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.collectorClockCorrection
}

// isFirstCollector reports whether this gateway is the first of its domain that collects.
func (g *Gossip) isFirstCollector(now time.Time) bool {
	if g.leaving.Load() {
		return false
	}
	order := g.cfg.Table.Collectors(g.cfg.Self.Domain, now)
	return len(order) == 0 || compareCollectors(g.cfg.Self, order[0]) < 0
}

const (
	// lastRank is the place of a gateway that no line waits for.
	lastRank = 1 << 10
	// startupGrace is for how long after its start a gateway that has heard nobody leaves
	// what few of all do to others: four rounds. What goes wrong without it: after all
	// were killed, each reads the upstreams' entries and the lease for itself until it
	// knows the others.
	startupGrace = 4 * Interval
)

// rank is this gateway's place in line: the first collectors of the domains that are
// heard, in the order of the domains' names, and then nobody. They hear first what the
// others know, and the others hear first what they know.
func (g *Gossip) rank(now time.Time) int {
	if !g.isFirstCollector(now) {
		return lastRank
	}
	place := 0
	for _, domain := range g.collector.heardDomains(now) {
		if domain < g.cfg.Self.Domain {
			place++
		}
	}
	return place
}
