package lease_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/lease"
)

// Guards against a lease that nobody holds any more although its last holder is alive.
// It comes about when the log is down for longer than Horizon and the only candidate
// goes on renewing a record that no longer counts.
func TestOnlyCandidateHoldsAgainAfterALongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(lease.DefaultMargin)
		defer m.shutDown()
		m.waitUntilFirstHolds(t)
		for _, p := range m.processes[1:] {
			p.manager.SetWanted(nil)
		}
		m.log.setDown(true)
		m.advance(t, 2*lease.Horizon)
		if holders := m.holders(leaseNames[0]); len(holders) != 0 {
			t.Errorf("without the log processes %v hold the lease", holders)
		}
		m.log.setDown(false)
		m.advance(t, 3*lease.DefaultPoll)
		if !m.allHeld() {
			t.Error("the only candidate does not hold its leases again")
		}
	})
}

// Guards against a number of appends that grows with the number of instances or
// services, because processes that are no candidates read and append, or because a
// holder renews each lease by a separate append.
func TestAppendsDependOnHoldersOnly(t *testing.T) {
	const minutes = 10
	synctest.Test(t, func(t *testing.T) {
		m := newMachine(lease.DefaultMargin)
		defer m.shutDown()
		m.waitUntilFirstHolds(t)
		before := m.log.appendCount()
		m.advance(t, minutes*time.Minute)
		got := m.log.appendCount() - before
		want := int(minutes * time.Minute / lease.DefaultRenewEvery)
		if got > want+1 {
			t.Errorf("%d appends in %d minutes by one holder of %d leases, want %d", got, minutes, len(leaseNames), want)
		}
	})
}
