package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/lease"
)

// Guards against an order of an earlier holder that changes an engine after an order
// of the next holder did. Each case says how that comes about. The machine checks the
// orders.
func TestOrdersNeverLandAfterTheSuccessors(t *testing.T) {
	cases := []struct {
		name string
		run  func(t *testing.T, m *machine)
	}{
		{
			// The holder cannot renew; its last order is sent right before its
			// deadline and takes the whole margin to arrive.
			name: "last order before the deadline flies long",
			run: func(t *testing.T, m *machine) {
				m.processes[0].orderDelay.Store(int64(lease.DefaultMargin))
				m.processes[0].link.setCut(true)
				m.advance(t, 20*time.Second)
			},
		},
		{
			// The lease is revoked while an order is in flight.
			name: "order in flight while the lease is revoked",
			run: func(t *testing.T, m *machine) {
				m.processes[0].orderDelay.Store(int64(lease.DefaultMargin))
				m.advance(t, time.Second)
				m.processes[0].manager.SetWanted(nil)
				m.advance(t, 20*time.Second)
			},
		},
		{
			// The holder takes some seconds to prepare an order; meanwhile the
			// lease is revoked, released and claimed.
			name: "order prepared before the lease is revoked",
			run: func(t *testing.T, m *machine) {
				m.processes[0].preparation.Store(int64(5 * time.Second))
				m.advance(t, time.Second)
				m.processes[0].manager.SetWanted(nil)
				m.advance(t, 20*time.Second)
			},
		},
		{
			// A release takes effect late, after its writer wants the lease again
			// and cannot reach the log. The writer must not hold the lease by the
			// records from before the release.
			name: "late release of a lease that is wanted again",
			run: func(t *testing.T, m *machine) {
				m.processes[0].manager.SetWanted(nil)
				m.processes[0].link.setFault(appendLate, 3*time.Second)
				m.advance(t, lease.DefaultMargin+2*lease.DefaultPoll)
				m.processes[0].link.setCut(true)
				m.processes[0].manager.SetWanted(wantedWithRank(0))
				m.advance(t, 20*time.Second)
			},
		},
		{
			// The answer to a renewal comes shortly before another process can
			// claim the lease.
			name: "answer to a renewal comes late",
			run: func(t *testing.T, m *machine) {
				m.processes[0].link.setFault(answerSlow, 9*time.Second)
				m.advance(t, 30*time.Second)
			},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMachine(lease.DefaultMargin)
				defer m.shutDown()
				m.waitUntilFirstHolds(t)
				c.run(t, m)
				for i, p := range m.processes {
					p.manager.SetWanted(wantedWithRank(i))
				}
				m.endFaults(t)
			})
		})
	}
}

// waitUntilFirstHolds waits until process 0 holds all leases.
func (m *machine) waitUntilFirstHolds(t *testing.T) {
	for _, p := range m.processes[1:] {
		p.manager.SetWanted(nil)
	}
	m.advance(t, 30*time.Second)
	for _, p := range m.processes[1:] {
		p.manager.SetWanted(wantedWithRank(0))
	}
	m.advance(t, 5*time.Second)
	for _, name := range leaseNames {
		if holders := m.holders(name); len(holders) != 1 || holders[0] != 0 {
			t.Fatalf("%v: holders %v, want process 0", name, holders)
		}
	}
}
