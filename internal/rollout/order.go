// Package rollout moves a service's requests from one version of its upstreams to another, as
// operators' rollout orders demand.
//
// A new version may fail some of its requests, or answer several times slower: at once,
// after a while, under load or on one route only. So it first gets a bounded share of the
// requests, the canary. Every gateway spends its own part of that share and reports the answers
// to the others. Every gateway judges the sum of that evidence by the same rule, so that all
// stop within one round of the exchange, even if the store is unavailable or the holder of the
// lease is dead. Only the holder promotes a version: it moves all requests, waits until no
// gateway has a request at the old version, and reports the outcome.
//
// Tracker does the work of every gateway, Controller that of the holder. Judge and Next are pure
// functions.
package rollout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Order is a rollout order: it demands that a service's requests be moved to the upstreams of a
// version.
type Order struct {
	Service ident.Service
	To      ident.SoftwareVersion
	// TimeLimit is the time after the order was given within which it must have ended.
	TimeLimit time.Duration
	// At is the position of the order's record in its topic. It identifies the order; an
	// order with a later position replaces it.
	At ident.Position
}

// demandsSame reports whether two orders demand the same.
func (o *Order) demandsSame(other *Order) bool {
	return o.Service == other.Service && o.To == other.To && o.TimeLimit == other.TimeLimit
}

// seed returns a number by which gateways draw alike for an order, wherever it is recorded.
func (o *Order) seed() uint64 { return xxhash.Sum64String(string(o.Service) + "\x00" + string(o.To)) }

// Phase is the progress of an order. Gateways that differ adopt the later phase.
type Phase int

const (
	// Waiting means that the new version gets no requests yet.
	Waiting Phase = iota
	// Canary means that the new version gets a bounded share.
	Canary
	// Shifting means that the new version was not found bad and gets a growing part of all
	// requests.
	Shifting
	// Draining means that the old version gets no more requests and finishes those in progress.
	Draining
	// RolledBack means that the new version gets no more requests.
	RolledBack
	// Completed means that the old version's upstreams are stopped. It is the last phase and
	// prevails over RolledBack, because it is recorded before it is reported to any gateway,
	// while a holder whose lease has just expired may still report a rollback.
	Completed
)

var phaseNames = [...]string{"waiting", "canary", "shifting", "draining", "rolled_back", "completed"}

// String returns the phase's name in logs.
func (p Phase) String() string {
	if p < 0 || int(p) >= len(phaseNames) {
		return "unknown"
	}
	return phaseNames[p]
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p >= RolledBack }

// Limits bounds the requests to an unproven version.
type Limits struct {
	// Share is the fraction of a service's requests, from the order to its deadline, that all
	// gateways together may send to the version, and Slack a number of further requests.
	Share float64
	Slack float64
	// StopDue is the longest time for which gateways may still send requests to
	// a version after its answers showed that it is bad.
	StopDue time.Duration
}
