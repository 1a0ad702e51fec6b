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
// second. What goes wrong if the collector adds all reports up for each that asks: its work
// grows as the square of the gateways, and beyond some hundred of them its answers come late,
// the gateways turn to the next collector, and that one is late too. So the sum of all
// gateways is added up and encoded once for all that ask within sumFor, and each takes its
// own report out of it.

// sumTTL is for how long a sum is given to all that ask: it makes what gateways know of each
// other older by half of that on average.
const sumTTL = Interval / 16

// sharedSum is a sum for several that ask.
type sharedSum struct {
	// sum lacks the words about versions and crashing requests, and the uses of limits:
	// these are joined for each gateway that asks.
	sum Sum
	// encoded is what of it grows with the upstreams and accounts; err is set where that
	// cannot be encoded.
	encoded []byte
	err     error
	addedUpAt      time.Time
	// counted are the reports in it, by gateway.
	counted map[ident.Instance]*receivedReport
	statements   leaveOneOut
	uses    upstreamlimit.Uses
	// clockCorrection is what to add to this machine's time of day.
	clockCorrection time.Duration
}

// CollectorStats counts what a collector has done since its start.
type CollectorStats struct {
	// Reports were collected, and Sums added up from so many Parts: reports, and sums of
	// other domains.
	Reports, Sums, Parts int64
	// Refused are answers of collectors that held a report which is not known any more.
	Refused int64
}

// Work returns what this gateway has done as a collector.
func (g *Gossip) Work() CollectorStats {
	g.collector.mu.Lock()
	defer g.collector.mu.Unlock()
	work := g.collector.stats
	work.Refused = g.rejectedAnswers.Load()
	return work
}

// usableFor reports whether a sum can be given to a gateway now; it counts that gateway's
// present life.
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

// encodedDomainSum returns the sum of this domain's gateways in two parts, of which the second is
// encoded.
func (c *Collector) encodedDomainSum(now, wall time.Time) (s Sum, encoded []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.domainSum(now)
	return w.forAsker("", now, wall), w.encoded, w.err
}

// Others returns the sum of all gateways but one, of all domains.
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

// encodedOthers returns the sum of all gateways with which of the asker's reports is in it, in
// two parts, of which the second is encoded.
func (c *Collector) encodedOthers(asker ident.Instance, now, wall time.Time) (s Sum, encoded []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.totalSum(c.members[asker], now)
	return w.forAsker(asker, now, wall), w.encoded, w.err
}

// forAsker is what of a sum belongs to this instant and to the gateway that asks, and is not
// encoded before: without that one's words and uses. It has no name where nobody's are left
// out.
func (w *sharedSum) forAsker(asker ident.Instance, now, wall time.Time) Sum {
	s := w.sum
	s.Loads, s.Accounts = make(map[UpstreamKey]placement.Load), make(map[ident.ClientAccount]Spending)
	s.Demand, s.Engines = make(map[ident.Service]placement.Demand), make(map[ident.Service]enginemodel.Sums)
	age := now.Sub(w.addedUpAt)
	s.Age += age
	s.TrueWallMillis = wall.Add(w.clockCorrection).UnixMilli()
	words := w.statements.excluding(asker)
	s.Rollouts, s.Poison = words.rollouts.Aged(age), words.poison.Aged(age)
	s.LimitUses = maps.Clone(w.uses)
	if counted := w.counted[asker]; counted != nil {
		s.CountedReport = counted.report.id()
		s.LimitUses.Subtract(counted.report.LimitUses)
	}
	return s
}

// domainSum returns a sum of this domain's gateways that is young enough.
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

// totalSum returns a sum of all gateways that is young enough, and counts the one that asks.
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

// addMembers adds this domain's gateways and returns the sum of their reports' ages.
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
		w.sum.addTotals(m.report.Loads, m.report.Work, m.report.Engines)
		w.uses.Add(m.report.LimitUses)
		w.statements.add(node, m.report.Rollouts.Aged(age), m.report.Poison.Aged(age))
		if m.report.Holds {
			w.sum.LeaseHolders++
		}
		w.sum.GivenUpFence = max(w.sum.GivenUpFence, m.report.GivenUp)
	}
	return sum
}

// addDomain adds the sum that counts of another domain, and returns how old its gateways'
// reports are together.
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

// finish ends the adding up; age is that of all reports together.
func (w *sharedSum) finish(age time.Duration) {
	w.sum.Age = age / time.Duration(max(1, w.sum.Heard))
	w.statements.finish()
	w.encoded, w.err = w.sum.encodeTotals()
}

// leaveOneOut joins words about versions and crashing requests of all gateways but any one.
// They cannot be taken out of a sum again, so that the sums of those before and after each
// gateway are kept.
type leaveOneOut struct {
	nodes []ident.Instance
	parts []rolloutAndPoison
	// before[i] joins all before i, and after[i] all from i on.
	prefixes, suffixes []rolloutAndPoison
}

type rolloutAndPoison struct {
	rollouts rollout.Words
	poison   poison.Words
}

func (w rolloutAndPoison) plus(o rolloutAndPoison) rolloutAndPoison {
	return rolloutAndPoison{w.rollouts.Plus(o.rollouts), w.poison.Plus(o.poison)}
}

// add adds a gateway's words, if it has any; another domain's have no name.
func (w *leaveOneOut) add(node ident.Instance, r rollout.Words, p poison.Words) {
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

// excluding returns the words of all but one; of all where it has no name or no words.
func (w *leaveOneOut) excluding(node ident.Instance) rolloutAndPoison {
	i := slices.Index(w.nodes, node)
	if node == "" || i < 0 {
		return w.prefixes[len(w.nodes)]
	}
	return w.prefixes[i].plus(w.suffixes[i+1])
}
