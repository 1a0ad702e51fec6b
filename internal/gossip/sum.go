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

// Sum is the sum of the reports of several gateways.
type Sum struct {
	// Source is the incarnation of the gateway that added the sum up. Totals of different
	// sources cannot be compared.
	Source string
	Seq    uint64
	// Domain is set if all gateways in the sum belong to one failure domain.
	Domain ident.FailureDomain
	// Heard counts the gateways whose reports are in the sum. Known counts all that may admit
	// requests, also those without a current report.
	Heard, Known int
	// Age is the mean age of the reports in the sum.
	Age      time.Duration
	Loads    map[UpstreamKey]placement.Load
	Accounts map[ident.ClientAccount]Spending
	Demand   map[ident.Service]placement.Demand
	Engines  map[ident.Service]enginemodel.Sums
	// LeaseHolders counts the gateways that hold the lease of the duties: none or one, except
	// briefly while the lease moves from one to the next. GivenUpFence is the highest fencing
	// number under which a holder no longer acts.
	LeaseHolders int
	GivenUpFence ident.Fence
	Rollouts     rollout.OrderStates
	Poison       poison.Report
	// LimitUses tells how much the gateways use upstreams that have a rate limit. LimitColumns
	// is its short form for a receiver that knows the same limits.
	LimitUses upstreamlimit.Uses
	// Speeds is what the gateways observed of some upstreams' speeds. A receiver's own report is
	// always included.
	Speeds       []speed.Entry
	LimitColumns upstreamlimit.Columns
	// SilentDomains are the failure domains from which sums arrived within KnownTimeout, but
	// none within silentAfter.
	SilentDomains []ident.FailureDomain
	// TrueWallMillis is the source's wall clock, corrected to the median of the gateways'
	// clocks, in milliseconds since 1970.
	TrueWallMillis int64
	// CountedReport is the report of the receiving gateway that is part of the sum; zero if
	// none is.
	CountedReport reportID
}

// reportID identifies one report of a gateway; the zero value stands for none.
type reportID struct {
	Incarnation ident.Incarnation
	Seq         uint64
}

func (r *Report) id() reportID { return reportID{r.Incarnation, r.Seq} }

// addTotals adds loads, demand and engine measurements.
func (s *Sum) addTotals(loads map[UpstreamKey]placement.Load, demand map[ident.Service]placement.Demand, engines map[ident.Service]enginemodel.Sums) {
	for key, load := range loads {
		s.Loads[key] = s.Loads[key].Plus(load)
	}
	for service, d := range demand {
		s.Demand[service] = s.Demand[service].Plus(d)
	}
	for service, sums := range engines {
		all := s.Engines[service]
		all.Add(sums)
		s.Engines[service] = all
	}
}

// addAccounts adds totals of accounts.
func (s *Sum) addAccounts(totals map[ident.ClientAccount]Spending) {
	for account, total := range totals {
		s.Accounts[account] = s.Accounts[account].plus(total)
	}
}

// subtractReport subtracts a gateway's report from a sum that includes it. The account totals
// then still lack what the gateway had spent before its first report to the source: they show
// how fast the others spend, not how much they have spent.
func (s *Sum) subtractReport(r *Report) {
	s.Heard, s.Known = max(0, s.Heard-1), max(0, s.Known-1)
	if r.HoldsLease {
		s.LeaseHolders = max(0, s.LeaseHolders-1)
	}
	for key, load := range r.Loads {
		if left := s.Loads[key].Minus(load); left.Running > 0 || left.UnreadTokens > 0 {
			s.Loads[key] = left
		} else {
			delete(s.Loads, key)
		}
	}
	for account, total := range r.Accounts {
		s.Accounts[account] = s.Accounts[account].minus(total.rounded())
	}
	for service, d := range r.Demand {
		s.Demand[service] = s.Demand[service].Minus(d)
	}
	for service, sums := range r.Engines {
		left := s.Engines[service]
		left.Subtract(sums)
		s.Engines[service] = left
	}
}

// rounded returns a total as it is encoded in messages, in whole units.
func (s Spending) rounded() Spending {
	return Spending{float64(roundTotal(s.Spent)), float64(roundTotal(s.Refused))}
}
