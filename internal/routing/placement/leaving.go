package placement

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// allLeave reports whether upstreams of a service are known and all of them leave.
func (c *Chooser) allLeave(service ident.Service) bool {
	upstreams := c.view.Of(service)
	ready := func(u directory.Upstream) bool { return u.State == directory.Ready }
	return len(upstreams) > 0 && !slices.ContainsFunc(upstreams, ready)
}

// noteAllLeave notes that a request found that all upstreams of its service leave.
func (c *Chooser) noteAllLeave(service ident.Service, now time.Time) {
	if c.allLeaveSince[service].IsZero() {
		c.allLeaveSince[service] = now
	}
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
