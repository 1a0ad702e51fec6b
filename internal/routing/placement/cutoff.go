package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// unreachableTTL is how long an upstream that did not answer makes its failure
// domain suspect. When a cut is over, gateways of the domain are heard again
// within the same time.
const unreachableTTL = 3 * time.Second

// cutOffDomains returns the failure domains that are probably cut off from this
// one: all gateways there are silent, and an upstream there did not answer
// recently: a connection to it failed, or its answer did not arrive or broke off.
//
// A request to a domain that is cut off costs a connection time-out, or its whole
// deadline if it is sent on a kept-alive connection. Without the silence of the
// gateways as evidence, each upstream there would have to fail separately. Without
// the upstream that did not answer, a domain whose only gateway restarts would count
// as cut off although its upstreams answer.
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
