package lease

import (
	"context"
	"errors"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// dueRecords returns the records to append now. If one renewal is due, all held
// leases are renewed with it, so that one append renews them all.
func (m *Manager) dueRecords() []Record {
	now := time.Now()
	records := m.takeReleases(func(v leaseView) bool { return m.timing.mayRelease(now, v) })
	m.mu.Lock()
	defer m.mu.Unlock()
	var renewals []Record
	renew := false
	for _, want := range *m.wanted.Load() {
		record, isDue := m.timing.nextRecord(now, m.state, m.cfg.Holder, want, m.viewOf(want.Name, now))
		switch {
		case record.Kind == Renewal:
			renewals = append(renewals, record)
			renew = renew || isDue
		case isDue:
			records = append(records, record)
		}
	}
	if renew {
		records = append(records, renewals...)
	}
	return records
}

// viewOf returns the view of a lease. For a lease without records, waiting times
// count from the first call. The lock is held.
func (m *Manager) viewOf(name Name, now time.Time) leaseView {
	v, known := m.views[name]
	if !known {
		v = leaseView{readAt: now}
		m.views[name] = v
	}
	return v
}

// takeReleases returns a release for each revoked lease that ready selects. From
// then on this process does not hold the lease, whether or not the release is
// appended: a release that takes effect late must not find its writer acting
// under the lease again.
func (m *Manager) takeReleases(ready func(leaseView) bool) []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	var records []Record
	for name, v := range m.views {
		entry, known := m.state.Find(name)
		if v.revokedAt.IsZero() || !ready(v) {
			continue
		}
		v.appendStarted, v.revokedAt = time.Time{}, time.Time{}
		m.views[name] = v
		if !known || entry.Record.Holder != m.cfg.Holder {
			continue
		}
		records = append(records, Record{
			Kind:       Release,
			Name:       name,
			Holder:     m.cfg.Holder,
			Length:     entry.Record.Length,
			Supersedes: LinkTo(entry.Offset),
			Fence:      entry.Fence,
		})
	}
	return records
}

// append appends records to the log and reports whether they may be there now.
func (m *Manager) append(ctx context.Context, records []Record) bool {
	if len(records) == 0 {
		return false
	}
	encoded := make([][]byte, len(records))
	for i := range records {
		records[i].ID = newRecordID()
		data, err := records[i].Encode()
		if err != nil {
			m.cfg.Log.Error("cannot encode lease record", "error", err)
			return false
		}
		encoded[i] = data
	}
	m.recordAppendStart(records)
	ctx, cancel := context.WithTimeout(ctx, m.cfg.CallTimeout)
	defer cancel()
	m.metrics.appends.Add(1)
	_, err := m.log.Append(ctx, Stream, encoded)
	if errors.Is(err, platform.ErrUnavailable) {
		m.dropPending(records)
		return false
	}
	if err != nil {
		// The records may be in the log now, or get there later. They are
		// recognized by their IDs. Appending new ones is harmless: of two records
		// that supersede the same one, only one is accepted.
		m.metrics.answersLost.Add(1)
	}
	return true
}

// recordAppendStart records when the append of records started. The holder's
// deadline counts from this time. A time taken after the append could be later
// than a candidate's read of the record, and then both processes could act under
// the lease at once.
func (m *Manager) recordAppendStart(records []Record) {
	started := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range records {
		m.pending[record.ID] = started
	}
}

// dropPending drops records that are not in the log and never will be.
func (m *Manager) dropPending(records []Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, record := range records {
		delete(m.pending, record.ID)
	}
}
