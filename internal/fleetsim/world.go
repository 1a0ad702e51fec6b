package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/retryafter"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/waiting"
	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/eventqueue"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/placement"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
	"github.com/goldcrestspool/goldcrestspool/internal/upstreamlimit"
)

// Case describes one run.
type Case struct {
	Engine EngineKind
	Fleet  FleetSize
	Load   Load
	// BusyEngines is the traffic's rate, as the number of engines that it keeps busy.
	BusyEngines float64
	Seed        uint64
	// LoadsKnownAtOnce means that every gateway knows the others' load at once. Engine
	// estimates are learned in the same way as otherwise.
	LoadsKnownAtOnce bool
	// FixedEngines is a number of on-demand engines that run all the time, to find the
	// smallest sufficient number; 0 leaves the number to the policy.
	FixedEngines int
	// Slowdowns are the engines' slowdowns, by turns in the order of their start; without any, that
	// of the kind holds.
	Slowdowns []float64
	Speeds    SpeedSource
	// Spells are slow spells of engines; none if Every is 0.
	Spells Spells
}

// The periods of the entry process's own loops: recording loads, the steps of the holder of the
// lease, and placing a waiting request again.
const (
	recordEvery = 50 * time.Millisecond
	dutyEvery   = 250 * time.Millisecond
	placeEvery  = 10 * time.Millisecond
)

// service is the name of the only service.
const service = ident.Service("llm")

// world is the state of a run.
type world struct {
	eventqueue.Queue
	c        Case
	rng      *rand.Rand
	svc      *routetable.Service
	kinds    []RequestKind
	routes   []*routetable.Route
	engines  []*simEngine
	byID     map[ident.Instance]*simEngine
	view     *directory.View
	gateways []*gateway
	// pastTotals are the sums of all gateways' loads by engine at recorded times, the
	// newest last.
	pastTotals []map[ident.Instance]placement.Load
	// currentLoads are these sums now; with Case.LoadsKnownAtOnce gateways place requests by
	// them.
	currentLoads map[ident.Instance]placement.Load
	sums         enginemodel.Sums
	speeds       speedExchange
	ejections    ejectionCounter
	cloud        *cloud
	calls        []*call
	readPrompts  map[uint64]bool
	rereadTokens int
	readTokens   int
	// paidSeconds is the cost of the engines since warmUp, in seconds of an on-demand
	// engine.
	paidSeconds float64
}

// simEngine is a simulated engine.
type simEngine struct {
	directory.Upstream
	model *engine.Model
	// slowdown is the engine's slowdown apart from spells.
	slowdown float64
	busy     bool
	ended    bool
}

// gateway is one entry gateway.
type gateway struct {
	name    string
	chooser *placement.Chooser
	speeds  *speed.Tracker
	// pastLoads are the gateway's loads at recorded times, and currentLoads its loads now.
	pastLoads    []map[ident.Instance]placement.Load
	currentLoads map[ident.Instance]placement.Load
}

// call is one request.
type call struct {
	forward.Call
	// index is the request's index in world.calls, and kind that of its kind in world.kinds.
	index        int
	kind         int
	gateway      *gateway
	blocks       []uint64
	outputTokens int
	arrived      time.Duration
	choice       forward.Choice
	engine       *simEngine
	// firstEventAt is the time of the first event; 0 if there was none yet.
	firstEventAt time.Duration
	done         bool
	retried      bool
}

// Run simulates one run and returns its figures.
func Run(c Case) Figures {
	w := newWorld(c)
	w.scheduleArrivals()
	w.every(recordEvery, w.recordLoads)
	w.every(exchangeEvery, w.exchangeSpeeds)
	w.cloud.startFleet()
	w.startSpells()
	for w.Now() < arrivalsEnd+20*time.Second && w.Step() {
	}
	return w.figures()
}

func newWorld(c Case) *world {
	w := &world{c: c, rng: rand.New(rand.NewPCG(c.Seed, 11)), byID: make(map[ident.Instance]*simEngine), readPrompts: make(map[uint64]bool), currentLoads: make(map[ident.Instance]placement.Load), view: directory.NewView(nil), speeds: speedExchange{table: speed.NewTable()}}
	scale := &routetable.Scale{MinPerDomain: 1, MaxPerDomain: 400, Startup: 4 * time.Second, ReclaimablePrice: reclaimablePrice, Prices: make(map[ident.FailureDomain]float64)}
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
	g := &gateway{name: fmt.Sprint("gw", i), speeds: newTracker(), currentLoads: make(map[ident.Instance]placement.Load)}
	limits := upstreamlimit.NewLimiter(upstreamlimit.Config{
		Now: w.Clock, Log: hclog.NewNullLogger(), Key: keyOf, Round: gossip.Interval,
	})
	g.chooser = placement.New(placement.Config{
		Params: placement.DefaultParams(), Self: ident.Instance(g.name), Domain: w.domain(i % w.c.Fleet.Domains),
		Log:             hclog.New(&hclog.LoggerOptions{Output: &w.ejections, TimeFn: w.Clock}),
		View:            func() *directory.View { return w.view },
		OtherLoad:       func(id ident.Instance) placement.Load { return w.loadOfOthers(g, id) },
		Silent:          func(ident.FailureDomain) bool { return false },
		Gateways:        func() int { return w.c.Fleet.Gateways },
		OtherEngineSums: func(ident.Service) enginemodel.Sums { return w.sums },
		HoldsBack:       func(ident.Service, ident.SoftwareVersion, time.Time) bool { return false },
		MayBegin:        func(ident.Service, ident.SoftwareVersion) bool { return true },
		EndedEarly:      func(ident.Instance) bool { return false },
		Split:           func(ident.Service) *rollout.Split { return nil },
		Limits:          limits,
		Pauses: announced.NewRegistry(announced.Config{
			Now: w.Clock, Log: hclog.NewNullLogger(), Limits: limits, Round: gossip.Interval, MaxPause: time.Minute,
			Listed: func(ident.Instance) bool { return true }, OnLeaving: func([]ident.Instance) {},
		}),
		RetryLeft:   func(ident.Service, time.Time) bool { return true },
		Slowness:    func(id ident.Instance) float64 { return w.slowness(g, id) },
		RecordSpeed: g.speeds.Record,
	})
	w.gateways = append(w.gateways, g)
}

// loadOfOthers returns the other gateways' load at an engine, as far as a gateway knows it.
func (w *world) loadOfOthers(g *gateway, id ident.Instance) placement.Load {
	if w.c.LoadsKnownAtOnce {
		return w.currentLoads[id].Minus(g.currentLoads[id])
	}
	back := int(w.c.Fleet.ReportAge / recordEvery)
	if len(w.pastTotals) <= back {
		return placement.Load{}
	}
	return w.pastTotals[len(w.pastTotals)-1-back][id].Minus(g.pastLoads[len(g.pastLoads)-1-back][id])
}

// every repeats an action with a period until 5 s after the last arrival.
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

// recordLoads records the loads of all gateways, which the others know after a delay.
func (w *world) recordLoads() {
	total := make(map[ident.Instance]placement.Load)
	for _, g := range w.gateways {
		own := g.chooser.OwnLoads()
		g.pastLoads = append(g.pastLoads, own)
		for id, load := range own {
			total[id] = total[id].Plus(load)
		}
	}
	w.pastTotals = append(w.pastTotals, total)
	if len(w.pastTotals)%5 == 0 {
		var sums enginemodel.Sums
		for _, g := range w.gateways {
			sums.Add(g.chooser.EngineSums()[service])
		}
		w.sums = sums
	}
}

// scheduleArrivals draws the requests of the run and schedules their arrivals.
func (w *world) scheduleArrivals() {
	busy := 0.0
	for _, k := range w.kinds {
		// Streams share steps: if all slots are in use, each stream costs its part of a
		// step.
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

// addRequest draws a request and schedules its arrival at a time.
func (w *world) addRequest(t time.Duration) {
	u, n := w.rng.Float64(), 0
	for n < len(w.kinds)-1 && u >= w.kinds[n].Share {
		u -= w.kinds[n].Share
		n++
	}
	k := w.kinds[n]
	own := max(16, int(k.OwnTokens*math.Exp(k.Spread*w.rng.NormFloat64()-k.Spread*k.Spread/2)))
	shared := w.rng.IntN(k.SharedPrompts)
	if w.rng.Float64() < w.c.Load.HotKeyShare {
		shared = 0
	}
	part := uint64(n+1)<<32 + uint64(shared+1)
	c := &call{index: len(w.calls), kind: n, gateway: w.gateways[w.rng.IntN(len(w.gateways))], arrived: t, outputTokens: max(1, int(k.OutputTokens*w.rng.ExpFloat64()))}
	c.Call = forward.Call{
		ID: ident.Request(strconv.Itoa(len(w.calls))), Route: w.routes[n], Service: w.svc, Priority: k.Priority,
		Parts:        []forward.PromptPart{{ID: part, Tokens: k.SharedTokens}, {ID: uint64(len(w.calls)), Tokens: own}},
		PromptTokens: k.SharedTokens + own, MaxTokens: c.outputTokens,
		Received: time.Unix(0, int64(t)), Expires: time.Unix(0, int64(t+k.Deadline)),
	}
	for block := range k.SharedTokens / prompt.BlockTokens {
		c.blocks = append(c.blocks, part<<10+uint64(block))
	}
	w.calls = append(w.calls, c)
	w.At(t, func() { w.place(c, t) })
}

// place sends a request, or lets it wait or be refused if no engine has room. since is when
// the request, or its retry, arrived.
func (w *world) place(c *call, since time.Duration) {
	now := w.Clock()
	choice, found := c.gateway.chooser.Choose(&c.Call, nil, now)
	switch {
	case found:
		w.send(c, choice)
	case w.Now() < since+c.Route.Objective/waiting.WaitDivisor:
		w.At(w.Now()+placeEvery, func() { w.place(c, since) })
	case !c.retried:
		// The caller retries once, after the retry-after time.
		c.retried = true
		room := c.gateway.chooser.RetryAfter(&c.Call, now)
		again := w.Now() + retryafter.Spread(max(c.Route.Objective/2, room, 100*time.Millisecond), c.ID)
		w.At(again, func() { w.place(c, again) })
	default:
		c.done = true
	}
}

func (w *world) send(c *call, choice forward.Choice) {
	s := w.byID[choice.Upstream]
	c.choice, c.engine = choice, s
	w.addLoad(c, 1, c.PromptTokens)
	err := s.model.Submit(w.Clock(), engine.Attempt{ID: c.ID, Tag: c.index, Priority: -int32(c.Priority), Blocks: c.blocks, ContextTokens: c.PromptTokens, OutputTokens: c.outputTokens})
	if s.ended || err != nil {
		w.finish(c, forward.Rejected)
		return
	}
	w.startStep(s)
}

// addLoad changes the current load of a request's engine. Prompts count with all their
// tokens, since those who place requests do not know how much the engine has cached.
func (w *world) addLoad(c *call, running, unread int) {
	for _, loads := range []map[ident.Instance]placement.Load{w.currentLoads, c.gateway.currentLoads} {
		loads[c.engine.ID] = loads[c.engine.ID].Plus(placement.Load{Running: running, UnreadTokens: unread})
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

// startStep starts an engine's next step, and after it the next one, as long as the engine has
// work.
func (w *world) startStep(s *simEngine) {
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

// countRereadTokens counts prefilled tokens of a shared part that some engine has read before.
func (w *world) countRereadTokens(c *call, prefilled int) {
	own := c.Parts[1].Tokens
	if shared := prefilled - own; shared > 0 && w.readPrompts[c.Parts[0].ID] {
		w.rereadTokens += shared
	}
	w.readPrompts[c.Parts[0].ID] = true
}

func (w *world) firstEvent(c *call) {
	if c.engine.ended || c.done {
		return
	}
	c.firstEventAt = w.Now()
	w.addLoad(c, 0, -c.PromptTokens)
	c.gateway.chooser.FirstEventArrived(c.choice, w.Clock())
}

// endEngine ends an engine and breaks off its requests.
func (w *world) endEngine(s *simEngine) {
	s.ended = true
	delete(w.byID, s.ID)
	for _, c := range w.calls {
		if c.engine == s && !c.done {
			w.finish(c, forward.Broken)
			c.firstEventAt = 0
		}
	}
	w.engines = slices.DeleteFunc(w.engines, func(other *simEngine) bool { return other == s })
	w.publish()
}

// publish gives all gateways the current list of engines.
func (w *world) publish() {
	var list []directory.Upstream
	for _, s := range w.engines {
		list = append(list, s.Upstream)
	}
	w.view = directory.NewView(list)
}

// demand returns the demand of all gateways' callers.
func (w *world) demand() placement.Demand {
	var d placement.Demand
	for _, g := range w.gateways {
		d = d.Plus(g.chooser.Demand(service, w.Clock()))
	}
	return d
}
