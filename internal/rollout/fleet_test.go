package rollout

import (
	"container/heap"
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// A fleet simulates one rollout order in virtual time: gateways with the real Tracker, the real
// Controller at the holder of the lease, the exchange between gateways with its delays, a store,
// and upstreams that behave as the scenario says.

const (
	service        ident.Service = "svc"
	tick                         = 25 * time.Millisecond
	exchangePeriod               = 250 * time.Millisecond
	stepPeriod                   = 250 * time.Millisecond
)

var limits = Limits{Share: 0.1, Slack: 50, StopDue: 5 * time.Second}

// fault describes how a bad version's upstreams misbehave.
type fault struct {
	// failFraction is the fraction of answers that fail, and slowFraction the fraction that
	// takes slowFactor times as long.
	failFraction, slowFraction, slowFactor float64
	// from is when the fault begins, as a fraction of the time limit.
	from float64
	// aboveLoad is the number of requests in progress at an upstream above which the fault shows.
	aboveLoad int
	// route is the index of the only route with the fault; negative means all.
	route int
}

// scenario describes one order and what happens during it.
type scenario struct {
	name                       string
	gateways                   int
	rate                       float64
	timeLimit                  time.Duration
	oldUpstreams, newUpstreams int
	slots                      int
	// meanTimes is the mean duration of answers by route, and routeFractions each route's
	// fraction of the requests.
	meanTimes      []time.Duration
	routeFractions []float64
	fault          *fault
	// failFraction is the fraction of answers that fail at both versions.
	failFraction float64
	// greyFailFraction is the fraction of answers that fail at one faulty upstream of the new
	// version.
	greyFailFraction float64
	// burst multiplies the rate in the middle third of the time limit; 0 means no burst.
	burst float64
	// holderDies is when the holder of the lease dies, as a fraction of the time limit; a
	// successor takes over 4 s later. 0 means never.
	holderDies float64
	// storeUnavailable is when the store stops answering, as a fraction of the time limit; 0
	// means never.
	storeUnavailable float64
	// cutOff is when the last quarter of the gateways is disconnected from the others, as a
	// fraction of the time limit; 0 means never.
	cutOff float64
	// coldFor is how long the new upstreams are slow after their start.
	coldFor time.Duration
	// newUpstreamsAt is when the new upstreams start, as a time since the order.
	newUpstreamsAt time.Duration
	// judge replaces Judge if it is set.
	judge func(EvidenceByRoute, bool) Verdict
	// undecidable says why the evidence within the share, or the time, is not always enough to
	// decide rightly; empty if it must be.
	undecidable string
	// newUpstreamsLeave is when all but one of the new version's upstreams leave, as a fraction
	// of the time limit; 0 means never.
	newUpstreamsLeave float64
}

// result is the outcome of one play of a scenario.
type result struct {
	phase           Phase
	endedAt         time.Duration
	sent, sentToNew int
	sentToNewInTime int
	sentInTime      int
	badAnswers      int
	// lateSends counts the requests that were sent to a bad version after StopDue.
	lateSends int
	// lost counts the requests in progress at the old version when it was stopped.
	lost    int
	refused int
	against float64
}

type fleet struct {
	s          scenario
	rng        *rand.Rand
	now        time.Time
	start      time.Time
	gateways   []*simGateway
	upstreams  []*simUpstream
	store      *memoryStore
	pending    pendingAnswers
	result     result
	badAt      time.Time
	holder     int
	fence      ident.Fence
	reports    []OrderStates
	reportedAt time.Time
	view       *directory.View
	// meanTimes is the moving average of answer durations by route, in seconds.
	meanTimes []float64
}

type simGateway struct {
	f          *fleet
	i          int
	tracker    *Tracker
	controller *Controller
	inFlight   map[ident.Instance]int
	received   OrderStates
}

type simUpstream struct {
	directory.Upstream
	inFlight     int
	failFraction float64
}

type pendingAnswer struct {
	at       time.Time
	gateway  *simGateway
	upstream *simUpstream
	route    int
	sent     time.Time
	split    *Split
	failed   bool
	duration time.Duration
	side     Side
}

type pendingAnswers []pendingAnswer

func (e pendingAnswers) Len() int           { return len(e) }
func (e pendingAnswers) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e pendingAnswers) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *pendingAnswers) Push(x any)        { *e = append(*e, x.(pendingAnswer)) }
func (e *pendingAnswers) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// Grant implements Leases.
func (g *simGateway) Grant() (duty.Grant, bool) {
	return duty.Grant{Authority: platform.Authority{Fence: g.f.fence}}, g.i == g.f.holder
}

func newFleet(s scenario, seed uint64) *fleet {
	f := &fleet{s: s, rng: rand.New(rand.NewPCG(seed, 7)), start: time.Unix(1_000_000, 0), store: newMemoryStore(), fence: 1}
	f.now = f.start
	for _, took := range s.meanTimes {
		f.meanTimes = append(f.meanTimes, took.Seconds())
	}
	for i := range s.gateways {
		f.gateways = append(f.gateways, f.newGateway(i))
	}
	for i := range s.oldUpstreams {
		f.upstreams = append(f.upstreams, f.newUpstream("old", i, "v1"))
	}
	f.observe()
	return f
}

func (f *fleet) clock() time.Time { return f.now }

func (f *fleet) newGateway(i int) *simGateway {
	g := &simGateway{f: f, i: i, inFlight: make(map[ident.Instance]int)}
	g.tracker = New(Config{
		Limits: limits, Now: f.clock, Log: hclog.NewNullLogger(), IncarnationID: fmt.Sprint("gw", i), Gateways: func() int { return f.s.gateways },
		OrdersKnown: f.clock,
	})
	if f.s.judge != nil {
		g.tracker.judgeFunc = f.s.judge
	}
	g.controller = NewController(ControllerConfig{
		Era:     func() ident.Era { return f.store.era },
		Tracker: g.tracker, Leases: g, Store: f.store, Now: f.clock, TrueTime: f.clock, Log: hclog.NewNullLogger(),
		StatusTopic: StatusTopic{Topic: "reports", Encode: encodeForTest},
		Gateways:    func() int { return f.s.gateways },
		Settled:     func(service ident.Service) bool { return g.tracker.Settled(service, g.idle) },
		DrainTime: func(ident.Service) time.Duration {
			return time.Duration(3 * slices.Max(f.meanTimes) * float64(time.Second))
		},
		InFlight: func(ident.Service) int {
			sum := 0
			for _, u := range f.upstreams {
				sum += u.inFlight
			}
			return sum
		},
	})
	return g
}

func encodeForTest(service ident.Service, to ident.SoftwareVersion, phase Phase) (string, []byte, error) {
	return string(service), []byte(string(to) + " " + phase.String()), nil
}

func (g *simGateway) idle(_ ident.Service, matches func(*directory.Upstream) bool) bool {
	for _, u := range g.f.upstreams {
		if g.inFlight[u.ID] > 0 && matches(&u.Upstream) {
			return false
		}
	}
	return true
}

func (f *fleet) newUpstream(kind string, i int, version ident.SoftwareVersion) *simUpstream {
	id := ident.Instance(fmt.Sprint(kind, "-", i))
	u := &simUpstream{Upstream: directory.Upstream{ID: id, Name: id, Service: service, SoftwareVersion: version, State: directory.Ready, Slots: f.s.slots}}
	if version == "v2" {
		if f.s.coldFor > 0 {
			u.WarmAt = f.now.Add(f.s.coldFor)
		}
		if i == 0 {
			u.failFraction = f.s.greyFailFraction
		}
	}
	return u
}

func (f *fleet) observe() {
	var list []directory.Upstream
	for _, u := range f.upstreams {
		list = append(list, u.Upstream)
	}
	f.view = directory.NewView(list)
	for _, g := range f.gateways {
		g.tracker.Observe(f.view)
	}
}

func (f *fleet) age() time.Duration { return f.now.Sub(f.start) }

func (f *fleet) progress() float64 { return f.age().Seconds() / f.s.timeLimit.Seconds() }

// play simulates the order until 6 s after its end, at most until 20 s after its time limit.
func (f *fleet) play() result {
	order := Order{Service: service, To: "v2", TimeLimit: f.s.timeLimit, At: pos(5)}
	for _, g := range f.gateways {
		g.tracker.ApplyOrder(order, 0, "test")
	}
	carry, started, holderDead, takenOver, reclaimed := 0.0, false, false, false, false
	for end := f.start.Add(f.s.timeLimit + 20*time.Second); f.now.Before(end); f.now = f.now.Add(tick) {
		if !started && f.age() >= f.s.newUpstreamsAt {
			started = true
			for i := range f.s.newUpstreams {
				f.upstreams = append(f.upstreams, f.newUpstream("new", i, "v2"))
			}
			f.observe()
		}
		if f.s.holderDies > 0 && !holderDead && f.progress() >= f.s.holderDies {
			holderDead, f.holder = true, -1
		}
		if holderDead && !takenOver && f.age() >= time.Duration(f.s.holderDies*float64(f.s.timeLimit))+4*time.Second {
			takenOver, f.holder = true, 1%f.s.gateways
			f.fence++
		}
		if f.s.newUpstreamsLeave > 0 && !reclaimed && f.progress() >= f.s.newUpstreamsLeave {
			reclaimed = true
			f.reclaim()
		}
		f.store.unavailable = f.s.storeUnavailable > 0 && f.progress() >= f.s.storeUnavailable
		rate := f.s.rate
		if f.s.burst > 0 && f.progress() > 1.0/3 && f.progress() < 2.0/3 {
			rate *= f.s.burst
		}
		for carry += rate * tick.Seconds(); carry >= 1; carry-- {
			f.sendRequest()
		}
		f.finishDue()
		f.exchange()
		if f.age()%stepPeriod == 0 && f.holder >= 0 {
			f.gateways[f.holder].controller.Step(context.Background())
			f.checkEnded()
		}
		if f.result.endedAt > 0 && f.age() > f.result.endedAt+6*time.Second {
			break
		}
	}
	return f.result
}

func (f *fleet) reclaim() {
	kept := false
	for _, u := range f.upstreams {
		if u.SoftwareVersion == "v2" && kept {
			u.State = directory.Leaving
		}
		kept = kept || u.SoftwareVersion == "v2"
	}
	f.observe()
}

// checkEnded records the end of the order and, if it completed, stops the old version's
// upstreams.
func (f *fleet) checkEnded() {
	if f.s.storeUnavailable > 0 && f.result.endedAt == 0 && f.gateways[f.holder].tracker.Orders()[0].Phase == RolledBack {
		f.result.phase, f.result.endedAt = RolledBack, f.age()
	}
	r, found := f.store.newestRecord(service)
	if !found || !r.Outcome.Ended() || f.result.phase.Ended() {
		return
	}
	f.result.phase, f.result.endedAt = r.Outcome, f.age()
	f.result.against = f.gateways[f.holder].tracker.Orders()[0].Verdict.Against
	if r.Outcome != Completed {
		return
	}
	for _, u := range f.upstreams {
		if u.SoftwareVersion == "v1" {
			f.result.lost += u.inFlight
		}
	}
	f.upstreams = slices.DeleteFunc(f.upstreams, func(u *simUpstream) bool { return u.SoftwareVersion == "v1" })
	f.observe()
}

func (f *fleet) sendRequest() {
	g := f.gateways[f.rng.IntN(len(f.gateways))]
	route, x := 0, f.rng.Float64()
	for ; route < len(f.s.routeFractions)-1 && x > f.s.routeFractions[route]; route++ {
		x -= f.s.routeFractions[route]
	}
	id := ident.Request(fmt.Sprint(f.rng.Uint64()))
	split := g.tracker.SplitOf(service)
	candidates := Candidates{Preferred: f.view.Of(service)}
	if split != nil {
		candidates = split.Candidates(id, routeName(route), false, f.now)
	}
	u := f.choose(candidates.Preferred)
	if u == nil {
		u = f.choose(candidates.Fallback)
	}
	if u == nil {
		f.result.refused++
		return
	}
	e := pendingAnswer{gateway: g, upstream: u, route: route, sent: f.now, split: split}
	if split != nil {
		e.side = split.Sent(&u.Upstream, routeName(route))
	}
	f.count(u)
	g.inFlight[u.ID]++
	u.inFlight++
	e.failed, e.duration = f.answer(u, route)
	e.at = f.now.Add(e.duration)
	heap.Push(&f.pending, e)
}

func routeName(i int) string { return fmt.Sprint("route-", i) }

// choose returns the less busy one of two upstreams that have room.
func (f *fleet) choose(list []directory.Upstream) *simUpstream {
	var best *simUpstream
	for range 2 {
		if len(list) == 0 {
			return nil
		}
		id := list[f.rng.IntN(len(list))].ID
		for _, u := range f.upstreams {
			if u.ID == id && u.State == directory.Ready && u.inFlight < 2*u.Slots && (best == nil || u.inFlight < best.inFlight) {
				best = u
			}
		}
	}
	return best
}

func (f *fleet) count(u *simUpstream) {
	f.result.sent++
	if f.age() <= f.s.timeLimit {
		f.result.sentInTime++
	}
	if u.SoftwareVersion != "v2" {
		return
	}
	f.result.sentToNew++
	if f.age() <= f.s.timeLimit {
		f.result.sentToNewInTime++
	}
	if f.s.fault != nil && !f.badAt.IsZero() && f.now.Sub(f.badAt) > limits.StopDue {
		f.result.lateSends++
	}
}

// answer returns how an upstream answers a request that it gets now.
func (f *fleet) answer(u *simUpstream, route int) (failed bool, took time.Duration) {
	mean := f.s.meanTimes[route].Seconds()
	load := 1 + max(0, float64(u.inFlight)/float64(u.Slots)-0.5)
	x := mean * load * math.Exp(0.35*f.rng.NormFloat64())
	if f.now.Before(u.WarmAt) {
		x *= 4
	}
	failed = f.rng.Float64() < f.s.failFraction || f.rng.Float64() < u.failFraction
	if b := f.s.fault; b != nil && u.SoftwareVersion == "v2" && f.progress() >= b.from && u.inFlight > b.aboveLoad && (b.route < 0 || b.route == route) {
		if f.rng.Float64() < b.failFraction {
			failed = true
		}
		if f.rng.Float64() < b.slowFraction {
			x *= b.slowFactor
		}
	}
	if failed {
		x = min(x, 0.05)
	}
	return failed, time.Duration(x * float64(time.Second))
}

// finishDue ends the requests whose answers are due.
func (f *fleet) finishDue() {
	for len(f.pending) > 0 && !f.pending[0].at.After(f.now) {
		e := heap.Pop(&f.pending).(pendingAnswer)
		e.gateway.inFlight[e.upstream.ID]--
		e.upstream.inFlight--
		usual := f.s.meanTimes[e.route].Seconds()
		f.meanTimes[e.route] += (e.duration.Seconds() - f.meanTimes[e.route]) / 200
		slowed := f.s.fault != nil && f.s.fault.slowFraction > 0 && e.duration.Seconds() > 1.8*usual
		if f.s.fault != nil && e.upstream.SoftwareVersion == "v2" && (e.failed || slowed) {
			if f.result.badAnswers++; f.result.badAnswers == 50 {
				f.badAt = f.now
			}
		}
		if e.split != nil {
			e.split.Ended(&e.upstream.Upstream, routeName(e.route), e.side, e.sent, Answer{Failed: e.failed, Timed: !e.failed, Time: e.duration.Seconds() / usual})
		}
	}
}

// exchange collects all gateways' reports once in an exchangePeriod, delivers them two ticks
// before the next collection, and refreshes all gateways in between.
func (f *fleet) exchange() {
	switch {
	case f.age()%exchangePeriod == 0:
		for i, g := range f.gateways {
			if f.reports == nil {
				f.reports = make([]OrderStates, len(f.gateways))
			}
			f.reports[i] = g.tracker.OrderStates(g.idle)
		}
		f.reportedAt = f.now
	case f.age()%exchangePeriod == exchangePeriod-2*tick:
		f.deliver()
	case f.age()%(exchangePeriod/2) == 0:
		for _, g := range f.gateways {
			g.tracker.Refresh(g.received.Aged(f.now.Sub(f.reportedAt)))
		}
	}
}

// deliver gives every connected gateway the merged reports of all others.
func (f *fleet) deliver() {
	connected := len(f.gateways)
	if f.s.cutOff > 0 && f.progress() >= f.s.cutOff {
		connected -= connected / 4
	}
	before := make([]OrderStates, connected+1)
	for i := range connected {
		before[i+1] = before[i].Merge(f.reports[i])
	}
	var after OrderStates
	for i := connected - 1; i >= 0; i-- {
		g := f.gateways[i]
		g.received = before[i].Merge(after)
		after = after.Merge(f.reports[i])
		g.tracker.Refresh(g.received.Aged(f.now.Sub(f.reportedAt)))
	}
	for _, g := range f.gateways[connected:] {
		g.received = nil
		g.tracker.Refresh(nil)
	}
}
