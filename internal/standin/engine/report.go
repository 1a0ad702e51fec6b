package engine

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// reportLog keeps the recent load, so that a report can show the load of some time
// ago.
type reportLog struct {
	lag     time.Duration
	entries []reportEntry
}

// reportEntry is the load from a time until that of the next entry.

type reportEntry struct {
	since  time.Time
	report upstream.Report
}

func (l *reportLog) add(now time.Time, r upstream.Report) {
	oldest := now.Add(-l.lag)
	first := 0
	for first+1 < len(l.entries) && !l.entries[first+1].since.After(oldest) {
		first++
	}
	if first > len(l.entries)/2 {
		l.entries = append(l.entries[:0], l.entries[first:]...)
	}
	l.entries = append(l.entries, reportEntry{since: now, report: r})
}

// laggedReport returns the load as it was lag before now, or no load if nothing was
// recorded by then.
func (l *reportLog) laggedReport(now time.Time) upstream.Report {
	at := now.Add(-l.lag)
	for i := len(l.entries) - 1; i >= 0; i-- {
		if !l.entries[i].since.After(at) {
			return l.entries[i].report
		}
	}
	return upstream.Report{}
}

// recordLoad records the load for later reports.
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

// uncomputedTokens returns the number of context tokens still to be computed for
// running and waiting streams.
func (m *Model) uncomputedTokens() int {
	n := m.waitingTokens
	for _, s := range m.running {
		n += s.ContextTokens - s.computed
	}
	return n
}

// batchTokens returns the number of tokens that the running streams have in memory.
func (m *Model) batchTokens() int {
	n := 0
	for _, s := range m.running {
		n += s.computed + s.generated
	}
	return n
}
