package gossip

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// freshFor is how long a report, or the sum of a domain, counts as current: four rounds, so
	// that losing two in a row changes nothing.
	freshFor = freshRounds * Interval
	// countsTTL is how long the counts of a gateway that is gone are kept: the usage of a
	// window is settled within 10 s after the window's end.
	countsTTL = time.Minute
)

// Collector adds up the reports of the gateways of one failure domain and the sums of the
// other domains' collectors. Every gateway has a Collector; it does something once other
// gateways report to it.
//
// Nothing is counted twice: each gateway counts by its newest report, each domain by the sum
// of one of its collectors, and a gateway that asks subtracts its own report from the answer.
// What a silent gateway or domain had in progress is dropped after freshFor. Its totals stay,
// because totals only grow.
//
// A Collector does no I/O and is safe for concurrent use.
type Collector struct {
	self          Contact
	incarnationID string

	mu      sync.Mutex
	seq     uint64
	members map[ident.Instance]*receivedReport
	domains map[ident.FailureDomain]*domainSums
	// cachedDomainSum and cachedTotalSum are the newest sums of this domain and of all
	// gateways.
	cachedDomainSum, cachedTotalSum *sharedSum
	// expiredAt is when expire last dropped old data.
	expiredAt time.Time
	stats     CollectorStats
	// memberTotals are the account totals of this domain's gateways, and domainTotals those of
	// the other domains.
	memberTotals, domainTotals accumulator
	speeds                     collectedSpeeds
	counts                     map[string]*receivedCounts
}

// receivedReport is the newest report of a gateway.
type receivedReport struct {
	report     Report
	receivedAt time.Time
	// clockOffset is the gateway's wall clock minus this machine's.
	clockOffset time.Duration
}

// domainSums are the newest sums of another domain, by source.
type domainSums struct {
	sums map[string]*receivedSum
	// chosen is the source whose sum counts.
	chosen string
}

type receivedSum struct {
	sum         Sum
	receivedAt  time.Time
	clockOffset time.Duration
}

type receivedCounts struct {
	startedRequests WindowCounts
	receivedAt      time.Time
}

// NewCollector returns a collector that has received nothing.
func NewCollector(self Contact, incarnation ident.Incarnation) *Collector {
	return &Collector{
		self: self, incarnationID: IncarnationID(self.Node, incarnation), members: make(map[ident.Instance]*receivedReport),
		domains: make(map[ident.FailureDomain]*domainSums), counts: make(map[string]*receivedCounts),
		memberTotals: newAccumulator(), domainTotals: newAccumulator(), speeds: newCollectedSpeeds(),
	}
}

// IncarnationID returns the name of one incarnation of a gateway.
func IncarnationID(node ident.Instance, incarnation ident.Incarnation) string {
	return string(node) + "/" + strconv.FormatUint(uint64(incarnation), 10)
}

// AddReport adds a gateway's report in place of its earlier one. A report that is older than
// that one is ignored.
func (c *Collector) AddReport(r Report, now, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.members[r.Node]
	if known != nil && !supersedes(r, known.report) {
		return
	}
	c.members[r.Node] = &receivedReport{report: r, receivedAt: now, clockOffset: time.UnixMilli(r.WallMillis).Sub(wall)}
	incarnationID := IncarnationID(r.Node, r.Incarnation)
	c.memberTotals.update(string(r.Node), incarnationID, r.Accounts)
	c.speeds.members.Apply(incarnationID, r.Speeds, now)
	c.counts[incarnationID] = &receivedCounts{startedRequests: r.StartedRequests, receivedAt: now}
	c.stats.Reports++
	c.expire(now)
}

// expire drops data that is too old to be used, once a round; c.mu is held.
func (c *Collector) expire(now time.Time) {
	if now.Sub(c.expiredAt) < Interval {
		return
	}
	c.expiredAt = now
	for incarnationID, counts := range c.counts {
		if now.Sub(counts.receivedAt) > countsTTL {
			delete(c.counts, incarnationID)
		}
	}
	for node, m := range c.members {
		if now.Sub(m.receivedAt) > contactTTL {
			delete(c.members, node)
			c.memberTotals.remove(string(node))
		}
	}
}

// AddDomainSum adds the sum of another domain in place of the earlier one of the same source. A
// sum that is older than that one is ignored.
func (c *Collector) AddDomainSum(s Sum, now, wall time.Time) {
	if s.Domain == c.self.Domain || s.Source == c.incarnationID {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.domains[s.Domain]
	if d == nil {
		d = &domainSums{sums: make(map[string]*receivedSum)}
		c.domains[s.Domain] = d
	}
	if known := d.sums[s.Source]; known != nil && s.Seq <= known.sum.Seq {
		return
	}
	d.sums[s.Source] = &receivedSum{sum: s, receivedAt: now, clockOffset: time.UnixMilli(s.TrueWallMillis).Sub(wall)}
	for source, other := range d.sums {
		if now.Sub(other.receivedAt) > KnownTimeout {
			delete(d.sums, source)
		}
	}
	if chosen := d.choose(now); chosen != nil {
		c.domainTotals.update(string(s.Domain), chosen.sum.Source, chosen.sum.Accounts)
		if chosen.sum.Source == s.Source {
			c.speeds.domains.Apply(string(s.Domain), s.Speeds, now)
		}
	}
}

// choose returns the sum that counts: that of the source chosen last, unless the sum of another
// source includes more gateways; nil if all sums are old. A domain has two collectors at work
// while its gateways move from one to the other.
func (d *domainSums) choose(now time.Time) *receivedSum {
	best := d.sums[d.chosen]
	if best != nil && now.Sub(best.receivedAt) > freshFor {
		best = nil
	}
	for _, source := range slices.Sorted(maps.Keys(d.sums)) {
		s := d.sums[source]
		if now.Sub(s.receivedAt) <= freshFor && (best == nil || s.sum.Heard > best.sum.Heard) {
			best = s
		}
	}
	if best != nil {
		d.chosen = best.sum.Source
	}
	return best
}

// known returns how many gateways of a domain may admit requests: the highest number that any
// of its collectors reported within KnownTimeout. A collector that has just started knows few.
func (d *domainSums) known(now time.Time) int {
	known := 0
	for _, s := range d.sums {
		if now.Sub(s.receivedAt) <= KnownTimeout {
			known = max(known, s.sum.Known)
		}
	}
	return known
}

// silent reports whether a sum of a domain arrived within KnownTimeout, but none within
// silentAfter.
func (d *domainSums) silent(now time.Time) bool {
	recent := false
	for _, s := range d.sums {
		age := now.Sub(s.receivedAt)
		if age <= silentAfter {
			return false
		}
		recent = recent || age <= KnownTimeout
	}
	return recent
}

// ReceivesReports reports whether gateways that come after this one in the order of collectors
// report to it. A report from one that comes before does not count: the first collector
// reports to the next one.
func (c *Collector) ReceivesReports(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if compareCollectors(m.report.Contact, c.self) > 0 && now.Sub(m.receivedAt) <= freshFor {
			return true
		}
	}
	return false
}

// clockCorrectionLocked returns what to add to this machine's wall clock to get the median of
// the clocks of this domain's gateways with a current report. Each other domain counts as one
// clock. c.mu is held.
func (c *Collector) clockCorrectionLocked(now time.Time) time.Duration {
	offs := []time.Duration{0}
	for node, m := range c.members {
		if node != c.self.Node && now.Sub(m.receivedAt) <= freshFor {
			offs = append(offs, m.clockOffset)
		}
	}
	for _, d := range c.domains {
		if chosen := d.choose(now); chosen != nil {
			offs = append(offs, chosen.clockOffset)
		}
	}
	return median(offs)
}

// clockCorrection returns what to add to this machine's wall clock.
func (c *Collector) clockCorrection(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clockCorrectionLocked(now)
}

// currentDomains returns the other domains that have a current sum, in no particular order.
func (c *Collector) currentDomains(now time.Time) []ident.FailureDomain {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []ident.FailureDomain
	for domain, d := range c.domains {
		if d.choose(now) != nil {
			out = append(out, domain)
		}
	}
	return out
}

// Roster returns the first collectors among this domain's gateways that have reported recently
// and are not leaving.
func (c *Collector) Roster(now time.Time) Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Roster{Domain: c.self.Domain}
	for _, m := range c.members {
		if now.Sub(m.receivedAt) <= rosterFor && !m.report.Leaving {
			r.Gateways = append(r.Gateways, m.report.Contact)
		}
	}
	sortCollectors(r.Gateways)
	r.Gateways = r.Gateways[:min(len(r.Gateways), maxRosterGateways)]
	return r
}

// rosterFor is how long after its last report a gateway stays in the roster.
const rosterFor = 1500 * time.Millisecond

// Counts returns the requests that this domain's gateways counted, including those of gateways
// that are gone.
func (c *Collector) Counts() []IncarnationCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]IncarnationCounts, 0, len(c.counts))
	for incarnationID, counts := range c.counts {
		out = append(out, IncarnationCounts{IncarnationID: incarnationID, StartedRequests: counts.startedRequests})
	}
	return out
}
