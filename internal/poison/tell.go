package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// reportCrashFor is for how long this gateway tells what it had at an end: four rounds of the
	// exchange, so that two lost ones change nothing.
	reportCrashFor = time.Second
	// maxReportedMarks bounds the marks in one report, and mostSummed those in what a collector
	// adds up.
	maxReportedMarks, maxMergedMarks = 14, 160
	// maxReportedVerdicts is how many verdicts are told in one report, in turns.
	maxReportedVerdicts = 3
)

// Words returns what to tell the other gateways now.
func (t *Tracker) Words() Words {
	if t.empty.Load() {
		return Words{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	w := Words{Verdicts: t.verdictsToReport(now)}
	for _, c := range t.crashes {
		if len(c.ownMarks) > 0 && now.Sub(c.lastOwnAt) < reportCrashFor {
			w.Crashes = append(w.Crashes, t.crashToReport(c, now))
		}
	}
	w.limit(maxReportedMarks, maxReportedVerdicts)
	return w
}

// crashToReport puts those requests first whose content was at most ends.
func (t *Tracker) crashToReport(c *crash, now time.Time) Crash {
	marks := slices.Clone(c.ownMarks)
	slices.SortFunc(marks, func(a, b ident.Mark) int {
		endsA, _ := t.crashesAgainst(a.Content(), now)
		endsB, _ := t.crashesAgainst(b.Content(), now)
		return cmp.Or(cmp.Compare(endsB, endsA), cmp.Compare(a, b))
	})
	return Crash{Upstream: c.upstream, Age: now.Sub(c.at), Marks: marks}
}

// verdictsToReport returns the verdicts whose turn it is: the newest one of what was found, and
// then one after the other. What was cleared is told for a while.
func (t *Tracker) verdictsToReport(now time.Time) []Verdict {
	var found, cleared []Verdict
	for content, v := range t.verdicts {
		if !v.shared || v.cleared && now.Sub(v.at) >= reportClearedFor {
			continue
		}
		next := Verdict{Content: content, Age: now.Sub(v.at), Idle: now.Sub(v.lastSeen), Cleared: v.cleared}
		if v.cleared {
			cleared = append(cleared, next)
		} else {
			found = append(found, next)
		}
	}
	newestFirst := func(a, b Verdict) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Content, b.Content)) }
	slices.SortFunc(found, newestFirst)
	slices.SortFunc(cleared, newestFirst)
	all := slices.Concat(found, cleared)
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

// reportClearedFor is longer than tellFor, because an operator's word must reach gateways that
// were out of touch for a while.
const reportClearedFor = 30 * time.Second
