package announced

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/inturn"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
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

// Reports are a gateway's reports to another on what upstreams announced.
type Reports struct {
	Limits []upstreamlimit.LimitReport
	// Leaving are the upstreams that announced that they leave.
	Leaving []LeavingReport
}

// LeavingReport is a gateway's report to another that an upstream announced that it leaves.
type LeavingReport struct {
	Upstream ident.Instance
	// Age is the time since an answer first said so.
	Age time.Duration
}

// Reports returns the reports for the other gateways: those on what was learned lately, and some of the
// others in turn.
func (r *Registry) Reports() Reports {
	return Reports{Limits: r.cfg.Limits.LimitReports(), Leaving: r.leavingReports()}
}

func (r *Registry) leavingReports() []LeavingReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var lately, others []LeavingReport
	for upstream, rec := range r.records {
		if !rec.leaves() || rec.reportedOnly {
			// If gateways passed on what only others report, they would never forget the upstream.
			continue
		}
		report := LeavingReport{Upstream: upstream, Age: max(0, now.Sub(rec.leavingAt))}
		if now.Sub(rec.learnedAt) < reportNewFor {
			lately = append(lately, report)
		} else {
			others = append(others, report)
		}
	}
	byUpstream := func(a, b LeavingReport) int { return cmp.Compare(a.Upstream, b.Upstream) }
	slices.SortFunc(lately, byUpstream)
	slices.SortFunc(others, byUpstream)
	turn := int(now.UnixNano() / int64(r.cfg.Round))
	return append(inturn.Select(lately, maxReportedNew, turn), inturn.Select(others, maxReportedOthers, turn)...)
}

// Merge merges another gateway's reports, whose ages are as of the given time.
func (r *Registry) Merge(reports Reports, asOf time.Time) {
	r.cfg.Limits.MergeLimitReports(reports.Limits, asOf)
	if len(reports.Leaving) == 0 {
		return
	}
	if leaving := r.mergeLeaving(reports.Leaving, asOf); len(leaving) > 0 {
		r.cfg.OnLeaving(leaving)
	}
}

// mergeLeaving merges reports and returns the upstreams of which this gateway did not know that they
// leave.
func (r *Registry) mergeLeaving(reports []LeavingReport, asOf time.Time) []ident.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Now()
	var leaving []ident.Instance
	for _, report := range reports {
		at := asOf.Add(-report.Age)
		known := r.records[report.Upstream] != nil
		if forgotten, ok := r.forgottenAt[report.Upstream]; ok && !at.After(forgotten) || !known && len(r.records) >= maxRecords {
			continue
		}
		if !r.recordLeaving(report.Upstream, at, now) {
			continue
		}
		r.records[report.Upstream].reportedOnly = !known && !r.cfg.Listed(report.Upstream)
		r.counters.LeavingReported++
		r.cfg.Log.Info("another gateway reports that an upstream leaves", "upstream", report.Upstream, "age_ms", report.Age.Milliseconds())
		leaving = append(leaving, report.Upstream)
	}
	return leaving
}
