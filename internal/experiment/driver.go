package experiment

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/agenda"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/cacheview"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

const (
	// pollEvery is how often a decider reads an upstream's report and events.
	pollEvery = 200 * time.Millisecond
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// drainLimit ends a run whose queues never empty.
	drainLimit = arrivalsEnd + 100*time.Second
)

// runner is one upstream.
type runner struct {
	platform.Instance
	model *engine.Model
	busy  bool
	// tokens come out at the end of the step under way.
	tokens  []engine.Token
	leaving bool
	endsAt  time.Duration
	ended   bool
	// busyTime is the time spent in steps after the warm-up.
	busyTime             time.Duration
	startedAt, stoppedAt time.Duration
	active               map[int]*call
	longestQueue         int
}

// gateway is one gateway's decisions; it sees no other decider's.
type gateway struct {
	policies      map[*document.Document]Policy
	views         map[*document.Document][]blackboard.Upstream
	caches        map[ident.Instance]*cacheview.View
	blindToCaches bool
	// admissions are empty for policies without admission.
	admissions map[*document.Document]*admission
	// planned are the leaving runners that were planned for; nil for
	// policies that only react to the end.
	planned map[ident.Instance]bool
}

// call is one request on its way through its attempts.
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
	// recomputed counts tokens that some engine had computed before, and
	// resumed those of them that an interrupted stream cost.
	recomputed, resumed int
	done, gaveUp        bool
	// refusals counts refusals by admission; retries those that came back at
	// the time they were told, and retriesAdmitted those then taken.
	refusals, retries, retriesAdmitted int
	// entry is the request's place in its decider's admission, or nil.
	entry *gate.Entry
	// unpaidRetries counts the times when no budget paid for another attempt.
	unpaidRetries int
	// attemptFirstToken is of the present attempt.
	attemptFirstToken time.Duration
	// deliveredBefore is how many tokens the attempt began with.
	deliveredBefore int
	// predicted and actual are of the first attempt's first token.
	predicted, actual time.Duration
}

// run is one policy under one case with one seed.
type run struct {
	workload *Workload
	fault    Case
	rng      *rand.Rand
	agenda   agenda.Agenda
	runners  []*runner
	gateways []*gateway
	calls    []*call
	// computedBlocks are the blocks that any engine has computed.
	computedBlocks map[uint64]bool
	openRequests   int
}

// Run plays a case and returns its figures.
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
		r.agenda.At(a.at, func() { r.arrive(k) })
	}
	r.openRequests = len(r.calls)
	r.agenda.At(faultAt, r.injectFault)
	for r.openRequests > 0 && r.agenda.Now() < drainLimit && r.agenda.Step() {
	}
	return r.figures()
}

func (r *run) addRunner(i platform.Instance, p engine.Parameters) {
	if r.fault.ReportLag > 0 {
		p.ReportLag = r.fault.ReportLag
	}
	p.EventGapEvery = r.fault.EventGapEvery
	u := &runner{Instance: i, model: engine.NewModel(p), active: make(map[int]*call), startedAt: r.agenda.Now(), stoppedAt: arrivalsEnd}
	r.runners = append(r.runners, u)
}

func (r *run) addGateways(contender Contender) {
	for i := range gatewayCount {
		d := &gateway{
			caches:        make(map[ident.Instance]*cacheview.View),
			views:         make(map[*document.Document][]blackboard.Upstream),
			blindToCaches: contender.BlindToCaches,
		}
		d.policies = map[*document.Document]Policy{
			r.workload.Model: contender.New(r.rng.Uint64, r.agenda.Clock()),
			r.workload.Plain: contender.New(r.rng.Uint64, r.agenda.Clock()),
		}
		if contender.Admission {
			d.planned = make(map[ident.Instance]bool)
			d.admissions = map[*document.Document]*admission{
				r.workload.Model: newAdmission(r.agenda.Clock()),
				r.workload.Plain: newAdmission(r.agenda.Clock()),
			}
		}
		r.gateways = append(r.gateways, d)
		r.poll(d)
		r.agenda.At(pollEvery*time.Duration(i)/gatewayCount, func() { r.pollRepeatedly(d) })
	}
}

func (r *run) pollRepeatedly(d *gateway) {
	r.poll(d)
	r.agenda.At(r.agenda.Now()+pollEvery, func() { r.pollRepeatedly(d) })
}

// poll reads all upstreams' reports and cache events into new views.
func (r *run) poll(d *gateway) {
	d.views[r.workload.Model], d.views[r.workload.Plain] = nil, nil
	for _, u := range r.runners {
		if u.ended {
			continue
		}
		report := u.model.Report(r.agenda.Clock())
		seen := blackboard.Upstream{Instance: u.Instance, State: blackboard.Alive, Report: report}
		seen.AsOf = r.agenda.Clock().Add(-report.Age)
		if !d.blindToCaches {
			seen.Cache = r.cacheOf(d, u)
		}
		if u.leaving {
			seen.State = blackboard.Leaving
		}
		doc := r.document(u.Role == platform.RolePlain)
		d.views[doc] = append(d.views[doc], seen)
	}
	for _, u := range r.runners {
		if d.planned != nil && u.leaving && !u.ended {
			r.planReclaim(d, u)
		}
	}
	for doc, a := range d.admissions {
		a.setUpstreams(d.views[doc], d.policies[doc], r.agenda.Clock())
	}
	for _, doc := range []*document.Document{r.workload.Model, r.workload.Plain} {
		if a := d.admissions[doc]; a != nil {
			r.grantWaiting(a)
		}
	}
}

// cacheOf returns what a decider believes of a runner's cache after reading
// its newest events.
func (r *run) cacheOf(d *gateway, u *runner) *cacheview.View {
	cache := d.caches[u.ID]
	if cache == nil {
		cache = cacheview.New(cacheview.DefaultParams(), r.agenda.Clock())
		d.caches[u.ID] = cache
	}
	cache.Apply(u.model.CacheEvents(cache.After(), r.agenda.Clock()), r.agenda.Clock())
	return cache
}

func (r *run) document(plain bool) *document.Document {
	if plain {
		return r.workload.Plain
	}
	return r.workload.Model
}

// injectFault brings the case's fault about.
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
		u.model.Leave(r.agenda.Clock())
		u.endsAt = r.agenda.Now() + reclaimNotice
		r.agenda.At(u.endsAt, func() { r.endRunner(u) })
		r.replace(u, 1)
	}
}

// replace starts a new instance in place of one that was reclaimed.
func (r *run) replace(old *runner, attempt int) {
	p := engine.DefaultParameters()
	p.FailingStarts = r.fault.FailingStarts
	delay, ok := p.StartResult(attempt)
	if r.agenda.Now()+delay > arrivalsEnd {
		return
	}
	r.agenda.At(r.agenda.Now()+delay, func() {
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

// endRunner loses a runner and resumes its calls elsewhere, oldest first.
func (r *run) endRunner(u *runner) {
	u.ended, u.stoppedAt = true, r.agenda.Now()
	for _, k := range inArrivalOrder(u.active) {
		r.endAttempt(k, routing.ResultFailed)
		k.exclude = append(k.exclude, u.ID)
		r.dispatch(k)
	}
}

func inArrivalOrder(active map[int]*call) []*call {
	list := make([]*call, 0, len(active))
	for _, k := range active {
		list = append(list, k)
	}
	slices.SortFunc(list, func(a, b *call) int { return a.index - b.index })
	return list
}
