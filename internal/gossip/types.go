// Package gossip keeps the gateways in step without the platform's store: each
// tells the others several times a second what it holds and spends, and gives
// them the configuration and the upstreams' entries that they lack.
//
// A few gateways meet each other directly in every round. Many report to a collector
// in their failure domain, which adds the reports up, exchanges the domain's sum with
// the collectors of the other domains, and answers each report with the sum of all
// others' (see Collector). So the work of a gateway does not grow with their number,
// and what one does is known to all others after some 0.3 s, however many there are.
//
// It speaks HTTP/1.1 with protobuf between gateways. gRPC is not used here because
// it notices a silent connection after 10 s at the least (its keepalive's lower
// bound), and the views are of no use after one.
package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// UpstreamKey stands for an upstream's ID between gateways: four bytes instead of some
// twenty. Of 690 upstreams two share a key once in 18,000 fleets, and then each is
// taken to have the load of both.
type UpstreamKey uint32

// KeyOf returns an upstream's key.
func KeyOf(id ident.Instance) UpstreamKey { return UpstreamKey(xxhash.Sum64String(string(id))) }

// Spending is what was admitted for a client account, and refused beyond its limit,
// in the account's unit. Totals grow.
type Spending struct{ Spent, Refused float64 }

// WindowCounts counts requests by window of true time and by client account.
type WindowCounts map[int64]map[ident.ClientAccount]int64

// Report is what one gateway says of itself. A later one replaces it whole.
type Report struct {
	Contact
	Incarnation ident.Incarnation
	Seq         uint64
	// WallMillis is the sender's time of day, milliseconds since 1970.
	WallMillis int64
	// Leaving: it was told to stop.
	Leaving bool
	// Holds: it holds the lease of the duties. GivenUp is the fencing number of its
	// newest one that ran out, under which it acts no more.
	Holds   bool
	GivenUp ident.Fence
	// Revision of the configuration, and the offset up to which it knows the
	// upstreams' entries.
	Revision  ident.Revision
	Upstreams ident.Offset
	// RevisionAge and UpstreamsAge are how long ago the store confirmed that these
	// are the newest.
	RevisionAge, UpstreamsAge time.Duration
	// Loads are its requests in progress.
	Loads map[UpstreamKey]placement.Load
	// Accounts are its totals since its start.
	Accounts map[ident.ClientAccount]Spending
	// Began counts requests that began to run, by window of true time.
	Began WindowCounts
	// Work is what it asked of each service in the last seconds.
	Work map[ident.Service]placement.Demand
	// Engines is what its requests saw of each service's engines.
	Engines map[ident.Service]enginemodel.Sums
	// Rollouts is what it knows and saw of orders to change a service's version.
	Rollouts rollout.Words
	// Poison is what it knows of requests that end upstreams.
	Poison poison.Words
	// Limits are what upstreams say of the rates that they take, and LimitUses what it
	// does with those that have a limit.
	Limits    []upstreamlimit.Said
	LimitUses upstreamlimit.Uses
	// LimitSet is a digest of the limits that it knows; 0 for none. LimitColumns are its
	// uses for a receiver that knows the same.
	LimitSet     uint32
	LimitColumns upstreamlimit.Columns
}

// Contact is where a gateway can be reached.
type Contact struct {
	Node    ident.Instance
	Address string
	Domain  ident.FailureDomain
	// Cores is what it has of a processor. The gateways of a failure domain that have
	// most of it collect.
	Cores float64
}

// ConfigRecord is the operators' configuration as it stands in the store.
type ConfigRecord struct {
	Revision ident.Revision
	Offset   ident.Offset
	Data     []byte
}

// LifeCounts are the requests that one life of a gateway counted.
type LifeCounts struct {
	Life  string
	Began WindowCounts
}

// Roster is the first gateways of a failure domain, in the order in which they collect.
type Roster struct {
	Domain   ident.FailureDomain
	Gateways []Contact
}

// message is a request, and its answer.
type message struct {
	From Report
	// KnownDigest is a digest of the gateways that the sender knows, and Contacts all
	// of them, where the receiver's digest differs.
	KnownDigest    uint64
	Contacts []Contact
	// TakesPatches: the sender takes a configuration as a patch of the one that it has.
	AcceptsPatches bool
	// Wants: the sender takes a configuration, or all entries of upstreams, with the
	// answer.
	WantsLarge bool
	// Config and Upstreams are what the receiver lacks.
	Config    *encodedConfig
	Upstreams *directory.News
	// Collect: the receiver collects the report and answers with Others. TakesWhole: the
	// sender takes its own report out of the answer itself.
	Collect, SubtractsOwn bool
	Others              *Sum
	// DomainSum is that of the sender's failure domain, between collectors.
	DomainSum *Sum
	// OthersEncoded and DomainPart are parts of Others and DomainSum that were encoded before,
	// for several messages; what stands in these themselves goes before.
	OthersEncoded, DomainSumEncoded []byte
	// RosterDigests are the sender's rosters by digest, and Rosters those that the
	// receiver lacks.
	RosterDigests map[ident.FailureDomain]uint64
	Rosters      []Roster
	// WantsCounts: the receiver answers with the counts that it collected.
	WantsCounts bool
	Counts      []LifeCounts
}

// Member is another gateway as this one knows it.
type Member struct {
	Report Report
	// HeardAt is when its newest report came, by this machine's boot time.
	HeardAt time.Time
	// ClockOffset is its time of day minus this machine's.
	ClockOffset time.Duration
}
