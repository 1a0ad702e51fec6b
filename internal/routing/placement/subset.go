package placement

import (
	"math"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// sharedConnections is the fraction of an upstream's connections that the known
	// gateways share. The rest is a reserve for gateways that are not known yet.
	sharedConnections = 0.9
	// minConnections is the smallest number of connections that a gateway may have
	// to an upstream that it uses, so that two of its requests can run there at once.
	minConnections = 2
)

// connectionShare is a gateway's share of the connections that a service's
// upstreams accept.
type connectionShare struct {
	// maxPerUpstream is how many connections the gateway may open to one upstream;
	// 0 means no limit.
	maxPerUpstream int
	// upstreamFraction is the fraction of the upstreams that the gateway may use. It
	// is less than 1 if an upstream does not accept minConnections from each gateway.
	upstreamFraction float64
}

// connectionShareOf returns this gateway's share of a service's connections. If an
// upstream does not accept minConnections from each gateway, each gateway uses only
// a fraction of the upstreams, a different one at each. Otherwise the gateways
// together would open more connections than the upstream accepts, and it resets
// those beyond its limit.
func (c *Chooser) connectionShareOf(service *routetable.Service) connectionShare {
	if service.MaxConnections <= 0 {
		return connectionShare{upstreamFraction: 1}
	}
	gateways := float64(max(1, c.cfg.Gateways()))
	shared := sharedConnections * float64(service.MaxConnections)
	own := max(minConnections, int(shared/gateways))
	return connectionShare{maxPerUpstream: own, upstreamFraction: min(1, shared/(gateways*float64(own)))}
}

// MaxConnections returns how many connections this gateway may open to each upstream of a service; 0
// means no bound.
func (c *Chooser) MaxConnections(service *routetable.Service) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connectionShareOf(service).maxPerUpstream
}

// mayUse reports whether this gateway may use an upstream under its share of the
// connections.
func (c *Chooser) mayUse(u *directory.Upstream, s connectionShare) bool {
	return s.upstreamFraction >= 1 || c.rank(u.Name) < s.upstreamFraction
}

// rank returns the rank of an upstream at this gateway, from 0 to 1. The order is
// different at each gateway and does not change.
func (c *Chooser) rank(name ident.Instance) float64 {
	return float64(rendezvous(c.seed, name)) / math.MaxUint64
}
