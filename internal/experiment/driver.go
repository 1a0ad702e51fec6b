package experiment

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/cacheview"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/eventqueue"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

const (
	// pollEvery is the interval at which a gateway reads an upstream's report and
	// cache events.
	pollEvery = 200 * time.Millisecond
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 6
	// drainLimit is the virtual time at which a run ends even if requests are
	// still open.
	drainLimit = arrivalsEnd + 100*time.Second
)

// runner is one upstream and what is simulated there.
type runner struct {
	platform.Instance
	model *engine.Model
	busy  bool
	// tokens are delivered when the current step ends.
	tokens []engine.Token
	// leaving means that the runner was reclaimed and ends at endsAt.
	leaving bool
	endsAt  time.Duration
	ended   bool
	// busyTime is the time spent in steps after the warm-up, and startedAt and
	// stoppedAt bound the time that has to be paid.
	busyTime             time.Duration
	startedAt, stoppedAt time.Duration
	active               map[int]*call
	longestQueue         int
}

// gateway makes the decisions of one gateway. It does not know the others' decisions.
type gateway struct {
	policies      map[*document.Document]Policy
	views         map[*document.Document][]blackboard.Upstream
	caches        map[ident.Instance]*cacheview.View
	blindToCaches bool
	// admissions is empty for policies without admission.
	admissions map[*document.Document]*admission
	// planned are the leaving runners whose streams the gateway has planned to
	// move. It is nil for policies that only react when a runner ends.
	planned map[ident.Instance]bool
}

// call is one request with the state of its attempts.
type call struct {
	arrival
	index        int
	gateway      *gateway
	runner       *runner
	ticket       routing.Ticket
	decision     routing.Decision
	exclude      []ident.Instance
	attempts     int
	sentAt       time.Duration
	delivered    int
	firstTokenAt time.Duration
	lastTokenAt  time.Duration
	// recomputed counts prefilled tokens that some engine had computed before,
	// and resumed those of them that were due to an interrupted stream.
	recomputed, resumed int
	done, gaveUp        bool
	// refusals counts refusals by admission, retries how often the caller retried
	// after the retry-after time, and retriesAdmitted the retries that were not
	// refused.
	refusals, retries, retriesAdmitted int
	// entry is the request's entry in its gateway's admission, or nil.
	entry *gate.Entry
	// retriesOverBudget counts how often the retry budget allowed no further attempt.
	retriesOverBudget int
	// attemptFirstToken is the time to the current attempt's first token.
	attemptFirstToken time.Duration
	// deliveredBefore is how many tokens were delivered before the current attempt.
	deliveredBefore int
	// predicted and actual are the times to the first attempt's first token.
	predicted, actual time.Duration
}

// run is a run of one policy in one case with one seed.
type run struct {
	workload *Workload
	fault    Case
	rng      *rand.Rand
	events   eventqueue.Queue
	runners  []*runner
	gateways []*gateway
	calls    []*call
	// computedBlocks are the prefix blocks that any engine has computed.
	computedBlocks map[uint64]bool
	// openRequests is the number of requests that have not ended.
	openRequests int
}

// Run simulates a case with one policy and returns the run's figures.
func Run(w *Workload, c Case, contender Contender, seed uint64) Figures {
	r := &run{workload: w, fault: c, rng: rand.New(rand.NewPCG(seed, 1)), computedBlocks: make(map[uint64]bool)}
	for _, i := range w.Runners {
		r.addRunner(i, engine.DefaultParameters())
	}
	for _, i := range w.PlainRunners {
		r.addRunner(i, plainParameters())
	}
	r.addGateways(contender)
	for i, a := range w.arrivals(rand.New(rand.NewPCG(seed, 2)), c.phases(), c.accounts(w)) {
		k := &call{arrival: a, index: i, gateway: r.gateways[mixBits(seed+uint64(i)<<8)%gatewayCount]}
		r.calls = append(r.calls, k)
		r.events.At(a.at, func() { r.arrive(k) })
	}
	r.openRequests = len(r.calls)
	r.events.At(faultAt, r.injectFault)
	for r.openRequests > 0 && r.events.Now() < drainLimit && r.events.Step() {
	}
	return r.figures()
}

func (r *run) addRunner(i platform.Instance, p engine.Parameters) {
	if r.fault.ReportLag > 0 {
		p.ReportLag = r.fault.ReportLag
	}
	p.EventGapEvery = r.fault.EventGapEvery
	u := &runner{Instance: i, model: engine.NewModel(p), active: make(map[int]*call), startedAt: r.events.Now(), stoppedAt: arrivalsEnd}
	r.runners = append(r.runners, u)
}

func (r *run) addGateways(contender Contender) {
	for i := range gatewayCount {
		g := &gateway{
			caches:        make(map[ident.Instance]*cacheview.View),
			views:         make(map[*document.Document][]blackboard.Upstream),
			blindToCaches: contender.BlindToCaches,
		}
		g.policies = map[*document.Document]Policy{
			r.workload.Model: contender.New(r.rng.Uint64, r.events.Clock()),
			r.workload.Plain: contender.New(r.rng.Uint64, r.events.Clock()),
		}
		if contender.Admission {
			g.planned = make(map[ident.Instance]bool)
			g.admissions = map[*document.Document]*admission{
				r.workload.Model: newAdmission(r.events.Clock()),
				r.workload.Plain: newAdmission(r.events.Clock()),
			}
		}
		r.gateways = append(r.gateways, g)
		r.poll(g)
		r.events.At(pollEvery*time.Duration(i)/gatewayCount, func() { r.pollRepeatedly(g) })
	}
}

func (r *run) pollRepeatedly(g *gateway) {
	r.poll(g)
	r.events.At(r.events.Now()+pollEvery, func() { r.pollRepeatedly(g) })
}

// poll reads all upstreams' reports and cache events into the gateway's views, plans for
// runners that are leaving, and grants slots that have become free.
func (r *run) poll(g *gateway) {
	g.views[r.workload.Model], g.views[r.workload.Plain] = nil, nil
	for _, u := range r.runners {
		if u.ended {
			continue
		}
		report := u.model.Report(r.events.Clock())
		seen := blackboard.Upstream{Instance: u.Instance, State: blackboard.Alive, Report: report}
		seen.AsOf = r.events.Clock().Add(-report.Age)
		if !g.blindToCaches {
			seen.Cache = r.cacheOf(g, u)
		}
		if u.leaving {
			seen.State = blackboard.Leaving
		}
		doc := r.document(u.Role == platform.RolePlain)
		g.views[doc] = append(g.views[doc], seen)
	}
	for _, u := range r.runners {
		if g.planned != nil && u.leaving && !u.ended {
			r.planReclaim(g, u)
		}
	}
	for doc, a := range g.admissions {
		a.setUpstreams(g.views[doc], g.policies[doc], r.events.Clock())
	}
	for _, doc := range []*document.Document{r.workload.Model, r.workload.Plain} {
		if a := g.admissions[doc]; a != nil {
			r.grantWaiting(a)
		}
	}
}

// cacheOf returns a gateway's view of a runner's cache after it has read the newest
// events.
func (r *run) cacheOf(g *gateway, u *runner) *cacheview.View {
	cache := g.caches[u.ID]
	if cache == nil {
		cache = cacheview.New(cacheview.DefaultParams(), r.events.Clock())
		g.caches[u.ID] = cache
	}
	cache.Apply(u.model.CacheEvents(cache.LastSequence(), r.events.Clock()), r.events.Clock())
	return cache
}

func (r *run) document(plain bool) *document.Document {
	if plain {
		return r.workload.Plain
	}
	return r.workload.Model
}

// injectFault starts the case's slow runner and its reclaim of a failure domain.
func (r *run) injectFault() {
	if r.fault.Slowdown > 0 {
		r.runners[0].model.SetSlowdown(r.fault.Slowdown)
	}
	if !r.fault.Reclaim {
		return
	}
	domain := r.workload.Runners[0].FailureDomain
	for _, u := range slices.Clone(r.runners) {
		if u.FailureDomain != domain {
			continue
		}
		u.leaving = true
		u.model.Leave(r.events.Clock())
		u.endsAt = r.events.Now() + reclaimNotice
		r.events.At(u.endsAt, func() { r.endRunner(u) })
		r.replace(u, 1)
	}
}

// replace starts an instance in place of one that was reclaimed. Starts that fail are
// repeated.
func (r *run) replace(old *runner, attempt int) {
	p := engine.DefaultParameters()
	p.FailingStarts = r.fault.FailingStarts
	delay, ok := p.StartResult(attempt)
	if r.events.Now()+delay > arrivalsEnd {
		return
	}
	r.events.At(r.events.Now()+delay, func() {
		if !ok {
			r.replace(old, attempt+1)
			return
		}
		next := old.Instance
		next.ID += "-" + ident.Instance(strconv.Itoa(attempt)) + "b"
		if next.Role == platform.RolePlain {
			p = plainParameters()
		}
		r.addRunner(next, p)
	})
}

// endRunner ends a runner and sends its requests to other runners, oldest first.
func (r *run) endRunner(u *runner) {
	u.ended, u.stoppedAt = true, r.events.Now()
	for _, k := range inArrivalOrder(u.active) {
		r.endAttempt(k, routing.ResultFailed)
		k.exclude = append(k.exclude, u.ID)
		r.dispatch(k)
	}
}

// inArrivalOrder returns a runner's requests in the order in which they arrived.
func inArrivalOrder(active map[int]*call) []*call {
	list := make([]*call, 0, len(active))
	for _, k := range active {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b *call) int { return a.index - b.index })
	return list
}
