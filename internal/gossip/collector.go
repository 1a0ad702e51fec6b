package gossip

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

const (
	// collectedFor is for how long a collected report, or a domain's sum, counts as the
	// present: four rounds, so that two lost ones change nothing.
	collectedFor = freshRounds * Interval
	// countsKept is for how long the counts of a gateway that is gone are kept: the
	// usage of a window is decided within 10 s of its end.
	countsKept = time.Minute
)

// Collector joins what the gateways of one failure domain report, and what the
// collectors of the other domains say of theirs. Every gateway has one; it does
// something where others choose it.
//
// Nothing is counted twice: each gateway is counted by its newest report, each domain by
// the sum of one of its collectors, and the gateway that asks is left out. What a gateway
// or a domain that fell silent had in progress is forgotten after collectedFor; its
// totals stay, because totals only grow.
//
// It does no I/O and is safe for concurrent use.
type Collector struct {
	self Contact
	life string

	mu      sync.Mutex
	seq     uint64
	members map[ident.Instance]*collected
	domains map[ident.FailureDomain]*domainSums
	// reported are the accounts' totals of own members, and told those of the other
	// domains.
	reported, told accumulator
	counts         map[string]*lifeCounts
}

// collected is the newest report of a gateway.
type collected struct {
	report Report
	at     time.Time
	// wallOff is its time of day minus this machine's.
	wallOff time.Duration
}

// domainSums are the newest sums of another domain, by their source.
type domainSums struct {
	sums map[string]*heardSum
	// chosen is the source that counts.
	chosen string
}

type heardSum struct {
	sum     Sum
	at      time.Time
	wallOff time.Duration
}

type lifeCounts struct {
	began Windows
	at    time.Time
}

// NewCollector returns a collector that has heard nothing.
func NewCollector(self Contact, incarnation ident.Incarnation) *Collector {
	return &Collector{
		self: self, life: LifeOf(self.Node, incarnation), members: make(map[ident.Instance]*collected),
		domains: make(map[ident.FailureDomain]*domainSums), counts: make(map[string]*lifeCounts),
		reported: newAccumulator(), told: newAccumulator(),
	}
}

// LifeOf names one life of a gateway.
func LifeOf(node ident.Instance, incarnation ident.Incarnation) string {
	return string(node) + "/" + strconv.FormatUint(uint64(incarnation), 10)
}

// Collect takes in a gateway's report. An older one than is known changes nothing.
func (c *Collector) Collect(r Report, now, wall time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.members[r.Node]
	if known != nil && !newer(r, known.report) {
		return
	}
	c.members[r.Node] = &collected{report: r, at: now, wallOff: time.UnixMilli(r.WallMillis).Sub(wall)}
	life := LifeOf(r.Node, r.Incarnation)
	c.reported.take(string(r.Node), life, r.Accounts)
	c.counts[life] = &lifeCounts{began: r.Began, at: now}
	c.forget(now)
}

// forget drops what is too old to matter.
func (c *Collector) forget(now time.Time) {
	for life, counts := range c.counts {
		if now.Sub(counts.at) > countsKept {
			delete(c.counts, life)
		}
	}
	for node, m := range c.members {
		if now.Sub(m.at) > contactFor {
			delete(c.members, node)
			c.reported.forget(string(node))
		}
	}
}

// Hear takes in the sum of another domain.
func (c *Collector) Hear(s Sum, now, wall time.Time) {
	if s.Domain == c.self.Domain || s.Source == c.life {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.domains[s.Domain]
	if d == nil {
		d = &domainSums{sums: make(map[string]*heardSum)}
		c.domains[s.Domain] = d
	}
	if known := d.sums[s.Source]; known != nil && s.Seq <= known.sum.Seq {
		return
	}
	d.sums[s.Source] = &heardSum{sum: s, at: now, wallOff: time.UnixMilli(s.TrueWallMillis).Sub(wall)}
	for source, other := range d.sums {
		if now.Sub(other.at) > KnownFor {
			delete(d.sums, source)
		}
	}
	if chosen := d.choose(now); chosen != nil {
		c.told.take(string(s.Domain), chosen.sum.Source, chosen.sum.Accounts)
	}
}

// choose returns the sum that counts: that of the collector which counted last, as long
// as no other one hears more gateways; nil where all are old. Two collectors of a domain
// are at work while its gateways move from one to the other.
func (d *domainSums) choose(now time.Time) *heardSum {
	best := d.sums[d.chosen]
	if best != nil && now.Sub(best.at) > collectedFor {
		best = nil
	}
	for _, source := range slices.Sorted(maps.Keys(d.sums)) {
		s := d.sums[source]
		if now.Sub(s.at) <= collectedFor && (best == nil || s.sum.Heard > best.sum.Heard) {
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
		if now.Sub(s.at) <= KnownFor {
			known = max(known, s.sum.Known)
		}
	}
	return known
}

// silent reports whether a domain was heard lately and is not now.
func (d *domainSums) silent(now time.Time) bool {
	heard := false
	for _, s := range d.sums {
		age := now.Sub(s.at)
		if age <= silentAfter {
			return false
		}
		heard = heard || age <= KnownFor
	}
	return heard
}

// Acting reports whether other gateways report to this one. A collector's own reports to
// the next in line do not make that one act.
func (c *Collector) Acting(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if compareCollectors(m.report.Contact, c.self) > 0 && now.Sub(m.at) <= collectedFor {
			return true
		}
	}
	return false
}

// Domain returns the sum of this domain's gateways.
func (c *Collector) Domain(now, wall time.Time) Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.newSum(now, wall)
	s.Domain = c.self.Domain
	age := c.addMembers(&s, "", now)
	s.Age = mean(age, s.Heard)
	s.Accounts = c.reported.without("")
	return s
}

// Others returns the sum of all gateways but one, of all domains.
func (c *Collector) Others(asker ident.Instance, now, wall time.Time) Sum {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.newSum(now, wall)
	age := c.addMembers(&s, asker, now)
	s.Accounts = c.reported.without(string(asker))
	for name, told := range c.told.without("") {
		s.Accounts[name] = s.Accounts[name].plus(told)
	}
	for _, domain := range slices.Sorted(maps.Keys(c.domains)) {
		d := c.domains[domain]
		s.Known += d.known(now)
		if d.silent(now) {
			s.Silent = append(s.Silent, domain)
		}
		if chosen := d.choose(now); chosen != nil {
			s.Heard += chosen.sum.Heard
			age += time.Duration(chosen.sum.Heard) * (now.Sub(chosen.at) + chosen.sum.Age)
			s.addTo(chosen.sum.Loads, chosen.sum.Work, chosen.sum.Engines)
			s.Rollouts = s.Rollouts.Plus(chosen.sum.Rollouts.Aged(now.Sub(chosen.at)))
			s.Poison = s.Poison.Plus(chosen.sum.Poison.Aged(now.Sub(chosen.at)))
			s.LimitUses.Add(chosen.sum.LimitUses)
			s.Holds = s.Holds || chosen.sum.Holds
			s.GivenUp = max(s.GivenUp, chosen.sum.GivenUp)
		}
	}
	s.Age = mean(age, s.Heard)
	return s
}

func (c *Collector) newSum(now, wall time.Time) Sum {
	c.seq++
	return Sum{
		Source: c.life, Seq: c.seq, TrueWallMillis: wall.Add(c.wallCorrection(now)).UnixMilli(),
		Loads: make(map[UpstreamKey]placement.Load), Work: make(map[ident.Service]placement.Demand), Engines: make(map[ident.Service]enginemodel.Sums),
		LimitUses: make(upstreamlimit.Uses),
	}
}

func mean(sum time.Duration, n int) time.Duration { return sum / time.Duration(max(1, n)) }

// addMembers adds this domain's gateways but one and returns the sum of their reports'
// ages.
func (c *Collector) addMembers(s *Sum, without ident.Instance, now time.Time) time.Duration {
	sum := time.Duration(0)
	for node, m := range c.members {
		age := now.Sub(m.at)
		if node == without {
			continue
		}
		if age <= KnownFor && (!m.report.Leaving || age <= leavingFor) {
			s.Known++
		}
		if age > collectedFor {
			continue
		}
		s.Heard++
		sum += age
		s.addTo(m.report.Loads, m.report.Work, m.report.Engines)
		s.Rollouts = s.Rollouts.Plus(m.report.Rollouts.Aged(age))
		s.Poison = s.Poison.Plus(m.report.Poison.Aged(age))
		s.LimitUses.Add(m.report.LimitUses)
		s.Holds = s.Holds || m.report.Holds
		s.GivenUp = max(s.GivenUp, m.report.GivenUp)
	}
	return sum
}

func (s *Sum) addTo(loads map[UpstreamKey]placement.Load, work map[ident.Service]placement.Demand, engines map[ident.Service]enginemodel.Sums) {
	for key, load := range loads {
		s.Loads[key] = s.Loads[key].Plus(load)
	}
	for service, w := range work {
		s.Work[service] = s.Work[service].Plus(w)
	}
	for service, sums := range engines {
		all := s.Engines[service]
		all.Add(sums)
		s.Engines[service] = all
	}
}

// wallCorrection returns what to add to this machine's time of day so that it is the
// median of the gateways that are heard; each other domain counts once.
func (c *Collector) wallCorrection(now time.Time) time.Duration {
	offs := []time.Duration{0}
	for node, m := range c.members {
		if node != c.self.Node && now.Sub(m.at) <= collectedFor {
			offs = append(offs, m.wallOff)
		}
	}
	for _, d := range c.domains {
		if chosen := d.choose(now); chosen != nil {
			offs = append(offs, chosen.wallOff)
		}
	}
	return median(offs)
}

// correction is what to add to this machine's time of day.
func (c *Collector) correction(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wallCorrection(now)
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

// Roster returns this domain's gateways that are heard and do not leave.
func (c *Collector) Roster(now time.Time) Roster {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := Roster{Domain: c.self.Domain}
	for _, m := range c.members {
		if now.Sub(m.at) <= listedFor && !m.report.Leaving {
			r.Gateways = append(r.Gateways, m.report.Contact)
		}
	}
	sortCollectors(r.Gateways)
	return r
}

// listedFor is for how long after its last report a gateway is listed among those that
// can collect.
const listedFor = 1500 * time.Millisecond

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

// accumulator adds up totals that grow, of sources that come, go and begin anew.
// What a source had reached when it was first heard is no news: it was counted before.
type accumulator struct{ sources map[string]*accumulated }

type accumulated struct {
	life string
	last map[ident.ClientAccount]Spending
	sum  map[ident.ClientAccount]Spending
}

func newAccumulator() accumulator { return accumulator{sources: make(map[string]*accumulated)} }

// take takes in a source's totals; life tells its totals from those of an earlier life.
func (a *accumulator) take(source, life string, totals map[ident.ClientAccount]Spending) {
	s := a.sources[source]
	if s == nil {
		s = &accumulated{sum: make(map[ident.ClientAccount]Spending)}
		a.sources[source] = s
	}
	if s.life == life {
		for account, total := range totals {
			s.sum[account] = s.sum[account].plus(total.minus(s.last[account]))
		}
	}
	s.life, s.last = life, totals
}

// forget turns a source's part into that of nobody, so that the sum never shrinks.
func (a *accumulator) forget(source string) {
	s := a.sources[source]
	if s == nil {
		return
	}
	delete(a.sources, source)
	gone := a.sources[""]
	if gone == nil {
		gone = &accumulated{sum: make(map[ident.ClientAccount]Spending)}
		a.sources[""] = gone
	}
	for account, sum := range s.sum {
		gone.sum[account] = gone.sum[account].plus(sum)
	}
}

// without returns the sum of all sources but one.
func (a *accumulator) without(source string) map[ident.ClientAccount]Spending {
	out := make(map[ident.ClientAccount]Spending)
	for name, s := range a.sources {
		if name == source && source != "" {
			continue
		}
		for account, sum := range s.sum {
			out[account] = out[account].plus(sum)
		}
	}
	return out
}

func (s Spending) plus(o Spending) Spending {
	return Spending{s.Spent + o.Spent, s.Refused + o.Refused}
}

// minus is how much two totals differ; a total that fell is one that begins anew.
func (s Spending) minus(o Spending) Spending {
	return Spending{max(0, s.Spent-o.Spent), max(0, s.Refused-o.Refused)}
}
