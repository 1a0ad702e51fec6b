package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/metering"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/scaling"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
)

const (
	// dutyInterval is how often each duty's step runs; it acts only under the lease.
	dutyInterval = 250 * time.Millisecond
	// notCandidateRank is the rank of a gateway that must not claim the lease.
	notCandidateRank = 1 << 20
)

// runDuties runs the duties, which one gateway at a time performs under a lease, until ctx
// ends. When stop ends, the lease is released as soon as the calls under it have ended:
// callers' requests may still run for seconds, and a successor must not wait for them.
func (p *Process) runDuties(ctx, stop context.Context) {
	if p.ports.Duties == nil {
		return
	}
	var steps, lease sync.WaitGroup
	run := func(step func(context.Context)) {
		steps.Go(func() {
			for sleep.For(stop, dutyInterval) {
				step(ctx)
			}
		})
	}
	steps.Go(func() { p.readGatewayCount(stop) })
	run(p.newRollouts().Step)
	if slices.Contains(p.settings.Cloud.Duties, "metering") {
		run(p.newReporter().Step)
	}
	if slices.Contains(p.settings.Cloud.Duties, "autoscale") {
		run(p.newScaling().Step)
	}
	held, release := context.WithCancel(ctx)
	lease.Go(func() { p.lease.Run(held) })
	steps.Wait()
	<-stop.Done()
	release()
	lease.Wait()
}

// readGatewayCount reads from the store how many gateways there were before this process
// started. It retries until gatewaysBeforeStartPeriod is over.
func (p *Process) readGatewayCount(ctx context.Context) {
	for failures := 0; p.now().Sub(p.started) < gatewaysBeforeStartPeriod; failures++ {
		n, err := p.lease.ReadGatewayCount(ctx)
		if err == nil {
			p.gatewaysBeforeStart.Store(int64(n))
			p.log.Info("gateways before the start", "count", n)
			return
		}
		if !sleep.For(ctx, draw(rand.N[time.Duration]).retryPause(failures, maxRetryPause)) {
			return
		}
	}
}

func (p *Process) newLease() *duty.Manager {
	return duty.NewManager(duty.Config{
		Self: p.settings.Instance.ID, Incarnation: p.incarnation, Timing: duty.NewTiming(p.settings.Lease.Length, platform.DutyTimeout),
		Store: p.ports.Store, Now: p.now, TrueTime: p.trueTime, Era: p.storeEra, Log: p.log.Named("lease"), Rank: p.leaseRank, GatewayCount: p.gatewayCount,
		GivenUpFence: p.givenUpFence, StateToStore: p.stateToStore, RestoreState: p.restoreState,
		OnGivenUp: func() { go p.gossip.Announce(context.Background()) },
	})
}

// storeEra returns the newest known era of the store.
func (p *Process) storeEra() ident.Era { return p.ports.Eras.Newest() }

// stateToStore returns the state to store in the lease's record, so that it survives when
// all gateways end at once.
func (p *Process) stateToStore() duty.StoredState {
	return duty.StoredState{PoisonRequests: p.poison.Snapshot(), Limits: p.limits.Snapshot()}
}

// restoreState restores the state that an earlier holder of the lease stored.
func (p *Process) restoreState(stored duty.StoredState) {
	p.poison.Restore(stored.PoisonRequests)
	p.limits.Restore(stored.Limits)
}

// givenUpFence returns the highest fencing number whose holder reports that it no longer
// acts under it; 0 if none.
func (p *Process) givenUpFence() ident.Fence {
	return p.view.Load().GivenUpFence
}

// leaseRank returns this gateway's rank among those that may claim the lease, 0 first, and
// whether another gateway reports that it holds the lease.
func (p *Process) leaseRank() (int, bool) {
	if p.leaving.Load() {
		return notCandidateRank, true
	}
	v := p.view.Load()
	return v.Rank, v.LeaseHeld
}

func (p *Process) newReporter() *metering.Reporter {
	return &metering.Reporter{
		WindowLength: p.settings.Usage.Window, DueAfter: p.settings.Usage.DueAfter, Gather: p.gossip.RequestCounts, TrueTime: p.trueTime, Now: p.now, Ledger: p.ledger, Leases: p.lease,
		Duties: p.ports.Duties, Log: p.log.Named("metering"),
	}
}

func (p *Process) newScaling() *scaling.Controller {
	return &scaling.Controller{
		Now: p.now, Table: p.table, View: p.board.upstreams.Value, Need: p.neededUpstreams, Leases: p.lease,
		Duties: p.ports.Duties, Log: p.log.Named("scaling"), Serves: p.rollouts.Serves, RolloutRunning: p.rollouts.InProgress,
		UnservedShare: p.limits.UnservedShare,
	}
}

func (p *Process) newRollouts() *rollout.Controller {
	return rollout.NewController(rollout.ControllerConfig{
		Tracker: p.rollouts, Leases: p.lease, Store: p.ports.Store, StatusTopic: p.ports.RolloutReports, Now: p.now, TrueTime: p.trueTime,
		Era: p.storeEra, Gateways: p.gatewayCount, DrainTime: p.chooser.DrainTime, InFlight: p.runningRequests, Log: p.log.Named("rollout"),
		Settled: func(service ident.Service) bool { return p.rollouts.Settled(service, p.hasNoRequests) },
	})
}

// hasNoRequests reports whether this gateway has no request in flight at an upstream of the
// service for which match returns true, nor at any upstream that is not listed any more.
func (p *Process) hasNoRequests(service ident.Service, match func(*directory.Upstream) bool) bool {
	view := p.board.upstreams.Value()
	for id := range p.chooser.OwnLoads() {
		if u, listed := view.Upstream(id); !listed || u.Service == service && match(&u) {
			return false
		}
	}
	return true
}

// runningRequests returns how many requests all gateways have in flight at a service.
func (p *Process) runningRequests(service ident.Service) int {
	sum := 0
	own, others := p.chooser.OwnLoads(), p.view.Load()
	for _, u := range p.board.upstreams.Value().Of(service) {
		sum += own[u.ID].Running + others.loadOf(u.ID).Running
	}
	return sum
}

// neededUpstreams returns how many upstreams of a service the present demand at all
// gateways keeps busy; 1 for a plain service.
func (p *Process) neededUpstreams(s *routetable.Service) float64 {
	if s.Engine == nil {
		return 1
	}
	d := p.chooser.Demand(s.Name, p.now())
	v := p.view.Load()
	for i := range v.Groups {
		d = d.Plus(v.Groups[i].Demand[s.Name])
	}
	return scaling.Need(d, p.chooser.EngineEstimate(s.Name, p.now()), s.Engine.Slots)
}

// demand returns this gateway's demand for each service that can be scaled, for its report.
func (p *Process) demand(now time.Time) map[ident.Service]placement.Demand {
	table := p.table()
	if table == nil {
		return nil
	}
	out := make(map[ident.Service]placement.Demand)
	for i := range table.Services() {
		if s := &table.Services()[i]; s.Scale != nil {
			out[s.Name] = p.chooser.Demand(s.Name, now)
		}
	}
	return out
}
