package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// reportCrashFor is how long this gateway reports its requests in a crash: four rounds of
	// the exchange, so that losing two of them does no harm.
	reportCrashFor = time.Second
	// maxReportedMarks bounds the marks in one gateway's report, and maxMergedMarks those in a
	// collector's merged report.
	maxReportedMarks, maxMergedMarks = 14, 160
	// maxReportedVerdicts bounds the verdicts in one report; further ones take turns.
	maxReportedVerdicts = 3
)

// Report returns this gateway's current report to the other gateways.
func (t *Tracker) Report() Report {
	if t.empty.Load() {
		return Report{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	report := Report{Verdicts: t.verdictsToReport(now)}
	for _, c := range t.crashes {
		if len(c.ownMarks) > 0 && now.Sub(c.lastOwnAt) < reportCrashFor {
			report.Crashes = append(report.Crashes, t.crashToReport(c, now))
		}
	}
	report.limit(maxReportedMarks, maxReportedVerdicts)
	return report
}

// crashToReport returns this gateway's part of a crash. Marks of contents with the most crashes
// come first, so that limit drops the others.
func (t *Tracker) crashToReport(c *crash, now time.Time) Crash {
	marks := slices.Clone(c.ownMarks)
	slices.SortFunc(marks, func(a, b ident.Mark) int {
		crashesA, _ := t.crashesAgainst(a.Content(), now)
		crashesB, _ := t.crashesAgainst(b.Content(), now)
		return cmp.Or(cmp.Compare(crashesB, crashesA), cmp.Compare(a, b))
	})
	return Crash{Upstream: c.upstream, Age: now.Sub(c.at), Marks: marks}
}

// verdictsToReport returns up to maxReportedVerdicts verdicts: always the newest conviction, or
// the newest clearance if there is none, and the others in turn. A clearance is reported only
// for reportClearedFor.
func (t *Tracker) verdictsToReport(now time.Time) []Verdict {
	var convicted, cleared []Verdict
	for content, v := range t.verdicts {
		if !v.shared || v.cleared && now.Sub(v.at) >= reportClearedFor {
			continue
		}
		next := Verdict{Content: content, Age: now.Sub(v.at), Idle: now.Sub(v.lastSeen), Cleared: v.cleared}
		if v.cleared {
			cleared = append(cleared, next)
		} else {
			convicted = append(convicted, next)
		}
	}
	newestFirst := func(a, b Verdict) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content)) }
	slices.SortFunc(convicted, newestFirst)
	slices.SortFunc(cleared, newestFirst)
	all := slices.Concat(convicted, cleared)
	if len(all) <= maxReportedVerdicts {
		return all
	}
	out := all[:1:1]
	rest := all[1:]
	for range maxReportedVerdicts - 1 {
		out = append(out, rest[t.reportCursor%len(rest)])
		t.reportCursor++
	}
	return out
}

// reportClearedFor is longer than reportCrashFor, because an operator's clearance must reach
// gateways that were disconnected for a while.
const reportClearedFor = 30 * time.Second
