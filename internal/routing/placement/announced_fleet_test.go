package placement

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
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
	storyTime    = 30 * time.Second
	// statementAt is when upstreams begin to make statements, unless a story says otherwise.
	statementAt = 8 * time.Second
	// eventFrom and eventTo bound the bursts, cuts and frozen gateways of stories.
	eventFrom, eventTo = 9 * time.Second, 12 * time.Second
	// extraRequests is how many more requests than slots an upstream queues, as a multiple.
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
	// leaves are the upstreams, by index, that leave at a time, and pausing those that ask for a
	// pause.
	leaves map[int]time.Duration
	// withdrawnAfter: the upstreams that leave stop saying so after this time; 0 means never.
	withdrawnAfter time.Duration
	// rebornAfter: they start again under their names after this time; 0 means never.
	rebornAfter time.Duration
	pauses      []pausing
	// burst: callers send 2.5 times the requests from eventFrom to eventTo.
	burst bool
	// cut: a failure domain is cut off from the others from eventFrom to eventTo.
	cut bool
	// frozen: a third of the gateways do nothing from eventFrom to eventTo. killed: a third of them
	// start anew at eventFrom.
	frozen, killed bool
	engine         bool
}

// pausing describes upstreams that turn requests away and ask for a pause of a length.
type pausing struct {
	upstreams []int
	from, to  time.Duration
	length    time.Duration
	// gateways are those that are asked, as a share of all; 0 means all.
	gateways float64
	// silent: only every second refusal asks for a pause.
	everySecond bool
}

// result is what a play measured.
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
	// turnedAway counts the requests that pausing upstreams turned away, attempts all that were
	// sent.
	turnedAway, attempts int
	latencies            []time.Duration
	// backAfter is the longest time from the end of an upstream's refusals until it has half of
	// its share of the requests again, or the rest of the play.
	backAfter time.Duration
	// rejectedOnReturn counts requests that an upstream rejected for lack of room within two
	// seconds after its refusals ended.
	rejectedOnReturn int
	// keptShare is the smallest share of its usual requests that an upstream kept while it
	// refused only some gateways; 1 if there was none.
	keptShare float64
}

type fleetGateway struct {
	f         *announcedFleet
	i, domain int
	id        ident.Instance
	started   time.Duration
	chooser   *Chooser
	announced *announced.Registry
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

type fleetUpstream struct {
	i, domain int
	born      int
	id        ident.Instance
	running   int
	queue     []func()
	refusals  int
	// arrivals are the times of all requests that reached it.
	arrivals []time.Duration
	// toldAt is when it first told any gateway that it leaves; negative if it has not.
	toldAt time.Duration
}

// start begins a life of the upstream.
func (u *fleetUpstream) start() {
	u.born++
	u.id = ident.Instance(fmt.Sprintf("u%03d/%d", u.i, u.born))
	u.running, u.queue, u.toldAt = 0, nil, -1
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
	route      *routetable.Route
	seq        int
	result     fleetResult
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

func (g *fleetGateway) start() {
	f := g.f
	g.started = f.Now()
	g.toldLeaving, g.pausedUntil, g.pausedAt = make(map[ident.Instance]time.Duration), make(map[ident.Instance]time.Duration), make(map[ident.Instance]time.Duration)
	g.past = nil
	limits := upstreamlimit.NewLimiter(upstreamlimit.Config{
		Now: f.clock, Log: hclog.NewNullLogger(), Key: func(id ident.Instance) uint32 { return uint32(xxhash.Sum64String(string(id))) }, Round: fleetRound,
	})
	g.announced = announced.NewRegistry(announced.Config{
		Now: f.clock, Log: hclog.NewNullLogger(), Limits: limits, Round: fleetRound, MaxPause: 10 * time.Minute, Seed: f.rng.Uint64(),
		Listed: func(id ident.Instance) bool {
			_, listed := g.view.Upstream(id)
			return listed
		},
		OnLeaving: func([]ident.Instance) { g.showUpstreams() },
	})
	g.budget = retry.NewFleetBudget(retry.FleetBudgetConfig{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, func() int { return f.story.gateways })
	g.showUpstreams()
	g.chooser = New(Config{
		Params: DefaultParams(), Self: g.id, Domain: f.domainName(g.domain), Log: hclog.NewNullLogger(),
		View:            func() *directory.View { return g.view },
		OtherLoad:       g.otherLoad,
		Silent:          func(ident.FailureDomain) bool { return false },
		Gateways:        func() int { return f.story.gateways },
		OtherEngineSums: func(ident.Service) enginemodel.Sums { return f.engineSums },
		Split:           func(ident.Service) *rollout.Split { return nil },
		Limits:          limits, Pauses: g.announced,
	})
}

func (f *announcedFleet) domainName(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprint("d", i))
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
	reports, asOf := g.announced.LeavingReports(), f.clock()
	remaining := make(map[ident.Instance]time.Duration)
	if f.way == sharedPauses {
		remaining = maps.Clone(g.pausedUntil)
	}
	if len(reports) == 0 && len(remaining) == 0 {
		return
	}
	for _, o := range f.gateways {
		if o == g {
			continue
		}
		o := o
		f.In(hearsayDelay-fleetRound, func() {
			if f.apart(g.domain, o.domain) || o.frozen {
				return
			}
			o.announced.MergeLeaving(reports, asOf)
			if f.way != sharedPauses {
				return
			}
			for id, until := range remaining {
				if left := until - f.Now(); left > 0 && o.announced.Accepts(id) {
					o.announced.RecordFields(id, "", announced.Statement{Pause: left})
				}
			}
		})
	}
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

// otherLoad returns what the gateway knows of the other gateways' load at an upstream.
func (g *fleetGateway) otherLoad(id ident.Instance) Load {
	back := int(loadsAge / loadsStep)
	if len(g.past) <= back || len(g.f.totals) <= back {
		return Load{}
	}
	return g.f.totals[len(g.f.totals)-1-back][id].Minus(g.past[len(g.past)-1-back][id])
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
	r.call.NoRetryLeft = r.announced.AnyPause() && !r.g.budget.Left("svc", f.clock())
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
	if choice.OnlyLimits || choice.AllLeave || choice.PauseEnds.After(waitUntil) || !f.clock().Before(waitUntil) {
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
	switch r.state.After(choice.Upstream, result, func() bool { return r.g.budget.Spend("svc", now) }) {
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
	case u == nil:
		// The upstream has started anew meanwhile.
		f.In(delay, func() { r.after(choice, forward.NoConnection) })
	case f.apart(g.domain, u.domain):
		f.In(dialTimeoutOfFleet, func() { r.after(choice, forward.NoConnection) })
	default:
		f.In(delay, func() { f.receive(u, r, choice, delay) })
	}
}

// upstreamOf returns the upstream whose present life has an ID, or nil.
func (f *announcedFleet) upstreamOf(id ident.Instance) *fleetUpstream {
	i, err := strconv.Atoi(string(id[1:4]))
	if err != nil || f.upstreams[i].id != id {
		return nil
	}
	return f.upstreams[i]
}

const dialTimeoutOfFleet = 350 * time.Millisecond

// recordSend checks a request that leaves a gateway against what the gateway was told.
func (f *announcedFleet) recordSend(g *fleetGateway, id ident.Instance) {
	f.result.attempts++
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

// leaving reports whether an upstream says now that it leaves.
func (f *announcedFleet) leaving(u *fleetUpstream) bool {
	at, leaves := f.story.leaves[u.i]
	return leaves && u.born == 1 && f.Now() >= at
}

// refuses reports whether an upstream turns a gateway's requests away now, and the pause that it
// asks for.
func (f *announcedFleet) refuses(u *fleetUpstream, g *fleetGateway) (bool, time.Duration) {
	for _, p := range f.story.pauses {
		asked := p.gateways == 0 || float64(g.i) < p.gateways*float64(f.story.gateways)
		if !asked || f.Now() < p.from || f.Now() >= p.to || !slices.Contains(p.upstreams, u.i) {
			continue
		}
		u.refusals++
		if p.everySecond && u.refusals%2 == 0 {
			return true, 0
		}
		return true, p.length
	}
	return false, 0
}

// takesNothing reports whether an upstream leaves or turns a gateway's requests away now.
func (f *announcedFleet) takesNothing(u *fleetUpstream, g *fleetGateway) bool {
	refuses, _ := f.refuses(u, g)
	return refuses || f.leaving(u)
}

// receive lets a request arrive at an upstream.
func (f *announcedFleet) receive(u *fleetUpstream, r *fleetRequest, choice forward.Choice, delay time.Duration) {
	u.arrivals = append(u.arrivals, f.Now())
	born := u.born
	refuses, pause := f.refuses(u, r.g)
	switch {
	case refuses:
		f.result.turnedAway++
		f.answer(u, r, choice, delay, announced.Statement{Pause: pause}, true)
	case u.running+len(u.queue) >= f.story.slots*(1+queuePerSlot):
		if f.justReturned(u) {
			f.result.rejectedOnReturn++
		}
		f.answer(u, r, choice, delay, announced.Statement{}, true)
	default:
		work := time.Duration((0.5 + 0.5*f.rng.ExpFloat64()) * float64(serviceTime))
		run := func() {
			f.In(work, func() {
				if u.born != born {
					return
				}
				f.answer(u, r, choice, delay, announced.Statement{}, false)
				u.running--
				if len(u.queue) > 0 {
					next := u.queue[0]
					u.queue = u.queue[1:]
					u.running++
					next()
				}
			})
		}
		if u.running >= f.story.slots {
			u.queue = append(u.queue, run)
			return
		}
		u.running++
		run()
	}
}

// justReturned reports whether an upstream's refusals ended within the last two seconds.
func (f *announcedFleet) justReturned(u *fleetUpstream) bool {
	for _, p := range f.story.pauses {
		if slices.Contains(p.upstreams, u.i) && f.Now() >= p.to && f.Now() < p.to+2*time.Second {
			return true
		}
	}
	return false
}

// answer sends an upstream's answer, with what the upstream announces at that moment.
func (f *announcedFleet) answer(u *fleetUpstream, r *fleetRequest, choice forward.Choice, delay time.Duration, s announced.Statement, notRun bool) {
	at, leaves := f.story.leaves[u.i]
	s.Leaving = leaves && f.leaving(u) && (f.story.withdrawnAfter == 0 || f.Now() < at+f.story.withdrawnAfter)
	if s.Leaving && u.toldAt < 0 {
		u.toldAt = f.Now()
	}
	f.In(delay, func() { r.readAnswer(choice, s, notRun) })
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

// arrivalsIn counts the requests that arrived in a span.
func (u *fleetUpstream) arrivalsIn(from, to time.Duration) int {
	n := 0
	for _, at := range u.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

// backAfter returns the time from the end of an upstream's refusals until it has half of its usual
// requests in a second.
func (u *fleetUpstream) backAfter(end time.Duration) time.Duration {
	usual := float64(u.arrivalsIn(4*time.Second, statementAt)) / (statementAt - 4*time.Second).Seconds()
	for at := end; at+time.Second < storyTime; at += 100 * time.Millisecond {
		if float64(u.arrivalsIn(at, at+time.Second)) >= usual/2 {
			return at - end
		}
	}
	return storyTime - end
}

// percentile returns a percentile of the latencies.
func (r *fleetResult) percentile(p float64) time.Duration {
	if len(r.latencies) == 0 {
		return 0
	}
	return r.latencies[int(p*float64(len(r.latencies)-1))]
}
