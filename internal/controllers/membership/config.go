// Package membership maintains this process's table of instances and exchanges
// it with other gateways in heartbeats. It is the only writer of
// blackboard.Board.Members.
//
// A heartbeat carries facts (state and incarnation of an instance, or that it
// has departed) and figures (when an instance was last seen alive, and its
// load). Departures are also pushed at once, without waiting for the next
// heartbeat.
package membership

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// Config says how a process takes part in the membership.
type Config struct {
	// Self describes this process's own instance. Its PeerAddress is where it
	// serves peers; it is empty for a process that only sends requests.
	Self platform.Instance
	// Seeds are the addresses of peers to contact while no peer is known. They
	// let a process start while the platform's list is unavailable.
	Seeds []string
	// Interval is the time between two heartbeats to one peer.
	Interval time.Duration
	// Timeout is how long an exchange may take.
	Timeout time.Duration
	// LocalMeshLimit is the largest number of peers in the own failure domain that
	// all get each heartbeat. If there are more, three of them get it; see
	// chooseTargets.
	LocalMeshLimit int
	// RemotePerDomain is how many peers of each other failure domain get each
	// heartbeat, as long as these are not more than RemoteTargetLimit in total.
	// Otherwise only two peers get it, of all other domains together.
	RemotePerDomain   int
	RemoteTargetLimit int
	// IntroductionFanout is how many peers without any contact so far get the
	// heartbeat in addition, so that a new process soon knows what all peers
	// have.
	IntroductionFanout int
	// MaxFigures bounds the figures in a digest.
	MaxFigures int
	// FullInterval is the least time between two requests for a full digest.
	FullInterval time.Duration
	// PushAttempts is how many attempts in a row may fail to push a departure
	// to one receiver before it is left to the next heartbeats.
	PushAttempts int
	Limits       membership.Limits
	Suspicion    membership.SuspicionTimeouts
	// PeerFailures is how many exchanges in a row with a peer must fail
	// before this process suspects it.
	PeerFailures int
}

// DefaultConfig returns the settings in use. With them, every process in the
// failure domain of the first sign knows of a departure within 2 s and all
// others within 4 s, unless a link loses more than two exchanges in a row: a
// hop inside the domain takes at most 3 times Timeout; a hop to another domain
// tries two peers in turn, of which one may be dead, and takes at most 6 times
// Timeout.
func DefaultConfig(self platform.Instance) Config {
	return Config{
		Self:               self,
		Interval:           time.Second,
		Timeout:            450 * time.Millisecond,
		LocalMeshLimit:     8,
		RemotePerDomain:    2,
		RemoteTargetLimit:  6,
		IntroductionFanout: 16,
		MaxFigures:         128,
		FullInterval:       30 * time.Second,
		PushAttempts:       4,
		Limits:             membership.DefaultLimits(),
		Suspicion:          membership.SuspicionTimeouts{Local: 12 * time.Second, Remote: 120 * time.Second},
		PeerFailures:       3,
	}
}

// Transport sends a heartbeat to the peer at an address. After an error the
// peer may or may not have merged the digest; both are harmless.
type Transport interface {
	Exchange(ctx context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// Configuration tells which configuration this process has, which heartbeats
// announce to the peers. Controller.HighestPeer returns what the peers announced.
type Configuration interface {
	// Revision returns the highest revision that this process knows.
	Revision() ident.Revision
}

// Deps holds the controller's dependencies.
type Deps struct {
	Board     *blackboard.Board
	Transport Transport
	// Configuration may be nil.
	Configuration Configuration
	Log           hclog.Logger
	// OnOwnDeparture is called at most once, in a goroutine of its own, when
	// the platform's list or a peer reports that this process's own instance
	// is leaving. It may be nil.
	OnOwnDeparture func()
}
