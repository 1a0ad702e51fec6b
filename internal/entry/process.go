package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	pkgerrors "github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/retryafter"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/waiting"
	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/connend"
	"github.com/goldcrestspool/goldcrestspool/internal/daemon"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/ingress"
	"github.com/goldcrestspool/goldcrestspool/internal/lending"
	"github.com/goldcrestspool/goldcrestspool/internal/membudget"
	"github.com/goldcrestspool/goldcrestspool/internal/metering"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/poison"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/reach"
	"github.com/goldcrestspool/goldcrestspool/internal/relay"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/retryslack"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
	"github.com/goldcrestspool/goldcrestspool/internal/settings"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
	"github.com/goldcrestspool/goldcrestspool/internal/slotlease"
	"github.com/goldcrestspool/goldcrestspool/internal/telemetry"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

const (
	// connectionBytes is what a caller's connection costs this process while a request of ordinary size is on
	// it.
	connectionBytes = 20 << 10
	// sweepInterval is how often idle connections are checked.
	sweepInterval = time.Second
)

// Process is an entry process. Create it with New and call Run once.
type Process struct {
	settings  *settings.Entry
	ports     Ports
	log       hclog.Logger
	logWriter *telemetry.AsyncWriter
	tracing   *telemetry.Telemetry
	now       boottime.Clock
	started   time.Time
	// incarnation tells this process from earlier ones of the same instance.
	incarnation ident.Incarnation
	// incarnationID is the result of gossip.IncarnationID for this process.
	incarnationID string
	// seq is the sequence number of the last report.
	seq     atomic.Uint64
	leaving atomic.Bool
	// gatewaysBeforeStart is how many gateways there were before the start. It counts for
	// gatewaysBeforeStartPeriod.
	gatewaysBeforeStart atomic.Int64
	// lends is set once this gateway may keep accounts' pools.
	lends atomic.Bool

	board         *board
	pool          *httpconn.Pool
	configuration *configFollower
	upstreams     *upstreamsFollower
	peers         *gossip.Table
	gossip        *gossip.Gossip
	chooser       *placement.Chooser
	room          *waiting.Room
	retries       *retry.FleetBudget
	retrySlack    retryslack.Slack
	retryLending  *lending.Lending
	speeds        *speed.Tracker
	rollouts      *rollout.Tracker
	poison        *poison.Tracker
	limits        *upstreamlimit.Limiter
	announced     *announced.Registry
	lease         *duty.Manager
	quotas        *quota.Limiter
	lending       *lending.Lending
	slotServer    *slotlease.Server
	slots         *slotlease.Client
	network       *reach.Network
	relays        *relay.Server
	origins       *origin.Registry
	counter       *metering.Counter
	ledger        *metering.Ledger
	metrics       *ingress.Metrics
	memory        *membudget.Budget
	answers       answerbudget.Pair
	callers       *ingress.Server

	view atomic.Pointer[peerView]
}

// New creates a process. makePorts gets the pool from which all outgoing connections of the
// process come.
func New(s *settings.Entry, makePorts func(*httpconn.Pool) Ports, output io.Writer) (*Process, error) {
	logWriter := telemetry.NewAsyncWriter(output)
	tracing, err := telemetry.Setup(telemetry.Config{
		Program: "entry", Instance: s.Instance.ID, FailureDomain: s.Instance.FailureDomain, Region: s.Instance.Region,
		LogLevel: s.Log.Level, LogFormat: string(s.Log.Format), LogOutput: logWriter,
		TraceExporter: string(s.Trace.Exporter), TraceEndpoint: s.Trace.Endpoint,
	})
	if err != nil {
		return nil, err
	}
	p := &Process{
		settings: s, log: tracing.Log, logWriter: logWriter, tracing: tracing, now: boottime.Now, started: boottime.Now(),
		incarnation: ident.Incarnation(time.Now().UnixNano()), board: newBoard(), pool: httpconn.NewPool(boottime.Now),
		ledger: metering.NewLedger(), metrics: ingress.NewMetrics(),
	}
	p.incarnationID = gossip.IncarnationID(s.Instance.ID, p.incarnation)
	p.ports = makePorts(p.pool)
	if p.ports.Eras == nil {
		p.ports.Eras = platform.NewEras()
	}
	p.ports.Eras.OnRise(func(before, now ident.Era) { p.log.Info("store's era is known", "era", now, "before", before) })
	p.view.Store(&peerView{View: gossip.InitialView()})
	p.wire()
	return p, nil
}

// wire creates the parts of the process and connects them.
func (p *Process) wire() {
	s := p.settings
	p.peers = gossip.NewTable(p.contact(), s.Peers.Seeds)
	p.rollouts = rollout.New(rollout.Config{
		Limits: rollout.Limits{Share: s.Rollout.Share, Slack: s.Rollout.Slack, StopDue: s.Rollout.StopDue}, Now: p.now, Log: p.log.Named("rollout"),
		IncarnationID: p.incarnationID, Gateways: p.gatewayCount, OrdersKnown: func() time.Time { return p.configuration.confirmedAt() },
	})
	key := func(id ident.Instance) uint32 { return uint32(gossip.UpstreamKeyOf(id)) }
	p.poison = poison.New(poison.Config{
		Self: s.Instance.ID, Now: p.now, Log: p.log.Named("poison"), Key: key, Alone: p.alone,
		Standing: func(id ident.Instance, since time.Time) poison.Standing { return p.upstreams.standing(id, since) },
	})
	p.limits = upstreamlimit.NewLimiter(upstreamlimit.Config{
		Now: p.now, Log: p.log.Named("limits"), Key: key, Round: gossip.Interval, Seed: uint64(p.incarnation),
	})
	p.announced = announced.NewRegistry(announced.Config{
		Now: p.now, Log: p.log.Named("announced"), Limits: p.limits, Round: gossip.Interval, MaxPause: s.Upstreams.MaxPause, Seed: uint64(p.incarnation),
		Listed: func(id ident.Instance) bool {
			_, listed := p.board.upstreams.Value().Upstream(id)
			return listed
		},
		OnLeaving: func(ids []ident.Instance) { p.upstreams.recordLeaving(ids) },
	})
	forCallers, own := p.machine().Answers(connend.UnreadBytes)
	p.answers = answerbudget.NewPair(p.now, p.log, forCallers, own)
	p.pool.BoundAnswers(p.answers.ForCallers, p.answers.Own)
	p.memory = membudget.New(membudget.Config{
		Now: p.now, Log: p.log.Named("memory"), Bytes: p.machine().CallerBytes(),
		Connections: p.machine().CallerConnections(), ConnectionBytes: connectionBytes, MetersHeads: true,
	})
	p.wireNetwork()
	p.origins = origin.NewRegistry(origin.Config{Now: p.now, Log: p.log.Named("origin"), Network: originNetwork{p.pool}, ViewAge: func() time.Duration { return p.upstreams.age() },
		Beginnings: storedBeginnings{p.ports.Store, p.log.Named("origin")}, OnBegun: func() { p.room.WakeAll() },
		Refresh: func(ctx context.Context) bool { return p.upstreams.refresh(ctx) },
		Earlier: func(ctx context.Context, within time.Duration) (origin.Earlier, error) {
			return p.upstreams.earlier(ctx, within)
		}})
	p.configuration = newConfigFollower(p.ports, p.board, p.rollouts, p.now, p.storeRank, s.Configuration.ChangeDue, p.log.Named("configuration"))
	gone := newDepartures(p.now, s.Upstreams.DepartureDue)
	p.upstreams = newUpstreamsFollower(p.ports, p.board, p.announced, []viewObserver{func(v *directory.View, _ time.Duration) { p.rollouts.Observe(v) }, p.origins.Observe, gone.Observe}, p.origins.MarkComplete, p.network, p.now, p.storeRank, s.Upstreams.DepartureDue, s.Upstreams.Renewal, p.log.Named("upstreams"))
	p.gossip = gossip.New(gossip.Config{
		Self: p.contact(), Incarnation: p.incarnation, Table: p.peers, Knowledge: knowledge{p},
		Network: gossip.HTTPNetwork{Pool: p.pool}, LoanNetwork: gossip.HTTPNetwork{Pool: p.pool, Path: gossip.LoanPath},
		Lend:     func(ctx context.Context, request []byte) ([]byte, error) { return p.lending.Serve(ctx, request) },
		Messages: p.messages(),
		Handlers: map[string]http.Handler{"POST " + relay.Path: p.relays}, Now: p.now, Log: p.log.Named("gossip"),
	})
	p.counter = metering.NewCounter(s.Usage.Window, p.trueTime)
	p.quotas = quota.NewLimiter(quota.Tolerance{Window: s.Quota.Window, Overage: s.Quota.Overage, Slack: s.Quota.Slack}, p.quotaReports, p.now())
	p.lending = lending.New(lending.Config{
		Self: s.Instance.ID, Now: p.now, Log: p.log.Named("lending"), Network: loanNetwork{p.gossip, p.pool}, Limiter: p.quotas, Account: p.accountLimit,
	})
	p.quotas.SetLender(p.lending)
	p.wireRetries()
	p.speeds = speed.New(speed.Config{Log: p.log.Named("speed"), Key: key, Interval: gossip.Interval})
	p.chooser = placement.New(placement.Config{
		Params: placement.DefaultParams(), Self: s.Instance.ID, Domain: s.Instance.FailureDomain, Log: p.log.Named("placement"),
		View:            func() *directory.View { return p.board.upstreams.Value() },
		OtherLoad:       func(id ident.Instance) placement.Load { return p.view.Load().loadOf(id) },
		Silent:          func(d ident.FailureDomain) bool { return p.view.Load().SilentDomains[d] },
		Gateways:        p.gatewayCount,
		OtherEngineSums: p.engineSums,
		Limits:          p.limits,
		Pauses:          p.announced,
		RetryLeft:       p.retries.Left,
		HoldsBack:       p.origins.HoldsBack,
		MayBegin:        p.origins.MayBegin,
		EndedEarly:      gone.EndedEarly,
		Split:           p.rollouts.SplitOf,
		Slowness:        p.speeds.Factor,
		RecordSpeed:     p.speeds.Record,
	})
	p.room = waiting.NewRoom(waiting.RoomConfig{
		Now: p.now, Placement: p.chooser, Table: p.table, Reading: p.chooser.IdleFirstEvent, Log: p.log.Named("waiting"),
	})
	p.wireSlots()
	forwarder := forward.New(forward.Config{
		Now: p.now, Network: p.network, Dialect: p.ports.Protocol, Placement: p.slots, Places: p.slots,
		Budget: p.retries, Guard: p.poison, Announcements: p.announced, Origins: p.origins, Meter: p.counter, Log: p.log.Named("forward"), Tracer: p.tracing.Tracer, RetryAfter: p.retryAfter,
	})
	p.lease = p.newLease()
	p.callers = ingress.New(ingress.Config{
		Now: p.now, Table: p.table, Protocol: p.ports.Protocol, Quota: p.quotas, Guard: p.poison, Forwarder: forwarder,
		Log: p.log.Named("ingress"), Tracer: p.tracing.Tracer, Metrics: p.metrics, Memory: p.memory,
	})
}

// minRetryAfter is the shortest retry-after time of a request that no upstream accepted. It
// is short because slots become free all the time.
const minRetryAfter = 100 * time.Millisecond

// retryAfter returns the retry-after time of a request that no upstream accepted: the time
// until an engine will probably have read the prompts that are queued there, spread so that
// callers that were refused together do not return together.
func (p *Process) retryAfter(call *forward.Call) time.Duration {
	now := p.now()
	capacityIn := max(p.chooser.RetryAfter(call, now), p.slots.RetryAfter(call.Service.Name, now))
	return retryafter.Spread(max(call.Route.Objective/2, capacityIn, minRetryAfter), call.ID)
}

// machine returns what the process may use.
func (p *Process) machine() membudget.Machine {
	return membudget.Machine(p.settings.Machine.MachineLimits)
}

// table returns the operators' configuration in force, or nil while none is known.
func (p *Process) table() *routetable.Table { return p.board.table.Value() }

// Run serves until signals.Stop ends, and then leaves within the grace period. It returns an
// error only if it cannot listen. Each value from reload makes it read the settings again.
func (p *Process) Run(signals daemon.Signals, reload <-chan os.Signal) error {
	p.machine().LimitGo()
	p.log.Info("started", "version", daemon.Version(), "domain", p.settings.Instance.FailureDomain,
		"callers", p.settings.Listen.Callers, "operators", p.settings.Listen.Operators, "seeds", p.settings.Peers.Seeds)
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var work sync.WaitGroup
	run := func(f func(context.Context)) { work.Go(func() { f(ctx) }) }
	go p.serve("callers", func() error { return p.callers.Serve(listeners.callers) })
	go p.serve("peers", func() error { return p.gossip.Serve(listeners.peers) })
	go p.serve("readiness", func() error { return p.newReadinessServer().Serve(listeners.readiness) })
	if listeners.operators != nil {
		go p.serve("operators", p.newOperatorsServer(listeners.operators).Serve)
	}
	run(p.configuration.run)
	run(p.upstreams.run)
	run(p.gossip.Run)
	run(p.network.Run)
	run(p.followPeers)
	run(p.newPoisonStore().run)
	run(p.wakeAtUpstreams)
	run(p.wakeAtConfiguration)
	run(p.sweepIdle)
	run(func(ctx context.Context) { p.reload(ctx, reload) })
	run(func(ctx context.Context) { p.runDuties(ctx, signals.Stop) })
	<-signals.Stop.Done()
	p.leave(ctx, signals)
	cancel()
	work.Wait()
	p.flushSpans()
	p.log.Info("stopped")
	p.logWriter.Flush()
	return nil
}

// serve runs one server and logs its error, unless the process is leaving.
func (p *Process) serve(name string, serve func() error) {
	if err := serve(); err != nil && !pkgerrors.Is(err, http.ErrServerClosed) && !p.leaving.Load() {
		p.log.Error("server stopped unexpectedly", "server", name, "error", err)
	}
}

type listeners struct {
	callers, peers, readiness, operators net.Listener
}

// listen opens the listeners with an address in the settings. A failure is an error, except
// for the operators' listener.
func (p *Process) listen() (listeners, error) {
	var l listeners
	plain := func(address string) (net.Listener, error) { return net.Listen("tcp", address) }
	bounded := func(address string) (net.Listener, error) { return membudget.Listen(address, p.log.Named("memory")) }
	for _, each := range []struct {
		into    *net.Listener
		address string
		open    func(address string) (net.Listener, error)
	}{
		{&l.callers, p.settings.Listen.Callers, bounded}, {&l.peers, p.settings.Listen.Peers, plain},
		{&l.readiness, p.settings.Listen.Readiness, plain}, {&l.operators, p.settings.Listen.Operators, plain},
	} {
		if each.address == "" {
			continue
		}
		listener, err := each.open(each.address)
		if err != nil && each.into == &l.operators {
			// Callers can be served without the operators' server.
			p.log.Error("cannot listen for operators, metrics are not served", "address", each.address, "error", err)
			continue
		}
		if err != nil {
			return l, pkgerrors.Wrapf(err, "listen on %s", each.address)
		}
		*each.into = listener
	}
	return l, nil
}

// sweepIdle closes connections that were idle for too long, until ctx ends.
func (p *Process) sweepIdle(ctx context.Context) {
	for sleep.For(ctx, sweepInterval) {
		p.pool.Sweep()
		p.callers.SweepIdle()
	}
}

// reload reads the settings file again at each signal until ctx ends. Only changed seeds take
// effect; all other settings apply from the start of the process.
func (p *Process) reload(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		p.reloadSettings()
	}
}
