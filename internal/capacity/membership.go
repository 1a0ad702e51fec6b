package capacity

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/goldcrestspool/goldcrestspool/api/peer/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	controller "github.com/goldcrestspool/goldcrestspool/internal/controllers/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/membership"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
)

const (
	// fleetSettleTime excludes the first digests from the measurement: the first
	// exchange with a peer contains the facts of up to 30 s. fleetRunTime is one
	// round of the slowest refresh.
	fleetSettleTime = 34 * time.Second
	fleetRunTime    = 10 * time.Second
	// probersPerUpstream is how many gateways probe an upstream and report its
	// load.
	probersPerUpstream = 2
	// probeInterval is the interval of probes in package probing.
	probeInterval = time.Second
)

// entrySizes are numbers of entries, which are gateways and upstreams together; fleetOf
// divides them. The first is today's size, the last the target's.
var entrySizes = []int{21, 102, 306, 1020}

// fleetSizes are the numbers of entries at which TestFleets runs a whole fleet by default.
// 1020 entries take over two minutes, since at the start every gateway sends all its facts to
// every other gateway.
var fleetSizes = []int{21, 102, 306, 612}

// recordedFleet are the figures of the fleet of the target's size, 330 gateways and 690
// runners, as `make capacity-fleet` measured them. They are used if the file of TestFleets
// does not contain that size.
var recordedFleet = fleetFigures{Processor: 5231, Bytes: 9868, Exchanges: 10.06, Memory: 769_817}

// fleetOf returns how many gateways, runners and failure domains a fleet with a number of
// entries has.
func fleetOf(entries int) (gateways, runners, domains int) {
	if entries == entrySizes[0] {
		return 8, entries - 8, 4
	}
	gateways = entries * 330 / 1020
	return gateways, entries - gateways, 10
}

// fleetFigures are the costs of one gateway of a fleet.
type fleetFigures struct {
	// Processor is in microseconds per second, Bytes and Exchanges are per second.
	Processor, Bytes, Exchanges float64
	// Memory is in bytes.
	Memory float64
}

// fleetTransport connects membership controllers in this process without a network.
// Messages are encoded and decoded, and their bytes are counted.
type fleetTransport struct {
	byAddress        map[string]*controller.Controller
	bytes, exchanges atomic.Int64
}

// Exchange implements controller.Transport.
func (f *fleetTransport) Exchange(ctx context.Context, address string, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	to, ok := f.byAddress[address]
	if !ok {
		return nil, errcode.New(errcode.Unavailable, "no such peer")
	}
	var arrived peerv1.ExchangeRequest
	if err := f.transmit(req, &arrived); err != nil {
		return nil, err
	}
	resp, err := to.Exchange(ctx, &arrived)
	if err != nil {
		return nil, err
	}
	f.exchanges.Add(1)
	var answer peerv1.ExchangeResponse
	return &answer, f.transmit(resp, &answer)
}

// transmit encodes one message and decodes it into the other.
func (f *fleetTransport) transmit(from, to proto.Message) error {
	data, err := proto.Marshal(from)
	if err != nil {
		return err
	}
	f.bytes.Add(int64(len(data)))
	return proto.Unmarshal(data, to)
}

// newMember returns a membership controller that is set up as a gateway's.
func newMember(self platform.Instance, transport controller.Transport) *controller.Controller {
	config := controller.DefaultConfig(self)
	config.Interval = settings.DefaultHeartbeat
	return controller.New(config, controller.Deps{
		Board:     blackboard.NewBoard(),
		Transport: transport,
		Log:       hclog.NewNullLogger(),
	})
}

// runFleet runs a fleet in a steady state and returns the mean costs of a gateway.
func runFleet(entries int) fleetFigures {
	gateways, runners, domains := fleetOf(entries)
	list := instances(gateways, runners, domains)
	f := &fleetTransport{byAddress: map[string]*controller.Controller{}}
	members := make([]*controller.Controller, gateways)
	memory := memoryHeldBy(func() any {
		for i := range members {
			members[i] = newMember(list[i], f)
			f.byAddress[list[i].PeerAddress] = members[i]
			members[i].ApplyList(list)
		}
		return members
	})
	loops := newBackgroundLoops()
	for _, m := range members {
		loops.run(func(ctx context.Context) { _ = m.Run(ctx) })
	}
	loops.every(probeInterval, func() { reportLoads(members, list[gateways:], domains) })
	time.Sleep(fleetSettleTime)
	bytes, exchanges, began := f.bytes.Load(), f.exchanges.Load(), time.Now()
	used := measureProcessorRate(fleetRunTime)
	seconds := time.Since(began).Seconds()
	bytes, exchanges = f.bytes.Load()-bytes, f.exchanges.Load()-exchanges
	loops.stop()
	n := float64(gateways)
	return fleetFigures{
		Processor: used / n,
		// Each message costs the gateway that sends it and the one that receives it.
		Bytes:     2 * float64(bytes) / seconds / n,
		Exchanges: float64(exchanges) / seconds / n,
		Memory:    memory / n,
	}
}

// figuresBySize are fleets' figures by number of entries. TestFleets writes them: it runs
// the fleets in virtual time, so that a busy machine delays no heartbeat.
type figuresBySize map[int]fleetFigures

func readFleets(path string) (figuresBySize, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var all figuresBySize
	return all, json.Unmarshal(data, &all)
}

func (f figuresBySize) write(path string) error {
	data, err := json.Marshal(f)
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

// reportLoads reports the load of each runner to the members that probe it.
func reportLoads(members []*controller.Controller, runners []platform.Instance, domains int) {
	now := time.Now()
	for i, u := range runners {
		for k := range probersPerUpstream {
			// Members of the same domain have indexes that differ by a multiple of
			// domains.
			at := i%domains + domains*(i/domains+k)
			members[at%len(members)].Observe(controller.Observation{
				Instance:    u.ID,
				Incarnation: u.Incarnation,
				Load:        membership.Load{Running: uint32(i % 20), QueuedPrefillTokens: uint32(100 * k), At: now},
			})
		}
	}
}

// exchangeCost returns the cost of serving one heartbeat with a number of changed lines,
// with a table of the largest size: merge, publication, digest and checksum.
func exchangeCost(lines int) (float64, error) {
	gateways, runners, domains := fleetOf(entrySizes[len(entrySizes)-1])
	list := instances(gateways, runners, domains)
	m := newMember(list[0], &fleetTransport{})
	m.ApplyList(list)
	req := &peerv1.ExchangeRequest{
		From: string(list[domains].ID), Incarnation: uint64(list[domains].Incarnation),
		FailureDomain: string(list[domains].FailureDomain), PeerAddress: list[domains].PeerAddress,
		Position: &peerv1.DigestPosition{Epoch: 1, Sequence: 1, FactsOnly: lines == 0},
	}
	req.Figures = figuresOf(list[gateways : gateways+lines])
	var failed error
	used := microsPerCall(func() {
		resp, err := serveExchange(m, req)
		if err != nil {
			failed = err
			return
		}
		// The next heartbeat acknowledges this answer.
		req.Position.AcknowledgedEpoch = resp.Position.Epoch
		req.Position.AcknowledgedSequence = resp.Position.Sequence
		req.Position.AcknowledgedFigures = resp.Position.FiguresSequence
		req.Position.Checksum = resp.Position.Checksum
	})
	return used, failed
}

// figuresOf returns load figures of runners as a digest contains them.
func figuresOf(runners []platform.Instance) *peerv1.Figures {
	figures := &peerv1.Figures{}
	for i, u := range runners {
		figures.Key = append(figures.Key, membership.IncarnationKey(membership.Entry{ID: u.ID, Incarnation: u.Incarnation}))
		figures.Running = append(figures.Running, uint32(i%20))
		figures.Queued = append(figures.Queued, uint32(i%3))
		figures.QueuedPrefillTokens = append(figures.QueuedPrefillTokens, uint32(i%7)*400)
		figures.LoadAgeMs = append(figures.LoadAgeMs, 800)
		figures.AgeMs = append(figures.AgeMs, 800)
	}
	return figures
}

// serveExchange lets a member serve a heartbeat, with both messages encoded and decoded as
// for the network.
func serveExchange(m *controller.Controller, req *peerv1.ExchangeRequest) (*peerv1.ExchangeResponse, error) {
	data, err := proto.Marshal(req)
	if err != nil {
		return nil, err
	}
	var arrived peerv1.ExchangeRequest
	if err := proto.Unmarshal(data, &arrived); err != nil {
		return nil, err
	}
	resp, err := m.Exchange(context.Background(), &arrived)
	if err != nil {
		return nil, err
	}
	_, err = proto.Marshal(resp)
	return resp, err
}

// listCost returns the cost of merging a platform's list that changes nothing.
func listCost(entries int) (float64, error) {
	gateways, runners, domains := fleetOf(entries)
	list := instances(gateways, runners, domains)
	m := newMember(list[0], &fleetTransport{})
	m.ApplyList(list)
	return microsPerCall(func() { m.ApplyList(list) }), nil
}

// The series of membership.
const (
	FleetProcessor ID = "membership.cpu"
	FleetBytes     ID = "membership.bytes"
	FleetExchanges ID = "membership.exchanges"
	FleetMemory    ID = "membership.memory"
	ExchangeCost   ID = "membership.exchange"
	ListMerge      ID = "membership.list"
)

func membershipSeries(fleets figuresBySize) []Series {
	from := func(figure func(fleetFigures) float64) func(int) (float64, error) {
		return func(entries int) (float64, error) {
			f, ok := fleets[entries]
			if !ok && entries == entrySizes[len(entrySizes)-1] {
				f, ok = recordedFleet, true
			}
			if !ok {
				return 0, errcode.Errorf(errcode.NotFound, "no fleet of %d entries; see TestFleets", entries)
			}
			return figure(f), nil
		}
	}
	const pkg = "controllers/membership"
	sizes := append(slices.Clone(fleetSizes), entrySizes[len(entrySizes)-1])
	return []Series{
		{ID: FleetProcessor, Description: "heartbeats of one gateway, without the network", Package: pkg, SizeUnit: "entries", Unit: MicrosPerSecond,
			Sizes: sizes, Measure: from(func(f fleetFigures) float64 { return f.Processor })},
		{ID: FleetBytes, Description: "heartbeats of one gateway, in and out, messages only", Package: pkg, SizeUnit: "entries", Unit: BytesPerSecond,
			Sizes: sizes, Measure: from(func(f fleetFigures) float64 { return f.Bytes })},
		{ID: FleetExchanges, Description: "heartbeats that one gateway sends", Package: pkg, SizeUnit: "entries", Unit: PerSecond,
			Sizes: sizes, Measure: from(func(f fleetFigures) float64 { return f.Exchanges })},
		{ID: FleetMemory, Description: "table and published snapshot of one gateway", Package: pkg, SizeUnit: "entries", Unit: Bytes,
			Sizes: sizes, Measure: from(func(f fleetFigures) float64 { return f.Memory })},
		{ID: ExchangeCost, Description: "one served heartbeat at 1020 entries", Package: pkg, SizeUnit: "changed lines", Unit: Microseconds,
			Sizes: []int{0, 32, 64, 128}, Measure: exchangeCost},
		{ID: ListMerge, Description: "one merge of the platform's list", Package: "membership", SizeUnit: "entries", Unit: Microseconds,
			Sizes: entrySizes, Measure: listCost},
	}
}
