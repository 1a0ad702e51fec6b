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
	// freshFor is for how long a collected report, or a domain's sum, counts as the
	// present: four rounds, so that two lost ones change nothing.
	freshFor = freshRounds * Interval
	// countsTTL is for how long the counts of a gateway that is gone are kept: the
	// usage of a window is decided within 10 s of its end.
	countsTTL = time.Minute
)

// Collector joins what the gateways of one failure domain report, and what the
// collectors of the other domains say of theirs. Every gateway has one; it does
// something where others choose it.
//
// Nothing is counted twice: each gateway is counted by its newest report, each domain by
// the sum of one of its collectors, and a gateway that asks takes its own report out of the
// answer. What a gateway
// or a domain that fell silent had in progress is forgotten after collectedFor; its
// totals stay, because totals only grow.
//
// It does no I/O and is safe for concurrent use.
type Collector struct {
	self Contact
	incarnationID string

	mu      sync.Mutex
	seq     uint64
	members map[ident.Instance]*receivedReport
	domains map[ident.FailureDomain]*domainSums
	// cachedDomainSum and all are the newest sums of this domain and of all gateways.
	cachedDomainSum, cachedTotalSum *sharedSum
	// expiredAt is when what is too old was last forgotten.
	expiredAt time.Time
	stats     CollectorStats
	// memberTotals are the accounts' totals of own members, and told those of the other
	// domains.
	memberTotals, domainTotals accumulator
	counts         map[string]*receivedCounts
}

// receivedReport is the newest report of a gateway.
type receivedReport struct {
	report Report
	receivedAt     time.Time
	// clockOffset is its time of day minus this machine's.
	clockOffset time.Duration
}

// domainSums are the newest sums of another domain, by their source.
type domainSums struct {
	sums map[string]*receivedSum
	// chosen is the source that counts.
	chosen string
}

type receivedSum struct {
	sum     Sum
	receivedAt      time.Time
	clockOffset time.Duration
}

type receivedCounts struct {
	began WindowCounts
	receivedAt    time.Time
}

// NewCollector returns a collector that has heard nothing.
func NewCollector(self Contact, incarnation ident.Incarnation) *Collector {
	return &Collector{
		self: self, incarnationID: LifeOf(self.Node, incarnation), members: make(map[ident.Instance]*receivedReport),
		domains: make(map[ident.FailureDomain]*domainSums), counts: make(map[string]*receivedCounts),
		memberTotals: newAccumulator(), domainTotals: newAccumulator(),
	}
}

// LifeOf names one life of a gateway.
func LifeOf(node ident.Instance, incarnation ident.Incarnation) string {
	return string(node) + "/" + strconv.FormatUint(uint64(incarnation), 10)
}

// AddReport takes in a gateway's report. An older one than is known changes nothing.
func (c *Collector) AddReport(r Report, now, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.members[r.Node]
	if known != nil && !supersedes(r, known.report) {
		return
	}
	c.members[r.Node] = &receivedReport{report: r, receivedAt: now, clockOffset: time.UnixMilli(r.WallMillis).Sub(wall)}
	life := LifeOf(r.Node, r.Incarnation)
	c.memberTotals.update(string(r.Node), life, r.Accounts)
	c.counts[life] = &receivedCounts{began: r.Began, receivedAt: now}
	c.stats.Reports++
	c.expire(now)
}

// expire drops what is too old to matter, once a round.
func (c *Collector) expire(now time.Time) {
	if now.Sub(c.expiredAt) < Interval {
		return
	}
	c.expiredAt = now
	for life, counts := range c.counts {
		if now.Sub(counts.receivedAt) > countsTTL {
			delete(c.counts, life)
		}
	}
	for node, m := range c.members {
		if now.Sub(m.receivedAt) > contactTTL {
			delete(c.members, node)
			c.memberTotals.remove(string(node))
		}
	}
}

// AddDomainSum takes in the sum of another domain.
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
	}
}

// choose returns the sum that counts: that of the collector which counted last, as long
// as no other one hears more gateways; nil where all are old. Two collectors of a domain
// are at work while its gateways move from one to the other.
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

// known is how many gateways of a domain may admit requests: the most that any of its
// collectors knew lately. One that has just begun knows few.
func (d *domainSums) known(now time.Time) int {
	known := 0
	for _, s := range d.sums {
		if now.Sub(s.receivedAt) <= KnownTimeout {
			known = max(known, s.sum.Known)
		}
	}
	return known
}

// silent reports whether a domain was heard lately and is not now.
func (d *domainSums) silent(now time.Time) bool {
	heard := false
	for _, s := range d.sums {
		age := now.Sub(s.receivedAt)
		if age <= silentAfter {
			return false
		}
		heard = heard || age <= KnownTimeout
	}
	return heard
}

// ReceivesReports reports whether other gateways report to this one. A collector's own reports to
// the next in line do not make that one act.
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

// clockCorrectionLocked returns what to add to this machine's time of day so that it is the
// median of the gateways that are heard; each other domain counts once.
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

// clockCorrection is what to add to this machine's time of day.
func (c *Collector) clockCorrection(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clockCorrectionLocked(now)
}

// heardDomains are the other domains of which a sum counts.
func (c *Collector) heardDomains(now time.Time) []ident.FailureDomain {
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

// Roster returns the first of this domain's gateways that are heard and do not leave.
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

// rosterFor is for how long after its last report a gateway is listed among those that
// can collect.
const rosterFor = 1500 * time.Millisecond

// Counts returns what this domain's gateways counted, also those that are gone.
func (c *Collector) Counts() []LifeCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]LifeCounts, 0, len(c.counts))
	for life, counts := range c.counts {
		out = append(out, LifeCounts{Life: life, Began: counts.began})
	}
	return out
}
