package entry

import (
	"fmt"
	"io"
	"net/http"
)

// limitedPath is where operators look up the upstreams that named a limit.
const limitedPath = "/upstreams/limited"

// listLimited prints a line for each.
func (p *Process) listLimited(w http.ResponseWriter, _ *http.Request) {
	for _, l := range p.limits.List() {
		fmt.Fprintf(w, "%s per_second=%g said_s=%.1f answers=%d\n", l.Upstream, l.Rate, l.Age.Seconds(), l.Answers)
	}
}

// writeLimits prints the counters of the limits that upstreams name.
func (p *Process) writeLimits(w io.Writer) {
	c := p.limits.Counters()
	fmt.Fprintf(w, "upstreams_limited_now %d\nupstream_limits_changed_total %d\nupstream_limits_unreadable_total %d\n",
		len(p.limits.List()), c.Changes, c.Unreadable)
}
