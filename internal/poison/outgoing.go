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
	// maxMergedVerdicts bounds the verdicts in a collector's merged report.
	maxMergedVerdicts = 64
	// reportClearedFor is longer than reportCrashFor, because an operator's clearance must reach
	// gateways that were disconnected for a while.
	reportClearedFor = 30 * time.Second
)

// Report returns this gateway's current report to the other gateways.
func (t *Tracker) Report() Report {
	if t.empty.Load() && !t.doubtful.Load() {
		return Report{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Now()
	t.rebuildSuspects(now)
	var report Report
	for _, kind := range ident.FeatureKinds {
		report.Verdicts = append(report.Verdicts, t.verdictsToReport(kind, now)...)
	}
	t.markCursor++
	for _, c := range t.crashes {
		if len(c.ownMarks) > 0 && now.Sub(c.lastOwnAt) < reportCrashFor {
			report.Crashes = append(report.Crashes, t.crashToReport(c, now))
		}
	}
	for _, o := range t.doubts {
		if o.evidence == BrokenOff {
			report.Doubts = append(report.Doubts, t.crashToReport(&o.crash, now))
		}
	}
	report.limit(maxReported, maxDoubtMarks, maxMergedVerdicts)
	return report
}

// crashToReport returns this gateway's part of a crash. Marks of features with the most crashes
// come first, so that limit drops the others; of equal ones others come first in each round.
func (t *Tracker) crashToReport(c *crash, now time.Time) Crash {
	var marks []ident.Mark
	for _, kind := range ident.FeatureKinds {
		marks = append(marks, turned(marksOfKind(c.ownMarks, kind), t.markCursor*rulesByKind[kind].maxReported)...)
	}
	slices.SortStableFunc(marks, func(a, b ident.Mark) int {
		return cmp.Compare(t.suspects[b.Feature].count(), t.suspects[a.Feature].count())
	})
	return Crash{Upstream: c.upstream, Software: c.software, Age: now.Sub(c.at), Marks: marks}
}

// turned returns a copy of a list that begins so many elements later, and ends with those before.
func turned(list []ident.Mark, by int) []ident.Mark {
	if len(list) == 0 {
		return nil
	}
	by %= len(list)
	return slices.Concat(list[by:], list[:by])
}

// verdictsToReport returns as many verdicts of a kind as fit a report: always the newest conviction, or
// the newest clearance if there is none, and the others in turn. A clearance is reported only
// for reportClearedFor.
func (t *Tracker) verdictsToReport(kind ident.FeatureKind, now time.Time) []Verdict {
	convicted, cleared := t.convictionsOf(kind, now), t.sharedClearancesOf(kind, now)
	for f, s := range t.suspects {
		if f.Kind == kind && kind == ident.PartFeature && s.proven && s.count() >= shareFrom {
			age := now.Sub(s.unexplained[len(s.unexplained)-1].at)
			cleared = append(cleared, Verdict{Feature: f, Ruling: Served, Age: age, Idle: age})
		}
	}
	newestFirst := func(a, b Verdict) int { return cmp.Or(cmp.Compare(a.Age, b.Age), a.Feature.Compare(b.Feature)) }
	slices.SortFunc(convicted, newestFirst)
	slices.SortFunc(cleared, newestFirst)
	all := slices.Concat(convicted, cleared)
	most := rulesByKind[kind].maxVerdicts
	if len(all) <= most {
		return all
	}
	out := all[:1:1]
	rest := all[1:]
	for range most - 1 {
		out = append(out, rest[t.reportCursor%len(rest)])
		t.reportCursor++
	}
	return out
}

// convictionsOf returns the convictions of features of a kind.
func (t *Tracker) convictionsOf(kind ident.FeatureKind, now time.Time) []Verdict {
	var out []Verdict
	for f, v := range t.convictions {
		if f.Kind == kind {
			out = append(out, Verdict{Feature: f, Ruling: Convicted, With: v.with, Software: v.software, Age: now.Sub(v.at), Idle: now.Sub(v.lastSeen)})
		}
	}
	return out
}

// sharedClearancesOf returns the clearances of features of a kind that other gateways have to know.
func (t *Tracker) sharedClearancesOf(kind ident.FeatureKind, now time.Time) []Verdict {
	var out []Verdict
	for f, list := range t.clearances {
		for _, c := range list {
			if f.Kind == kind && !c.sharedAt.IsZero() && now.Sub(c.sharedAt) < reportClearedFor {
				age := now.Sub(c.sharedAt)
				out = append(out, Verdict{Feature: f, Software: c.software, Ruling: Cleared, Age: age, Idle: age})
			}
		}
	}
	return out
}
