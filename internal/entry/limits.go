package entry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// limitedPath is the path where operators list the upstreams that announced a rate limit.
const limitedPath = "/upstreams/limited"

// listLimited prints a line for each upstream that announced a rate limit.
func (p *Process) listLimited(w http.ResponseWriter, _ *http.Request) {
	for _, l := range p.limits.List() {
		fmt.Fprintf(w, "%s per_second=%g said_s=%.1f answers=%d\n", l.Upstream, l.Rate, l.Age.Seconds(), l.Answers)
	}
}

// writeLimitMetrics prints the counters of the rate limits that upstreams announce.
func (p *Process) writeLimitMetrics(w io.Writer) {
	c := p.limits.Counters()
	fmt.Fprintf(w, "upstreams_limited_now %d\nupstream_limits_changed_total %d\nupstream_limits_unreadable_total %d\n"+
		"requests_within_limits_total %d\nrequests_passed_over_limits_total %d\n",
		len(p.limits.List()), c.Changes, c.Unreadable, c.Sent, c.PassedOver)
}

// refreshLimits applies how much of the upstreams' rate limits the other gateways use, and
// which upstreams are listed now.
func (p *Process) refreshLimits(v *peerView) {
	uses := make(upstreamlimit.Uses)
	for i := range v.Groups {
		uses.Add(v.Groups[i].LimitUses)
	}
	p.limits.Refresh(uses, upstreamlimit.Fleet{Heard: v.Heard + 1, Known: p.gatewayCount()})
	p.announced.UpdateListed(func(note func(ident.Instance)) {
		p.board.upstreams.Value().Each(func(u *directory.Upstream) { note(u.ID) })
	})
}

// applyAnnounced merges what another gateway reported of upstreams' announcements as of the given
// time. A zero time means that it is unknown, and counts as now: the report was in transit for
// less time than gateways need to learn of each other.
func (p *Process) applyAnnounced(r *gossip.Report, asOf time.Time) {
	if asOf.IsZero() {
		asOf = p.now()
	}
	p.limits.MergeLimitReports(r.Limits, asOf)
	p.announced.MergeLeaving(r.UpstreamsLeaving, asOf)
}
