package entry

import (
	"fmt"
	"io"
)

// writeRetryMetrics prints the counters of the retry budget.
func (p *Process) writeRetryMetrics(w io.Writer) {
	c := p.retries.Counters()
	fmt.Fprintf(w, "retries_allowed_total %d\nretries_refused_total %d\n", c.Allowed, c.Refused)
}
