package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/controllers/fleet"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/lease"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/cloud"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/instances"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/logstore"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

const (
	service      = ident.Service("auktion-app")
	minUpstreams = 3
	maxUpstreams = 8
	// listLag is how late the platform's list is, and startTime how long it
	// takes until an instance registers there and serves.
	listLag   = time.Second
	startTime = 2 * time.Second
	// spreadTime is how long gateways still send work to an upstream after
	// one of them knows that it is leaving.
	spreadTime = 4 * time.Second
	// requestTime is how long a request runs, and reclaimTime how long before
	// the reclaim its notice comes.
	requestTime    = 15 * time.Second
	reclaimTime    = 5 * time.Second
	requestTimeout = 2 * time.Second
	slots          = 4
)

var domains = []ident.FailureDomain{"hall-a", "hall-b", "hall-c"}

// app is one upstream.
type app struct {
	id      ident.Instance
	domain  ident.FailureDomain
	running int
	// leavingAt is when it was announced as leaving to a gateway.
	leavingAt time.Time
	// stopping is whether the cloud is ending it.
	stopping bool
}

// receivesWork reports whether gateways send work to it.
func (a *app) receivesWork(now time.Time) bool {
	return !a.stopping && (a.leavingAt.IsZero() || now.Sub(a.leavingAt) < spreadTime)
}

// counts reports whether it counts towards the fleet's size: it is neither
// leaving nor stopping.
func (a *app) counts() bool { return !a.stopping && a.leavingAt.IsZero() }

// simulation holds a simulated platform and its upstreams, and stands in for the
// gateways.
type simulation struct {
	list  *instances.List
	cloud *cloud.Cloud
	log   *logstore.Log

	mu   sync.Mutex
	apps map[ident.Instance]*app
	// gatewaysCut is whether the gateways are unreachable.
	gatewaysCut bool
	problems    []string
	stops       int
	// unlistedStarts is how many of the next starts succeed without an instance
	// ever being listed.
	unlistedStarts int
	// startsRequested counts the requested starts.
	startsRequested int
}

// Start implements platform.Cloud and counts the requests.
func (s *simulation) Start(ctx context.Context, req platform.StartRequest) (ident.Instance, error) {
	s.mu.Lock()
	s.startsRequested++
	s.mu.Unlock()
	return s.cloud.Start(ctx, req)
}

// Stop implements platform.Cloud.
func (s *simulation) Stop(ctx context.Context, id ident.Instance, fence ident.Fence) error {
	return s.cloud.Stop(ctx, id, fence)
}

// Notices implements platform.Cloud.
func (s *simulation) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	return s.cloud.Notices(ctx, after)
}

func newSimulation() *simulation {
	s := &simulation{list: instances.New(listLag), log: logstore.New(logstore.Options{}), apps: make(map[ident.Instance]*app)}
	s.cloud = cloud.New(cloud.Options{ChecksFencing: true, OnStarted: s.started, OnStopped: s.stopped})
	return s
}

// recordProblem records a broken rule. The caller holds mu.
func (s *simulation) recordProblem(format string, args ...any) {
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// started is called by the cloud for each new instance.
func (s *simulation) started(id ident.Instance, req platform.StartRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unlistedStarts > 0 {
		s.unlistedStarts--
		return
	}
	s.apps[id] = &app{id: id, domain: req.FailureDomain}
	if count := s.countUpstreams(); count > maxUpstreams {
		s.recordProblem("%d upstreams, at most %d allowed", count, maxUpstreams)
	}
	time.AfterFunc(startTime, func() {
		s.list.Register(platform.Instance{
			ID: id, Role: platform.RolePlain, Service: req.Service, FailureDomain: req.FailureDomain,
			Class: req.Class, Reclaimable: req.Reclaimable, Address: string(id),
		})
	})
}

func (s *simulation) countUpstreams() int {
	count := 0
	for _, a := range s.apps {
		if a.counts() {
			count++
		}
	}
	return count
}

// stopped is called by the cloud when it stops an instance.
func (s *simulation) stopped(id ident.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a, known := s.apps[id]
	if !known {
		return
	}
	if a.running > 0 {
		s.recordProblem("%s was stopped with %d requests running", id, a.running)
	}
	if a.leavingAt.IsZero() || time.Since(a.leavingAt) < spreadTime {
		s.recordProblem("%s was stopped while gateways still send it work", id)
	}
	s.stops++
	s.endUpstream(a)
}

// endUpstream removes an upstream. The caller holds mu.
func (s *simulation) endUpstream(a *app) {
	a.stopping = true
	delete(s.apps, a.id)
	s.list.SetState(a.id, 0, platform.Ended)
}

// reclaim announces the reclaim of all instances of a failure domain and ends
// them reclaimTime later.
func (s *simulation) reclaim(domain ident.FailureDomain) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.apps {
		if a.domain != domain || a.stopping {
			continue
		}
		instance, listed := s.list.Find(a.id)
		if !listed {
			continue
		}
		a.stopping = true
		s.cloud.Announce(a.id, instance.Incarnation, reclaimTime)
		s.list.SetState(a.id, 0, platform.Leaving)
		time.AfterFunc(reclaimTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.endUpstream(a)
		})
	}
}

// send sends one more request to each upstream to which gateways send work.
func (s *simulation) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.apps {
		if _, listed := s.list.Find(a.id); !listed || !a.receivesWork(time.Now()) {
			continue
		}
		a.running++
		time.AfterFunc(requestTime, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			a.running--
		})
	}
}

// AnnounceLeaving implements fleet.Gateways.
func (s *simulation) AnnounceLeaving(_ context.Context, upstreams []platform.Instance) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gatewaysCut {
		return platform.ErrUnavailable
	}
	for _, u := range upstreams {
		a, known := s.apps[u.ID]
		if !known || !a.leavingAt.IsZero() {
			continue
		}
		a.leavingAt = time.Now()
		if serving := s.countUpstreams(); serving < minUpstreams && !a.stopping {
			s.recordProblem("draining %s leaves %d upstreams, want at least %d", u.ID, serving, minUpstreams)
		}
	}
	return nil
}

// Leaving implements fleet.Gateways.
func (s *simulation) Leaving(context.Context) (map[ident.Instance]ident.Incarnation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gatewaysCut {
		return nil, platform.ErrUnavailable
	}
	leaving := make(map[ident.Instance]ident.Incarnation)
	for _, a := range s.apps {
		if instance, listed := s.list.Find(a.id); listed && !a.leavingAt.IsZero() {
			leaving[a.id] = instance.Incarnation
		}
	}
	return leaving, nil
}

// Plain implements fleet.Dialer.
func (s *simulation) Plain(address string) upstream.Plain {
	return plain{simulation: s, id: ident.Instance(address)}
}

// Engine implements fleet.Dialer. The fleet has no engines.
func (s *simulation) Engine(string) upstream.Engine { return nil }

// plain implements the client of one upstream.
type plain struct {
	upstream.Plain
	simulation *simulation
	id         ident.Instance
}

func (p plain) Health(context.Context) (upstream.Health, error) {
	p.simulation.mu.Lock()
	defer p.simulation.mu.Unlock()
	a, known := p.simulation.apps[p.id]
	if !known {
		return upstream.Health{}, upstream.ErrNotSent
	}
	return upstream.Health{Instance: p.id, Running: a.running, Leaving: a.stopping}, nil
}

// process is one running controller and its leases.
type process struct {
	leases *lease.Manager
	stop   context.CancelFunc
	done   sync.WaitGroup
}

// startProcess starts a controller that reads the platform's list each second.
func (s *simulation) startProcess(id ident.Instance, rank int) *process {
	ctx, stop := context.WithCancel(context.Background())
	p := &process{stop: stop}
	doc := &document.Document{Service: service, Kind: document.Plain, Placement: placement()}
	documents := blackboard.NewSection(&document.Set{Services: map[ident.Service]document.Entry{service: {Document: doc}}})
	listed := blackboard.NewSection(blackboard.Listing{})
	p.leases = lease.New(lease.Config{Holder: lease.NewHolder(id, 1), Margin: requestTimeout}, s.log)
	p.leases.SetWanted([]lease.Wanted{{Name: lease.Name{Service: service}, Rank: rank}})
	controller := fleet.New(
		fleet.Config{Interval: time.Second, LoadInterval: fleet.DefaultLoadInterval, RequestTimeout: requestTimeout, MaxParallel: 4, SlotsPerEngine: slots, SlotsPerPlain: slots},
		fleet.Deps{
			Documents: documents, Listing: listed, Leases: p.leases, Cloud: s,
			Dialer: s, Gateways: s, Log: hclog.NewNullLogger(),
		})
	p.done.Go(func() { p.leases.Run(ctx) })
	p.done.Go(func() { _ = controller.Run(ctx) })
	p.done.Go(func() {
		for ctx.Err() == nil {
			if list, err := s.list.List(ctx); err == nil {
				listed.Publish(blackboard.Listing{Instances: list, ReadAt: time.Now()})
			}
			time.Sleep(time.Second)
		}
	})
	return p
}

func placement() document.Placement {
	p := document.Placement{Min: minUpstreams, Max: maxUpstreams, OnDemandShare: 0.3}
	for i, domain := range domains {
		for _, reclaimable := range []bool{false, true} {
			price := document.Price{FailureDomain: domain, Class: "cpu", Reclaimable: reclaimable, CentsPerHour: float64(10 + i)}
			if reclaimable {
				price.CentsPerHour /= 3
			}
			p.Prices = append(p.Prices, price)
		}
	}
	return p
}
