package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// allLeave reports whether upstreams of a service are known and all of them leave. No slot becomes
// free at any of them for a new request.
func (c *Chooser) allLeave(service ident.Service, now time.Time) bool {
	upstreams := c.view.Of(service)
	for i := range upstreams {
		if upstreams[i].State == directory.Ready {
			delete(c.allLeaveSince, service)
			return false
		}
	}
	if len(upstreams) == 0 {
		return false
	}
	if c.allLeaveSince[service].IsZero() {
		c.allLeaveSince[service] = now
	}
	return true
}

// replacementIn returns the time until a replacement can serve if all upstreams of a service leave:
// what is left of the time that an upstream takes to start. It returns 0 if they do not all leave,
// if the start takes longer than it should, or if the gateways do not order upstreams.
func (c *Chooser) replacementIn(service *routetable.Service, now time.Time) time.Duration {
	since, allLeave := c.allLeaveSince[service.Name]
	if !allLeave || service.Scale == nil {
		return 0
	}
	return max(0, since.Add(service.Scale.Startup).Sub(now))
}
