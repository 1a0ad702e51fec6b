package gossip

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	exchangev1 "github.com/goldcrestspool/goldcrestspool/api/exchange/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

// A message of another gateway is validated completely before any of it is applied. Otherwise
// a message that is truncated, comes from an older build or contains impossible values (a load
// of thousands of requests, an age of minus one second, a rate that is not a number) would be
// added to sums that go to all gateways, and would mislead placement, limits and scaling
// everywhere.
const (
	// maxItems bounds each list of a message. The largest known deployments have some thousands
	// of upstreams and hundreds of accounts and gateways.
	maxItems = 20_000
	// maxRunning and maxUnreadTokens bound the load of one upstream.
	maxRunning      = 1 << 20
	maxUnreadTokens = 1 << 30
	// maxAge bounds the ages in a message. A revision or offset that was never confirmed is
	// reported with an age of an hour.
	maxAge = 24 * time.Hour
	milli  = 1000
)

// encode encodes a message.
func (m *message) encode() ([]byte, error) {
	out := &exchangev1.Message{
		From: m.From.toProto(), Knows: m.KnownDigest, Contacts: contactsToProto(m.Contacts), Wants: m.WantsLarge, TakesPatches: m.AcceptsPatches, Upstreams: updateToProto(m.Upstreams),
		Collect: m.Collect, TakesWhole: m.SubtractsOwn, Others: m.Others.toProto(), Domain: m.DomainSum.toProto(), WantsCounts: m.WantsCounts, SpeedsAfter: m.SpeedsAfter,
	}
	if c := m.Config; c != nil {
		era, offset, _ := c.At.Parts()
		out.Configuration = &exchangev1.Configuration{Revision: uint64(c.Revision), Era: uint64(era), Offset: offset, Gzip: c.Gzip, BaseRevision: uint64(c.Base), Patch: c.Patch}
	}
	for domain, digest := range m.RosterDigests {
		out.KnowsRosters = append(out.KnowsRosters, &exchangev1.RosterDigest{FailureDomain: string(domain), Digest: digest})
	}
	for _, r := range m.Rosters {
		out.Rosters = append(out.Rosters, &exchangev1.Roster{FailureDomain: string(r.Domain), Gateways: contactsToProto(r.Gateways)})
	}
	for _, c := range m.Counts {
		out.Counts = append(out.Counts, &exchangev1.LifeCounts{Life: c.IncarnationID, Began: countsToProto(c.StartedRequests)})
	}
	data, err := proto.Marshal(out)
	if err != nil {
		return nil, errors.Wrap(err, "encode the message")
	}
	// A decoder merges a message field that occurs twice.
	data = appendEncoded(data, othersField, m.OthersEncoded)
	return appendEncoded(data, domainField, m.DomainSumEncoded), nil
}

// Fields of exchangev1.Message of which a part may be encoded in advance.
const (
	othersField protowire.Number = 8
	domainField protowire.Number = 9
)

func appendEncoded(data []byte, field protowire.Number, part []byte) []byte {
	if len(part) == 0 {
		return data
	}
	data = protowire.AppendTag(data, field, protowire.BytesType)
	return protowire.AppendBytes(data, part)
}

// encodeTotals encodes the part of a sum that grows with the upstreams, accounts and services.
func (s *Sum) encodeTotals() ([]byte, error) {
	parts := exchangev1.Sum{Loads: loadsToProto(s.Loads), Accounts: accountsToProto(s.Accounts), Work: workToProto(s.Demand, s.Engines), Speeds: speedsToProto(s.Speeds)}
	data, err := proto.Marshal(&parts)
	return data, errors.Wrap(err, "encode the totals of a sum")
}

// decode decodes a message and validates all of it.
func decode(data []byte) (*message, error) {
	var in exchangev1.Message
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, errors.Wrap(err, "decode the message")
	}
	c := &checker{}
	m := &message{KnownDigest: in.Knows, WantsLarge: in.Wants, AcceptsPatches: in.TakesPatches, Collect: in.Collect, SubtractsOwn: in.TakesWhole, WantsCounts: in.WantsCounts, SpeedsAfter: in.SpeedsAfter}
	if in.From == nil {
		return nil, errors.New("message has no report of its sender")
	}
	m.From = c.report(in.From)
	m.Contacts = c.contacts(in.Contacts)
	m.Upstreams = c.update(in.Upstreams)
	m.Others, m.DomainSum = c.sum(in.Others), c.sum(in.Domain)
	if config := in.Configuration; config != nil {
		m.Config = &encodedConfig{Revision: ident.Revision(config.Revision), At: c.position(config.Era, 0, config.Offset, false), Gzip: config.Gzip, Base: ident.Revision(config.BaseRevision), Patch: config.Patch}
	}
	if len(in.KnowsRosters) > 0 {
		m.RosterDigests = make(map[ident.FailureDomain]uint64, len(in.KnowsRosters))
	}
	for _, d := range in.KnowsRosters {
		m.RosterDigests[ident.FailureDomain(d.FailureDomain)] = d.Digest
	}
	for _, r := range in.Rosters {
		m.Rosters = append(m.Rosters, Roster{Domain: ident.FailureDomain(r.FailureDomain), Gateways: c.contacts(r.Gateways)})
	}
	for _, l := range in.Counts {
		m.Counts = append(m.Counts, IncarnationCounts{IncarnationID: l.Life, StartedRequests: c.counts(l.Began)})
	}
	return m, c.err
}

// checker decodes and validates parts of a message and keeps the first error.
type checker struct{ err error }

func (c *checker) fail(format string, args ...any) {
	if c.err == nil {
		c.err = errors.Errorf(format, args...)
	}
}

// checkCount fails if a list is longer than maxItems.
func (c *checker) checkCount(what string, n int) {
	if n > maxItems {
		c.fail("message has %d %s, at most %d are allowed", n, what, maxItems)
	}
}

func (c *checker) age(millis uint64) time.Duration {
	if millis > uint64(maxAge.Milliseconds()) {
		c.fail("age of %d ms exceeds %v", millis, maxAge)
		return maxAge
	}
	return time.Duration(millis) * time.Millisecond
}

// rate converts a number that must be finite and not negative.
func (c *checker) rate(v float32) float64 {
	if f := float64(v); f >= 0 && !math.IsInf(f, 1) {
		return f
	}
	c.fail("rate %v is negative, infinite or not a number", v)
	return 0
}

func (r *Report) toProto() *exchangev1.Report {
	newest := max(r.StoreEra, r.UpstreamsKnown.Era(), r.CopyEnd.Era())
	out := &exchangev1.Report{
		Node: string(r.Node), Incarnation: uint64(r.Incarnation), Seq: r.Seq, Address: r.Address, FailureDomain: string(r.Domain),
		MilliCores: milliCores(r.Cores), WallMs: r.WallMillis, Leaving: r.Leaving, HoldsLease: r.HoldsLease, GivenUpFence: uint64(r.GivenUpFence),
		Revision: uint64(r.Revision), RevisionAgeMs: millis(r.RevisionAge), StoreEra: uint64(newest), UpstreamsAgeMs: millis(r.UpstreamsAge),
		Loads: loadsToProto(r.Loads), Accounts: accountsToProto(r.Accounts), Work: workToProto(r.Demand, r.Engines), Began: countsToProto(r.StartedRequests),
		Rollouts: rolloutsToProto(r.Rollouts), Poison: poisonToProto(r.Poison),
		Limits: limitsToProto(r.Limits), LimitUses: usesToProto(r.LimitUses, r.LimitColumns), LimitSet: r.LimitSet,
		UpstreamsLeaving: leavingToProto(r.UpstreamsLeaving), Lends: r.Lends, KeptEntries: r.KeptEntries, Speeds: speedsToProto(r.Speeds),
	}
	out.UpstreamsErasBehind, out.UpstreamsOffset = positionToProto(newest, cmp.Or(r.UpstreamsKnown, noneKnown))
	if !r.CopyEnd.IsZero() {
		out.CopyErasBehind, out.CopyEnd = positionToProto(newest, r.CopyEnd.Next())
	}
	return out
}

func (c *checker) report(in *exchangev1.Report) Report {
	r := Report{
		Contact:     Contact{Node: ident.Instance(in.Node), Address: in.Address, Domain: ident.FailureDomain(in.FailureDomain), Cores: c.cores(in.MilliCores)},
		Incarnation: ident.Incarnation(in.Incarnation), Seq: in.Seq, WallMillis: in.WallMs, Leaving: in.Leaving, HoldsLease: in.HoldsLease,
		GivenUpFence: ident.Fence(in.GivenUpFence), Revision: ident.Revision(in.Revision), RevisionAge: c.age(in.RevisionAgeMs),
		StoreEra: ident.Era(in.StoreEra), UpstreamsKnown: c.position(in.StoreEra, in.UpstreamsErasBehind, in.UpstreamsOffset, false), UpstreamsAge: c.age(in.UpstreamsAgeMs),
		Loads: c.loads(in.Loads), Accounts: c.accounts(in.Accounts), StartedRequests: c.counts(in.Began), Rollouts: c.rollouts(in.Rollouts), Poison: c.poison(in.Poison),
		Limits: c.limits(in.Limits), LimitUses: c.limitUses(in.LimitUses), LimitColumns: c.limitColumns(in.LimitUses), LimitSet: in.LimitSet,
		UpstreamsLeaving: c.leaving(in.UpstreamsLeaving), Lends: in.Lends, KeptEntries: in.KeptEntries, Speeds: c.speeds(in.Speeds),
	}
	if r.UpstreamsKnown == noneKnown {
		r.UpstreamsKnown = ident.Position{}
	}
	if in.CopyEnd > 0 {
		r.CopyEnd = c.position(in.StoreEra, in.CopyErasBehind, in.CopyEnd, false).Previous()
	}
	if in.Node == "" || in.Address == "" {
		c.fail("report of gateway %q at address %q lacks the name or the address", in.Node, in.Address)
	}
	r.Demand, r.Engines = c.work(in.Work)
	return r
}

func (s *Sum) toProto() *exchangev1.Sum {
	if s == nil {
		return nil
	}
	out := &exchangev1.Sum{
		Source: s.Source, Seq: s.Seq, FailureDomain: string(s.Domain), Heard: uint32(s.Heard), Known: uint32(s.Known), AgeMs: millis(s.Age),
		Loads: loadsToProto(s.Loads), Accounts: accountsToProto(s.Accounts), Work: workToProto(s.Demand, s.Engines),
		LeaseHeld: s.LeaseHolders > 0, LeaseHolders: uint32(s.LeaseHolders), GivenUpFence: uint64(s.GivenUpFence), TrueWallMs: s.TrueWallMillis, Rollouts: rolloutsToProto(s.Rollouts), Poison: poisonToProto(s.Poison),
		LimitUses:          usesToProto(s.LimitUses, s.LimitColumns),
		CountedIncarnation: uint64(s.CountedReport.Incarnation), CountedSeq: s.CountedReport.Seq, Speeds: speedsToProto(s.Speeds),
	}
	for _, domain := range s.SilentDomains {
		out.Silent = append(out.Silent, string(domain))
	}
	return out
}

func (c *checker) sum(in *exchangev1.Sum) *Sum {
	if in == nil {
		return nil
	}
	if in.Source == "" || in.Heard > maxItems || in.Known > maxItems || in.LeaseHolders > in.Heard {
		c.fail("sum of source %q is not valid: %d gateways heard, %d known, %d hold the lease", in.Source, in.Heard, in.Known, in.LeaseHolders)
	}
	s := &Sum{
		Source: in.Source, Seq: in.Seq, Domain: ident.FailureDomain(in.FailureDomain), Heard: int(in.Heard), Known: int(in.Known), Age: c.age(in.AgeMs),
		Loads: c.loads(in.Loads), Accounts: c.accounts(in.Accounts), LeaseHolders: leaseHolders(in), GivenUpFence: ident.Fence(in.GivenUpFence),
		TrueWallMillis: in.TrueWallMs, Rollouts: c.rollouts(in.Rollouts), Poison: c.poison(in.Poison),
		LimitUses: c.limitUses(in.LimitUses), LimitColumns: c.limitColumns(in.LimitUses),
		CountedReport: reportID{ident.Incarnation(in.CountedIncarnation), in.CountedSeq}, Speeds: c.speeds(in.Speeds),
	}
	s.Demand, s.Engines = c.work(in.Work)
	for _, domain := range in.Silent {
		s.SilentDomains = append(s.SilentDomains, ident.FailureDomain(domain))
	}
	return s
}

// leaseHolders returns how many gateways hold the lease. An older build only says whether one
// does.
func leaseHolders(in *exchangev1.Sum) int {
	if in.LeaseHeld {
		return max(1, int(in.LeaseHolders))
	}
	return 0
}

func loadsToProto(loads map[UpstreamKey]placement.Load) *exchangev1.Loads {
	if len(loads) == 0 {
		return nil
	}
	out := &exchangev1.Loads{Upstreams: make([]uint32, 0, len(loads)), Running: make([]uint32, 0, len(loads)), UnreadTokens: make([]uint32, 0, len(loads))}
	for key, load := range loads {
		out.Upstreams = append(out.Upstreams, uint32(key))
		out.Running = append(out.Running, uint32(max(0, load.Running)))
		out.UnreadTokens = append(out.UnreadTokens, uint32(max(0, load.UnreadTokens)))
		if load.Paused > 0 && out.Paused == nil {
			out.Paused = make([]uint32, len(out.Upstreams)-1, len(loads))
		}
		if out.Paused != nil {
			out.Paused = append(out.Paused, uint32(max(0, load.Paused)))
		}
	}
	return out
}

func (c *checker) loads(in *exchangev1.Loads) map[UpstreamKey]placement.Load {
	if in == nil {
		return nil
	}
	n := len(in.Upstreams)
	c.checkCount("loads", n)
	if len(in.Running) != n || len(in.UnreadTokens) != n || len(in.Paused) != n && len(in.Paused) != 0 {
		c.fail("loads of %d upstreams have %d running, %d unread_tokens and %d paused values", n, len(in.Running), len(in.UnreadTokens), len(in.Paused))
		return nil
	}
	out := make(map[UpstreamKey]placement.Load, n)
	for i, key := range in.Upstreams {
		paused := uint32(0)
		if len(in.Paused) > 0 {
			paused = in.Paused[i]
		}
		if in.Running[i] > maxRunning || in.UnreadTokens[i] > maxUnreadTokens || paused > maxItems {
			c.fail("load of %d requests, %d unread tokens and %d paused gateways is too high, at most %d, %d and %d",
				in.Running[i], in.UnreadTokens[i], paused, maxRunning, maxUnreadTokens, maxItems)
		}
		out[UpstreamKey(key)] = placement.Load{Running: int(in.Running[i]), UnreadTokens: int(in.UnreadTokens[i]), Paused: int(paused)}
	}
	return out
}

func accountsToProto(accounts map[ident.ClientAccount]Spending) []*exchangev1.Account {
	out := make([]*exchangev1.Account, 0, len(accounts))
	for name, s := range accounts {
		out = append(out, &exchangev1.Account{Name: string(name), Spent: roundTotal(s.Spent), Refused: roundTotal(s.Refused)})
	}
	return out
}

// roundTotal rounds a total to whole units. The remainder shows up in a later total.
func roundTotal(v float64) uint64 { return uint64(max(0, math.Round(v))) }

func (c *checker) accounts(in []*exchangev1.Account) map[ident.ClientAccount]Spending {
	c.checkCount("accounts", len(in))
	out := make(map[ident.ClientAccount]Spending, len(in))
	for _, a := range in {
		out[ident.ClientAccount(a.Name)] = Spending{Spent: float64(a.Spent), Refused: float64(a.Refused)}
	}
	return out
}

func workToProto(demand map[ident.Service]placement.Demand, engines map[ident.Service]enginemodel.Sums) []*exchangev1.ServiceWork {
	services := slices.Collect(maps.Keys(demand))
	for service := range engines {
		if _, known := demand[service]; !known {
			services = append(services, service)
		}
	}
	var out []*exchangev1.ServiceWork
	for _, service := range services {
		d := demand[service]
		each := &exchangev1.ServiceWork{Service: string(service), PromptTokensPerS: float32(d.PromptTokensPerSecond), Generating: float32(d.Generating)}
		if sums, ok := engines[service]; ok {
			each.Engines = sums.List()
		}
		out = append(out, each)
	}
	return out
}

func (c *checker) work(in []*exchangev1.ServiceWork) (map[ident.Service]placement.Demand, map[ident.Service]enginemodel.Sums) {
	c.checkCount("services", len(in))
	demand, engines := make(map[ident.Service]placement.Demand, len(in)), make(map[ident.Service]enginemodel.Sums)
	for _, w := range in {
		service := ident.Service(w.Service)
		demand[service] = placement.Demand{PromptTokensPerSecond: c.rate(w.PromptTokensPerS), Generating: c.rate(w.Generating)}
		if len(w.Engines) == 0 {
			continue
		}
		sums, err := enginemodel.SumsOf(w.Engines)
		if err != nil {
			c.fail("engine sums of service %q: %v", service, err)
		}
		engines[service] = sums
	}
	return demand, engines
}

// countsToProto encodes each account's name once instead of once a window. That makes a report
// with sixteen accounts a third shorter.
func countsToProto(w WindowCounts) *exchangev1.Counts {
	if len(w) == 0 {
		return nil
	}
	out := &exchangev1.Counts{Windows: slices.Sorted(maps.Keys(w))}
	byAccount := make(map[ident.ClientAccount][]uint64)
	for i, number := range out.Windows {
		for account, count := range w[number] {
			if byAccount[account] == nil {
				byAccount[account] = make([]uint64, len(out.Windows))
			}
			byAccount[account][i] = uint64(max(0, count))
		}
	}
	for account, counts := range byAccount {
		out.Accounts = append(out.Accounts, &exchangev1.AccountCounts{Name: string(account), Counts: counts})
	}
	return out
}

func (c *checker) counts(in *exchangev1.Counts) WindowCounts {
	if in == nil {
		return nil
	}
	c.checkCount("windows", len(in.Windows))
	c.checkCount("accounts", len(in.Accounts))
	out := make(WindowCounts, len(in.Windows))
	for _, number := range in.Windows {
		out[number] = make(map[ident.ClientAccount]int64)
	}
	for _, a := range in.Accounts {
		if len(a.Counts) != len(in.Windows) {
			c.fail("account %q has counts of %d windows, not of %d", a.Name, len(a.Counts), len(in.Windows))
			return nil
		}
		for i, count := range a.Counts {
			if count > math.MaxInt32 {
				c.fail("count of %d requests of account %q in a window is too high, at most %d", count, a.Name, math.MaxInt32)
			}
			if count != 0 {
				out[in.Windows[i]][ident.ClientAccount(a.Name)] = int64(count)
			}
		}
	}
	return out
}

func contactsToProto(contacts []Contact) []*exchangev1.Contact {
	out := make([]*exchangev1.Contact, 0, len(contacts))
	for _, c := range contacts {
		out = append(out, &exchangev1.Contact{Node: string(c.Node), Address: c.Address, FailureDomain: string(c.Domain), MilliCores: milliCores(c.Cores)})
	}
	return out
}

func (c *checker) contacts(in []*exchangev1.Contact) []Contact {
	c.checkCount("gateways", len(in))
	var out []Contact
	for _, each := range in {
		if each.Node == "" || each.Address == "" {
			c.fail("contact of gateway %q at address %q lacks the name or the address", each.Node, each.Address)
		}
		out = append(out, Contact{
			Node: ident.Instance(each.Node), Address: each.Address, Domain: ident.FailureDomain(each.FailureDomain), Cores: c.cores(each.MilliCores),
		})
	}
	return out
}

func milliCores(cores float64) uint32 { return uint32(max(0, math.Round(cores*milli))) }

func (c *checker) cores(milliCores uint32) float64 {
	cores := float64(milliCores) / milli
	if cores > settings.MaxCores {
		c.fail("machine with %v cores, at most %v", cores, settings.MaxCores)
	}
	return cores
}

func millis(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }
