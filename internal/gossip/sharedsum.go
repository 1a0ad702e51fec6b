package gossip

import (
	"maps"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// Each gateway of a domain asks its collector for the sum of all others several times a
// second. If the collector added all reports up for each request, its work would grow with the
// square of the number of gateways: beyond some hundred of them its answers would be late, the
// gateways would turn to the next collector, and that one would be late too. So the sum of all
// gateways is added up and encoded once for all requests within sumTTL, and each asker
// subtracts its own report from it.

// sumTTL is how long a sum is reused for all gateways that ask. It makes what gateways know of
// each other older by half of sumTTL on average.
const sumTTL = Interval / 16

// sharedSum is a sum that several gateways get.
type sharedSum struct {
	// sum lacks the statements about rollouts and poison requests, and the limit uses: these
	// are merged for each asker.
	sum Sum
	// encoded is the part of sum that grows with the upstreams and accounts. err is set if it
	// cannot be encoded.
	encoded   []byte
	err       error
	addedUpAt time.Time
	// counted are the reports in the sum, by gateway.
	counted    map[ident.Instance]*receivedReport
	statements leaveOneOut
	uses       upstreamlimit.Uses
	// clockCorrection is what to add to this machine's wall clock.
	clockCorrection time.Duration
}

// CollectorStats counts what a gateway has done as a collector since its start.
type CollectorStats struct {
	// Reports counts the reports that were collected, Sums the sums that were added up, and
	// Parts the reports and the sums of other domains that were added to them.
	Reports, Sums, Parts int64
	// RejectedAnswers counts the collectors' answers that this gateway rejected because they include a
	// report that it no longer remembers.
	RejectedAnswers int64
}

// CollectorStats returns what this gateway has done as a collector.
func (g *Gossip) CollectorStats() CollectorStats {
	g.collector.mu.Lock()
	defer g.collector.mu.Unlock()
	stats := g.collector.stats
	stats.RejectedAnswers = g.rejectedAnswers.Load()
	return stats
}

// usableFor reports whether a sum is young enough for an asker and includes the asker's
// present incarnation. A nil asker needs no own report in the sum.
func (shared *sharedSum) usableFor(asker *receivedReport, now time.Time) bool {
	if shared == nil || now.Sub(shared.addedUpAt) >= sumTTL {
		return false
	}
	if asker == nil {
		return true
	}
	counted := shared.counted[asker.report.Node]
	return counted != nil && counted.report.Incarnation == asker.report.Incarnation
}

// encodedDomainSum returns the sum of this domain's gateways in two parts: one to be encoded
// in a message, and one that is encoded already.
func (c *Collector) encodedDomainSum(now, wall time.Time) (s Sum, encoded []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	shared := c.domainSum(now)
	return shared.forAsker("", now, wall), shared.encoded, shared.err
}

// Others returns the sum of all gateways of all domains except the asker.
func (c *Collector) Others(asker ident.Instance, now, wall time.Time) Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	shared := c.totalSum(c.members[asker], now)
	s := shared.forAsker(asker, now, wall)
	s.addTotals(shared.sum.Loads, shared.sum.Demand, shared.sum.Engines)
	s.addAccounts(shared.sum.Accounts)
	s.Speeds = c.speeds.total
	if counted := shared.counted[asker]; counted != nil {
		s.subtractReport(&counted.report)
	}
	s.CountedReport = reportID{}
	return s
}

// encodedOthers returns the sum of all gateways, and in CountedReport which report of the
// asker it includes. It returns two parts: one to be encoded in a message, and one that is
// encoded already.
func (c *Collector) encodedOthers(asker ident.Instance, now, wall time.Time) (s Sum, encoded []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	shared := c.totalSum(c.members[asker], now)
	return shared.forAsker(asker, now, wall), shared.encoded, shared.err
}

// forAsker returns the part of a sum that depends on the instant and the asker, and is not
// encoded in advance. It leaves out the asker's statements and limit uses; an empty asker
// leaves out nobody's.
func (shared *sharedSum) forAsker(asker ident.Instance, now, wall time.Time) Sum {
	s := shared.sum
	s.Loads, s.Accounts = make(map[UpstreamKey]placement.Load), make(map[ident.ClientAccount]Spending)
	s.Demand, s.Engines = make(map[ident.Service]placement.Demand), make(map[ident.Service]enginemodel.Sums)
	s.Speeds = nil
	age := now.Sub(shared.addedUpAt)
	s.Age += age
	s.TrueWallMillis = wall.Add(shared.clockCorrection).UnixMilli()
	statements := shared.statements.excluding(asker)
	s.Rollouts, s.Poison = statements.rollouts.Aged(age), statements.poison.Aged(age)
	s.LimitUses = maps.Clone(shared.uses)
	if counted := shared.counted[asker]; counted != nil {
		s.CountedReport = counted.report.id()
		s.LimitUses.Subtract(counted.report.LimitUses)
	}
	return s
}

// domainSum returns a sum of this domain's gateways that is young enough; c.mu is held.
func (c *Collector) domainSum(now time.Time) *sharedSum {
	if c.cachedDomainSum.usableFor(nil, now) {
		return c.cachedDomainSum
	}
	shared := c.newSum(now)
	shared.sum.Domain = c.self.Domain
	age := c.addMembers(shared, now)
	shared.sum.addAccounts(c.memberTotals.sum)
	shared.sum.Speeds = c.speeds.domain
	shared.finish(age)
	c.cachedDomainSum = shared
	return shared
}

// totalSum returns a sum of all gateways that is young enough and includes the asker; c.mu is
// held.
func (c *Collector) totalSum(asker *receivedReport, now time.Time) *sharedSum {
	if c.cachedTotalSum.usableFor(asker, now) {
		return c.cachedTotalSum
	}
	shared := c.newSum(now)
	age := c.addMembers(shared, now)
	shared.sum.addAccounts(c.memberTotals.sum)
	shared.sum.addAccounts(c.domainTotals.sum)
	for _, domain := range slices.Sorted(maps.Keys(c.domains)) {
		age += c.addDomain(shared, domain, now)
	}
	shared.finish(age)
	c.cachedTotalSum = shared
	return shared
}

func (c *Collector) newSum(now time.Time) *sharedSum {
	c.seq++
	c.stats.Sums++
	c.speeds.refresh(now)
	return &sharedSum{
		addedUpAt: now, counted: make(map[ident.Instance]*receivedReport), uses: make(upstreamlimit.Uses), clockCorrection: c.clockCorrectionLocked(now),
		sum: Sum{
			Source: c.incarnationID, Seq: c.seq, Loads: make(map[UpstreamKey]placement.Load), Accounts: make(map[ident.ClientAccount]Spending),
			Demand: make(map[ident.Service]placement.Demand), Engines: make(map[ident.Service]enginemodel.Sums),
		},
	}
}

// addMembers adds this domain's gateways and returns the total age of their reports.
func (c *Collector) addMembers(shared *sharedSum, now time.Time) time.Duration {
	sum := time.Duration(0)
	for node, m := range c.members {
		age := now.Sub(m.receivedAt)
		if age <= KnownTimeout && (!m.report.Leaving || age <= leavingTimeout) {
			shared.sum.Known++
		}
		if age > freshFor {
			continue
		}
		c.stats.Parts++
		shared.counted[node] = m
		shared.sum.Heard++
		sum += age
		shared.sum.addTotals(m.report.Loads, m.report.Demand, m.report.Engines)
		shared.uses.Add(m.report.LimitUses)
		shared.statements.add(node, m.report.Rollouts.Aged(age), m.report.Poison.Aged(age))
		if m.report.HoldsLease {
			shared.sum.LeaseHolders++
		}
		shared.sum.GivenUpFence = max(shared.sum.GivenUpFence, m.report.GivenUpFence)
	}
	return sum
}

// addDomain adds the chosen sum of another domain and returns the total age of its gateways'
// reports.
func (c *Collector) addDomain(shared *sharedSum, domain ident.FailureDomain, now time.Time) time.Duration {
	d := c.domains[domain]
	shared.sum.Known += d.known(now)
	if d.silent(now) {
		shared.sum.SilentDomains = append(shared.sum.SilentDomains, domain)
	}
	chosen := d.choose(now)
	if chosen == nil {
		return 0
	}
	c.stats.Parts++
	age := now.Sub(chosen.receivedAt)
	shared.sum.Heard += chosen.sum.Heard
	shared.sum.addTotals(chosen.sum.Loads, chosen.sum.Demand, chosen.sum.Engines)
	shared.uses.Add(chosen.sum.LimitUses)
	shared.statements.add("", chosen.sum.Rollouts.Aged(age), chosen.sum.Poison.Aged(age))
	shared.sum.LeaseHolders += chosen.sum.LeaseHolders
	shared.sum.GivenUpFence = max(shared.sum.GivenUpFence, chosen.sum.GivenUpFence)
	return time.Duration(chosen.sum.Heard) * (age + chosen.sum.Age)
}

// finish completes a sum after everything is added; age is the total age of all reports.
func (shared *sharedSum) finish(age time.Duration) {
	shared.sum.Age = age / time.Duration(max(1, shared.sum.Heard))
	shared.statements.finish()
	shared.encoded, shared.err = shared.sum.encodeTotals()
}

// leaveOneOut merges the statements about rollouts and poison requests of all gateways except
// any one. A statement cannot be subtracted from merged ones, so for each gateway the merged
// statements of all gateways before it and of all after it are held.
type leaveOneOut struct {
	nodes []ident.Instance
	parts []rolloutAndPoison
	// prefixes[i] merges parts[:i], and suffixes[i] merges parts[i:].
	prefixes, suffixes []rolloutAndPoison
}

type rolloutAndPoison struct {
	rollouts rollout.OrderStates
	poison   poison.Report
}

func (r rolloutAndPoison) merge(o rolloutAndPoison) rolloutAndPoison {
	return rolloutAndPoison{r.rollouts.Merge(o.rollouts), r.poison.Merge(o.poison)}
}

// add adds a gateway's statements, if it has any. Those of another domain have an empty node.
func (l *leaveOneOut) add(node ident.Instance, r rollout.OrderStates, p poison.Report) {
	if len(r) == 0 && p.Empty() {
		return
	}
	l.nodes, l.parts = append(l.nodes, node), append(l.parts, rolloutAndPoison{r, p})
}

func (l *leaveOneOut) finish() {
	n := len(l.nodes)
	l.prefixes, l.suffixes = make([]rolloutAndPoison, n+1), make([]rolloutAndPoison, n+1)
	for i := range n {
		l.prefixes[i+1] = l.prefixes[i].merge(l.parts[i])
	}
	for i := n - 1; i >= 0; i-- {
		l.suffixes[i] = l.parts[i].merge(l.suffixes[i+1])
	}
}

// excluding returns the statements of all gateways except one; of all if node is empty or has
// no statements.
func (l *leaveOneOut) excluding(node ident.Instance) rolloutAndPoison {
	i := slices.Index(l.nodes, node)
	if node == "" || i < 0 {
		return l.prefixes[len(l.nodes)]
	}
	return l.prefixes[i].merge(l.suffixes[i+1])
}
