package entry

import (
	"fmt"
	"io"
	"net/http"
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
