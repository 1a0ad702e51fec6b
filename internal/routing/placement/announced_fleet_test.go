package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/retryslack"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// A fleet simulates upstreams that leave or ask for pauses, in virtual time: gateways with the real
// chooser, registry, retry state and retry budget, callers, upstreams, and the exchange between
// gateways with its delays. The store never tells of a departure.

const (
	fleetRound    = 250 * time.Millisecond
	maxFleetDelay = 3 * time.Millisecond
	// hearsayDelay is the time until the other gateways hear what one was told, and loadsAge the age
	// of the loads that they know.
	hearsayDelay = 500 * time.Millisecond
	loadsAge     = 300 * time.Millisecond
	loadsStep    = 50 * time.Millisecond
	waitStep     = 10 * time.Millisecond
	// fleetSlowFactor is how many times slower a slow upstream is.
	fleetSlowFactor = 8
	// fleetDialTimeout is how long an attempt at an upstream beyond a cut takes to fail.
	fleetDialTimeout = 350 * time.Millisecond
	storyTime        = 30 * time.Second
	// statementAt is when upstreams begin to make statements, unless a story says otherwise.
	statementAt = 8 * time.Second
	// eventFrom and eventTo bound the bursts, cuts and frozen gateways of stories.
	eventFrom, eventTo = 9 * time.Second, 12 * time.Second
	// brittleShrinks is when brittle upstreams stop to let requests wait, brittleTo when they are
	// brittle no more, and fallTime how long one that fell over is away.
	brittleShrinks, brittleTo = statementAt + 3*time.Second, 24 * time.Second
	fallTime                  = 4 * time.Second
	// queuePerSlot is how many requests an upstream queues for each of its slots.
	queuePerSlot = 2
)

// way is what gateways do that hear of a pause that another gateway was asked for.
type way int

const (
	// ownPauses: nothing. sharedPauses: they pause too. avoidance: with each gateway that was asked
	// a larger share of their requests goes elsewhere, which is what the product does.
	avoidance way = iota
	ownPauses
	sharedPauses
	// foreknowledge: all gateways know at once which upstreams take nothing from them, without
	// having been told. It shows what is refused for lack of room alone.
	foreknowledge
)

// String returns the way's name in the table.
func (w way) String() string { return [...]string{"avoid", "own", "shared", "known"}[w] }

// story describes a fleet, what its upstreams announce, and the faults that happen.
type story struct {
	name                         string
	gateways, domains, upstreams int
	slots                        int
	// load is the share of the slots that the requests need on average.
	load float64
	// leaves are the upstreams, by index, that leave at a time, and pauses those that ask for a
	// pause.
	leaves map[int]time.Duration
	// withdrawnAfter: the upstreams that leave stop saying so after this time; 0 means never.
	withdrawnAfter time.Duration
	// rebornAfter: they start again under their names after this time; 0 means never.
	rebornAfter time.Duration
	// goneAfter: they refuse connections after this time; 0 means never.
	goneAfter time.Duration
	// slow are upstreams that are fleetSlowFactor times slower from statementAt on.
	slow []int
	// limits are the rates, in requests per second, that upstreams name from statementAt on.
	limits map[int]float64
	pauses []pausing
	// brittle: from statementAt to brittleTo the upstreams say that they bear so many rejections a
	// second, and from brittleShrinks on no request waits there; one that rejects more falls over.
	brittle int
	// bearsHalf: they let only half of their slots run from then on.
	bearsHalf bool
	// burst: callers send 2.5 times the requests from eventFrom to eventTo.
	burst bool
	// cut: a failure domain is cut off from the others from eventFrom to eventTo.
	cut bool
	// frozen: a third of the gateways do nothing from eventFrom to eventTo. killed: a third of them
	// start anew at eventFrom.
	frozen, killed bool
	engine         bool
}

// fleetResult is what a play measured.
type fleetResult struct {
	// afterLeaving and inPause count the requests that a gateway sent to an upstream after it had
	// been told that it leaves, or in a pause. latest is the longest time after it was told.
	afterLeaving, inPause int
	latest                time.Duration
	// afterHearsay counts requests to a leaving upstream later than a second after any gateway was
	// told, by gateways that met that one.
	afterHearsay int
	requests     int
	// refused counts the refused requests, refusedWithRoom those that an upstream had room for.
	refused, refusedWithRoom int
	// refusedByBudget counts those of refusedWithRoom that had been turned away and could not be
	// sent once more within the retry budget.
	refusedByBudget int
	// falls counts how often brittle upstreams fell over.
	falls int
	// turnedAway counts the requests that pausing upstreams turned away.
	turnedAway int
	latencies  []time.Duration
	// backAfter is the longest time from the end of an upstream's refusals until it has half of
	// its share of the requests again, or the rest of the play.
	backAfter time.Duration
	// keptShare is the smallest share of its usual requests that an upstream kept while it
	// refused only some gateways; 1 if there was none.
	keptShare float64
}

type announcedFleet struct {
	testkit.Timeline
	story     story
	way       way
	rng       *rand.Rand
	gateways  []*fleetGateway
	upstreams []*fleetUpstream
	// totals are the sums of all gateways' loads, a loadsStep apart.
	totals []map[ident.Instance]Load
	cutOff int
	// engineSums are samples of engines that read 92,100 tokens per second.
	engineSums enginemodel.Sums
	service    *routetable.Service
	// slack is the slack of the retry budget.
	slack  retryslack.Slack
	route  *routetable.Route
	seq    int
	result fleetResult
}

var fleetEpoch = time.Unix(1_000_000, 0)

// serviceTime is the mean time of a request at an upstream.
const serviceTime = 200 * time.Millisecond

func (f *announcedFleet) clock() time.Time { return fleetEpoch.Add(f.Now()) }

func playStory(s story, w way, seed uint64) fleetResult {
	f := &announcedFleet{story: s, way: w, rng: rand.New(rand.NewPCG(seed, 17)), cutOff: -1}
	f.service = &routetable.Service{Name: "svc"}
	if s.engine {
		f.service.Engine = &routetable.Engine{Slots: s.slots}
	}
	f.route = &routetable.Route{Name: "r", Kind: routetable.NonIdempotent, Attempts: 1, Objective: 400 * time.Millisecond}
	f.result.keptShare = 1
	for i := range 100 {
		own := float64(500 * (1 + i%7))
		f.engineSums.AddSample(enginemodel.Sample{OwnTokens: own, FirstEvent: 15*time.Millisecond + time.Duration(own/92_100*float64(time.Second))}, f.engineSums.Fit())
	}
	f.startSlack()
	for i := range s.upstreams {
		u := &fleetUpstream{i: i, domain: i % s.domains}
		u.start()
		f.upstreams = append(f.upstreams, u)
	}
	for i := range s.gateways {
		g := &fleetGateway{f: f, i: i, domain: i % s.domains, id: ident.Instance(fmt.Sprint("gw", i))}
		f.gateways = append(f.gateways, g)
		g.start()
		f.In(time.Duration(f.rng.Int64N(int64(fleetRound))), g.list)
	}
	f.In(0, f.recordLoads)
	f.In(0, f.arrive)
	f.scheduleEvents()
	f.RunUntil(storyTime)
	f.evaluate()
	return f.result
}

func (f *announcedFleet) scheduleEvents() {
	s := f.story
	third := func(each func(*fleetGateway)) {
		for i, g := range f.gateways {
			if i%3 == 0 {
				each(g)
			}
		}
	}
	if s.cut {
		f.In(eventFrom, func() { f.cutOff = f.rng.IntN(s.domains) })
		f.In(eventTo, func() { f.cutOff = -1 })
	}
	if s.frozen {
		f.In(eventFrom, func() { third(func(g *fleetGateway) { g.frozen = true }) })
		f.In(eventTo, func() { third(func(g *fleetGateway) { g.frozen = false }) })
	}
	if s.killed {
		f.In(eventFrom, func() { third((*fleetGateway).start) })
	}
	if f.way == foreknowledge {
		f.In(0, f.showToAll)
	}
	if s.rebornAfter > 0 {
		for i, at := range s.leaves {
			f.In(at+s.rebornAfter, func() {
				f.upstreams[i].start()
				for _, g := range f.gateways {
					f.In(time.Duration(f.rng.Int64N(int64(fleetRound))), g.showUpstreams)
				}
			})
		}
	}
}

// showToAll rebuilds the views of all gateways, again and again.
func (f *announcedFleet) showToAll() {
	f.In(waitStep, f.showToAll)
	for _, g := range f.gateways {
		g.showUpstreams()
	}
}

func (f *announcedFleet) domainName(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprint("d", i))
}

// apart reports whether two domains are on different sides of the cut.
func (f *announcedFleet) apart(a, b int) bool {
	return f.cutOff >= 0 && (a == f.cutOff) != (b == f.cutOff)
}

// recordLoads records the loads that the gateways report.
func (f *announcedFleet) recordLoads() {
	f.In(loadsStep, f.recordLoads)
	total := make(map[ident.Instance]Load)
	for _, g := range f.gateways {
		loads := g.chooser.ReportedLoads(f.clock())
		if f.way != avoidance {
			for id, load := range loads {
				loads[id] = Load{Running: load.Running, UnreadTokens: load.UnreadTokens}
			}
		}
		g.past = append(g.past, loads)
		for id, load := range loads {
			total[id] = total[id].Plus(load)
		}
	}
	f.totals = append(f.totals, total)
}

// arrive lets a caller send the next request.
func (f *announcedFleet) arrive() {
	s := f.story
	rate := s.load * float64(s.upstreams*s.slots) / serviceTime.Seconds()
	if s.burst && f.Now() >= eventFrom && f.Now() < eventTo {
		rate *= 2.5
	}
	f.In(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	g := f.gateways[f.rng.IntN(len(f.gateways))]
	if g.frozen {
		return
	}
	f.seq++
	f.result.requests++
	now := f.clock()
	call := &forward.Call{
		ID: ident.Request(fmt.Sprint("r", f.seq)), Route: f.route, Service: f.service, Received: now, Expires: now.Add(5 * time.Second), PromptTokens: 500,
	}
	r := &fleetRequest{f: f, g: g, chooser: g.chooser, announced: g.announced, call: call, state: forward.NewState(f.route), began: f.Now()}
	g.budget.RecordFirstAttempt("svc", now)
	r.choose()
}

// recordSend checks a request that leaves a gateway against what the gateway was told.
func (f *announcedFleet) recordSend(g *fleetGateway, id ident.Instance) {
	now := f.Now()
	if at, told := g.toldLeaving[id]; told {
		f.result.afterLeaving++
		f.result.latest = max(f.result.latest, now-at)
	}
	if now < g.pausedUntil[id] {
		f.result.inPause++
		f.result.latest = max(f.result.latest, now-g.pausedAt[id])
	}
	if u := f.upstreamOf(id); u != nil {
		if u.toldAt >= 0 && now-u.toldAt > time.Second && now-g.started > time.Second && !f.story.cut && !f.story.frozen {
			f.result.afterHearsay++
		}
	}
}

// evaluate computes what is known at the end only.
func (f *announcedFleet) evaluate() {
	for _, p := range f.story.pauses {
		for _, i := range p.upstreams {
			u := f.upstreams[i]
			if p.gateways == 0 {
				f.result.backAfter = max(f.result.backAfter, u.backAfter(p.to))
				continue
			}
			usual := float64(u.arrivalsIn(p.from-4*time.Second, p.from)) / 4
			during := float64(u.arrivalsIn(p.from+time.Second, p.to)) / (p.to - p.from - time.Second).Seconds()
			f.result.keptShare = min(f.result.keptShare, during/max(usual, 0.001))
		}
	}
	slices.Sort(f.result.latencies)
}

// percentile returns a percentile of the latencies.
func (r *fleetResult) percentile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[int(p*float64(len(r.latencies)-1))]
}
