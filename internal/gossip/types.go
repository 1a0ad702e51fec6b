// Package gossip keeps gateways informed about each other without the platform's store.
// Several times a second each gateway reports what it has in progress and what it has spent,
// and sends other gateways the configuration and the upstream entries that they lack.
//
// With few gateways, every gateway exchanges reports with every other one in each round. With
// many, each gateway reports to a collector in its failure domain. The collector adds the
// reports up, exchanges the domain's sum with the collectors of the other domains, and answers
// each report with the sum of all other gateways (see Collector). This way the work of a
// gateway does not grow with the number of gateways, and what one gateway does is known to all
// others after about 0.3 s, whatever the size of the fleet.
//
// Gateways exchange protobuf messages over HTTP/1.1. gRPC is not used because it notices a
// silent connection after 10 s at the earliest (the lower bound of its keepalive), and a view
// of the other gateways is useless after one second.
package gossip

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// UpstreamKey is a hash that identifies an upstream in messages: four bytes instead of the
// roughly twenty of its ID. Among 690 upstreams two share a key in one fleet out of 18,000;
// each of the two is then taken to have the load of both.
type UpstreamKey uint32

// UpstreamKeyOf returns the key of the upstream with the given ID.
func UpstreamKeyOf(id ident.Instance) UpstreamKey { return UpstreamKey(xxhash.Sum64String(string(id))) }

// Spending is how much was admitted for a client account and how much was refused because it
// exceeded the account's limit, in the account's unit. Both are totals that only grow.
type Spending struct{ Spent, Refused float64 }

// WindowCounts holds numbers of requests by window of true time and by client account.
type WindowCounts map[int64]map[ident.ClientAccount]int64

// Report is what one gateway reports about itself. A later report replaces an earlier one
// completely.
type Report struct {
	Contact
	Incarnation ident.Incarnation
	Seq         uint64
	// WallMillis is the sender's wall clock in milliseconds since 1970.
	WallMillis int64
	// Leaving is set once the gateway was told to stop.
	Leaving bool
	// HoldsLease is set while the gateway holds the lease of the duties.
	HoldsLease bool
	// Lends is set while the gateway may keep accounts' pools for others.
	Lends bool
	// GivenUpFence is the fencing number of the newest of the gateway's leases that expired.
	// The gateway no longer acts under that number; 0 if there is none.
	GivenUpFence ident.Fence
	// Revision is the revision of the gateway's configuration.
	Revision ident.Revision
	// StoreEra is the newest era of the store that the gateway knows; 0 also if it is of an earlier build.
	StoreEra ident.Era
	// UpstreamsKnown is the position up to which the gateway knows the upstream entries.
	UpstreamsKnown ident.Position
	// KeptEntries is a digest of the upstream entries that are kept against an older copy of the store; 0 if
	// there are none.
	KeptEntries uint32
	// CopyEnd is where the copy ended that the store came back from, as far as the gateway knows; zero if that
	// was long ago, or never.
	CopyEnd ident.Position
	// RevisionAge and UpstreamsAge tell how long ago the store confirmed that the configuration
	// and the upstream entries were the newest.
	RevisionAge, UpstreamsAge time.Duration
	// Loads are the gateway's requests in progress.
	Loads map[UpstreamKey]placement.Load
	// Accounts are the gateway's totals since its start.
	Accounts map[ident.ClientAccount]Spending
	// StartedRequests counts the requests that started to run, by window of true time.
	StartedRequests WindowCounts
	// Demand is the gateway's demand for each service during the last seconds.
	Demand map[ident.Service]placement.Demand
	// Engines are the gateway's measurements of each service's engines, taken from its
	// requests.
	Engines map[ident.Service]enginemodel.Sums
	// Rollouts is what the gateway knows of rollout orders and has observed of their rollouts.
	Rollouts rollout.OrderStates
	// Poison is what the gateway knows about poison requests, which crash upstreams.
	Poison poison.Report
	// Limits are the rate limits that upstreams announced. LimitUses tells how much the gateway
	// uses the upstreams that have a rate limit.
	Limits    []upstreamlimit.LimitReport
	LimitUses upstreamlimit.Uses
	// LimitSet is a digest of the limits that the gateway knows; 0 means none. LimitColumns is
	// the short form of LimitUses, sent instead of it to a receiver that knows the same limits.
	LimitSet     uint32
	LimitColumns upstreamlimit.Columns
	// UpstreamsLeaving are upstreams that announced in an answer that they leave.
	UpstreamsLeaving []announced.LeavingReport
	// Speeds is what the gateway observed of some upstreams' speeds.
	Speeds []speed.Entry
}

// KnowsMoreUpstreams reports whether the sender of r may know upstream entries that the sender of other lacks.
// Positions alone don't tell: what is kept against an older copy of the store is in no log.
func (r *Report) KnowsMoreUpstreams(other *Report) bool {
	return r.UpstreamsKnown.After(other.UpstreamsKnown) || r.KeptEntries != 0 && r.KeptEntries != other.KeptEntries
}

// Contact tells where a gateway can be reached.
type Contact struct {
	Node    ident.Instance
	Address string
	Domain  ident.FailureDomain
	// Cores is the gateway's share of processor cores. In each failure domain the gateways with
	// the most cores act as collectors.
	Cores float64
}

// ConfigRecord is the operators' configuration as it is recorded in the store.
type ConfigRecord struct {
	Revision ident.Revision
	At       ident.Position
	Data     []byte
}

// IncarnationCounts holds the requests that one incarnation of a gateway counted.
type IncarnationCounts struct {
	IncarnationID   string
	StartedRequests WindowCounts
}

// Roster lists the gateways of a failure domain that come first as collectors, in that order.
type Roster struct {
	Domain   ident.FailureDomain
	Gateways []Contact
}

// message is a request to another gateway, or the answer to one.
type message struct {
	From Report
	// KnownDigest is a digest of the gateways that the sender knows. If the receiver's digest
	// differs, its answer holds Contacts.
	KnownDigest uint64
	Contacts    []Contact
	// AcceptsPatches is set if the sender accepts a configuration as a patch of the one it has.
	AcceptsPatches bool
	// WantsLarge is set if the sender accepts a large configuration, or all upstream entries,
	// in the answer.
	WantsLarge bool
	// Config and Upstreams are the configuration and the upstream entries that the receiver
	// lacks.
	Config    *encodedConfig
	Upstreams *directory.Update
	// Collect asks the receiver to add the report up as a collector and to answer with Others.
	// SubtractsOwn is set if the sender subtracts its own report from the answer itself.
	Collect, SubtractsOwn bool
	Others                *Sum
	// SpeedsAfter is the last upstream whose speed the sender received: the speeds in Others follow it.
	SpeedsAfter uint32
	// DomainSum is the sum of the sender's failure domain; collectors exchange it.
	DomainSum *Sum
	// OthersEncoded and DomainSumEncoded are parts of Others and DomainSum that were encoded
	// once for several messages. A message carries them after the encoded fields of Others and
	// DomainSum.
	OthersEncoded, DomainSumEncoded []byte
	// RosterDigests are digests of the rosters that the sender knows. Rosters are those that
	// the receiver lacks.
	RosterDigests map[ident.FailureDomain]uint64
	Rosters       []Roster
	// WantsCounts asks the receiver for the counts that it has collected.
	WantsCounts bool
	Counts      []IncarnationCounts
}

// Member is another gateway as this one knows it.
type Member struct {
	Report Report
	// ReceivedAt is when the newest report arrived, by this machine's boot-time clock.
	ReceivedAt time.Time
	// ClockOffset is the gateway's wall clock minus this machine's.
	ClockOffset time.Duration
}
