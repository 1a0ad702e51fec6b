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

// world simulates the platform, the upstreams and the gateways.
type world struct {
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
func (w *world) Start(ctx context.Context, req platform.StartRequest) (ident.Instance, error) {
	w.mu.Lock()
	w.startsRequested++
	w.mu.Unlock()
	return w.cloud.Start(ctx, req)
}

// Stop implements platform.Cloud.
func (w *world) Stop(ctx context.Context, id ident.Instance, fence ident.Fence) error {
	return w.cloud.Stop(ctx, id, fence)
}

// Notices implements platform.Cloud.
func (w *world) Notices(ctx context.Context, after uint64) ([]platform.Notice, error) {
	return w.cloud.Notices(ctx, after)
}

func newWorld() *world {
	w := &world{list: instances.New(listLag), log: logstore.New(logstore.Options{}), apps: make(map[ident.Instance]*app)}
	w.cloud = cloud.New(cloud.Options{ChecksFencing: true, OnStarted: w.started, OnStopped: w.stopped})
	return w
}

// recordProblem records a broken rule. The caller holds mu.
func (w *world) recordProblem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf(format, args...))
}

// started is called by the cloud for each new instance.
func (w *world) started(id ident.Instance, req platform.StartRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unlistedStarts > 0 {
		w.unlistedStarts--
		return
	}
	w.apps[id] = &app{id: id, domain: req.FailureDomain}
	if count := w.countUpstreams(); count > maxUpstreams {
		w.recordProblem("%d upstreams, at most %d allowed", count, maxUpstreams)
	}
	time.AfterFunc(startTime, func() {
		w.list.Register(platform.Instance{
			ID: id, Role: platform.RolePlain, Service: req.Service, FailureDomain: req.FailureDomain,
			Class: req.Class, Reclaimable: req.Reclaimable, Address: string(id),
		})
	})
}

func (w *world) countUpstreams() int {
	count := 0
	for _, a := range w.apps {
		if a.counts() {
			count++
		}
	}
	return count
}

// stopped is called by the cloud when it stops an instance.
func (w *world) stopped(id ident.Instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a, known := w.apps[id]
	if !known {
		return
	}
	if a.running > 0 {
		w.recordProblem("%s was stopped with %d requests running", id, a.running)
	}
	if a.leavingAt.IsZero() || time.Since(a.leavingAt) < spreadTime {
		w.recordProblem("%s was stopped while gateways still send it work", id)
	}
	w.stops++
	w.endUpstream(a)
}

// endUpstream removes an upstream. The caller holds mu.
func (w *world) endUpstream(a *app) {
	a.stopping = true
	delete(w.apps, a.id)
	w.list.SetState(a.id, 0, platform.Ended)
}

// reclaim announces the reclaim of all instances of a failure domain and ends
// them reclaimTime later.
func (w *world) reclaim(domain ident.FailureDomain) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.apps {
		if a.domain != domain || a.stopping {
			continue
		}
		instance, listed := w.list.Find(a.id)
		if !listed {
			continue
		}
		a.stopping = true
		w.cloud.Announce(a.id, instance.Incarnation, reclaimTime)
		w.list.SetState(a.id, 0, platform.Leaving)
		time.AfterFunc(reclaimTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endUpstream(a)
		})
	}
}

// send sends one more request to each upstream to which gateways send work.
func (w *world) send() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.apps {
		if _, listed := w.list.Find(a.id); !listed || !a.receivesWork(time.Now()) {
			continue
		}
		a.running++
		time.AfterFunc(requestTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			a.running--
		})
	}
}

// AnnounceLeaving implements fleet.Gateways.
func (w *world) AnnounceLeaving(_ context.Context, upstreams []platform.Instance) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gatewaysCut {
		return platform.ErrUnavailable
	}
	for _, u := range upstreams {
		a, known := w.apps[u.ID]
		if !known || !a.leavingAt.IsZero() {
			continue
		}
		a.leavingAt = time.Now()
		if serving := w.countUpstreams(); serving < minUpstreams && !a.stopping {
			w.recordProblem("draining %s leaves %d upstreams, want at least %d", u.ID, serving, minUpstreams)
		}
	}
	return nil
}

// Leaving implements fleet.Gateways.
func (w *world) Leaving(context.Context) (map[ident.Instance]ident.Incarnation, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gatewaysCut {
		return nil, platform.ErrUnavailable
	}
	leaving := make(map[ident.Instance]ident.Incarnation)
	for _, a := range w.apps {
		if instance, listed := w.list.Find(a.id); listed && !a.leavingAt.IsZero() {
			leaving[a.id] = instance.Incarnation
		}
	}
	return leaving, nil
}

// Plain implements fleet.Dialer.
func (w *world) Plain(address string) upstream.Plain {
	return plain{world: w, id: ident.Instance(address)}
}

// Engine implements fleet.Dialer. The fleet has no engines.
func (w *world) Engine(string) upstream.Engine { return nil }

// plain implements the client of one upstream.
type plain struct {
	upstream.Plain
	world *world
	id    ident.Instance
}

func (p plain) Health(context.Context) (upstream.Health, error) {
	p.world.mu.Lock()
	defer p.world.mu.Unlock()
	a, known := p.world.apps[p.id]
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
func (w *world) startProcess(id ident.Instance, rank int) *process {
	ctx, stop := context.WithCancel(context.Background())
	p := &process{stop: stop}
	doc := &document.Document{Service: service, Kind: document.Plain, Placement: placement()}
	documents := blackboard.NewSection(&document.Set{Services: map[ident.Service]document.Entry{service: {Document: doc}}})
	listed := blackboard.NewSection(blackboard.Listing{})
	p.leases = lease.New(lease.Config{Holder: lease.NewHolder(id, 1), Margin: requestTimeout}, w.log)
	p.leases.SetWanted([]lease.Wanted{{Name: lease.Name{Service: service}, Rank: rank}})
	controller := fleet.New(
		fleet.Config{Interval: time.Second, LoadInterval: fleet.DefaultLoadInterval, RequestTimeout: requestTimeout, MaxParallel: 4, SlotsPerEngine: slots, SlotsPerPlain: slots},
		fleet.Deps{
			Documents: documents, Listing: listed, Leases: p.leases, Cloud: w,
			Dialer: w, Gateways: w, Log: hclog.NewNullLogger(),
		})
	p.done.Go(func() { p.leases.Run(ctx) })
	p.done.Go(func() { _ = controller.Run(ctx) })
	p.done.Go(func() {
		for ctx.Err() == nil {
			if list, err := w.list.List(ctx); err == nil {
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
