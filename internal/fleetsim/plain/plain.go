// Package plain plays entry gateways that share the upstreams of a plain service, in virtual time: the
// decisions are the product's, the callers, the upstreams and the age of what gateways hear are made up.
package plain

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/waiting"
	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/eventqueue"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/slotlease"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// Case describes one play.
type Case struct {
	Gateways, Upstreams int
	// Slots and Queue are how many requests an upstream runs, and how many more wait there before it refuses.
	Slots, Queue int
	// Load is the rate of calls in parts of what all slots can run.
	Load float64
	// BurstLoad is Load in the first burstFor of each burstEvery; 0 if there are no bursts.
	BurstLoad float64
	// ShortWait lets calls wait for a leased slot for maxWait, instead of as long as they could be served in time.
	ShortWait bool
	// LeastLoaded makes gateways choose the upstream that seems least loaded, whatever their number.
	LeastLoaded bool
	// Keepers is how many gateways lease the slots of each part of the upstreams: one, or two that don't know of
	// each other; 0 if none does.
	Keepers int
	// Alone is the part of the gateways that ask no keeper.
	Alone float64
	// SlowSpells makes one upstream in slowOneIn slow, another one in each slowSpell.
	SlowSpells bool
	Seed       uint64
}

const (
	// work is the mean time of a request in a slot, and objective the time in which callers want the answer.
	work, objective, timeout = 60 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second
	// reportEvery and reportAge are how often gateways report their loads and how late these are heard.
	reportEvery, reportAge = 50 * time.Millisecond, 250 * time.Millisecond
	// oneWay is the time that a message takes.
	oneWay = time.Millisecond
	// waitEvery and maxWait are how often and for how long a call asks again if no upstream has room.
	waitEvery, maxWait = 10 * time.Millisecond, objective / waiting.WaitDivisor
	// burstEvery and burstFor are how often bursts begin and how long they last.
	burstEvery, burstFor = time.Second, 300 * time.Millisecond
	// An upstream in a slow spell takes slowFactor as long.
	slowSpell, slowOneIn, slowFactor = 500 * time.Millisecond, 7, 2.5
	// Calls arrive until arrivalsEnd; figures are of those after warmUp.
	warmUp, arrivalsEnd = time.Second, 6 * time.Second
	// window is the time within which the most asked upstream is compared with the mean.
	window = 250 * time.Millisecond
)

const serviceName = ident.Service("plain")

// domains are the failure domains of gateways and upstreams.
const domains = 4

type fleet struct {
	eventqueue.Queue
	c         Case
	rng       *rand.Rand
	service   *routetable.Service
	route     *routetable.Route
	view      *directory.View
	upstreams map[ident.Instance]*upstream
	gateways  []*gateway
	// totals are the loads of all gateways at the reports of the past, the newest last.
	totals  []map[ident.Instance]placement.Load
	asked   map[time.Duration]map[ident.Instance]int
	keepers []*partKeepers
	figures Figures
}

type gateway struct {
	chooser *placement.Chooser
	past    []map[ident.Instance]placement.Load
}

// upstream runs requests in its slots, lets some wait and refuses the others.
type upstream struct {
	running int
	waiting []func()
}

// Run plays a case.
func Run(c Case) Figures {
	f := &fleet{
		c: c, rng: rand.New(rand.NewPCG(c.Seed, 5)), service: &routetable.Service{Name: serviceName},
		route:     &routetable.Route{Name: "plain", Kind: routetable.Idempotent, Objective: objective, Timeout: timeout, Attempts: 1},
		upstreams: make(map[ident.Instance]*upstream), asked: make(map[time.Duration]map[ident.Instance]int),
	}
	f.addUpstreams()
	for i := range c.Gateways {
		f.addGateway(i)
	}
	for range c.Keepers {
		f.keepers = append(f.keepers, newPartKeepers(f))
	}
	f.At(0, f.report)
	f.At(0, f.arrive)
	for f.Step() {
	}
	f.figures.MostAsked = f.mostAsked()
	f.figures.PlacesUsed /= float64(c.Upstreams*c.Slots) * (arrivalsEnd - warmUp).Seconds()
	return f.figures
}

func domain(i int) ident.FailureDomain { return ident.FailureDomain(rune('a' + i%domains)) }

func (f *fleet) addUpstreams() {
	var list []directory.Upstream
	for i := range f.c.Upstreams {
		id := ident.Instance(fmt.Sprint("upstream-", i))
		list = append(list, directory.Upstream{ID: id, Name: id, Service: serviceName, FailureDomain: domain(i), Slots: f.c.Slots, State: directory.Ready})
		f.upstreams[id] = &upstream{}
	}
	f.view = directory.NewView(list)
}

func (f *fleet) addGateway(i int) {
	g := &gateway{}
	limits := upstreamlimit.NewLimiter(upstreamlimit.Config{
		Now: f.Clock, Log: hclog.NewNullLogger(), Key: func(id ident.Instance) uint32 { return uint32(gossip.UpstreamKeyOf(id)) }, Round: gossip.Interval,
	})
	known := f.c.Gateways
	if f.c.LeastLoaded {
		known = 1
	}
	g.chooser = placement.New(placement.Config{
		Params: placement.DefaultParams(), Self: ident.Instance(fmt.Sprint("gateway-", i)), Domain: domain(i), Log: hclog.NewNullLogger(),
		View:            func() *directory.View { return f.view },
		OtherLoad:       func(id ident.Instance) placement.Load { return f.loadOfOthers(g, id) },
		Silent:          func(ident.FailureDomain) bool { return false },
		Gateways:        func() int { return known },
		OtherEngineSums: func(ident.Service) enginemodel.Sums { return enginemodel.Sums{} },
		HoldsBack:       func(ident.Service, ident.SoftwareVersion, time.Time) bool { return false },
		MayBegin:        func(ident.Service, ident.SoftwareVersion) bool { return true },
		EndedEarly:      func(ident.Instance) bool { return false },
		Split:           func(ident.Service) *rollout.Split { return nil },
		Limits:          limits,
		Pauses: announced.NewRegistry(announced.Config{
			Now: f.Clock, Log: hclog.NewNullLogger(), Limits: limits, Round: gossip.Interval, MaxPause: time.Minute,
			Listed: func(ident.Instance) bool { return true }, OnLeaving: func([]ident.Instance) {},
		}),
		RetryLeft: func(ident.Service, time.Time) bool { return true },
	})
	f.gateways = append(f.gateways, g)
}

// report records the loads of all gateways.
func (f *fleet) report() {
	total := make(map[ident.Instance]placement.Load)
	for _, g := range f.gateways {
		own := g.chooser.OwnLoads()
		g.past = append(g.past, own)
		for id, load := range own {
			total[id] = total[id].Plus(load)
		}
	}
	f.totals = append(f.totals, total)
	if f.Now() < arrivalsEnd {
		f.At(f.Now()+reportEvery, f.report)
	}
}

// loadOfOthers returns the others' load at an upstream as a gateway heard it.
func (f *fleet) loadOfOthers(g *gateway, id ident.Instance) placement.Load {
	i := len(f.totals) - 1 - int(reportAge/reportEvery)
	if i < 0 {
		return placement.Load{}
	}
	return f.totals[i][id].Minus(g.past[i][id])
}

// load returns the load now.
func (f *fleet) load() float64 {
	if f.c.BurstLoad > 0 && f.Now()%burstEvery < burstFor {
		return f.c.BurstLoad
	}
	return f.c.Load
}

// arrive lets a call arrive at a gateway, and the next one after it.
func (f *fleet) arrive() {
	rate := f.load() * float64(f.c.Upstreams*f.c.Slots) / work.Seconds()
	f.At(f.Now()+time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if f.Now() >= arrivalsEnd {
			return
		}
		f.arrive()
		now := f.Clock()
		c := &call{
			gateway: f.gateways[f.rng.IntN(len(f.gateways))], arrived: f.Now(), work: work/2 + time.Duration(f.rng.Int64N(int64(work))),
			Call: forward.Call{ID: ident.Request(fmt.Sprint(f.c.Seed, "-", f.figures.Offered, "-", int64(f.Now()))), Route: f.route, Service: f.service, Received: now, Expires: now.Add(timeout)},
		}
		f.count(c, &f.figures.Offered)
		if k := f.keepersOf(c.gateway); k != nil {
			k.begin(c)
			return
		}
		f.place(c)
	})
}

// call is a request of a caller.
type call struct {
	forward.Call
	gateway *gateway
	arrived time.Duration
	work    time.Duration
	choice  forward.Choice
	lease   slotlease.LeaseID
	// keepers are those of the parts that the call asks, from the one that it asks now.
	keepers []*keeper
}

// count counts a call unless it arrived before warmUp.
func (f *fleet) count(c *call, n *int) {
	if c.arrived >= warmUp {
		*n++
	}
}

// place sends a call, or lets it wait, or refuses it if no upstream has room.
func (f *fleet) place(c *call) {
	choice, found := c.gateway.chooser.Choose(&c.Call, nil, f.Clock())
	switch {
	case found:
		c.choice = choice
		f.At(f.Now()+oneWay, func() { f.receive(c) })
	case f.Now() < c.arrived+maxWait:
		f.At(f.Now()+waitEvery, func() { f.place(c) })
	default:
		f.count(c, &f.figures.RefusedByGateway)
	}
}

// receive lets a call arrive at its upstream.
func (f *fleet) receive(c *call) {
	f.countAsked(c)
	u := f.upstreams[c.choice.Upstream]
	switch {
	case u.running < f.c.Slots:
		u.running++
		f.run(u, c)
	case len(u.waiting) < f.c.Queue:
		u.waiting = append(u.waiting, func() { f.run(u, c) })
	default:
		f.count(c, &f.figures.RefusedByUpstream)
		f.finish(c, forward.Rejected)
	}
}

// run runs a call in a slot and gives the slot to the next one that waits.
func (f *fleet) run(u *upstream, c *call) {
	took := f.workOf(c)
	if f.Now() >= warmUp && f.Now() < arrivalsEnd {
		f.figures.PlacesUsed += min(took, arrivalsEnd-f.Now()).Seconds()
	}
	f.At(f.Now()+took, func() {
		if len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			next()
		} else {
			u.running--
		}
		f.count(c, &f.figures.Served)
		f.finish(c, forward.Done)
	})
}

// workOf returns how long a call takes in a slot of its upstream.
func (f *fleet) workOf(c *call) time.Duration {
	if !f.c.SlowSpells {
		return c.work
	}
	spell := fmt.Sprint(c.choice.Upstream, f.Now()/slowSpell, f.c.Seed)
	if xxhash.Sum64String(spell)%slowOneIn > 0 {
		return c.work
	}
	return time.Duration(slowFactor * float64(c.work))
}

// finish brings the answer to the gateway.
func (f *fleet) finish(c *call, result forward.Result) {
	f.At(f.Now()+oneWay, func() {
		if result == forward.Done && f.Now()-c.arrived > objective {
			f.count(c, &f.figures.Late)
		}
		c.gateway.chooser.Finished(c.choice, result, f.Clock())
		if len(c.keepers) > 0 {
			c.keepers[0].giveBack(c)
		}
	})
}
