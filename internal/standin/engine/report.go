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
	since  time.Time
	report upstream.Report
}

func (l *reportLog) add(now time.Time, r upstream.Report) {
	old := now.Add(-l.lag)
	first := 0
	for first+1 < len(l.entries) && !l.entries[first+1].since.After(old) {
		first++
	}
	if first > len(l.entries)/2 {
		l.entries = append(l.entries[:0], l.entries[first:]...)
	}
	l.entries = append(l.entries, reportEntry{since: now, report: r})
}

// laggedReport returns the figures that were true lag before now.
func (l *reportLog) laggedReport(now time.Time) upstream.Report {
	old := now.Add(-l.lag)
	for i := len(l.entries) - 1; i >= 0; i-- {
		if !l.entries[i].since.After(old) {
			return l.entries[i].report
		}
	}
	return upstream.Report{}
}

// recordLoad notes the load for later reports.
func (m *Model) recordLoad(now time.Time) {
	m.reports.add(now, upstream.Report{
		Leaving:             m.leaving,
		Running:             len(m.running),
		Queued:              len(m.waiting),
		QueuedPrefillTokens: m.uncomputedTokens(),
		BatchTokens:         m.batchTokens(),
		Step:                m.lastStepTime,
	})
}

// uncomputedTokens counts the context tokens still to compute, waiting work included.
func (m *Model) uncomputedTokens() int {
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
