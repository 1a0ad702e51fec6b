package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/returntime"
	"github.com/goldcrestspool/goldcrestspool/internal/agenda"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// Case is one run.
type Case struct {
	Engine EngineKind
	Fleet  FleetSize
	Load   Load
	// BusyEngines is how many engines the traffic would keep busy all the time.
	BusyEngines float64
	Seed        uint64
	// Told: everyone's load is known at once. The engines' figures are learned all the
	// same.
	Told bool
	// Fixed is a number of on-demand engines that stand all the time, for the least that
	// any number reaches; 0 leaves it to the policy.
	Fixed int
}

// Periods of the decisions that the entry process makes by itself.
const (
	recordEvery = 50 * time.Millisecond
	dutyEvery   = 250 * time.Millisecond
	placeEvery  = 10 * time.Millisecond
	// waitDivisor of the objective is how long a request waits for an engine.
	waitDivisor = 8
)

// service is the name of the only service.
const service = ident.Service("llm")

// world is one run under way.
type world struct {
	agenda.Agenda
	c        Case
	rng      *rand.Rand
	svc      *routetable.Service
	kinds    []RequestKind
	routes   []*routetable.Route
	engines  []*server
	byID     map[ident.Instance]*server
	view     *directory.View
	gateways []*gateway
	// total are all gateways' loads by engine at past moments, the newest last.
	pastTotals []map[ident.Instance]placement.Load
	// currentLoads is the same now; who is told of everything places by it.
	currentLoads map[ident.Instance]placement.Load
	sums         enginemodel.Sums
	cloud        *cloud
	calls        []*call
	readPrompts  map[uint64]bool
	rereadTokens int
	readTokens   int
	// paidSeconds is the price of the engines since settleFor, in seconds of an on-demand one.
	paidSeconds float64
}

// server is one engine.
type server struct {
	directory.Upstream
	model *engine.Model
	busy  bool
	ended bool
}

// gateway is one entry gateway.
type gateway struct {
	chooser *placement.Chooser
	// pastLoads are its loads at past moments, and present at this one.
	pastLoads    []map[ident.Instance]placement.Load
	currentLoads map[ident.Instance]placement.Load
}

// call is one request.
type call struct {
	forward.Call
	// index is its place among the calls, and kind that of its kind.
	index        int
	kind         int
	gateway      *gateway
	blocks       []uint64
	outputTokens int
	arrived      time.Duration
	choice       forward.Choice
	server       *server
	// firstEventAt is when its first event came; 0 if it did not yet.
	firstEventAt time.Duration
	done         bool
	retried      bool
}

// Play plays one run.
func Play(c Case) Figures {
	w := newWorld(c)
	w.scheduleArrivals()
	w.every(recordEvery, w.recordLoads)
	w.cloud.startFleet()
	for w.Now() < arrivalsEnd+20*time.Second && w.Step() {
	}
	return w.figures()
}

func newWorld(c Case) *world {
	w := &world{c: c, rng: rand.New(rand.NewPCG(c.Seed, 11)), byID: make(map[ident.Instance]*server), readPrompts: make(map[uint64]bool), currentLoads: make(map[ident.Instance]placement.Load), view: directory.NewView(nil)}
	scale := &routetable.Scale{Least: 1, Most: 400, Startup: 4 * time.Second, ReclaimablePrice: reclaimablePrice, Prices: make(map[ident.FailureDomain]float64)}
	for i := range c.Fleet.Domains {
		scale.Prices[w.domain(i)] = 1
	}
	w.svc = &routetable.Service{Name: service, MaxConnections: 100_000, Engine: &routetable.Engine{Slots: c.Engine.Slots}, Scale: scale}
	speed := math.Sqrt(c.Engine.TokensPerMS / 92)
	for _, k := range requestKinds() {
		k.OwnTokens, k.SharedTokens = k.OwnTokens*speed, int(float64(k.SharedTokens)*speed)
		k.Objective = time.Duration(float64(k.Objective) / speed)
		w.kinds = append(w.kinds, k)
		w.routes = append(w.routes, &routetable.Route{
			Name: k.Name, Kind: routetable.Streaming, Objective: k.Objective, Timeout: k.Deadline, Attempts: 1, Priority: k.Priority,
			GapObjective: 300 * time.Millisecond, Targets: []routetable.Target{{Service: service, Weight: 1}},
		})
	}
	for range c.Fleet.Gateways {
		w.addGateway(len(w.gateways))
	}
	w.cloud = newCloud(w)
	return w
}

func (w *world) domain(i int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("d%02d", i))
}

func (w *world) addGateway(i int) {
	g := &gateway{currentLoads: make(map[ident.Instance]placement.Load)}
	g.chooser = placement.New(placement.Config{
		Params: placement.DefaultParams(), Self: ident.Instance(fmt.Sprint("gw", i)), Domain: w.domain(i % w.c.Fleet.Domains), Log: hclog.NewNullLogger(),
		View:     func() *directory.View { return w.view },
		Others:   func(id ident.Instance) placement.Load { return w.loadOfOthers(g, id) },
		Silent:   func(ident.FailureDomain) bool { return false },
		Gateways: func() int { return w.c.Fleet.Gateways },
		Engines:  func(ident.Service) enginemodel.Sums { return w.sums },
		Split:    func(ident.Service) *rollout.Split { return nil },
		Limits: upstreamlimit.NewKeeper(upstreamlimit.Config{
			Now: w.Clock, Log: hclog.NewNullLogger(), Key: func(id ident.Instance) uint32 { return uint32(gossip.KeyOf(id)) }, Round: gossip.Interval,
		}),
	})
	w.gateways = append(w.gateways, g)
}

// loadOfOthers is what a gateway knows of the others' load at an engine.
func (w *world) loadOfOthers(g *gateway, id ident.Instance) placement.Load {
	if w.c.Told {
		return w.currentLoads[id].Minus(g.currentLoads[id])
	}
	back := int(w.c.Fleet.ReportAge / recordEvery)
	if len(w.pastTotals) <= back {
		return placement.Load{}
	}
	return w.pastTotals[len(w.pastTotals)-1-back][id].Minus(g.pastLoads[len(g.pastLoads)-1-back][id])
}

// every repeats an action until the run ends.
func (w *world) every(period time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		if w.Now() < arrivalsEnd+5*time.Second {
			w.At(w.Now()+period, again)
		}
	}
	w.At(0, again)
}

// recordLoads notes all gateways' loads, as of which the others will know them.
func (w *world) recordLoads() {
	total := make(map[ident.Instance]placement.Load)
	for _, g := range w.gateways {
		own := g.chooser.Own()
		g.pastLoads = append(g.pastLoads, own)
		for id, load := range own {
			total[id] = total[id].Plus(load)
		}
	}
	w.pastTotals = append(w.pastTotals, total)
	if len(w.pastTotals)%5 == 0 {
		var sums enginemodel.Sums
		for _, g := range w.gateways {
			sums.Add(g.chooser.Engines()[service])
		}
		w.sums = sums
	}
}

// scheduleArrivals makes the requests.
func (w *world) scheduleArrivals() {
	busy := 0.0
	for _, k := range w.kinds {
		// Streams share steps: with all slots taken, each has its part of one.
		step := w.c.Engine.Step + time.Duration(w.c.Engine.Slots)*w.c.Engine.StepPerStream
		generating := k.OutputTokens * step.Seconds() / float64(w.c.Engine.Slots)
		busy += k.Share * (k.OwnTokens/(w.c.Engine.TokensPerMS*1000) + generating)
	}
	rate := w.c.BusyEngines / busy
	for t := time.Duration(0); t < arrivalsEnd; {
		now := rate / requestsPerArrival
		if l := w.c.Load; t >= l.BurstFrom && t < l.BurstTo {
			now *= l.Burst
		}
		t += time.Duration(w.rng.ExpFloat64() / now * float64(time.Second))
		for range requestsPerArrival {
			w.addRequest(t)
		}
	}
}

func (w *world) addRequest(t time.Duration) {
	u, n := w.rng.Float64(), 0
	for n < len(w.kinds)-1 && u >= w.kinds[n].Share {
		u -= w.kinds[n].Share
		n++
	}
	k := w.kinds[n]
	own := max(16, int(k.OwnTokens*math.Exp(k.Spread*w.rng.NormFloat64()-k.Spread*k.Spread/2)))
	thing := w.rng.IntN(k.SharedPrompts)
	if w.rng.Float64() < w.c.Load.HotKeyShare {
		thing = 0
	}
	part := uint64(n+1)<<32 + uint64(thing+1)
	c := &call{index: len(w.calls), kind: n, gateway: w.gateways[w.rng.IntN(len(w.gateways))], arrived: t, outputTokens: max(1, int(k.OutputTokens*w.rng.ExpFloat64()))}
	c.Call = forward.Call{
		ID: ident.Request(strconv.Itoa(len(w.calls))), Route: w.routes[n], Service: w.svc, Priority: k.Priority,
		Parts:        []forward.PromptPart{{ID: part, Tokens: k.SharedTokens}, {ID: uint64(len(w.calls)), Tokens: own}},
		PromptTokens: k.SharedTokens + own, MostTokens: c.outputTokens,
		Received: time.Unix(0, int64(t)), Expires: time.Unix(0, int64(t+k.Deadline)),
	}
	for block := range k.SharedTokens / prompt.BlockTokens {
		c.blocks = append(c.blocks, part<<10+uint64(block))
	}
	w.calls = append(w.calls, c)
	w.At(t, func() { w.place(c, t) })
}

// place tries to send a request; since is when it came or came back.
func (w *world) place(c *call, since time.Duration) {
	now := w.Clock()
	choice, found := c.gateway.chooser.Choose(&c.Call, nil, now)
	switch {
	case found:
		w.send(c, choice)
	case w.Now() < since+c.Route.Objective/waitDivisor:
		w.At(w.Now()+placeEvery, func() { w.place(c, since) })
	case !c.retried:
		// The caller comes back once, when it was told to.
		c.retried = true
		room := c.gateway.chooser.RoomIn(&c.Call, now)
		again := w.Now() + returntime.Spread(max(c.Route.Objective/2, room, 100*time.Millisecond), c.ID)
		w.At(again, func() { w.place(c, again) })
	default:
		c.done = true
	}
}

func (w *world) send(c *call, choice forward.Choice) {
	s := w.byID[choice.Upstream]
	c.choice, c.server = choice, s
	w.addLoad(c, 1, c.PromptTokens)
	err := s.model.Submit(w.Clock(), engine.Work{ID: c.ID, Tag: c.index, Priority: -int32(c.Priority), Blocks: c.blocks, Context: c.PromptTokens, Output: c.outputTokens})
	if s.ended || err != nil {
		w.finish(c, forward.Rejected)
		return
	}
	w.startStep(s)
}

// addLoad adds to the present load of a request's engine. Prompts count whole here: what the
// engine holds of them is not known to those who place.
func (w *world) addLoad(c *call, running, unread int) {
	for _, loads := range []map[ident.Instance]placement.Load{w.currentLoads, c.gateway.currentLoads} {
		loads[c.server.ID] = loads[c.server.ID].Plus(placement.Load{Running: running, Unread: unread})
	}
}

func (w *world) finish(c *call, result forward.Result) {
	if c.done {
		return
	}
	c.done = true
	unread := 0
	if c.firstEventAt == 0 {
		unread = c.PromptTokens
	}
	w.addLoad(c, -1, -unread)
	c.gateway.chooser.Finished(c.choice, result, w.Clock())
}

// startStep lets an engine step as long as it has work.
func (w *world) startStep(s *server) {
	if s.busy || s.ended {
		return
	}
	tokens, d := s.model.Step(w.Clock(), nil)
	if d == 0 {
		return
	}
	s.busy = true
	w.At(w.Now()+d, func() {
		s.busy = false
		for _, t := range tokens {
			w.deliverToken(w.calls[t.Tag], t)
		}
		w.startStep(s)
	})
}

func (w *world) deliverToken(c *call, t engine.Token) {
	if c.done {
		return
	}
	if t.Index == 0 {
		w.readTokens += t.Prefilled
		w.countRereadTokens(c, t.Prefilled)
		w.At(w.Now()+w.c.Engine.FirstEventDelay, func() { w.firstEvent(c) })
	}
	if t.Done {
		w.At(w.Now()+w.c.Engine.FirstEventDelay, func() { w.finish(c, forward.Done) })
	}
}

// countRereadTokens counts shared tokens that some engine had read before.
func (w *world) countRereadTokens(c *call, prefilled int) {
	own := c.Parts[1].Tokens
	if shared := prefilled - own; shared > 0 && w.readPrompts[c.Parts[0].ID] {
		w.rereadTokens += shared
	}
	w.readPrompts[c.Parts[0].ID] = true
}

func (w *world) firstEvent(c *call) {
	if c.server.ended || c.done {
		return
	}
	c.firstEventAt = w.Now()
	w.addLoad(c, 0, -c.PromptTokens)
	c.gateway.chooser.Began(c.choice, w.Clock())
}

// endEngine takes an engine away with all that it has.
func (w *world) endEngine(s *server) {
	s.ended = true
	delete(w.byID, s.ID)
	for _, c := range w.calls {
		if c.server == s && !c.done {
			w.finish(c, forward.Broken)
			c.firstEventAt = 0
		}
	}
	w.engines = slices.DeleteFunc(w.engines, func(other *server) bool { return other == s })
	w.publish()
}

// publish gives all gateways the engines that there are.
func (w *world) publish() {
	var list []directory.Upstream
	for _, s := range w.engines {
		list = append(list, s.Upstream)
	}
	w.view = directory.NewView(list)
}

// demand is what all gateways' callers ask.
func (w *world) demand() placement.Demand {
	var d placement.Demand
	for _, g := range w.gateways {
		d = d.Plus(g.chooser.Demand(service, w.Clock()))
	}
	return d
}
