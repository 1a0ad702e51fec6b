package gossip

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
)

const (
	// collectTimeout ends a report to a collector or an exchange of sums. It is about a round,
	// so that a collector that died, froze or was cut off costs one round before the next one
	// of its domain is tried. A collector on a busy machine answers within it.
	collectTimeout = 250 * time.Millisecond
	// collectorWarmUp is how long an answer with more gateways is preferred to those of a
	// collector that has just started: within two rounds all gateways report to it.
	collectorWarmUp = 2*Interval + collectTimeout/2
	// maxCollectorTries is how many collectors of a domain are tried in a round.
	maxCollectorTries = 2
)

// runCollection does a round's exchanges with collectors: it reports to the first collector of
// this gateway's domain and, if this gateway is a collector, exchanges its domain's sum with
// the collectors of the other domains.
func (g *Gossip) runCollection(ctx context.Context, now time.Time) {
	report := g.cfg.Knowledge.Report(now)
	if g.isFirstCollector(now) || g.collector.ReceivesReports(now) {
		g.collector.AddReport(report, now, time.Now())
	}
	if g.isActiveCollector(now) {
		g.cfg.Table.SetRoster(g.collector.Roster(now), now)
	}
	// The first collector reports to the next one, which learns from it that the first
	// one is there.
	g.sendToCollector(ctx, g.cfg.Self.Domain, now, func() []byte { return g.encodeCollectRequest(report, now) })
	g.exchangeSums(ctx, now)
}

// exchangeSums exchanges this domain's sum with the collectors of the others if this gateway
// is a collector.
func (g *Gossip) exchangeSums(ctx context.Context, now time.Time) {
	if !usesCollectors(g.cfg.Table.CountOthers(now)) || !g.isFirstCollector(now) && !g.collector.ReceivesReports(now) {
		return
	}
	for _, domain := range g.cfg.Table.Domains() {
		if domain != g.cfg.Self.Domain {
			g.sendToCollector(ctx, domain, now, func() []byte { return g.encodeDomainSumRequest(now) })
		}
	}
}

// sendToCollector sends a request to the first collector of a domain, and to the next one if
// the first does not answer. It sends nothing while another request to that domain is in
// flight, and does not wait for the answer.
func (g *Gossip) sendToCollector(ctx context.Context, domain ident.FailureDomain, now time.Time, request func() []byte) {
	order := g.cfg.Table.Collectors(domain, now)
	key := "collector of " + string(domain)
	if len(order) == 0 || !g.tryBeginExchange(key) {
		return
	}
	go func() {
		defer g.endExchange(key)
		g.sendToFirst(ctx, order, request())
	}()
}

// sendToFirst sends a request to the collectors in order, maxCollectorTries at most, until one
// answers. It applies the answer and reports whether there was one.
func (g *Gossip) sendToFirst(ctx context.Context, order []Contact, request []byte) bool {
	for _, c := range order[:min(maxCollectorTries, len(order))] {
		sent := g.cfg.Now()
		answer, err := g.callWithTimeout(ctx, collectTimeout, c.Address, request)
		g.logReachability(c.Address, err)
		if err == nil {
			g.handleAnswer(answer, sent)
			return true
		}
		g.cfg.Table.MarkUnreachable(c.Address, g.cfg.Now())
	}
	return false
}

// announceToCollectors reports to this domain's collector at once. If this gateway is itself a
// collector, it also sends its domain's sum to the collectors of all other domains.
func (g *Gossip) announceToCollectors(ctx context.Context, all *sync.WaitGroup, now time.Time) {
	own := g.cfg.Table.Collectors(g.cfg.Self.Domain, now)
	report := g.cfg.Knowledge.Report(now)
	request := g.encodeCollectRequest(report, now)
	all.Go(func() { g.sendToFirst(ctx, own, request) })
	if !g.isFirstCollector(now) && !g.collector.ReceivesReports(now) {
		return
	}
	g.collector.AddReport(report, now, time.Now())
	sums := g.encodeDomainSumRequest(now)
	for _, domain := range g.cfg.Table.Domains() {
		if order := g.cfg.Table.Collectors(domain, now); domain != g.cfg.Self.Domain {
			all.Go(func() { g.sendToFirst(ctx, order, sums) })
		}
	}
}

// encodeCollectRequest encodes a report as a request to a collector.
func (g *Gossip) encodeCollectRequest(report Report, now time.Time) []byte {
	_, digests := g.cfg.Table.Rosters(now)
	g.mu.Lock()
	if report.LimitSet != 0 && report.LimitSet == g.collectorLimitSet {
		// The collector knows the same limits.
		report.Limits = nil
		report.LimitColumns, report.LimitUses = report.LimitUses.Columns(g.cfg.Knowledge.LimitedSet()), nil
	}
	after := g.speedsAfter
	g.mu.Unlock()
	g.rememberReport(report)
	return g.encode(&message{From: report, Collect: true, SubtractsOwn: true, RosterDigests: digests, SpeedsAfter: after})
}

// maxSentReports is how many of its own reports a gateway remembers to subtract the included
// one from a collector's answer: those of two seconds, twice as long as a report counts.
const maxSentReports = 2 * freshRounds

// rememberReport remembers a report that is sent to a collector.
func (g *Gossip) rememberReport(report Report) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sentReports = appendNewest(g.sentReports, report, maxSentReports)
}

// subtractOwnReport subtracts this gateway's report from a collector's sum. It returns false
// if the sum includes a report that this gateway no longer remembers; g.mu is held.
func (g *Gossip) subtractOwnReport(s *Sum) bool {
	if s.CountedReport == (reportID{}) {
		return true
	}
	for i := range g.sentReports {
		if g.sentReports[i].id() == s.CountedReport {
			s.subtractReport(&g.sentReports[i])
			return true
		}
	}
	return false
}

// encodeDomainSumRequest encodes this domain's sum as a request to another domain's collector.
func (g *Gossip) encodeDomainSumRequest(now time.Time) []byte {
	_, digests := g.cfg.Table.Rosters(now)
	m := &message{From: g.cfg.Knowledge.BriefReport(now), RosterDigests: digests}
	g.addDomainSum(m, now, time.Now())
	return g.encode(m)
}

// addDomainSum adds this domain's sum to a message.
func (g *Gossip) addDomainSum(m *message, now, wall time.Time) {
	sum, encoded, err := g.collector.encodedDomainSum(now, wall)
	if err != nil {
		g.cfg.Log.Error("cannot encode the sum of this failure domain", "error", err)
		return
	}
	m.DomainSum, m.DomainSumEncoded = &sum, encoded
}

// addOthers adds the sum of the other gateways to an answer.
func (g *Gossip) addOthers(request, reply *message, now, wall time.Time) {
	if !request.SubtractsOwn {
		sum := g.collector.Others(request.From.Node, now, wall)
		sum.Speeds = nil // an asker of so old a build does not know them
		reply.Others = &sum
		return
	}
	sum, encoded, err := g.collector.encodedOthers(request.From.Node, now, wall)
	sum.Speeds = g.collector.speedsAfter(request.SpeedsAfter, now)
	if err != nil {
		g.cfg.Log.Error("cannot encode the sum of all gateways", "asker", request.From.Node, "error", err)
		return
	}
	reply.Others, reply.OthersEncoded = &sum, encoded
}

// addCollectorAnswer adds to an answer what a gateway that reports to this collector, or the
// collector of another domain, asks for.
func (g *Gossip) addCollectorAnswer(request, reply *message, now, wall time.Time) {
	if request.WantsCounts {
		reply.Counts = g.collector.Counts()
	}
	switch {
	case request.Collect:
		g.resolveUses(&request.From)
		g.collector.AddReport(request.From, now, wall)
		g.addOthers(request, reply, now, wall)
		g.omitKnownLimits(request, reply)
	case request.DomainSum != nil:
		g.applyDomainSum(request, now, wall)
		g.addDomainSum(reply, now, wall)
	default:
		return
	}
	g.addMissingRosters(request, reply, now)
}

// addMissingRosters adds the rosters that the asker lacks to an answer.
func (g *Gossip) addMissingRosters(request, reply *message, now time.Time) {
	g.cfg.Table.ConfirmRosters(request.RosterDigests, g.rosterFilter(request.From.Domain, now), now)
	rosters, digests := g.cfg.Table.Rosters(now)
	reply.RosterDigests = digests
	for _, r := range rosters {
		if request.RosterDigests[r.Domain] != digests[r.Domain] {
			reply.Rosters = append(reply.Rosters, r)
		}
	}
}

// isActiveCollector reports whether this gateway is its domain's first collector and others
// report to it.
func (g *Gossip) isActiveCollector(now time.Time) bool {
	return g.isFirstCollector(now) && g.collector.ReceivesReports(now)
}

// rosterFilter returns a function that reports whether the roster of a domain is accepted from
// a gateway in the domain from. The active collector of a domain accepts another domain's
// roster only from gateways of that domain, and its own domain's from nobody. All other
// gateways accept all rosters.
func (g *Gossip) rosterFilter(from ident.FailureDomain, now time.Time) func(ident.FailureDomain) bool {
	leads := g.isActiveCollector(now)
	return func(domain ident.FailureDomain) bool {
		return !leads || domain == from && domain != g.cfg.Self.Domain
	}
}

// applyDomainSum applies the sum of another domain, if a gateway of that domain sent it.
func (g *Gossip) applyDomainSum(m *message, now, wall time.Time) {
	if m.DomainSum.Domain == m.From.Domain {
		g.collector.AddDomainSum(*m.DomainSum, now, wall)
	}
}

// applyCollectorAnswer applies the parts of an answer that a collector adds.
func (g *Gossip) applyCollectorAnswer(m *message, now, wall time.Time) {
	trusted := g.rosterFilter(m.From.Domain, now)
	for _, r := range m.Rosters {
		if trusted(r.Domain) {
			g.cfg.Table.SetRoster(r, now)
		} else {
			// A gateway that is not known yet may come before this one as collector.
			g.cfg.Table.AddContacts(r.Gateways, now)
		}
	}
	g.cfg.Table.ConfirmRosters(m.RosterDigests, trusted, now)
	if m.DomainSum != nil {
		g.applyDomainSum(m, now, wall)
	}
	if m.Others == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.subtractOwnReport(m.Others) {
		g.rejectedAnswers.Add(1)
		g.cfg.Log.Warn("ignored a collector's sum: it includes a report of this gateway that is no longer remembered", "node", m.From.Node, "seq", m.Others.CountedReport.Seq)
		return
	}
	if g.collectorSum != nil && m.Others.Source != g.collectorSum.Source && m.Others.Heard < g.collectorSum.Heard && now.Sub(g.collectorSumAt) < collectorWarmUp {
		// A collector that has just started has not received reports from all gateways yet.
		// Fewer gateways in the same source's sum mean that some are gone: in a large fleet
		// that happens every few rounds.
		return
	}
	g.applyLimits(m)
	g.collectorSum, g.collectorSumAt = m.Others, now
	g.speedsAfter = speed.Last(m.Others.Speeds)
	g.recordKnown(m.Others, now)
	g.collectorClockCorrection = time.UnixMilli(m.Others.TrueWallMillis).Sub(wall)
}

// knownCount is how many other gateways may admit requests, according to a collector.
type knownCount struct {
	gateways   int
	receivedAt time.Time
}

// recordKnown records how many gateways the source of a sum knows, and drops records that are
// older than KnownTimeout; g.mu is held.
func (g *Gossip) recordKnown(s *Sum, now time.Time) {
	g.knownBySource[s.Source] = knownCount{gateways: s.Known, receivedAt: now}
	for source, k := range g.knownBySource {
		if now.Sub(k.receivedAt) > KnownTimeout {
			delete(g.knownBySource, source)
		}
	}
}

// knownOthers returns how many other gateways may admit requests: the highest number that any
// collector reported within KnownTimeout. The newest collector's number alone does not suffice:
// a collector that takes over from a killed one knows only the gateways that report to it.
// Survivors would take these for all gateways, though the killed ones admitted requests until
// just now and will soon be back.
func (g *Gossip) knownOthers(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	most := 0
	for _, k := range g.knownBySource {
		if now.Sub(k.receivedAt) <= KnownTimeout {
			most = max(most, k.gateways)
		}
	}
	return most
}

// collectionWorks reports whether this gateway receives sums of the others from a collector, or
// is a collector that others report to. Until then it also exchanges reports with others
// directly, and learns from them which gateways there are.
func (g *Gossip) collectionWorks(now time.Time) bool {
	g.mu.Lock()
	answered := g.collectorSum != nil && g.collectorSum.Heard > 0 && now.Sub(g.collectorSumAt) <= freshFor
	g.mu.Unlock()
	return answered || g.isFirstCollector(now) && (g.collector.ReceivesReports(now) || len(g.collector.currentDomains(now)) > 0)
}

// requestDomainCounts reports whether the counts of all domains that are not silent arrived
// within the given time before now, and requests those that did not from the domains'
// collectors. It does not wait for the answers.
func (g *Gossip) requestDomainCounts(ctx context.Context, within time.Duration, now time.Time) bool {
	silent := g.View(now).SilentDomains
	g.cfg.Knowledge.ApplyCounts(g.collector.Counts())
	all := true
	for _, domain := range g.cfg.Table.Domains() {
		order := g.cfg.Table.Collectors(domain, now)
		if silent[domain] || len(order) == 0 || domain == g.cfg.Self.Domain && g.isFirstCollector(now) {
			continue
		}
		g.mu.Lock()
		recent := now.Sub(g.countsReceivedAt[domain]) <= within
		g.mu.Unlock()
		if recent {
			continue
		}
		all = false
		key := "counts of " + string(domain)
		if !g.tryBeginExchange(key) {
			continue
		}
		go func() {
			defer g.endExchange(key)
			request := g.encode(&message{From: g.cfg.Knowledge.BriefReport(now), WantsCounts: true})
			if g.sendToFirst(ctx, order, request) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.countsReceivedAt[domain] = now
			}
		}()
	}
	return all
}
