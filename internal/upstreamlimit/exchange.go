package upstreamlimit

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/inturn"
)

const (
	// reportChangeFor is the time for which a change is reported to the other gateways in every
	// message, so that two lost messages do no harm.
	reportChangeFor = 3 * time.Second
	// maxReportedChanges bounds the changes in a message and maxReportedOthers the limits that
	// did not change lately. If there are more, each round reports others of them. All messages
	// of a round report the same ones, because each goes to another gateway.
	maxReportedChanges, maxReportedOthers = 16, 4
	// minReportedUse is the count of demand or sent requests below which an upstream's use is not
	// reported.
	minReportedUse = 1.0 / 32
)

// LimitReport is a gateway's report to another on one upstream's limit.
type LimitReport struct {
	// Upstream is the Config.Key of the upstream's ID, which differs after each restart.
	Upstream uint32
	// Limited is false if the limit was lifted.
	Limited bool
	// Rate is in requests per second.
	Rate float64
	// Age is the time since an answer of the upstream last said so.
	Age time.Duration
}

// Use counts, for one or more gateways, how often an upstream was the best choice for a request
// (Demand) and how often it was sent one (Sent). Both counts decay over seconds.
type Use struct{ Demand, Sent float64 }

// Uses are the uses of several upstreams, by their keys.
type Uses map[uint32]Use

// Add adds other uses.
func (u Uses) Add(o Uses) {
	for key, use := range o {
		u[key] = Use{u[key].Demand + use.Demand, u[key].Sent + use.Sent}
	}
}

// Subtract subtracts uses that were added before.
func (u Uses) Subtract(o Uses) {
	for key, use := range o {
		left := Use{max(0, u[key].Demand-use.Demand), max(0, u[key].Sent-use.Sent)}
		if left == (Use{}) {
			delete(u, key)
			continue
		}
		u[key] = left
	}
}

// LimitReports returns the reports on limits for the other gateways: those that changed lately,
// and some of the others in turn.
func (lim *Limiter) LimitReports() []LimitReport {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	if len(lim.limits) == 0 {
		return nil
	}
	now := lim.cfg.Now()
	var changed, others []uint32
	for key, l := range lim.limits {
		if l.reportedOnly && l.upstream == "" {
			// If gateways passed such reports on, they would never forget the upstream.
			continue
		}
		if now.Sub(l.changedAt) < reportChangeFor {
			changed = append(changed, key)
		} else {
			others = append(others, key)
		}
	}
	slices.Sort(changed)
	slices.Sort(others)
	turn := int(now.UnixNano() / int64(lim.cfg.Round))
	selected := append(inturn.Select(changed, maxReportedChanges, turn), inturn.Select(others, maxReportedOthers, turn)...)
	out := make([]LimitReport, len(selected))
	for i, key := range selected {
		l := lim.limits[key]
		out[i] = LimitReport{Upstream: key, Limited: l.limited, Rate: l.rate, Age: now.Sub(l.announcedAt)}
	}
	return out
}

// MergeLimitReports merges another gateway's reports on limits, whose ages are as of the given
// time.
func (lim *Limiter) MergeLimitReports(reports []LimitReport, asOf time.Time) {
	if len(reports) == 0 {
		return
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	for _, r := range reports {
		_, known := lim.limits[r.Upstream]
		lim.merge(r, asOf.Add(-r.Age), lim.cfg.Now())
		if l := lim.limits[r.Upstream]; l != nil && !known {
			l.reportedOnly = true
		}
	}
}

// merge merges a report on what an answer announced at the given time, unless a newer answer is
// known. A lifted limit is recorded even if the limit was unknown, because an older report of the
// limit may still arrive.
func (lim *Limiter) merge(r LimitReport, at, now time.Time) {
	l := lim.limits[r.Upstream]
	switch {
	case l == nil && len(lim.limits) >= maxLimits:
		return
	case l == nil:
		l = lim.add(r.Upstream)
	case !at.After(l.announcedAt):
		return
	}
	if lim.setLimit(l, r.Limited, r.Rate, at, now) && l.upstream != "" {
		lim.logChange(l, "", now)
	}
}

// Uses returns this gateway's own uses of the limited upstreams.
func (lim *Limiter) Uses() Uses {
	if !lim.anyLimited.Load() {
		return nil
	}
	lim.mu.Lock()
	defer lim.mu.Unlock()
	now := lim.cfg.Now()
	out := make(Uses)
	for key, l := range lim.limits {
		if !l.limited {
			continue
		}
		l.decay(now)
		if l.demand >= minReportedUse || l.sent >= minReportedUse {
			out[key] = Use{Demand: l.demand, Sent: l.sent}
		}
	}
	return out
}

// Refresh sets what the other gateways use and how many gateways there are.
func (lim *Limiter) Refresh(others Uses, fleet Fleet) {
	lim.mu.Lock()
	defer lim.mu.Unlock()
	lim.fleet = fleet
	for key, l := range lim.limits {
		u := others[key]
		l.othersDemand, l.othersSent = u.Demand, u.Sent
		if l.limited {
			l.seedSent(fleet)
			l.decay(lim.cfg.Now())
			l.updateExpectedDemand(l.decayedAt)
		}
	}
}
