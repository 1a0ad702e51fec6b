package calls

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/fault"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
)

// shareCase is a fault that occurs when a third of the calls have been sent.
type shareCase struct {
	name  string
	fault func(m *machine, g []*gateway)
}

func shareCases() []shareCase {
	kill := func(g *gateway) { g.kill() }
	return []shareCase{
		{"none", func(*machine, []*gateway) {}},
		{"answers of appends lost", func(m *machine, _ []*gateway) {
			m.cluster.log.SetLateness(500 * time.Millisecond)
			for range 20 {
				m.cluster.log.LoseNext(fault.AfterEffect, fault.None, fault.Late, fault.BeforeEffect)
			}
		}},
		{"log down for 20 s", func(m *machine, _ []*gateway) {
			m.cluster.log.SetOutage(true)
			time.AfterFunc(20*time.Second, func() { m.cluster.log.SetOutage(false) })
		}},
		{"gateway killed", func(_ *machine, g []*gateway) { kill(g[0]) }},
		{"gateway frozen for 20 s", func(_ *machine, g []*gateway) {
			g[0].freeze()
			time.AfterFunc(20*time.Second, g[0].unfreeze)
		}},
		{"gateway reclaimed", func(m *machine, g []*gateway) { m.reclaim(g[0], 10*time.Second) }},
		{"gateway reclaimed, answer of hand-over lost", func(m *machine, g []*gateway) {
			m.cluster.locked(func() { m.cluster.loseHandOverAnswers = true })
			m.reclaim(g[0], 10*time.Second)
		}},
		{"gateway reclaimed, peer killed at once", func(m *machine, g []*gateway) {
			m.reclaim(g[0], 10*time.Second)
			kill(g[2])
			m.cluster.newGateway("hall-b")
		}},
		{"failure domain reclaimed, its upstream too", func(m *machine, g []*gateway) {
			m.reclaim(g[0], 10*time.Second)
			m.reclaim(g[1], 10*time.Second)
			m.cluster.upstreams[0].current().SetLeaving(true)
		}},
		{"failure domain lost without notice", func(m *machine, g []*gateway) {
			kill(g[0])
			kill(g[1])
			m.cluster.locked(func() { m.cluster.upstreams[0].start() })
		}},
		{"domains cut from each other for 20 s", func(m *machine, _ []*gateway) {
			m.cluster.locked(func() { m.cluster.split = true })
			time.AfterFunc(20*time.Second, func() { m.cluster.locked(func() { m.cluster.split = false }) })
		}},
		{"failure domain cut from the platform for 20 s", func(_ *machine, g []*gateway) {
			for _, cutGateway := range g[:2] {
				cutGateway.cutOff.Store(true)
				time.AfterFunc(20*time.Second, func() { cutGateway.cutOff.Store(false) })
			}
		}},
		{"every third answer of an upstream lost", func(m *machine, _ []*gateway) {
			for _, s := range m.cluster.upstreams {
				for range 20 {
					s.current().FailNext(plain.LostAfterEffect, plain.NoFailure, plain.NoFailure)
				}
			}
		}},
	}
}

// shares counts the outcomes that callers were told, by kind.
type shares map[outcome.Kind]int

func (s shares) String() string {
	total := 0
	for _, n := range s {
		total += n
	}
	share := func(n int) string { return fmt.Sprintf("%3d %%", n*100/total) }
	done := s[outcome.Completed] + s[outcome.Failed]
	return fmt.Sprintf("%s | %s | %s | %s", share(done), share(s[outcome.NotRun]), share(s[outcome.Unknown]), share(s[outcome.InProgress]))
}

// TestOutcomeShares measures, for each fault, what callers are told at first and what
// they are told in the end, after retries at other gateways for up to a minute. Run
// it with -v for the table of docs/design/calls.md.
func TestOutcomeShares(t *testing.T) {
	kinds := []struct {
		name  string
		trust document.UpstreamSpec
	}{{"nothing", trustNothing}, {"find", trustFind}, {"find and fence", trustFindAndFence}}
	var table strings.Builder
	for _, c := range shareCases() {
		for _, k := range kinds {
			runCase(t, k.trust, func(t *testing.T, m *machine, g []*gateway) {
				first, last := m.measure(c, g)
				fmt.Fprintf(&table, "| %s | %s | %s | %s |\n", c.name, k.name, first, last)
				if c.name == "none" && last[outcome.Completed] != measuredCalls {
					t.Errorf("without a fault %d of %d calls completed", last[outcome.Completed], measuredCalls)
				}
			})
		}
	}
	t.Logf("\n%s", table.String())
}

const measuredCalls = 90

// measure sends calls and returns what callers were told first and last.
func (m *machine) measure(c shareCase, g []*gateway) (first, last shares) {
	m.cluster.log.SetDelay(100 * time.Millisecond)
	for _, s := range m.cluster.upstreams {
		s.current().SetDelays(plain.Delays{BeforeEffect: 100 * time.Millisecond, AfterEffect: 100 * time.Millisecond})
	}
	for i := range measuredCalls {
		if i == measuredCalls/3 {
			c.fault(m, g)
		}
		live := m.cluster.live()
		m.send(live[i%len(live)], m.newRequest(false), 5*time.Second)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(6 * time.Second)
	first = m.countLastOutcomes()
	for retry := range 10 {
		for i, r := range m.requests {
			if !r.lastOutcome().Kind.Final() {
				live := m.cluster.live()
				m.send(live[(i+retry)%len(live)], r, 5*time.Second)
			}
		}
		time.Sleep(6 * time.Second)
	}
	return first, m.countLastOutcomes()
}

// countLastOutcomes counts the last outcome of each request, and unknown for a request
// that got no answer.
func (m *machine) countLastOutcomes() shares {
	s := shares{}
	for _, r := range m.requests {
		kind := r.lastOutcome().Kind
		if kind == 0 {
			kind = outcome.Unknown
		}
		s[kind]++
	}
	return s
}
