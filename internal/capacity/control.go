package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/peer"
	"github.com/goldcrestspool/goldcrestspool/internal/planner"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
)

const (
	// leaseSpeedup divides all times of the leases, so that a measurement takes
	// less time. The measured rates are divided by it as well.
	leaseSpeedup = 10
	leaseRunTime = 3 * time.Second
)

// leaseAppends returns the appends per second of one holder of a number of leases.
func leaseAppends(leases int) (float64, error) {
	log := logstore.New(logstore.Options{})
	manager := lease.New(lease.Config{
		Holder:     lease.NewHolder("g-1", 1),
		Length:     lease.DefaultLength / leaseSpeedup,
		Margin:     lease.DefaultMargin / leaseSpeedup,
		RenewEvery: lease.DefaultRenewEvery / leaseSpeedup,
		Poll:       lease.DefaultPoll / leaseSpeedup,
	}, log)
	var wanted []lease.Wanted
	for i := range leases {
		wanted = append(wanted, lease.Wanted{Name: lease.Name{Service: serviceAt(i), FailureDomain: domainOf(0, 10)}})
	}
	manager.SetWanted(wanted)
	loops := newBackgroundLoops()
	loops.run(manager.Run)
	defer loops.stop()
	deadline := time.Now().Add(3 * time.Second)
	for len(manager.Held()) < leases && time.Now().Before(deadline) {
		time.Sleep(20 * time.Millisecond)
	}
	if held := len(manager.Held()); held < leases {
		return 0, fmt.Errorf("%d of %d leases held", held, leases)
	}
	before, began := log.Appends(), time.Now()
	time.Sleep(leaseRunTime)
	return float64(log.Appends()-before) / time.Since(began).Seconds() / leaseSpeedup, nil
}

// planCost returns the cost of one plan for a fleet in a steady state.
func planCost(runners int) (float64, error) {
	actual := planner.Actual{Service: modelService, Fence: 7, Demand: 0.7 * float64(runners)}
	placement := document.Placement{Min: 2, Max: 2 * runners, OnDemandShare: 0.32}
	for i := range 10 {
		for _, reclaimable := range []bool{false, true} {
			placement.Prices = append(placement.Prices, document.Price{
				FailureDomain: domainOf(i, 10), Class: "runner-large", Reclaimable: reclaimable, CentsPerHour: 95,
			})
		}
	}
	for i := range runners {
		u := runnerAt(i, 10)
		actual.Instances = append(actual.Instances, planner.Instance{
			ID: u.ID, State: planner.Serving, Running: i % 20,
			Offering: planner.Offering{FailureDomain: u.FailureDomain, Class: u.Class, Reclaimable: u.Reclaimable},
		})
	}
	now := time.Now()
	return microsPerCall(func() { planner.Plan(actual, planner.Wanted{Placement: placement}, now) }), nil
}

// echoHeartbeats answers a heartbeat with the lines that it contains.
type echoHeartbeats struct{}

// Exchange implements peer.Heartbeats.
func (echoHeartbeats) Exchange(_ context.Context, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	return &peerv1.ExchangeResponse{From: req.From, Figures: req.Figures, Position: req.Position}, nil
}

// heartbeatOverWire returns the cost of one exchange over gRPC with a number of lines in each
// direction.
func heartbeatOverWire(lines int) (wireFigures, error) {
	server, err := peer.NewServer(peer.Handlers{Heartbeats: echoHeartbeats{}}, peer.TLSFiles{})
	if err != nil {
		return wireFigures{}, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return wireFigures{}, err
	}
	l := &loopbackServer{address: listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var served sync.WaitGroup
	served.Go(func() { _ = server.Serve(ctx, &countingListener{Listener: listener, bytes: &l.bytes}, time.Second) })
	defer served.Wait()
	defer cancel()
	pool, err := peer.NewPool(peer.TLSFiles{})
	if err != nil {
		return wireFigures{}, err
	}
	defer pool.Close()
	req := &peerv1.ExchangeRequest{From: "g-1", Position: &peerv1.DigestPosition{Epoch: 1, Sequence: 1, Checksum: 1 << 60}}
	req.Figures = figuresOf(instances(0, lines, 10))
	return measureWire(&l.bytes, func() error {
		_, err := pool.Exchange(ctx, l.address, req)
		return err
	})
}

// The series of controllers, and of the transport between gateways.
const (
	LeaseAppends   ID = "lease.appends"
	PlanCost       ID = "planner.cpu"
	HeartbeatWire  ID = "peer.cpu"
	HeartbeatBytes ID = "peer.bytes"
)

func controlSeries() []Series {
	heartbeat := newMemoized(heartbeatOverWire)
	lines := []int{0, 32, 64, 128}
	return []Series{
		{ID: HeartbeatWire, Description: "one exchange over gRPC on loopback, one end, without the merge", Package: "peer", SizeUnit: "lines each way",
			Unit: Microseconds, Sizes: lines, Measure: func(n int) (float64, error) { w, err := heartbeat.at(n); return w.processor, err }},
		{ID: HeartbeatBytes, Description: "one exchange over gRPC, both directions", Package: "peer", SizeUnit: "lines each way",
			Unit: Bytes, Sizes: lines, Measure: func(n int) (float64, error) { w, err := heartbeat.at(n); return w.bytes, err }},
		{ID: LeaseAppends, Description: "appends of one holder", Package: "lease", SizeUnit: "leases", Unit: PerSecond,
			Sizes: []int{1, 4, 16, 64}, Measure: leaseAppends},
		{ID: PlanCost, Description: "one plan in a steady state", Package: "planner", SizeUnit: "runners", Unit: Microseconds,
			Sizes: runnerSizes, Measure: planCost},
	}
}
