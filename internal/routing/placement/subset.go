package placement

import (
	"math"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// sharedConnections is the part of an upstream's connections that the known gateways
	// share; the rest is for gateways that are not known yet.
	sharedConnections = 0.9
	// minConnections is what a gateway may have to an upstream at the least, so that two
	// requests can run there at a time.
	minConnections = 2
)

// connectionShare is a gateway's part of the connections that a service's upstreams take.
type connectionShare struct {
	// maxPerUpstream connections to one upstream; 0 for no limit.
	maxPerUpstream int
	// upstreamFraction of the upstreams may be used, where there are more gateways than connections.
	upstreamFraction float64
}

// connectionShareOf returns this gateway's part of a service's connections. What goes wrong with the
// least number alone: where that times the gateways is more than an upstream takes, all of
// them together may open more, and it resets what is beyond. So each then uses a part of the
// upstreams, another one at each gateway.
func (c *Chooser) connectionShareOf(service *routetable.Service) connectionShare {
	if service.MaxConnections <= 0 {
		return connectionShare{upstreamFraction: 1}
	}
	gateways := float64(max(1, c.cfg.Gateways()))
	kept := sharedConnections * float64(service.MaxConnections)
	most := max(minConnections, int(kept/gateways))
	return connectionShare{maxPerUpstream: most, upstreamFraction: min(1, kept/(gateways*float64(most)))}
}

// mayUse reports whether an upstream is among those that this gateway uses.
func (c *Chooser) mayUse(u *directory.Upstream, s connectionShare) bool {
	return s.upstreamFraction >= 1 || c.rank(u.Name) < s.upstreamFraction
}

// rank is where an upstream stands among those of this gateway, from 0 to 1: another order
// at each gateway, and the same each time.
func (c *Chooser) rank(name ident.Instance) float64 {
	return float64(rendezvous(c.seed, name)) / math.MaxUint64
}
