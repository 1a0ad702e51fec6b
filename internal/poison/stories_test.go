package poison

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

var (
	seeds = flag.Int("poison.seeds", 2, "plays of each story")
	large = flag.Bool("poison.large", false, "also fleets of over a hundred gateways")
	table = flag.String("poison.table", "", "file for the table of all stories")
)

// small is what most customers have.
func small(name string, killers ...killer) story {
	return story{
		name: name, gateways: 8, domains: 4, upstreams: 9, slots: 64, knownWithin: 3 * time.Second, rate: 60, meanDuration: 1500 * time.Millisecond, killers: killers,
	}
}

func (s story) with(change func(*story)) story {
	change(&s)
	return s
}

var (
	often  = killer{meanInterval: 300 * time.Millisecond, crashDelay: 80 * time.Millisecond, maxSends: 1}
	seldom = killer{meanInterval: 1500 * time.Millisecond, crashDelay: 80 * time.Millisecond, maxSends: 1}
)

func stories() []story {
	laterOften, laterSeldom := often, seldom
	laterOften.from, laterSeldom.from = 3*time.Second, 4*time.Second
	second := seldom
	second.from, second.group = time.Second, 3
	third := often
	third.from, third.group = 3*time.Second, 5
	return []story{
		small("none, upstreams end by themselves").with(func(s *story) { s.crashRate = 0.5 }),
		small("none, upstreams go down and up").with(func(s *story) { s.flappingUpstreams = 3 }),
		small("none, a domain cut off by resets").with(func(s *story) { s.domainCutOff = true }),
		small("none, hot content, ends by themselves").with(func(s *story) { s.hotShare, s.crashRate = 0.3, 0.5 }),
		small("often", often),
		small("seldom", seldom),
		small("at the start of the run", killer{meanInterval: 500 * time.Millisecond, maxSends: 1}),
		small("late in a stream", killer{meanInterval: time.Second, crashDelay: 3 * time.Second, maxSends: 1}),
		small("resumed by the gateway", killer{meanInterval: time.Second, crashDelay: 200 * time.Millisecond, maxSends: 3}),
		small("resumed, late", killer{meanInterval: time.Second, crashDelay: 1500 * time.Millisecond, maxSends: 3}),
		small("ten at once", killer{meanInterval: 3 * time.Second, burst: 10, crashDelay: 80 * time.Millisecond, maxSends: 1}),
		small("three contents", often, second, third),
		small("hot content beside it", often).with(func(s *story) { s.hotShare = 0.3 }),
		small("upstreams end by themselves", seldom).with(func(s *story) { s.crashRate = 0.5 }),
		small("upstreams go down and up", seldom).with(func(s *story) { s.flappingUpstreams = 3 }),
		small("a domain reclaimed", often).with(func(s *story) { s.domainReclaimed = true }),
		small("a domain lost at once", often).with(func(s *story) { s.domainLost = true }),
		small("a domain cut off by resets", seldom).with(func(s *story) { s.domainCutOff = true }),
		small("upstreams come back under their name", seldom).with(func(s *story) { s.keepsIDs = true }),
		small("gateways started anew", seldom).with(func(s *story) { s.rollingRestart = true }),
		small("burst", often).with(func(s *story) { s.burst = true }),
		small("the only upstream", seldom).with(func(s *story) { s.upstreams, s.rate = 1, 20 }),
		small("callers come back five times", often, second, third).with(func(s *story) { s.maxRetries, s.crashRate = 5, 0.5 }),
		small("callers come back, none", often).with(func(s *story) { s.maxRetries, s.flappingUpstreams, s.killers = 5, 4, nil }),
		small("half of all is one hot content", laterOften, laterSeldom).with(func(s *story) { s.maxRetries, s.hotShare, s.flappingUpstreams = 5, 0.5, 2 }),
		small("half of all is one hot content, from the start", often, seldom).with(func(s *story) { s.maxRetries, s.hotShare, s.flappingUpstreams = 5, 0.5, 2 }),
		small("all gateways killed twice", seldom).with(func(s *story) { s.massRestarts = []time.Duration{8 * time.Second, 16 * time.Second} }),
		small("all gateways killed, rare", killer{meanInterval: 3 * time.Second, crashDelay: 80 * time.Millisecond, maxSends: 1}).with(func(s *story) {
			s.massRestarts = []time.Duration{11 * time.Second}
		}),
		small("82 gateways", often, second).with(func(s *story) {
			s.gateways, s.upstreams, s.rate, s.knownWithin = 82, 60, 500, 4*time.Second
		}),
		small("195 gateways, 12 slots", often, second).with(func(s *story) {
			s.gateways, s.domains, s.upstreams, s.slots, s.rate, s.knownWithin = 195, 6, 117, 12, 800, 5*time.Second
		}),
		small("330 gateways", often, second).with(func(s *story) {
			s.gateways, s.domains, s.upstreams, s.slots, s.rate, s.knownWithin = 330, 10, 690, 12, 1500, 5*time.Second
		}),
	}
}

// storyTotals are those of a story's plays.
type storyTotals struct {
	plays, beyond, worst, ends, ordinary, refused, lost, told int
	known                                                     []time.Duration
	unknown                                                   int
}

func (s *storyTotals) add(r result, killers int) {
	s.plays++
	s.worst = max(s.worst, r.mostLateSends)
	if r.mostLateSends > 3 {
		s.beyond++
	}
	s.ends += r.crashes
	s.ordinary += r.ordinary
	s.refused += r.refused
	s.lost += r.lost
	s.told = max(s.told, r.mostReported)
	switch {
	case r.knownToAll:
		s.known = append(s.known, r.knownAfter)
	case killers > 0:
		s.unknown++
	}
}

func (s *storyTotals) line(name string) string {
	known := "-"
	if len(s.known) > 0 {
		slices.Sort(s.known)
		known = fmt.Sprintf("%.2f %.2f", s.known[len(s.known)/2].Seconds(), s.known[len(s.known)-1].Seconds())
	}
	return fmt.Sprintf("%-40s %6d %6d %6d %8.1f %9d %8d %8.2f %6d  %s", name, s.plays, s.beyond, s.worst, float64(s.ends)/float64(s.plays),
		s.ordinary, s.refused, 100*float64(s.lost)/float64(max(1, s.ordinary)), s.told, known)
}

const heading = "story                                     plays beyond  worst ends/play  ordinary  refused  lost/100   told  known: median, longest s"

// Guards against a request that ends upstreams being sent on, and against ordinary ones
// being taken for it.
func TestStories(t *testing.T) {
	var lines []string
	for _, s := range stories() {
		n := *seeds
		if s.gateways >= minGatewaysForCollectors {
			n = max(1, n/10)
		}
		if s.gateways > 100 && !*large {
			continue
		}
		variants := []bool{false}
		if *table != "" {
			variants = []bool{true, false}
		}
		for _, none := range variants {
			s := s
			s.withoutTracker = none
			plays := n
			if none {
				plays = min(n, 20)
			}
			t.Run(fmt.Sprintf("%s/%v", s.name, none), func(t *testing.T) {
				var all storyTotals
				for i, r := range testkit.Plays(plays, func(seed uint64) result { return playStory(s, seed) }) {
					all.add(r, len(s.killers))
					if r.mostLateSends > 3 && !none {
						t.Errorf("seed %d: sent %d times more, at most 3", i+1, r.mostLateSends)
					}
				}
				if !none && all.refused*1000 > all.ordinary {
					t.Errorf("%d of %d ordinary requests refused, under 1 in 1,000 is asked", all.refused, all.ordinary)
				}
				name := s.name
				if none {
					name = "  without: " + name
				}
				lines = append(lines, all.line(name))
			})
		}
	}
	text := heading + "\n" + strings.Join(lines, "\n") + "\n"
	t.Log("\n" + text)
	if *table != "" {
		if err := os.WriteFile(*table, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
