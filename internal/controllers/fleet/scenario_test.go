package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"
)

// The name of each case is the fault that it guards against; the comment in the
// case says how the fault comes about.
func TestFleetScenarios(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, m *machine)
	}{
		{
			// A holder ends after it has announced upstreams as leaving and
			// before they are stopped. The next holder knows only the
			// platform's list, which shows them as live.
			name: "upstreams that get no work count as serving for ever",
			run: func(t *testing.T, m *machine) {
				m.loadSpike(t)
				m.awaitDrain(t)
				m.stop(0)
				m.stop(1)
				m.start(0)
				m.start(1)
				m.loadSpike(t)
			},
		},
		{
			// The gateways are unreachable while there are too many upstreams.
			name: "an upstream is stopped that gateways still use",
			run: func(t *testing.T, m *machine) {
				m.loadSpike(t)
				m.setGatewaysCut(true)
				m.advance(t, 15*time.Minute)
				if got := m.size(); got != maxUpstreams {
					t.Errorf("%d upstreams, want all %d while no gateway is reachable", got, maxUpstreams)
				}
			},
		},
		{
			// A start succeeds, but its instance is never listed.
			name: "the fleet waits for ever for an instance that died at its start",
			run: func(t *testing.T, m *machine) {
				m.mu.Lock()
				m.unlistedStarts = 3
				m.mu.Unlock()
				m.advance(t, time.Minute)
			},
		},
		{
			// The load pauses for less time than a peak of demand counts.
			name: "a short lull in a rush stops upstreams",
			run: func(t *testing.T, m *machine) {
				m.loadSpike(t)
				m.busy = false
				m.advance(t, time.Minute)
				if got := m.size(); got != maxUpstreams {
					t.Errorf("%d upstreams after a pause of the load, want %d", got, maxUpstreams)
				}
			},
		},
		{
			// A new holder takes over in a pause of a load spike, which it
			// has not seen.
			name: "a takeover in a lull stops upstreams",
			run: func(t *testing.T, m *machine) {
				m.loadSpike(t)
				m.advance(t, 2*requestTime)
				for i := range m.processes {
					m.stop(i)
					m.start(i)
				}
				m.advance(t, time.Minute)
				if got := m.size(); got != maxUpstreams {
					t.Errorf("%d upstreams after a takeover, want %d", got, maxUpstreams)
				}
			},
		},
		{
			// Every start is refused for a quarter of an hour.
			name: "refused starts are asked for without pause",
			run: func(t *testing.T, m *machine) {
				for _, domain := range domains {
					m.cloud.SetCapacity(domain, "cpu", false)
				}
				m.advance(t, 15*time.Minute)
				// 6 offerings, with back-offs of 5, 10, 20, 40, 80 and then
				// always 120 s.
				const limit = 6 * 14
				if m.startsRequested == 0 || m.startsRequested > limit {
					t.Errorf("%d starts requested in a quarter of an hour, at most %d expected", m.startsRequested, limit)
				}
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMachine()
				defer m.stopAll()
				c.run(t, m)
				m.heal(t)
			})
		})
	}
}

// loadSpike lets load bring the fleet to its maximum and then ends the load.
func (m *machine) loadSpike(t *testing.T) {
	m.busy = true
	m.advance(t, 3*time.Minute)
	if got := m.size(); got != maxUpstreams {
		t.Fatalf("%d upstreams in a load spike, want %d", got, maxUpstreams)
	}
	m.busy = false
}

// awaitDrain waits until the first upstream is announced as leaving.
func (m *machine) awaitDrain(t *testing.T) {
	for limit := time.Now().Add(healTime); m.size() == maxUpstreams; {
		if time.Now().After(limit) {
			t.Fatal("nothing is drained")
		}
		m.advance(t, time.Second)
	}
}
