package engine

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// reportLog keeps the load of the last moments, so that a report can tell
// figures of some time ago.
type reportLog struct {
	lag     time.Duration
	entries []reportEntry
}

type reportEntry struct {
	from   time.Time
	report upstream.Report
}

func (l *reportLog) add(now time.Time, r upstream.Report) {
	old := now.Add(-l.lag)
	first := 0
	for first+1 < len(l.entries) && !l.entries[first+1].from.After(old) {
		first++
	}
	if first > len(l.entries)/2 {
		l.entries = append(l.entries[:0], l.entries[first:]...)
	}
	l.entries = append(l.entries, reportEntry{from: now, report: r})
}

// at returns the figures that were true lag before now.
func (l *reportLog) at(now time.Time) upstream.Report {
	old := now.Add(-l.lag)
	for i := len(l.entries) - 1; i >= 0; i-- {
		if !l.entries[i].from.After(old) {
			return l.entries[i].report
		}
	}
	return upstream.Report{}
}

// record notes the load for later reports.
func (m *Model) record(now time.Time) {
	m.reports.add(now, upstream.Report{
		Leaving:             m.leaving,
		Running:             len(m.running),
		Queued:              len(m.waiting),
		QueuedPrefillTokens: m.missing(),
		BatchTokens:         m.batchTokens(),
		Step:                m.lastStep,
	})
}

// missing counts the context tokens still to compute, waiting work included.
func (m *Model) missing() int {
	n := m.waitingTokens
	for _, s := range m.running {
		n += s.Context - s.computed
	}
	return n
}

func (m *Model) batchTokens() int {
	n := 0
	for _, s := range m.running {
		n += s.computed + s.generated
	}
	return n
}
