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

// sumTTL is how long a sum is reused for all that ask. It makes what gateways know of each
// other older by half of that on average.
const sumTTL = Interval / 16

// sharedSum is a sum that several gateways get.
type sharedSum struct {
	// sum lacks statements about rollouts and crashing requests, and the limit uses: these are
	// joined for each asker.
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
	// Parts what they were added up from: reports, and sums of other domains.
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
func (w *sharedSum) usableFor(asker *receivedReport, now time.Time) bool {
	if w == nil || now.Sub(w.addedUpAt) >= sumTTL {
		return false
	}
	if asker == nil {
		return true
	}
	counted := w.counted[asker.report.Node]
	return counted != nil && counted.report.Incarnation == asker.report.Incarnation
}

// encodedDomainSum returns the sum of this domain's gateways in two parts: one to be encoded
// in a message, and one that is encoded already.
func (c *Collector) encodedDomainSum(now, wall time.Time) (s Sum, encoded []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.domainSum(now)
	return w.forAsker("", now, wall), w.encoded, w.err
}

// Others returns the sum of all gateways of all domains except the asker.
func (c *Collector) Others(asker ident.Instance, now, wall time.Time) Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.totalSum(c.members[asker], now)
	s := w.forAsker(asker, now, wall)
	s.addTotals(w.sum.Loads, w.sum.Demand, w.sum.Engines)
	s.addAccounts(w.sum.Accounts)
	if counted := w.counted[asker]; counted != nil {
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
	w := c.totalSum(c.members[asker], now)
	return w.forAsker(asker, now, wall), w.encoded, w.err
}

// forAsker returns the part of a sum that depends on the instant and the asker, and is not
// encoded in advance. It leaves out the asker's statements and limit uses; an empty asker
// leaves out nobody's.
func (w *sharedSum) forAsker(asker ident.Instance, now, wall time.Time) Sum {
	s := w.sum
	s.Loads, s.Accounts = make(map[UpstreamKey]placement.Load), make(map[ident.ClientAccount]Spending)
	s.Demand, s.Engines = make(map[ident.Service]placement.Demand), make(map[ident.Service]enginemodel.Sums)
	age := now.Sub(w.addedUpAt)
	s.Age += age
	s.TrueWallMillis = wall.Add(w.clockCorrection).UnixMilli()
	statements := w.statements.excluding(asker)
	s.Rollouts, s.Poison = statements.rollouts.Aged(age), statements.poison.Aged(age)
	s.LimitUses = maps.Clone(w.uses)
	if counted := w.counted[asker]; counted != nil {
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
	w := c.newSum(now)
	w.sum.Domain = c.self.Domain
	age := c.addMembers(w, now)
	w.sum.addAccounts(c.memberTotals.sum)
	w.finish(age)
	c.cachedDomainSum = w
	return w
}

// totalSum returns a sum of all gateways that is young enough and includes the asker; c.mu is
// held.
func (c *Collector) totalSum(asker *receivedReport, now time.Time) *sharedSum {
	if c.cachedTotalSum.usableFor(asker, now) {
		return c.cachedTotalSum
	}
	w := c.newSum(now)
	age := c.addMembers(w, now)
	w.sum.addAccounts(c.memberTotals.sum)
	w.sum.addAccounts(c.domainTotals.sum)
	for _, domain := range slices.Sorted(maps.Keys(c.domains)) {
		age += c.addDomain(w, domain, now)
	}
	w.finish(age)
	c.cachedTotalSum = w
	return w
}

func (c *Collector) newSum(now time.Time) *sharedSum {
	c.seq++
	c.stats.Sums++
	return &sharedSum{
		addedUpAt: now, counted: make(map[ident.Instance]*receivedReport), uses: make(upstreamlimit.Uses), clockCorrection: c.clockCorrectionLocked(now),
		sum: Sum{
			Source: c.incarnationID, Seq: c.seq, Loads: make(map[UpstreamKey]placement.Load), Accounts: make(map[ident.ClientAccount]Spending),
			Demand: make(map[ident.Service]placement.Demand), Engines: make(map[ident.Service]enginemodel.Sums),
		},
	}
}

// addMembers adds this domain's gateways and returns the total age of their reports.
func (c *Collector) addMembers(w *sharedSum, now time.Time) time.Duration {
	sum := time.Duration(0)
	for node, m := range c.members {
		age := now.Sub(m.receivedAt)
		if age <= KnownTimeout && (!m.report.Leaving || age <= leavingTimeout) {
			w.sum.Known++
		}
		if age > freshFor {
			continue
		}
		c.stats.Parts++
		w.counted[node] = m
		w.sum.Heard++
		sum += age
		w.sum.addTotals(m.report.Loads, m.report.Demand, m.report.Engines)
		w.uses.Add(m.report.LimitUses)
		w.statements.add(node, m.report.Rollouts.Aged(age), m.report.Poison.Aged(age))
		if m.report.HoldsLease {
			w.sum.LeaseHolders++
		}
		w.sum.GivenUpFence = max(w.sum.GivenUpFence, m.report.GivenUpFence)
	}
	return sum
}

// addDomain adds the chosen sum of another domain and returns the total age of its gateways'
// reports.
func (c *Collector) addDomain(w *sharedSum, domain ident.FailureDomain, now time.Time) time.Duration {
	d := c.domains[domain]
	w.sum.Known += d.known(now)
	if d.silent(now) {
		w.sum.SilentDomains = append(w.sum.SilentDomains, domain)
	}
	chosen := d.choose(now)
	if chosen == nil {
		return 0
	}
	c.stats.Parts++
	age := now.Sub(chosen.receivedAt)
	w.sum.Heard += chosen.sum.Heard
	w.sum.addTotals(chosen.sum.Loads, chosen.sum.Demand, chosen.sum.Engines)
	w.uses.Add(chosen.sum.LimitUses)
	w.statements.add("", chosen.sum.Rollouts.Aged(age), chosen.sum.Poison.Aged(age))
	w.sum.LeaseHolders += chosen.sum.LeaseHolders
	w.sum.GivenUpFence = max(w.sum.GivenUpFence, chosen.sum.GivenUpFence)
	return time.Duration(chosen.sum.Heard) * (age + chosen.sum.Age)
}

// finish completes a sum after everything is added; age is the total age of all reports.
func (w *sharedSum) finish(age time.Duration) {
	w.sum.Age = age / time.Duration(max(1, w.sum.Heard))
	w.statements.finish()
	w.encoded, w.err = w.sum.encodeTotals()
}

// leaveOneOut joins the statements about rollouts and crashing requests of all gateways except
// any one. A statement cannot be subtracted from a joined one, so the joins of all gateways
// before and after each gateway are kept.
type leaveOneOut struct {
	nodes []ident.Instance
	parts []rolloutAndPoison
	// prefixes[i] joins parts[:i], and suffixes[i] joins parts[i:].
	prefixes, suffixes []rolloutAndPoison
}

type rolloutAndPoison struct {
	rollouts rollout.OrderStates
	poison   poison.Report
}

func (w rolloutAndPoison) plus(o rolloutAndPoison) rolloutAndPoison {
	return rolloutAndPoison{w.rollouts.Merge(o.rollouts), w.poison.Merge(o.poison)}
}

// add adds a gateway's statements, if it has any. Those of another domain have an empty node.
func (w *leaveOneOut) add(node ident.Instance, r rollout.OrderStates, p poison.Report) {
	if len(r) == 0 && p.Empty() {
		return
	}
	w.nodes, w.parts = append(w.nodes, node), append(w.parts, rolloutAndPoison{r, p})
}

func (w *leaveOneOut) finish() {
	n := len(w.nodes)
	w.prefixes, w.suffixes = make([]rolloutAndPoison, n+1), make([]rolloutAndPoison, n+1)
	for i := range n {
		w.prefixes[i+1] = w.prefixes[i].plus(w.parts[i])
	}
	for i := n - 1; i >= 0; i-- {
		w.suffixes[i] = w.parts[i].plus(w.suffixes[i+1])
	}
}

// excluding returns the statements of all gateways except one; of all if node is empty or has
// no statements.
func (w *leaveOneOut) excluding(node ident.Instance) rolloutAndPoison {
	i := slices.Index(w.nodes, node)
	if node == "" || i < 0 {
		return w.prefixes[len(w.nodes)]
	}
	return w.prefixes[i].plus(w.suffixes[i+1])
}
