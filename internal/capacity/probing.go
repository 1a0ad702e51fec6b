package capacity

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/cacheview"
	controller "github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/probing"
	"github.com/goldcrestspool/goldcrestspool/internal/platform/connectplatform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream/connectupstream"
)

// probingRunTime is how long the processor time of a probing controller is measured.
const probingRunTime = 4 * time.Second

// idleEngine answers at once with its report and a number of cache events. It implements no
// other methods of upstream.Engine.
type idleEngine struct {
	upstream.Engine
	report upstream.Report
	events int
}

// Report implements upstream.Engine.
func (e idleEngine) Report(context.Context) (upstream.Report, error) { return e.report, nil }

// CacheEvents implements upstream.Engine.
func (e idleEngine) CacheEvents(_ context.Context, after uint64) ([]upstream.CacheEvent, error) {
	events := make([]upstream.CacheEvent, e.events)
	for i := range events {
		events[i] = upstream.CacheEvent{Sequence: after + uint64(i) + 1, Stored: true, Block: (after + uint64(i)) * 0x9e3779b97f4a7c15}
	}
	return events, nil
}

// engineDialer returns idle engines that are called without a network.
type engineDialer struct{ probing.Dialer }

// Engine implements probing.Dialer.
func (engineDialer) Engine(string) upstream.Engine {
	return idleEngine{report: upstream.Report{Running: 7, PrefillRate: 20000, Step: 20 * time.Millisecond}}
}

// probingCost returns the processor time of one gateway's probing controller, in
// microseconds per second. The number of gateways is in the target's proportion to the
// number of runners. Probes need no network.
func probingCost(runners int) (float64, error) {
	gateways, domains := 8, 4
	if runners > 9 {
		gateways, domains = max(10, runners*330/690), 10
	}
	list := instances(gateways, runners, domains)
	board := blackboard.NewBoard()
	config := controller.DefaultConfig(list[0])
	config.Interval = settings.DefaultHeartbeat
	membership := controller.New(config, controller.Deps{Board: board, Transport: &fleetTransport{}, Log: hclog.NewNullLogger()})
	membership.ApplyList(list)
	// A gateway counts as a prober once it has been observed.
	for _, g := range list[:gateways] {
		membership.Observe(controller.Observation{Instance: g.ID, Incarnation: g.Incarnation})
	}
	membership.ApplyList(list)
	prober := probing.New(probing.DefaultConfig(list[0].ID, list[0].FailureDomain), probing.Deps{
		Board:      board,
		Membership: membership,
		Dialer:     engineDialer{},
		Cache:      probing.NewCaches(cacheview.DefaultParams()),
		Log:        hclog.NewNullLogger(),
	})
	loops := newBackgroundLoops()
	loops.run(func(ctx context.Context) { _ = prober.Run(ctx) })
	time.Sleep(probeInterval / 2)
	used := measureProcessorRate(probingRunTime)
	loops.stop()
	return used, nil
}

// wireFigures are the costs of one call over loopback: one end's processor time in
// microseconds, and the bytes in both directions.
type wireFigures struct{ processor, bytes float64 }

// measureServer measures calls of an HTTP server on loopback, and then closes the server.
func measureServer(l *loopbackServer, call func() error) (wireFigures, error) {
	defer l.close()
	return measureWire(&l.bytes, call)
}

// measureWire measures calls over loopback whose bytes are added to counted. Both ends are
// in this process, so that half of its processor time counts for one end.
func measureWire(counted *atomic.Int64, call func() error) (wireFigures, error) {
	const calls = 20
	if err := call(); err != nil {
		return wireFigures{}, err
	}
	before := counted.Load()
	for range calls {
		if err := call(); err != nil {
			return wireFigures{}, err
		}
	}
	bytes := float64(counted.Load()-before) / calls
	var failed error
	used := microsPerCall(func() {
		if err := call(); err != nil {
			failed = err
		}
	})
	return wireFigures{processor: used / 2, bytes: bytes}, failed
}

// probeOverWire returns the cost of one probe of an engine with a number of new cache
// events: it gets the engine's report and the events.
func probeOverWire(events int) (wireFigures, error) {
	mux := http.NewServeMux()
	connectupstream.MountEngine(mux, idleEngine{events: events, report: upstream.Report{
		Instance: "i-00000000000000001", Incarnation: 1_700_000_001, Running: 7, QueuedPrefillTokens: 900,
		BatchTokens: 40000, Model: "spool-llm", Version: "2026-11", Age: time.Second, PrefillRate: 20000, Step: 20 * time.Millisecond,
	}})
	l, err := newLoopbackServer(mux)
	if err != nil {
		return wireFigures{}, err
	}
	dialer := connectupstream.NewDialer(nil, nil)
	defer dialer.Close()
	engine := dialer.Engine(l.address)
	return measureServer(l, func() error {
		if _, err := engine.Report(context.Background()); err != nil {
			return err
		}
		_, err := engine.CacheEvents(context.Background(), 1)
		return err
	})
}

// listOverWire returns the cost of one read of the platform's list of instances.
func listOverWire(entries int) (wireFigures, error) {
	gateways, runners, domains := fleetOf(entries)
	mux := http.NewServeMux()
	connectplatform.Mount(mux, connectplatform.Services{Instances: instanceList(instances(gateways, runners, domains))})
	l, err := newLoopbackServer(mux)
	if err != nil {
		return wireFigures{}, err
	}
	client := connectplatform.NewClient(transport.NewClient(transport.Options{}), l.url())
	return measureServer(l, func() error {
		_, err := client.List(context.Background())
		return err
	})
}

// The series of probing and of the platform's list.
const (
	ProbingLocal  ID = "probing.cpu"
	ProbeWire     ID = "probing.probe"
	ProbeBytes    ID = "probing.bytes"
	ListWire      ID = "instances.cpu"
	ListWireBytes ID = "instances.bytes"
)

func probingSeries() []Series {
	probe, list := newMemoized(probeOverWire), newMemoized(listOverWire)
	processor := func(s *memoized[wireFigures]) func(int) (float64, error) {
		return func(n int) (float64, error) {
			w, err := s.at(n)
			return w.processor, err
		}
	}
	bytes := func(s *memoized[wireFigures]) func(int) (float64, error) {
		return func(n int) (float64, error) {
			w, err := s.at(n)
			return w.bytes, err
		}
	}
	events := []int{0, 16, 64, 256}
	return []Series{
		{ID: ProbingLocal, Description: "probing and publication of one gateway, without the network", Package: "controllers/probing", SizeUnit: "runners",
			Unit: MicrosPerSecond, Sizes: []int{9, 100, 330, 690}, Measure: probingCost},
		{ID: ProbeWire, Description: "one probe of an engine over loopback, one end", Package: "upstream/connectupstream", SizeUnit: "cache events",
			Unit: Microseconds, Sizes: events, Measure: processor(probe)},
		{ID: ProbeBytes, Description: "one probe of an engine, both directions", Package: "upstream/connectupstream", SizeUnit: "cache events",
			Unit: Bytes, Sizes: events, Measure: bytes(probe)},
		{ID: ListWire, Description: "one read of the platform's list over loopback, one end", Package: "platform/connectplatform", SizeUnit: "entries",
			Unit: Microseconds, Sizes: entrySizes, Measure: processor(list)},
		{ID: ListWireBytes, Description: "one read of the platform's list, both directions", Package: "platform/connectplatform", SizeUnit: "entries",
			Unit: Bytes, Sizes: entrySizes, Measure: bytes(list)},
	}
}
