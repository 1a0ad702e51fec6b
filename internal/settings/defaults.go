package settings

import "time"

// loopbackAnyPort is a loopback address whose port the kernel chooses.
const loopbackAnyPort = "127.0.0.1:0"

// The defaults with which the control plane's cost is measured; see
// docs/CAPACITY.md.
const (
	// DefaultHeartbeat is the interval between the heartbeats of a gateway.
	DefaultHeartbeat = 500 * time.Millisecond
	// DefaultBatchWait is the minimum time between two appends of one gateway
	// to one partition of the journal. Eight gateways with two partitions each
	// then make at most 320 appends a second. With a shorter time, a load spike
	// of calls with idempotency keys uses up all of the several hundred appends
	// a second that the log can take: claims queue in the log, and the renewals
	// of leases wait behind them.
	DefaultBatchWait = 50 * time.Millisecond
)

func defaultCommon() Common {
	return Common{
		Platform: Platform{Timeout: 2 * time.Second},
		Log:      Log{Level: "info", Format: LogJSON},
		Trace:    Trace{Exporter: TraceNone},
		Limits: Limits{
			MaxBody:       1 << 20,
			MaxHeader:     64 << 10,
			HeaderTimeout: 5 * time.Second,
			MaxStreams:    1000,
			StopTimeout:   20 * time.Second,
			Heartbeat:     500 * time.Millisecond,
			Silence:       2 * time.Second,
		},
		Membership: Membership{
			Heartbeat:      DefaultHeartbeat,
			PeersPerDomain: 8,
			OtherDomains:   2,
		},
		Journal: Journal{
			BatchWait: DefaultBatchWait,
			Timeout:   2 * time.Second,
		},
	}
}

func defaultGateway() *Gateway {
	return &Gateway{
		Common:  defaultCommon(),
		Machine: defaultMachineLimits(),
		Listen: GatewayListen{
			Callers:   loopbackAnyPort,
			Peers:     loopbackAnyPort,
			Operators: loopbackAnyPort,
		},
	}
}

func defaultController() *Controller {
	return &Controller{
		Common:  defaultCommon(),
		Machine: defaultMachineLimits(),
		Listen:  ControllerListen{Operators: loopbackAnyPort},
		Control: Control{
			Lease:            10 * time.Second,
			Margin:           2 * time.Second,
			Interval:         time.Second,
			SnapshotInterval: 10 * time.Minute,
		},
	}
}
