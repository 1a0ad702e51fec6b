// Package probing reads the health and load of upstreams and the engines' cache
// events, and publishes the upstreams' states for routing. It is the only
// writer of blackboard.Board.Upstreams.
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

// Config sets which upstreams this process probes and how often.
type Config struct {
	Self          ident.Instance
	FailureDomain ident.FailureDomain
	// Interval is the time between two probes of one upstream.
	Interval time.Duration
	// Timeout bounds one probe.
	Timeout time.Duration
	// PublishInterval is the least time between two publications that change
	// only loads. Changes of state are published at once.
	PublishInterval time.Duration
	// ProbeAllUpTo is the number of upstreams up to which every gateway
	// probes all. If there are more, ProbersPerUpstream gateways of each
	// upstream's failure domain probe it, and the others get the results
	// from the membership's digests.
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

// Membership is the part of the membership controller that probing uses: it
// receives observations and returns all entries with their loads.
type Membership interface {
	Observe(controller.Observation)
	Entries() []membership.Entry
}

// CacheIndex estimates the contents of the engines' caches. Probing calls it
// from one goroutine; other goroutines read the views.
type CacheIndex interface {
	// Apply adds the events that one pull returned, in their order. The index
	// has to detect gaps in their sequence numbers. events may be empty. A
	// new incarnation starts with an empty cache and sequence number 1.
	Apply(id ident.Instance, incarnation ident.Incarnation, events []upstream.CacheEvent)
	// Forget removes an upstream that is gone.
	Forget(id ident.Instance)
	// View returns the estimate for routing. It may be read by any goroutine.
	View(id ident.Instance, incarnation ident.Incarnation) blackboard.CachedPrefix
}

// Deps holds the controller's dependencies.
type Deps struct {
	Board      *blackboard.Board
	Membership Membership
	Dialer     Dialer
	// Cache may be nil; then no cache events are pulled.
	Cache CacheIndex
	Log   hclog.Logger
}
