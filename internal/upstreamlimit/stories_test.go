package upstreamlimit

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// The flags are for reports. CI uses the defaults.
var (
	seeds = flag.Int("limit.seeds", 3, "plays of each story, a tenth of it for large fleets")
	large = flag.Bool("limit.large", false, "fleets of over 100 gateways too")
	table = flag.String("limit.table", "", "file for the table, which also compares alternative ways to divide a rate")
	only  = flag.String("limit.only", "", "stories whose names hold this")
)

func small(name string, limits map[int]limitSchedule) scenario {
	return scenario{name: name, gateways: 8, domains: 4, upstreams: 13, rate: 80, limits: limits}
}

// each gives the first n upstreams the same schedule.
func each(n int, p limitSchedule) map[int]limitSchedule {
	out := make(map[int]limitSchedule, n)
	for i := range n {
		out[i] = p
	}
	return out
}

// changing announces another rate in each answer.
func changing(at time.Duration) (float64, bool) { return 1 + float64(at.Milliseconds()%7)/2, true }

// flapping announces a limit for a second and none for the next.
func flapping(at time.Duration) (float64, bool) { return 2, int(at.Seconds())%2 == 0 }

// steps announces 10 a second, then 1, then 4.
func steps(at time.Duration) (float64, bool) {
	switch {
	case at < 12*time.Second:
		return 10, true
	case at < 24*time.Second:
		return 1, true
	}
	return 4, true
}

// pulses is true for two seconds of every six.
func pulses(at time.Duration) bool { return at%(6*time.Second) < 2*time.Second }

// late is true once for a short time, so that the limit becomes known, and again after 20 s.
func late(at time.Duration) bool {
	return at > 4*time.Second && at < 4500*time.Millisecond || at > 20*time.Second
}

func scenarios() []scenario {
	const from = 4 * time.Second
	busy := func(s *scenario) { s.gateways, s.domains, s.upstreams, s.rate = 3, 3, 9, 500 }
	at82 := func(s *scenario) { s.gateways, s.upstreams, s.rate = 82, 60, 800 }
	at195 := func(s *scenario) { s.gateways, s.domains, s.upstreams, s.rate = 195, 6, 117, 1500 }
	at330 := func(s *scenario) { s.gateways, s.domains, s.upstreams, s.rate = 330, 10, 690, 4200 }
	return []scenario{
		small("0.2 a second", each(1, always(0.2, from))),
		small("0.5 a second", each(1, always(0.5, from))),
		small("1 a second", each(2, always(1, from))),
		small("2 a second", each(1, always(2, from))),
		small("5 a second", each(1, always(5, from))),
		small("200 a second", each(1, always(200, from))).with(func(s *scenario) { s.rate = 4000 }),
		small("none", nil),
		small("zero", each(1, always(0, from))),
		small("half of all, 1 a second", each(6, always(1, from))),
		small("all, 1 a second", each(13, always(1, from))).with(func(s *scenario) { s.retries = 1 }),
		small("half, then all", func() map[int]limitSchedule {
			limits := each(6, always(1, from))
			for i := 6; i < 13; i++ {
				limits[i] = always(1, 18*time.Second)
			}
			return limits
		}()),
		small("the only upstream, 5 a second", each(1, always(5, from))).with(func(s *scenario) { s.upstreams, s.rate, s.retries = 1, 40, 3 }),
		small("lifted after 20 s", each(2, between(1, from, 24*time.Second))),
		small("10, then 1, then 4 a second", each(1, steps)),
		small("another rate in each answer", each(2, changing)),
		small("on and off each second", each(2, flapping)),
		small("from the first second", each(2, always(1, 0))),
		small("beside a burst of 2.5 times", each(2, always(1, from))).with(func(s *scenario) { s.burst = 2.5 }),
		small("named in a burst", each(2, always(1, 13*time.Second))).with(func(s *scenario) { s.burst = 2.5 }),
		small("a domain cut off for 5 s", each(3, always(1, from))).with(func(s *scenario) { s.cut = true }),
		small("gateways killed one by one", each(2, always(1, from))).with(func(s *scenario) { s.killEach = true }),
		small("all gateways killed twice", each(2, always(1, from))).with(func(s *scenario) {
			s.killed = []time.Duration{14 * time.Second, 27 * time.Second}
		}),
		small("gateways join", each(2, always(1, from))).with(func(s *scenario) { s.joins = 4 }),
		small("callers keep to one gateway", each(2, always(1, from))).with(func(s *scenario) { s.gatewayShare = 0.125 }),
		small("started again without a limit", each(2, always(1, from))).with(func(s *scenario) { s.restarted = true }),
		small("3 busy gateways killed one by one", each(4, always(5, from))).with(busy).with(func(s *scenario) { s.killEach = true }),
		small("3 busy gateways, all killed", each(4, always(1, from))).with(busy).with(func(s *scenario) { s.killed = []time.Duration{14 * time.Second} }),
		small("8 busy gateways, a domain cut off", each(4, always(2, from))).with(func(s *scenario) { s.rate, s.cut = 900, true }),
		small("asked in pulses, 1 a second", each(2, always(1, from))).with(func(s *scenario) { s.preferred = pulses }),
		small("3 busy gateways, asked in pulses", each(4, always(5, from))).with(busy).with(func(s *scenario) { s.preferred = pulses }),
		small("82 gateways, asked in pulses", each(3, always(2, from))).with(at82).with(func(s *scenario) { s.preferred = pulses }),
		small("3 busy gateways, all ask at once", each(4, always(5, from))).with(busy).with(func(s *scenario) { s.preferred = late }),
		small("82 gateways, 0.5 a second", each(3, always(0.5, from))).with(at82),
		small("82 gateways, 5 a second, all killed", each(3, always(5, from))).with(at82).with(func(s *scenario) { s.killed = []time.Duration{15 * time.Second} }),
		small("82 gateways, callers at few", each(3, always(2, from))).with(at82).with(func(s *scenario) { s.gatewayShare = 0.1 }),
		small("82 gateways, 20 a second, a domain cut off", each(3, always(5, from))).with(at82).with(func(s *scenario) { s.cut = true }),
		small("195 gateways, 1 a second", each(10, always(1, from))).with(at195),
		small("195 gateways, callers at few, burst", each(10, always(1, from))).with(at195).with(func(s *scenario) { s.gatewayShare, s.burst = 0.05, 2.5 }),
		small("330 gateways, all ask at once", each(3, always(5, from))).with(at330).with(func(s *scenario) { s.preferred = late }),
		small("330 gateways, 0.5 a second", each(50, always(0.5, from))).with(at330),
		small("330 gateways, 2 a second, all killed", each(50, always(2, from))).with(at330).with(func(s *scenario) { s.killed = []time.Duration{15 * time.Second} }),
	}
}

// Guards against an upstream that gets more than its limit when, after a long time without demand,
// it becomes the best choice for all requests of a service at once, before gateways receive each
// other's reports.
func TestAllGatewaysAskAtOnceAfterAPause(t *testing.T) {
	for _, s := range []scenario{
		small("8 gateways, 900 requests a second", each(4, always(5, 4*time.Second))).with(func(s *scenario) { s.rate, s.preferred = 900, late }),
		small("82 gateways, 800 requests a second", each(3, always(5, 4*time.Second))).with(func(s *scenario) {
			s.gateways, s.upstreams, s.rate, s.preferred = 82, 60, 800, late
		}),
	} {
		runScenario(s, 20, func(seed int, r result) {
			if r.windowsOver > 0 {
				t.Errorf("%s, seed %d: %.2f of what is allowed", s.name, seed, r.worstOfAllowed)
			}
		})
	}
}

// totals sum up the results of a scenario's runs.
type totals struct {
	runs, runsOver, refused, refusedAll, requests, maxLimits, maxUses int
	worst, over                                                       float64
	used                                                              []float64
	knownAfter, liftedAfter                                           time.Duration
}

func (s *totals) add(r result) {
	s.runs++
	if r.windowsOver > 0 {
		s.runsOver++
	}
	s.refused += r.refused
	s.refusedAll += r.refusedAll
	s.requests += r.requests
	s.worst, s.over = max(s.worst, r.worstOfAllowed), max(s.over, r.worstOfLimit)
	s.used = append(s.used, r.usedShares...)
	s.knownAfter, s.liftedAfter = max(s.knownAfter, r.knownAfter), max(s.liftedAfter, r.liftedAfter)
	s.maxLimits, s.maxUses = max(s.maxLimits, r.maxLimitsInMessage), max(s.maxUses, r.maxUsesInMessage)
}

// minUsedShareOfLimit is the fraction of its limit that an upstream should be sent over 10 s.
const minUsedShareOfLimit = 0.8

func (s *totals) line(name string) string {
	mean, low := 0.0, 0
	for _, u := range s.used {
		mean += u / float64(len(s.used))
		if u < minUsedShareOfLimit {
			low++
		}
	}
	least := 0.0
	if len(s.used) > 0 {
		least = slices.Min(s.used)
	}
	return fmt.Sprintf("%-44s %6d %6d %6.2f %6.2f  %5.2f %5.2f %5.2f %5d/%-6d %8d %8d %9d  %5.2f %5.2f %5d %5d", name, s.runs, s.runsOver, s.worst, s.over,
		mean, median(s.used), least, low, len(s.used), s.refused, s.refusedAll, s.requests, s.knownAfter.Seconds(), s.liftedAfter.Seconds(), s.maxLimits, s.maxUses)
}

const tableHeading = "story                                         plays beyond  worst   over   mean   med least  under 0.8    refused      all  requests  known  forg.  said  told"

// Guards against upstreams that get more than the limit they announce, or far less, and against
// requests that are refused because of a limit while upstreams without one have room.
func TestStories(t *testing.T) {
	var lines []string
	for _, s := range scenarios() {
		n := *seeds
		if s.gateways >= minGatewaysForCollectors {
			n = max(1, n/10)
		}
		if s.gateways > 100 && !*large || !strings.Contains(s.name, *only) {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			all := runScenario(s, n, func(seed int, r result) {
				if r.windowsOver > 0 {
					t.Errorf("seed %d: %d windows beyond what is allowed, the worst %.2f of it", seed, r.windowsOver, r.worstOfAllowed)
				}
				if r.refused > 0 {
					t.Errorf("seed %d: %d requests refused while upstreams without a limit had room", seed, r.refused)
				}
			})
			lines = append(lines, all.line(s.name))
		})
		if *table != "" {
			for _, w := range alternatives {
				s := w.change(s)
				lines = append(lines, runScenario(s, min(n, 20), func(int, result) {}).line("  "+w.name))
			}
		}
	}
	text := tableHeading + "\n" + strings.Join(lines, "\n") + "\n"
	t.Log("\n" + text)
	if *table != "" {
		if err := os.WriteFile(*table, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// runScenario runs a scenario with n seeds and calls look with each result.
func runScenario(s scenario, n int, look func(seed int, r result)) *totals {
	all := &totals{}
	for i, r := range testkit.RunSeeds(n, func(seed uint64) result { return runOnce(s, seed) }) {
		all.add(r)
		look(i+1, r)
	}
	return all
}

// alternative is another way to divide a rate between gateways, for comparison in the table.
type alternative struct {
	name   string
	change func(scenario) scenario
}

func alternativeShare(name string, s shareFunc) alternative {
	return alternative{name, func(x scenario) scenario { x.share = s; return x }}
}

var alternatives = []alternative{
	alternativeShare("limits are not kept to", func(*limit, Fleet, time.Time) float64 { return 1 }),
	alternativeShare("each gateway takes the whole", func(l *limit, _ Fleet, now time.Time) float64 {
		return spacedShare(l, l.allowedRate(), now)
	}),
	alternativeShare("equal parts", func(l *limit, fleet Fleet, now time.Time) float64 {
		return spacedShare(l, l.allowedRate()/float64(fleet.Known), now)
	}),
	alternativeShare("whoever comes first, by all uses", func(l *limit, fleet Fleet, _ time.Time) float64 {
		if l.sent+l.othersSent < l.allowedRate()*fleet.heardShare()*sentDecayTime.Seconds() {
			return 1
		}
		return 0
	}),
	alternativeShare("thinned by what is asked alone", func(l *limit, fleet Fleet, now time.Time) float64 {
		return min(l.allowedRate()*fleet.heardShare()/l.totalDemand(fleet, now), 1)
	}),
}

// spacedAt holds, by limit, when spacedShare last let a request pass.
var spacedAt sync.Map

// spacedShare lets a request pass if the last one was at least the rate's interval ago.
func spacedShare(l *limit, rate float64, now time.Time) float64 {
	l.credit = 0
	last, found := spacedAt.Load(l)
	from := l.limitedSince
	if found {
		from = last.(time.Time)
	}
	if now.Sub(from).Seconds()*rate < 1 {
		return 0
	}
	spacedAt.Store(l, now)
	return 1
}
