package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Within these times after the first sign of a departure at any process, all
// processes have to know of it: an upstream that leaves must receive no new work
// after a few seconds.
const (
	maxDelayWithinDomain   = 2 * time.Second
	maxDelayBetweenDomains = 4 * time.Second
	// maxDelayAfterPartition applies after a partition ends: pushes that failed
	// before are left to the next heartbeats.
	maxDelayAfterPartition = 6 * time.Second
)

// incarnationID identifies one incarnation of an upstream.
type incarnationID struct {
	id          ident.Instance
	incarnation ident.Incarnation
}

// firstSign is the first sign of a departure: when it came, and the failure
// domain of the process that got it.
type firstSign struct {
	at     time.Time
	domain ident.FailureDomain
}

// departureMachine drives a fleet and checks how departures spread in it.
type departureMachine struct {
	fleet *fleet
	start time.Time
	signs map[incarnationID]firstSign
	// knewLeaving holds the incarnations that each process has shown as
	// leaving.
	knewLeaving map[*node]map[incarnationID]bool
	// healed is when the last partition ended.
	healed time.Time
	// partitioned is whether a failure domain is cut off now.
	partitioned bool
	// stale is the list of the beginning, in which everything is live.
	stale []platform.Instance
}

// sparseHeartbeats makes heartbeats reach as small a share of the fleet as if
// it had hundreds of processes.
func sparseHeartbeats(c *Config) {
	c.LocalMeshLimit = 1
	c.RemoteTargetLimit = 1
	c.IntroductionFanout = 0
}

// pushOnly turns off the heartbeats.
func pushOnly(c *Config) { c.Interval = time.Hour }

func newDepartureMachine(lossSeed uint64, tune func(*Config)) *departureMachine {
	m := &departureMachine{
		fleet:       newFleet(9, 3, 3, tune),
		start:       time.Now(),
		signs:       map[incarnationID]firstSign{},
		knewLeaving: map[*node]map[incarnationID]bool{},
	}
	m.fleet.lossSeed = lossSeed
	m.stale = m.fleet.list()
	for _, n := range m.fleet.nodes {
		m.knewLeaving[n] = map[incarnationID]bool{}
	}
	return m
}

func (m *departureMachine) actions() map[string]func(*rapid.T) {
	drawNode := func(t *rapid.T) *node { return rapid.SampledFrom(m.fleet.nodes).Draw(t, "node") }
	drawUpstream := func(t *rapid.T) int {
		return rapid.IntRange(0, len(m.fleet.upstreams)-1).Draw(t, "upstream")
	}
	return map[string]func(*rapid.T){
		"wait": func(t *rapid.T) {
			m.wait(t, time.Duration(rapid.IntRange(1, 25).Draw(t, "tenths"))*100*time.Millisecond)
		},
		"first sign": func(t *rapid.T) {
			n, u := drawNode(t), m.fleet.upstreams[drawUpstream(t)]
			m.recordSign(n, u)
			n.NoteLeaving(u.ID, u.Incarnation)
		},
		"report": func(t *rapid.T) {
			n, u := drawNode(t), m.fleet.upstreams[drawUpstream(t)]
			n.Observe(Observation{Instance: u.ID, Incarnation: u.Incarnation})
		},
		// A stale list still shows every first incarnation as live.
		"stale list": func(t *rapid.T) { drawNode(t).ApplyList(m.stale) },
		"list":       func(t *rapid.T) { drawNode(t).ApplyList(m.fleet.list()) },
		// The same ID and address are used by a new incarnation.
		"reuse": func(t *rapid.T) {
			i := drawUpstream(t)
			if _, left := m.signs[incarnationOf(m.fleet.upstreams[i])]; left {
				m.fleet.upstreams[i].Incarnation += 1000
				drawNode(t).ApplyList(m.fleet.list())
			}
		},
		"cut": func(t *rapid.T) {
			domain := rapid.SampledFrom([]ident.FailureDomain{"hall-a", "hall-b"}).Draw(t, "domain")
			m.fleet.setCut(domain, true)
			m.partitioned = true
		},
		"heal": func(t *rapid.T) { m.heal() },
		"":     m.check,
	}
}

func (f *fleet) setCut(domain ident.FailureDomain, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[domain] = cut
}

func (m *departureMachine) heal() {
	if !m.partitioned {
		return
	}
	m.fleet.setCut("hall-a", false)
	m.fleet.setCut("hall-b", false)
	m.partitioned = false
	m.healed = time.Now()
}

func incarnationOf(u platform.Instance) incarnationID { return incarnationID{u.ID, u.Incarnation} }

// recordSign records a sign unless there was an earlier one of the same
// departure.
func (m *departureMachine) recordSign(n *node, u platform.Instance) {
	if _, ok := m.signs[incarnationOf(u)]; !ok {
		m.signs[incarnationOf(u)] = firstSign{at: time.Now(), domain: n.self.FailureDomain}
	}
}

// wait lets time pass and checks every 100 ms, so that it finds bounds that are
// exceeded only for a while.
func (m *departureMachine) wait(t *rapid.T, d time.Duration) {
	const step = 100 * time.Millisecond
	for ; d > 0; d -= step {
		time.Sleep(step)
		m.check(t)
	}
}

func (m *departureMachine) check(t *rapid.T) {
	synctest.Wait()
	for _, n := range m.fleet.nodes {
		for l, s := range m.signs {
			m.checkIncarnation(t, n, l, s)
		}
	}
}

func (m *departureMachine) checkIncarnation(t *rapid.T, n *node, l incarnationID, s firstSign) {
	state, incarnation := n.state(l.id)
	works := incarnation <= l.incarnation && state < blackboard.Leaving
	if !works {
		// If it knows only an earlier incarnation, it may still receive
		// this one as alive first.
		m.knewLeaving[n][l] = incarnation >= l.incarnation
		return
	}
	if m.knewLeaving[n][l] {
		t.Fatalf("%s: %s incarnation %d is in state %v again", n.self.ID, l.id, l.incarnation, state)
	}
	if now := time.Now(); now.After(m.due(n, s)) {
		t.Fatalf("%s in %s still sends to %s %v after the first sign in %s",
			n.self.ID, n.self.FailureDomain, l.id, now.Sub(s.at), s.domain)
	}
}

// due returns the time by which a process has to know of a departure.
func (m *departureMachine) due(n *node, s firstSign) time.Time {
	if n.self.FailureDomain == s.domain {
		return s.at.Add(maxDelayWithinDomain)
	}
	if m.partitioned {
		return time.Now()
	}
	due := s.at.Add(maxDelayBetweenDomains)
	if healed := m.healed.Add(maxDelayAfterPartition); !m.healed.IsZero() && healed.After(due) {
		return healed
	}
	return due
}

// bubble hides the type of t: rapid calls Deadline on a *testing.T, which is
// not allowed in a synctest bubble.
type bubble struct{ rapid.TB }

// An upstream must get no work after it has begun to leave, so every process
// has to know of the first sign in time, and nothing older may override it.
// Meanwhile digests and answers are lost, at most two in a row on a link;
// failure domains are cut off and reconnected; stale lists say "live" again;
// and IDs and addresses are reused by new incarnations.
func TestDeparturesSpreadInTimeAndForGood(t *testing.T) {
	checkDepartures(t, nil)
}

// The same in a fleet whose heartbeats reach few peers.
func TestDeparturesSpreadInALargeFleet(t *testing.T) {
	checkDepartures(t, sparseHeartbeats)
}

func checkDepartures(t *testing.T, tune func(*Config)) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubble{t}, func(t *rapid.T) {
			m := newDepartureMachine(rapid.Uint64Range(0, 1<<32).Draw(t, "losses"), tune)
			defer m.fleet.run()()
			t.Repeat(m.actions())
			m.heal()
			m.wait(t, maxDelayAfterPartition+time.Second)
		})
	})
}

// A push must not try dead gateways only: in each of the other domains all
// gateways but one crash before the first sign, and the departure must still
// reach the survivors in time.
func TestDepartureReachesDomainsWithDeadPeers(t *testing.T) {
	for survivor := range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(9, 2, 3, pushOnly)
			defer f.run()()
			time.Sleep(time.Second)
			for i, n := range f.nodes {
				if n.self.FailureDomain != "hall-a" && i/3 != survivor {
					f.kill(n)
				}
			}
			f.expectSpread(t, maxDelayBetweenDomains)
		})
	}
}

// The push from another failure domain reaches two gateways of a domain. They
// must pass the departure on at once, or most gateways of a large domain get it
// late.
func TestDepartureIsPassedOnWithinADomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(60, 2, 2, pushOnly)
		defer f.run()()
		time.Sleep(time.Second)
		f.expectSpread(t, maxDelayBetweenDomains/2)
	})
}

// expectSpread gives one process a first sign and checks that all processes
// that are not dead know of the departure after bound.
func (f *fleet) expectSpread(t *testing.T, bound time.Duration) {
	u := f.upstreams[0]
	f.nodes[0].NoteLeaving(u.ID, u.Incarnation)
	time.Sleep(bound)
	synctest.Wait()
	for _, n := range f.nodes {
		if state, _ := n.state(u.ID); !n.dead && state != blackboard.Leaving {
			t.Errorf("%s holds state %v after %v", n.self.ID, state, bound)
		}
	}
}

// A process must find its own instance among the departures that peers report.
// If a reclaim notice reaches only a peer, the instance would otherwise work on
// until the platform ends it, and lose its calls.
func TestOwnDepartureIsNoticedFromPeers(t *testing.T) {
	for _, at := range []int{1, 4} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(8, 0, 4, nil)
			told := make(chan struct{})
			f.nodes[5].deps.OnOwnDeparture = func() { close(told) }
			defer f.run()()
			f.nodes[at].NoteLeaving(f.nodes[5].self.ID, f.nodes[5].self.Incarnation)
			select {
			case <-told:
			case <-time.After(maxDelayBetweenDomains):
				t.Errorf("own departure not reported after the sign at %s", f.nodes[at].self.ID)
			}
		})
	}
}

// A new process must learn of a departure that is a minute old, although peers
// first send only recent changes and its list does not show the departure yet.
// Comparing the checksums has to reveal the difference, or the process sends
// work to the upstream.
func TestOldDepartureReachesANewProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, 1, 1, nil)
		f.add(2, "hall-a", nil)
		newcomer := f.nodes[2]
		f.nodes = f.nodes[:2]
		stop := f.run()
		u := f.upstreams[0]
		f.nodes[0].NoteLeaving(u.ID, u.Incarnation)
		time.Sleep(time.Minute)
		newcomer.ApplyList(f.list())
		ctx, cancel := context.WithCancel(t.Context())
		newcomer.cancel = cancel
		done := make(chan struct{})
		go func() {
			_ = newcomer.Run(ctx)
			close(done)
		}()
		time.Sleep(maxDelayWithinDomain)
		synctest.Wait()
		if state, _ := newcomer.state(u.ID); state != blackboard.Leaving {
			t.Errorf("state %v", state)
		}
		stop()
		cancel()
		<-done
	})
}

// Checksums leave out gone instances, so equal checksums must not be taken to
// mean that the peer knows of all ends. One process sees the end of an instance
// that the other does not know; the checksums are equal; then the other reads a
// stale list in which the instance is live and must not believe it.
func TestEndsAreSentThoughChecksumsAreEqual(t *testing.T) {
	for tenths := range 10 {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(2, 0, 2, nil)
			defer f.run()()
			time.Sleep(5 * time.Second)
			// The push of the departure fails.
			f.setCut("hall-a", true)
			u := platform.Instance{ID: "u", Incarnation: 1, Role: platform.RoleEngine, FailureDomain: "hall-a", State: platform.Ended}
			f.nodes[0].ApplyList(append(f.list(), u))
			time.Sleep(5*time.Second + time.Duration(tenths)*100*time.Millisecond)
			f.setCut("hall-a", false)
			time.Sleep(maxDelayAfterPartition)
			u.State = platform.Live
			f.nodes[1].ApplyList(append(f.list(), u))
			synctest.Wait()
			if state, _ := f.nodes[1].state("u"); state != blackboard.Gone {
				t.Errorf("state %v", state)
			}
		})
	}
}

// A sign about an unknown instance must not be dropped: another process, whose
// list is late, does not know the instance yet, and when its list then says
// "live", it would send work to an upstream that its peers know to be leaving.
func TestSignOfAnUnknownInstanceCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(8, 0, 4, nil)
		defer f.run()()
		time.Sleep(5 * time.Second)
		u := platform.Instance{ID: "u", Incarnation: 1, Role: platform.RoleEngine, FailureDomain: "hall-a", State: platform.Live}
		f.nodes[0].NoteLeaving(u.ID, u.Incarnation)
		time.Sleep(maxDelayBetweenDomains)
		for _, n := range f.nodes {
			n.ApplyList(append(f.list(), u))
		}
		synctest.Wait()
		for _, n := range f.nodes {
			if state, _ := n.state(u.ID); state != blackboard.Leaving {
				t.Errorf("%s holds state %v", n.self.ID, state)
			}
		}
	})
}
