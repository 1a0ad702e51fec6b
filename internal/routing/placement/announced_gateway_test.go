package placement

import (
	"fmt"
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/retryslack"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

type fleetGateway struct {
	f         *announcedFleet
	i, domain int
	id        ident.Instance
	started   time.Duration
	chooser   *Chooser
	announced *announced.Registry
	limits    *upstreamlimit.Limiter
	budget    *retry.FleetBudget
	view      *directory.View
	// past are the loads that this gateway had, a loadsStep apart.
	past []map[ident.Instance]Load
	// frozen: it does nothing until eventTo.
	frozen bool
	// toldLeaving and pausedUntil say, by upstream, when this gateway read that the upstream leaves
	// and until when it asked for a pause; pausedAt is when it read that.
	toldLeaving, pausedUntil, pausedAt map[ident.Instance]time.Duration
}

// fleetRetries is the retry budget that the gateways share.
var fleetRetries = retry.FleetBudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}

// startSlack creates the slack of the retry budget as a fleet has it that has run for a while: all gateways
// borrow from one pool.
func (f *announcedFleet) startSlack() {
	const ranFor, refresh = 20 * time.Second, 500 * time.Millisecond
	now := f.clock()
	f.slack = retryslack.Slack{Config: fleetRetries, Limiter: quota.NewLimiter(retryslack.Tolerance(fleetRetries), noOtherGateways, now.Add(-ranFor-quota.StartupPeriod))}
	for at := now.Add(-ranFor); at.Before(now); at = at.Add(refresh) {
		f.refreshSlackAt(at)
	}
	f.refreshSlack()
}

// refreshSlack refills the slack, now and in each round.
func (f *announcedFleet) refreshSlack() {
	f.In(fleetRound, f.refreshSlack)
	f.refreshSlackAt(f.clock())
}

func (f *announcedFleet) refreshSlackAt(at time.Time) {
	f.slack.Limiter.ApplyReports([]routetable.Account{retryslack.Limit(fleetRetries, "svc")}, at)
}

func noOtherGateways(ident.ClientAccount, time.Time) quota.OtherGateways {
	return quota.OtherGateways{}
}

func (g *fleetGateway) start() {
	f := g.f
	g.started = f.Now()
	g.toldLeaving, g.pausedUntil, g.pausedAt = make(map[ident.Instance]time.Duration), make(map[ident.Instance]time.Duration), make(map[ident.Instance]time.Duration)
	g.past = nil
	g.limits = upstreamlimit.NewLimiter(upstreamlimit.Config{
		Now: f.clock, Log: hclog.NewNullLogger(), Key: func(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) }, Round: fleetRound,
	})
	g.announced = announced.NewRegistry(announced.Config{
		Now: f.clock, Log: hclog.NewNullLogger(), Limits: g.limits, Round: fleetRound, MaxPause: 10 * time.Minute, Seed: f.rng.Uint64(),
		Listed: func(id ident.Instance) bool {
			_, listed := g.view.Upstream(id)
			return listed
		},
		OnLeaving: func([]ident.Instance) { g.showUpstreams() },
	})
	g.budget = retry.NewFleetBudget(fleetRetries, f.slack)
	g.showUpstreams()
	g.chooser = New(Config{
		Params: DefaultParams(), Self: g.id, Domain: f.domainName(g.domain), Log: hclog.NewNullLogger(),
		View:            func() *directory.View { return g.view },
		OtherLoad:       g.otherLoad,
		Silent:          func(ident.FailureDomain) bool { return false },
		Gateways:        func() int { return f.story.gateways },
		OtherEngineSums: func(ident.Service) enginemodel.Sums { return f.engineSums },
		HoldsBack:       func(ident.Service, ident.SoftwareVersion, time.Time) bool { return false },
		MayBegin:        func(ident.Service, ident.SoftwareVersion) bool { return true },
		EndedEarly:      func(ident.Instance) bool { return false },
		Split:           func(ident.Service) *rollout.Split { return nil },
		Limits:          g.limits, Pauses: g.announced, RetryLeft: g.budget.Left,
	})
}

// showUpstreams builds the view: the entries, on which upstreams that announced it are leaving.
func (g *fleetGateway) showUpstreams() {
	var list []directory.Upstream
	for _, u := range g.f.upstreams {
		state := directory.Ready
		if g.announced.Leaving(u.id) || g.f.way == foreknowledge && g.f.takesNothing(u, g) {
			state = directory.Leaving
		}
		list = append(list, directory.Upstream{
			ID: u.id, Name: ident.Instance(fmt.Sprintf("u%03d", u.i)), Born: int64(u.born), Service: "svc", FailureDomain: g.f.domainName(u.domain), Slots: g.f.story.slots, State: state,
		})
	}
	g.view = directory.NewView(list)
}

// list updates which upstreams are listed and tells the others of those that leave.
func (g *fleetGateway) list() {
	f := g.f
	f.In(fleetRound, g.list)
	if g.frozen {
		return
	}
	g.announced.UpdateListed(func(note func(ident.Instance)) {
		g.view.Each(func(u *directory.Upstream) { note(u.ID) })
	})
	g.shareLimits()
	reports, asOf := g.announced.Reports(), f.clock()
	remaining := make(map[ident.Instance]time.Duration)
	if f.way == sharedPauses {
		remaining = maps.Clone(g.pausedUntil)
	}
	if len(reports.Leaving)+len(reports.Limits)+len(remaining) == 0 {
		return
	}
	for _, o := range f.gateways {
		if o == g {
			continue
		}
		f.In(hearsayDelay-fleetRound, func() {
			if f.apart(g.domain, o.domain) || o.frozen {
				return
			}
			o.announced.Merge(reports, asOf)
			if f.way != sharedPauses {
				return
			}
			for id, until := range remaining {
				if left := until - f.Now(); left > 0 && o.announced.Accepts(id) {
					o.announced.Record(id, "", announced.Statement{Pause: left})
				}
			}
		})
	}
}

// shareLimits tells the gateway how much of the rate limits the others use.
func (g *fleetGateway) shareLimits() {
	if len(g.f.story.limits) == 0 {
		return
	}
	uses := make(upstreamlimit.Uses)
	for _, o := range g.f.gateways {
		if o != g {
			uses.Add(o.limits.Uses())
		}
	}
	g.limits.Refresh(uses, upstreamlimit.Fleet{Heard: len(g.f.gateways), Known: len(g.f.gateways)})
}

// otherLoad returns what the gateway knows of the other gateways' load at an upstream.
func (g *fleetGateway) otherLoad(id ident.Instance) Load {
	back := int(loadsAge / loadsStep)
	if len(g.past) <= back || len(g.f.totals) <= back {
		return Load{}
	}
	return g.f.totals[len(g.f.totals)-1-back][id].Minus(g.past[len(g.past)-1-back][id])
}

// fleetRequest is one request on its way. chooser and announced are those of the gateway's process
// that took it.
type fleetRequest struct {
	f         *announcedFleet
	g         *fleetGateway
	chooser   *Chooser
	announced *announced.Registry
	call      *forward.Call
	state     *forward.State
	began     time.Duration
}

// choose chooses an upstream, or waits for one, as package forward does.
func (r *fleetRequest) choose() {
	f := r.f
	if r.g.frozen || r.chooser != r.g.chooser {
		return // frozen with its gateway, or killed with it
	}
	choice, found := r.chooser.Choose(r.call, r.state.Tried, f.clock())
	if found {
		// One in twenty requests opens a connection first.
		dial := time.Duration(0)
		if f.rng.IntN(20) == 0 {
			dial = maxFleetDelay
		}
		f.In(dial, func() { r.send(choice) })
		return
	}
	waitUntil := r.call.Received.Add(f.route.Objective / 8)
	if choice.BlockedPast(waitUntil) || !f.clock().Before(waitUntil) {
		r.refuse()
		return
	}
	f.In(waitStep, r.choose)
}

func (r *fleetRequest) refuse() {
	f := r.f
	f.result.refused++
	for _, u := range f.upstreams {
		refuses, _ := f.refuses(u, r.g)
		paused := f.Now() < r.g.pausedUntil[u.id]
		if !refuses && !paused && !f.leaving(u) && u.running < f.story.slots && !f.apart(r.g.domain, u.domain) {
			f.result.refusedWithRoom++
			if r.state.Attempts() > 0 {
				f.result.refusedByBudget++
			}
			return
		}
	}
}

// after continues the request after an attempt.
func (r *fleetRequest) after(choice forward.Choice, result forward.Result) {
	now := r.f.clock()
	r.chooser.Finished(choice, result, now)
	switch r.state.After(choice.Upstream, result, func() bool { return r.g.budget.Spend("svc", now).OK }) {
	case forward.TryAnother:
		r.choose()
	case forward.Deliver:
		r.f.result.latencies = append(r.f.result.latencies, r.f.Now()-r.began)
	case forward.Refuse:
		r.refuse()
	}
}

func (r *fleetRequest) send(choice forward.Choice) {
	f, g := r.f, r.g
	if r.chooser != g.chooser || g.frozen {
		return
	}
	if !r.announced.Accepts(choice.Upstream) {
		r.after(choice, forward.Withdrawn)
		return
	}
	f.recordSend(g, choice.Upstream)
	delay := time.Duration(f.rng.Int64N(int64(maxFleetDelay)))
	u := f.upstreamOf(choice.Upstream)
	switch {
	case u == nil || f.gone(u):
		// The upstream has started anew meanwhile, or its process has ended.
		f.In(delay, func() { r.after(choice, forward.NoConnection) })
	case f.apart(g.domain, u.domain):
		f.In(fleetDialTimeout, func() { r.after(choice, forward.NoConnection) })
	default:
		f.In(delay, func() { f.receive(u, r, choice, delay) })
	}
}

// readAnswer lets the gateway read an answer.
func (r *fleetRequest) readAnswer(choice forward.Choice, s announced.Statement, notRun bool) {
	f, g := r.f, r.g
	if r.chooser != g.chooser {
		return
	}
	if g.frozen {
		f.In(eventTo-f.Now(), func() { r.readAnswer(choice, s, notRun) })
		return
	}
	if _, told := g.toldLeaving[choice.Upstream]; s.Leaving && !told {
		g.toldLeaving[choice.Upstream] = f.Now()
	}
	if until := f.Now() + s.Pause; s.Pause > 0 && until > g.pausedUntil[choice.Upstream] {
		g.pausedUntil[choice.Upstream], g.pausedAt[choice.Upstream] = until, f.Now()
	}
	r.announced.Record(choice.Upstream, r.call.ID, s)
	switch {
	case notRun && r.announced.Accepts(choice.Upstream):
		r.after(choice, forward.Rejected)
	case notRun:
		r.after(choice, forward.Declined)
	default:
		r.chooser.FirstEventArrived(choice, f.clock())
		r.after(choice, forward.Done)
	}
}
