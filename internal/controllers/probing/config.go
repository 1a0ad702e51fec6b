// Package probing asks upstreams for their health and load, pulls the engines'
// cache events, and publishes what routing decides by. It is the one writer of
// board.Upstreams.
package probing

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	controller "github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// Config says which upstreams this process probes and how often.
type Config struct {
	Self          ident.Instance
	FailureDomain ident.FailureDomain
	// Interval is the time between two probes of one upstream.
	Interval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	// PublishInterval is the least time between two publications that bring
	// only new load. Changes of state are published at once.
	PublishInterval time.Duration
	// ProbeAllUpTo is the number of upstreams up to which every gateway
	// probes all. Of more, ProbersPerUpstream gateways of the upstream's
	// failure domain do, and the others learn it from digests.
	ProbeAllUpTo       int
	ProbersPerUpstream int
	// FailuresToSuspect is how many probes in a row must fail before this
	// process avoids an upstream.
	FailuresToSuspect int
}

// DefaultConfig returns the settings in use.
func DefaultConfig(self ident.Instance, domain ident.FailureDomain) Config {
	return Config{
		Self:               self,
		FailureDomain:      domain,
		Interval:           time.Second,
		Timeout:            800 * time.Millisecond,
		PublishInterval:    250 * time.Millisecond,
		ProbeAllUpTo:       64,
		ProbersPerUpstream: 2,
		FailuresToSuspect:  2,
	}
}

// Dialer returns clients of upstreams. Calls with the same address return the
// same or an equal client and do not block.
type Dialer interface {
	Engine(address string) upstream.Engine
	Plain(address string) upstream.Plain
}

// Membership is the part of the membership controller that probing uses.
type Membership interface {
	Observe(controller.Observation)
	Entries() []membership.Entry
}

// CacheIndex keeps what is believed of the engines' caches. Probing calls it
// from one goroutine; views are read by others.
type CacheIndex interface {
	// Apply takes the events that one pull returned, in their order; a gap
	// in their sequence numbers is for the index to notice. events may be
	// empty. A new incarnation starts with an empty cache and sequence 1.
	Apply(id ident.Instance, incarnation ident.Incarnation, events []upstream.CacheEvent)
	// Forget drops an upstream that is gone.
	Forget(id ident.Instance)
	// View returns the belief as routing reads it.
	View(id ident.Instance, incarnation ident.Incarnation) blackboard.CachedPrefix
}

// Deps is what the controller works with.
type Deps struct {
	Board      *blackboard.Board
	Membership Membership
	Dialer     Dialer
	// Cache may be nil; then no cache events are pulled.
	Cache CacheIndex
	Log   hclog.Logger
}
