package announced

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// reportNewFor is the time for which a new statement is reported in every message to the other
	// gateways, so that two lost messages do no harm.
	reportNewFor = 3 * time.Second
	// maxReportedNew bounds the new statements in a message, and maxReportedOthers the others. If
	// there are more, each round reports the next ones.
	maxReportedNew, maxReportedOthers = 64, 8
	// maxRecords bounds the upstreams of which something is known.
	maxRecords = 10_000
)

// LeavingReport is a gateway's report to another that an upstream announced that it leaves.
type LeavingReport struct {
	Upstream ident.Instance
	// Age is the time since an answer first said so.
	Age time.Duration
}

// LeavingReports returns the reports for the other gateways: those on upstreams that were learned
// of lately, and some of the others in turn.
func (r *Registry) LeavingReports() []LeavingReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.records) == 0 {
		return nil
	}
	now := r.cfg.Now()
	var lately, others []LeavingReport
	for upstream, rec := range r.records {
		if rec.leavingAt.IsZero() {
			continue
		}
		report := LeavingReport{Upstream: upstream, Age: max(0, now.Sub(rec.leavingAt))}
		if now.Sub(rec.learnedAt) < reportNewFor {
			lately = append(lately, report)
		} else {
			others = append(others, report)
		}
	}
	turn := int(now.UnixNano() / int64(r.cfg.Round))
	return append(selectInTurn(lately, maxReportedNew, turn), selectInTurn(others, maxReportedOthers, turn)...)
}

// selectInTurn returns at most maxCount of the reports. If there are more, each turn selects the
// next ones.
func selectInTurn(reports []LeavingReport, maxCount, turn int) []LeavingReport {
	slices.SortFunc(reports, func(a, b LeavingReport) int { return cmp.Compare(a.Upstream, b.Upstream) })
	if len(reports) <= maxCount {
		return reports
	}
	out := make([]LeavingReport, maxCount)
	for i := range out {
		out[i] = reports[(turn*maxCount+i)%len(reports)]
	}
	return out
}

// MergeLeaving merges another gateway's reports, whose ages are as of the given time.
func (r *Registry) MergeLeaving(reports []LeavingReport, asOf time.Time) {
	if len(reports) == 0 {
		return
	}
	if leaving := r.mergeAll(reports, asOf); len(leaving) > 0 {
		r.cfg.OnLeaving(leaving)
	}
}

// mergeAll merges reports and returns the upstreams of which this gateway did not know that they
// leave.
func (r *Registry) mergeAll(reports []LeavingReport, asOf time.Time) []ident.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var leaving []ident.Instance
	for _, report := range reports {
		at := asOf.Add(-report.Age)
		if !r.acceptable(report.Upstream, at, now) || !r.recordLeaving(report.Upstream, at, now) {
			continue
		}
		r.counters.LeavingReported++
		r.cfg.Log.Info("another gateway reports that an upstream leaves", "upstream", report.Upstream, "age_ms", report.Age.Milliseconds())
		leaving = append(leaving, report.Upstream)
	}
	return leaving
}

// acceptable reports whether a report on an upstream is taken in. r.mu must be held.
func (r *Registry) acceptable(upstream ident.Instance, at, now time.Time) bool {
	if forgotten, ok := r.forgottenAt[upstream]; ok && !at.After(forgotten) {
		return false
	}
	if r.records[upstream] != nil {
		return true
	}
	// Gateways that go on telling each other of an upstream that is gone must not keep the report
	// alive.
	old := now.Sub(at) > unlistedRetention
	return len(r.records) < maxRecords && (!old || r.cfg.Listed(upstream))
}
