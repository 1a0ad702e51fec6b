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

// Sum is what several gateways report together.
type Sum struct {
	// Source is the life of the gateway that added it up. Totals of two sources
	// cannot be compared.
	Source string
	Seq    uint64
	// Domain is that of the gateways, where they are those of one.
	Domain ident.FailureDomain
	// Heard counts the gateways in it, and Known those that may admit requests, heard
	// lately or not.
	Heard, Known int
	// Age is the mean age of the reports in it.
	Age      time.Duration
	Loads    map[UpstreamKey]placement.Load
	Accounts map[ident.ClientAccount]Spending
	Demand     map[ident.Service]placement.Demand
	Engines  map[ident.Service]enginemodel.Sums
	// LeaseHolders counts those that hold the lease of the duties: none or one, but for the
	// moments in which it goes from one to the next. GivenUp is the highest fencing number
	// under which its holder acts no more.
	LeaseHolders  int
	GivenUpFence  ident.Fence
	Rollouts rollout.Words
	Poison   poison.Words
	// LimitUses are what they do with upstreams that have a limit, and LimitColumns the same
	// for a receiver that knows the same limits.
	LimitUses    upstreamlimit.Uses
	LimitColumns upstreamlimit.Columns
	// SilentDomains are failure domains that were heard lately and are not now.
	SilentDomains []ident.FailureDomain
	// TrueWallMillis is the source's time of day as most gateways have it.
	TrueWallMillis int64
	// CountedReport is the report of the gateway that gets the sum, where it is in it.
	CountedReport reportID
}

// reportID names one report of a gateway; zero for none.
type reportID struct {
	Incarnation ident.Incarnation
	Seq         uint64
}

func (r *Report) id() reportID { return reportID{r.Incarnation, r.Seq} }

// addTotals adds a part of which so much is known: loads, demand and what was seen of engines.
func (s *Sum) addTotals(loads map[UpstreamKey]placement.Load, work map[ident.Service]placement.Demand, engines map[ident.Service]enginemodel.Sums) {
	for key, load := range loads {
		s.Loads[key] = s.Loads[key].Plus(load)
	}
	for service, w := range work {
		s.Demand[service] = s.Demand[service].Plus(w)
	}
	for service, sums := range engines {
		all := s.Engines[service]
		all.Add(sums)
		s.Engines[service] = all
	}
}

// addAccounts adds accounts' totals.
func (s *Sum) addAccounts(totals map[ident.ClientAccount]Spending) {
	for account, total := range totals {
		s.Accounts[account] = s.Accounts[account].plus(total)
	}
}

// subtractReport takes a gateway's report out of a sum that counts it. The totals of its accounts
// are then those of the others but for what it had spent before its first report there: they
// tell how much the others spend, not how much they have spent.
func (s *Sum) subtractReport(r *Report) {
	s.Heard, s.Known = max(0, s.Heard-1), max(0, s.Known-1)
	if r.Holds {
		s.LeaseHolders = max(0, s.LeaseHolders-1)
	}
	for key, load := range r.Loads {
		if left := s.Loads[key].Minus(load); left.Running > 0 || left.Unread > 0 {
			s.Loads[key] = left
		} else {
			delete(s.Loads, key)
		}
	}
	for account, total := range r.Accounts {
		s.Accounts[account] = s.Accounts[account].minus(total.rounded())
	}
	for service, w := range r.Work {
		s.Demand[service] = s.Demand[service].Minus(w)
	}
	for service, sums := range r.Engines {
		left := s.Engines[service]
		left.Subtract(sums)
		s.Engines[service] = left
	}
}

// rounded is a total as it travels between gateways.
func (s Spending) rounded() Spending {
	return Spending{float64(roundTotal(s.Spent)), float64(roundTotal(s.Refused))}
}
