package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// collectTimeout ends a report to a collector, or an exchange of sums: about a
	// round, so that a collector that died, froze or was cut off costs one round before
	// the next one of its domain is asked. A slowed one answers within it.
	collectTimeout = 250 * time.Millisecond
	// fillFor is for how long an answer that holds more gateways is kept beside those of
	// a collector that has just begun: it hears of all within two rounds.
	fillFor = 2*Interval + collectTimeout/2
	// tries is how many collectors of a domain are tried in a round.
	tries = 2
)

// collect does a round's part in collecting: this gateway's report goes to its domain's
// first collector, and a collector exchanges its domain's sum with those of the others.
func (g *Gossip) collect(ctx context.Context, now time.Time) {
	report := g.cfg.Knowledge.Report(now)
	if g.first(now) || g.collector.Acting(now) {
		g.collector.Collect(report, now, time.Now())
	}
	if g.leads(now) {
		g.cfg.Table.TakeRoster(g.collector.Roster(now), now)
	}
	// A first collector reports to the next in line, which knows from it that this one
	// is there.
	g.tell(ctx, g.cfg.Self.Domain, now, func() []byte { return g.reportRequest(report, now) })
	g.exchangeSums(ctx, now)
}

// exchangeSums exchanges this domain's sum with the collectors of the others, if this
// gateway collects.
func (g *Gossip) exchangeSums(ctx context.Context, now time.Time) {
	if !collects(g.cfg.Table.Count(now)) || !g.first(now) && !g.collector.Acting(now) {
		return
	}
	for _, domain := range g.cfg.Table.Domains() {
		if domain != g.cfg.Self.Domain {
			g.tell(ctx, domain, now, func() []byte { return g.sumsRequest(now) })
		}
	}
}

// tell sends a request to a domain's first collector, and to the next one if it does not
// answer, unless one is on its way. It does not wait for the answer.
func (g *Gossip) tell(ctx context.Context, domain ident.FailureDomain, now time.Time, request func() []byte) {
	order := g.cfg.Table.Collectors(domain, now)
	key := "collector of " + string(domain)
	if len(order) == 0 || !g.begin(key) {
		return
	}
	go func() {
		defer g.free(key)
		g.tellOne(ctx, order, request())
	}()
}

// tellOne reports whether one of the collectors took a request.
func (g *Gossip) tellOne(ctx context.Context, order []Contact, request []byte) bool {
	for _, c := range order[:min(tries, len(order))] {
		sent := g.cfg.Now()
		answer, err := g.callWithin(ctx, collectTimeout, c.Address, request)
		g.note(c.Address, err)
		if err == nil {
			g.take(answer, sent)
			return true
		}
		g.cfg.Table.Down(c.Address, g.cfg.Now())
	}
	return false
}

// sayCollectors tells the collectors of all domains at once.
func (g *Gossip) sayCollectors(ctx context.Context, all *sync.WaitGroup, now time.Time) {
	own := g.cfg.Table.Collectors(g.cfg.Self.Domain, now)
	report := g.cfg.Knowledge.Report(now)
	request := g.reportRequest(report, now)
	all.Go(func() { g.tellOne(ctx, own, request) })
	if !g.first(now) && !g.collector.Acting(now) {
		return
	}
	g.collector.Collect(report, now, time.Now())
	sums := g.sumsRequest(now)
	for _, domain := range g.cfg.Table.Domains() {
		if order := g.cfg.Table.Collectors(domain, now); domain != g.cfg.Self.Domain {
			all.Go(func() { g.tellOne(ctx, order, sums) })
		}
	}
}

// reportRequest is this gateway's report to a collector.
func (g *Gossip) reportRequest(report Report, now time.Time) []byte {
	_, digests := g.cfg.Table.Rosters(now)
	g.mu.Lock()
	if report.LimitSet != 0 && report.LimitSet == g.answerLimits {
		// The collector knows them.
		report.Limits = nil
		report.LimitColumns, report.LimitUses = report.LimitUses.Columns(g.cfg.Knowledge.LimitOrder()), nil
	}
	g.mu.Unlock()
	g.remember(report)
	return g.encode(&message{From: report, Collect: true, TakesWhole: true, KnowsRosters: digests})
}

// reportsKept is how many of its own reports a gateway remembers, to take the one that is
// counted out of a collector's answer: those of two seconds, twice as long as one counts.
const reportsKept = 2 * freshRounds

// remember keeps a report that is sent to a collector.
func (g *Gossip) remember(report Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reported = appendNewest(g.reported, report, reportsKept)
}

// takeOutOwn takes this gateway's report out of a collector's sum and reports whether it
// could: g.mu is held.
func (g *Gossip) takeOutOwn(s *Sum) bool {
	if s.Counted == (reportID{}) {
		return true
	}
	for i := range g.reported {
		if g.reported[i].id() == s.Counted {
			s.takeOut(&g.reported[i])
			return true
		}
	}
	return false
}

// sumsRequest is a collector's word to another domain's.
func (g *Gossip) sumsRequest(now time.Time) []byte {
	_, digests := g.cfg.Table.Rosters(now)
	m := &message{From: g.cfg.Knowledge.Brief(now), KnowsRosters: digests}
	g.addDomainSum(m, now, time.Now())
	return g.encode(m)
}

// addDomainSum adds this domain's sum to a message.
func (g *Gossip) addDomainSum(m *message, now, wall time.Time) {
	sum, encoded, err := g.collector.domainParts(now, wall)
	if err != nil {
		g.cfg.Log.Error("the domain's sum is not told", "error", err)
		return
	}
	m.DomainSum, m.DomainPart = &sum, encoded
}

// addOthers adds the sum of the other gateways to an answer.
func (g *Gossip) addOthers(asked, reply *message, now, wall time.Time) {
	if !asked.TakesWhole {
		sum := g.collector.Others(asked.From.Node, now, wall)
		reply.Others = &sum
		return
	}
	sum, encoded, err := g.collector.othersParts(asked.From.Node, now, wall)
	if err != nil {
		g.cfg.Log.Error("the sum of all gateways is not told", "asker", asked.From.Node, "error", err)
		return
	}
	reply.Others, reply.OthersPart = &sum, encoded
}

// answerCollected adds to an answer what a gateway that reports here, or another domain's
// collector, asks for.
func (g *Gossip) answerCollected(asked, reply *message, now, wall time.Time) {
	if asked.WantsCounts {
		reply.Counts = g.collector.Counts()
	}
	switch {
	case asked.Collect:
		g.resolveUses(&asked.From)
		g.collector.Collect(asked.From, now, wall)
		g.addOthers(asked, reply, now, wall)
		g.shortenLimits(asked, reply)
	case asked.DomainSum != nil:
		g.takeSums(asked, now, wall)
		g.addDomainSum(reply, now, wall)
	default:
		return
	}
	g.answerRosters(asked, reply, now)
}

// answerRosters adds the rosters that the asker lacks.
func (g *Gossip) answerRosters(asked, reply *message, now time.Time) {
	g.cfg.Table.ConfirmRosters(asked.KnowsRosters, g.believes(asked.From.Domain, now), now)
	rosters, digests := g.cfg.Table.Rosters(now)
	reply.KnowsRosters = digests
	for _, r := range rosters {
		if asked.KnowsRosters[r.Domain] != digests[r.Domain] {
			reply.Rosters = append(reply.Rosters, r)
		}
	}
}

// leads reports whether this gateway is its domain's collector, and others report to it.
func (g *Gossip) leads(now time.Time) bool { return g.first(now) && g.collector.Acting(now) }

// believes tells of which domains a gateway's rosters are taken: the collector of a
// domain takes those of other domains from gateways there alone, and nobody's of its own
// domain; the others take all.
func (g *Gossip) believes(from ident.FailureDomain, now time.Time) func(ident.FailureDomain) bool {
	leads := g.leads(now)
	return func(domain ident.FailureDomain) bool {
		return !leads || domain == from && domain != g.cfg.Self.Domain
	}
}

// takeSums takes in another domain's sum.
func (g *Gossip) takeSums(m *message, now, wall time.Time) {
	if m.DomainSum.Domain == m.From.Domain {
		g.collector.Hear(*m.DomainSum, now, wall)
	}
}

// takeCollected takes in what a collector answered.
func (g *Gossip) takeCollected(m *message, now, wall time.Time) {
	believes := g.believes(m.From.Domain, now)
	for _, r := range m.Rosters {
		if believes(r.Domain) {
			g.cfg.Table.TakeRoster(r, now)
		} else {
			// Whom this gateway does not know may come before it.
			g.cfg.Table.Learn(r.Gateways, now)
		}
	}
	g.cfg.Table.ConfirmRosters(m.KnowsRosters, believes, now)
	if m.DomainSum != nil {
		g.takeSums(m, now, wall)
	}
	if m.Others == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.takeOutOwn(m.Others) {
		g.uncounted.Add(1)
		g.cfg.Log.Warn("a collector's sum counts a report that is not known any more, it changes nothing", "node", m.From.Node, "seq", m.Others.Counted.Seq)
		return
	}
	if g.answer != nil && m.Others.Source != g.answer.Source && m.Others.Heard < g.answer.Heard && now.Sub(g.answeredAt) < fillFor {
		// A collector that has just begun is still being told of the others. Where the same
		// one hears fewer, some have gone: in a large fleet that is so every few rounds.
		return
	}
	g.takeLimits(m)
	g.answer, g.answeredAt = m.Others, now
	g.noteKnown(m.Others, now)
	g.answerOff = time.UnixMilli(m.Others.TrueWallMillis).Sub(wall)
}

// knownCount is how many other gateways may admit requests, by a collector's word.
type knownCount struct {
	known int
	at    time.Time
}

// noteKnown notes how many gateways a sum's source knows; g.mu is held.
func (g *Gossip) noteKnown(s *Sum, now time.Time) {
	g.knownBy[s.Source] = knownCount{known: s.Known, at: now}
	for source, k := range g.knownBy {
		if now.Sub(k.at) > KnownFor {
			delete(g.knownBy, source)
		}
	}
}

// known is how many other gateways may admit requests: the most that any collector knew
// lately. What goes wrong with the newest collector's word alone: it begins when the one
// before it was killed, knows only those that report to it, and the survivors take each
// other for all, though the killed ones have admitted until just now and are back soon.
func (g *Gossip) known(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for _, k := range g.knownBy {
		if now.Sub(k.at) <= KnownFor {
			most = max(most, k.known)
		}
	}
	return most
}

// settled reports whether collecting works for this gateway: it hears of the others by a
// collector, or collects itself. Until then it meets others directly too, which tell it
// who there is.
func (g *Gossip) settled(now time.Time) bool {
	g.mu.Lock()
	answered := g.answer != nil && g.answer.Heard > 0 && now.Sub(g.answeredAt) <= collectedFor
	g.mu.Unlock()
	return answered || g.first(now) && (g.collector.Acting(now) || len(g.collector.heardDomains(now)) > 0)
}

// gatherCounts reports whether the counts of all domains that are heard came within a
// time, and asks the collectors of those whose did not.
func (g *Gossip) gatherCounts(ctx context.Context, within time.Duration, now time.Time) bool {
	silent := g.View(now).Silent
	g.cfg.Knowledge.Count(g.collector.Counts())
	all := true
	for _, domain := range g.cfg.Table.Domains() {
		order := g.cfg.Table.Collectors(domain, now)
		if silent[domain] || len(order) == 0 || domain == g.cfg.Self.Domain && g.first(now) {
			continue
		}
		g.mu.Lock()
		recent := now.Sub(g.countedAt[domain]) <= within
		g.mu.Unlock()
		if recent {
			continue
		}
		all = false
		key := "counts of " + string(domain)
		if !g.begin(key) {
			continue
		}
		go func() {
			defer g.free(key)
			request := g.encode(&message{From: g.cfg.Knowledge.Brief(now), WantsCounts: true})
			if g.tellOne(ctx, order, request) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.countedAt[domain] = now
			}
		}()
	}
	return all
}
