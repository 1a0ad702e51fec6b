// Package membership keeps this process's table of instances and exchanges it
// with other gateways by heartbeats. It is the one writer of board.Members.
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
	// Self describes this process's own instance. PeerAddress is where it
	// serves peers; it is empty for a process that only asks.
	Self platform.Instance
	// Seeds are peer addresses to ask while no peer is known, for a start
	// while the platform's list is down.
	Seeds []string
	// Interval is the time between two heartbeats to one peer.
	Interval time.Duration
	// Timeout is how long an exchange may take.
	Timeout time.Duration
	// LocalAll is up to how many peers of the own failure domain all get
	// each heartbeat. Of more, three do; see chooseTargets.
	LocalAll int
	// RemotePerDomain peers of each other failure domain get each heartbeat
	// while these are not more than RemoteAll. Of more, two do.
	RemotePerDomain int
	RemoteAll       int
	// IntroductionFanout more peers get the heartbeat while they were never
	// heard of, so that a new process soon knows what all peers have.
	IntroductionFanout int
	// MaxFigures bounds the lines of a digest that carry only load.
	MaxFigures int
	// FullInterval is the least time between two full digests asked for.
	FullInterval time.Duration
	// PushAttempts is how often a departure is sent to one peer before it is
	// left to the next heartbeats.
	PushAttempts int
	Limits       membership.Limits
	Suspicion    membership.Suspicion
	// PeerFailures is how many exchanges in a row with a peer must fail
	// before this process suspects it.
	PeerFailures int
}

// DefaultConfig returns the settings in use. Everyone in the failure domain
// hears of a departure within 2 s and everyone else within 4 s, unless a link
// loses more than two exchanges in a row. A hop inside the domain then takes at
// most 3 times Timeout; a hop to another domain tries two peers by turns, of
// which one may be dead, and takes at most 6 times Timeout.
func DefaultConfig(self platform.Instance) Config {
	return Config{
		Self:               self,
		Interval:           time.Second,
		Timeout:            450 * time.Millisecond,
		LocalAll:           8,
		RemotePerDomain:    2,
		RemoteAll:          6,
		IntroductionFanout: 16,
		MaxFigures:         128,
		FullInterval:       30 * time.Second,
		PushAttempts:       4,
		Limits:             membership.DefaultLimits(),
		Suspicion:          membership.Suspicion{Local: 12 * time.Second, Remote: 120 * time.Second},
		PeerFailures:       3,
	}
}

// Transport sends an exchange to the peer at an address. An error means that
// the peer may or may not have merged the digest; both are harmless.
type Transport interface {
	Exchange(ctx context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error)
}

// Configuration is the part of the configuration controller that heartbeats
// carry to the peers. What the peers have is read by Controller.Highest.
type Configuration interface {
	// Revision is the highest revision that this process knows.
	Revision() ident.Revision
}

// Deps is what the controller works with.
type Deps struct {
	Board     *blackboard.Board
	Transport Transport
	// Configuration may be nil.
	Configuration Configuration
	Log           hclog.Logger
	// OnOwnDeparture is called once, in a goroutine of its own, when this
	// process learns from elsewhere that its own instance is leaving. It may
	// be nil.
	OnOwnDeparture func()
}
