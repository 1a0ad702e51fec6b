package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// unreachableTTL is for how long an upstream that did not answer makes its domain
// suspect: gateways that are not heard show within the same time that the cut is
// over.
const unreachableTTL = 3 * time.Second

// cutOffDomains returns the failure domains that are probably cut off from this one: no
// gateway there is heard, and an upstream there did not answer. A request for a
// silent domain costs a connection time-out, or its whole time where it went out
// on a kept connection; without the gateways' word each upstream there would have
// to fail by itself. A domain whose only gateway is restarted has upstreams that
// answer, and is not taken for cut off.
func (c *Chooser) cutOffDomains(now time.Time) []ident.FailureDomain {
	var cut []ident.FailureDomain
	for domain, at := range c.lastUnreachable {
		switch {
		case now.Sub(at) > unreachableTTL:
			delete(c.lastUnreachable, domain)
		case c.cfg.Silent(domain):
			cut = append(cut, domain)
		}
	}
	return cut
}
