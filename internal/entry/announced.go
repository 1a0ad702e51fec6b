package entry

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// announcedPath is the path where operators list the upstreams that leave or asked for a pause.
const announcedPath = "/upstreams/announced"

// listAnnounced prints a line for each upstream that announced that it leaves, or asked this
// gateway for a pause that is not over.
func (p *Process) listAnnounced(w http.ResponseWriter, _ *http.Request) {
	for _, e := range p.announced.List() {
		fmt.Fprintf(w, "%s leaving=%t leaving_s=%.1f pause_left_s=%.1f\n", e.Upstream, e.Leaving, e.LeavingFor.Seconds(), e.PauseLeft.Seconds())
	}
}

// writeAnnouncedMetrics prints the counters of what upstreams announce.
func (p *Process) writeAnnouncedMetrics(w io.Writer) {
	c := p.announced.Counters()
	fmt.Fprintf(w, "upstreams_leaving_now %d\nupstreams_paused_now %d\nupstreams_leaving_announced_total %d\nupstreams_leaving_reported_total %d\n"+
		"upstream_pauses_total %d\nupstream_pauses_resumed_total %d\nupstream_announcements_unreadable_total %d\n",
		c.LeavingNow, c.PausedNow, c.Leaving, c.LeavingReported, c.Pauses, c.Resumed, c.Unreadable)
}

// refreshAnnounced applies how much of the upstreams' rate limits the other gateways use, and
// which upstreams are listed now.
func (p *Process) refreshAnnounced(v *peerView) {
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
	p.announced.Merge(announced.Reports{Limits: r.Limits, Leaving: r.UpstreamsLeaving}, asOf)
}
