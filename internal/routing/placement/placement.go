// Package placement chooses upstreams without asking them anything: from what
// this gateway sent, from what the other gateways say that they have in
// progress, and from which prompt parts belong where.
//
// Requests that share a prompt part go to the same engine, its home, so that
// the part is read once. All gateways work out the same home by rendezvous
// hashing and need no word of each other for it. Where the home has more work
// before it than reading the part again takes, the next in line is used.
package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

// Params are the weights of the choice.
type Params struct {
	// RecomputeWeight is how much a shared part that is read again counts, relative to the
	// time that its reading takes: it costs the users' money and delays the
	// others at that engine.
	RecomputeWeight float64
	// OtherDomainCost is what sending to another failure domain costs, in seconds:
	// the way, and the price of the bytes.
	OtherDomainCost float64
	// EngineQueuePerSlot and PlainQueue are how many requests may wait at an upstream
	// for each of its slots; beyond them it takes no work.
	EngineQueuePerSlot, PlainQueuePerSlot float64
}

// DefaultParams hold no engine's estimate: these are learned.
func DefaultParams() Params {
	return Params{
		// Waiting 0.2 s at the home is better than reading 5,000 tokens again:
		// the objectives are 0.5 s and more.
		RecomputeWeight: 4,
		// 1 ms there and back, and bytes that cost as much as another 1 ms.
		OtherDomainCost:    0.002,
		EngineQueuePerSlot: 0.5,
		PlainQueuePerSlot:  2,
	}
}

// Load is the work at an upstream.
type Load struct {
	// Running counts requests in progress.
	Running int
	// Unread are prompt tokens of requests without a first event.
	Unread int
}

// Plus is the work of two together, and Minus what is left of it without a part.
func (l Load) Plus(o Load) Load  { return Load{l.Running + o.Running, l.Unread + o.Unread} }
func (l Load) Minus(o Load) Load { return Load{l.Running - o.Running, l.Unread - o.Unread} }

// Config is what a Chooser works with.
type Config struct {
	Params Params
	// Self is this gateway, and Domain where it is.
	Self   ident.Instance
	Domain ident.FailureDomain
	Log    hclog.Logger
	// View returns the upstreams; it is called for each choice.
	View func() *directory.View
	// Others returns what the other gateways have at an upstream.
	Others func(ident.Instance) Load
	// Silent reports whether all gateways of another failure domain have fallen
	// silent just now.
	Silent func(ident.FailureDomain) bool
	// Gateways is how many gateways share the upstreams' connections.
	Gateways func() int
	// Engines returns what the other gateways' requests saw of a service's engines.
	Engines func(ident.Service) enginemodel.Sums
	// Limits are the rates that upstreams named.
	Limits Limits
	// Split returns how a service's upstreams are split by version; nil if they are not.
	Split func(ident.Service) *rollout.Split
}

// Limits are the rates that upstreams named, to which all gateways keep together.
type Limits interface {
	// Some reports whether any upstream has a limit; Version changes with those that have.
	Some() bool
	Version() uint64
	Limited(ident.Instance) bool
	// Take reports whether a request may be sent to an upstream for which it is the best
	// choice. It is counted as sent.
	Take(ident.Instance) bool
	// RoomIn returns after how long upstreams take one more request that all have a limit.
	RoomIn([]ident.Instance) time.Duration
}

// Chooser implements forward.Placement. It is safe for concurrent use.
type Chooser struct {
	cfg Config
	// seed makes this gateway's order of upstreams another one than that of others.
	seed uint64

	mu   sync.Mutex
	view *directory.View
	// lastUnreachable are domains with when an upstream there did not answer last.
	lastUnreachable   map[ident.FailureDomain]time.Time
	own               map[ident.Instance]*ownWork
	ejectionSets      map[ident.Service]*ejection.Set
	firstEventTimings map[ident.Service]*firstEventTiming
	loggedStates      map[ident.Instance]ejection.State
	demands           map[ident.Service]*serviceDemand
	engines           map[ident.Service]*serviceEngines
	limitedMarks           limitedMarks
	search            search
}

// ownWork is what this gateway has at an upstream.
type ownWork struct {
	load Load
	// avoidUntil: it could not be reached.
	avoidUntil time.Time
	failures   int
}

// Avoidance of upstreams that cannot be reached: doubled with each failure in
// a row. A crashed upstream is back, or out of the directory, within seconds.
const (
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
)

// ejectionConfig is quicker than the package's defaults: the users' upstreams
// that fail part of their requests do so for five seconds at a time.
var ejectionConfig = ejection.Config{Failures: 3, Base: 2 * time.Second, Longest: 8 * time.Second, Probes: 2, ProbeLimit: 5 * time.Second}

// reservation is what a request holds at an upstream.
type reservation struct {
	domain       ident.FailureDomain
	service      ident.Service
	route        string
	unreadTokens int
	// loadAhead is what was there when it was sent.
	loadAhead Load
	sentAt    time.Time
	// expectedFirstEvent is the time to the first event behind what is there.
	expectedFirstEvent time.Duration
	gotFirstEvent      bool
	firstEventLatency  time.Duration
	// ended: the upstream's process ended under the request.
	upstreamEnded bool
	// split is how the service's upstreams were split by version; nil if they were not.
	split    *rollout.Split
	side     rollout.Side
	upstream directory.Upstream
}

// New returns a Chooser that has sent nothing.
func New(cfg Config) *Chooser {
	return &Chooser{
		cfg: cfg, seed: xxhash.Sum64String(string(cfg.Self)), lastUnreachable: make(map[ident.FailureDomain]time.Time), own: make(map[ident.Instance]*ownWork), ejectionSets: make(map[ident.Service]*ejection.Set),
		firstEventTimings: make(map[ident.Service]*firstEventTiming), loggedStates: make(map[ident.Instance]ejection.State),
		demands: make(map[ident.Service]*serviceDemand), engines: make(map[ident.Service]*serviceEngines),
	}
}

// candidate is an upstream that may take a request.
type candidate struct {
	upstream       directory.Upstream
	own            *ownWork
	load           Load
	score          float64
	prefillTokens int
	// firstEventSeconds is the expected time to the call's first event there, in seconds; 0 at an
	// application.
	firstEventSeconds float64
}

// Choose implements forward.Placement.
func (c *Chooser) Choose(call *forward.Call, exclude []ident.Instance, now time.Time) (forward.Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.refreshView()
	set := c.ejectionSet(call.Service.Name)
	split, lists := c.upstreamLists(call, view, len(exclude) > 0, now)
	excluded := set.Excluded(now)
	cut := c.cutOffDomains(now)
	estimate := c.engineEstimate(call.Service.Name, now)
	share := c.connectionShareOf(call.Service)
	s := &c.search
	*s = search{chooser: c, call: call, estimate: estimate, now: now, limitedCandidates: s.limitedCandidates}
	best, why, found := s.bestOfLists(lists, func(u *directory.Upstream, o *ownWork) bool {
		return !contains(exclude, u.ID) && !contains(excluded, u.ID) && !now.Before(o.avoidUntil) && !contains(cut, u.FailureDomain) && c.mayUse(u, share)
	})
	if !found {
		// Where only suspects are left, one of them is better than none.
		best, why, found = s.bestOfLists(lists, func(u *directory.Upstream, _ *ownWork) bool { return !contains(exclude, u.ID) })
		why = "suspect, " + why
	}
	if !found {
		return forward.Choice{AtLimit: s.atLimit, OnlyLimits: len(s.atLimit) > 0 && !s.foundFull}, false
	}
	var side rollout.Side
	if split != nil {
		side = split.Sent(&best.upstream, call.Route.Name)
	}
	set.Started(now, best.upstream.ID)
	best.own.load.Running++
	best.own.load.Unread += best.prefillTokens
	if len(exclude) == 0 {
		getOrCreate(c.demands, call.Service.Name).callStarted(call, now)
	}
	t := getOrCreate(c.firstEventTimings, call.Service.Name)
	expected := time.Duration(best.firstEventSeconds * float64(time.Second))
	return forward.Choice{
		Upstream:       best.upstream.ID,
		Name:           best.upstream.Name,
		Address:        best.upstream.Address,
		MaxConnections: share.maxPerUpstream,
		Slow:           t.slowAfter(call.Route.Objective, expected),
		Why:            why,
		AtLimit:        s.atLimit,
		Place:          &reservation{domain: best.upstream.FailureDomain, service: call.Service.Name, route: call.Route.Name, unreadTokens: best.prefillTokens, sentAt: now, expectedFirstEvent: expected, loadAhead: best.load, split: split, side: side, upstream: best.upstream},
	}, true
}

// upstreamLists returns which upstreams may take a call.
func (c *Chooser) upstreamLists(call *forward.Call, view *directory.View, again bool, now time.Time) (*rollout.Split, rollout.Lists) {
	split := c.cfg.Split(call.Service.Name)
	if split == nil {
		return nil, rollout.Lists{First: view.Of(call.Service.Name)}
	}
	return split, split.Lists(call.ID, call.Route.Name, again, now)
}

// search is the search for one call's upstream.
type search struct {
	chooser *Chooser
	call    *forward.Call
	estimate enginemodel.Figures
	now     time.Time
	// limitedCandidates are those of the candidates that have limits; kept for the next search.
	limitedCandidates []candidate
	// atLimit are the upstreams that would have been better but for their limits, and full
	// whether one had as much work as it may get.
	atLimit   []ident.Instance
	foundFull bool
}

// bestOfLists returns the best candidate of the first list that has one.
func (s *search) bestOfLists(lists rollout.Lists, fits func(*directory.Upstream, *ownWork) bool) (candidate, string, bool) {
	best, why, found := s.bestOfList(lists.First, fits)
	if !found && len(lists.Then) > 0 {
		return s.bestOfList(lists.Then, fits)
	}
	return best, why, found
}

// bestOfList returns the candidate with the least score among those that fit and take it.
func (s *search) bestOfList(all []directory.Upstream, fits func(*directory.Upstream, *ownWork) bool) (candidate, string, bool) {
	var best candidate
	found := false
	c, call, estimate := s.chooser, s.call, &s.estimate
	s.limitedCandidates = s.limitedCandidates[:0]
	limited := c.limitedMarks.marksOf(all, c.cfg.Limits)
	order := c.homeOrderOf(call, all)
	var two sampledPair
	if call.Service.Engine != nil {
		two = samplePair(call, all)
	}
	left := call.Remaining(s.now).Seconds()
	for i := range all {
		u := &all[i]
		o := getOrCreate(c.own, u.ID)
		if u.State != directory.Ready || !fits(u, o) {
			continue
		}
		next := candidate{upstream: *u, own: o, load: c.totalLoad(u.ID, o)}
		if c.isFull(call, &next) {
			s.foundFull = true
			continue
		}
		c.score(call, &next, order, i, estimate)
		if next.firstEventSeconds > 0 && (order == nil || order.home != i) && !two.has(i) {
			next.score += unsampledPenalty
		}
		if estimate.Samples >= minSamples && next.firstEventSeconds > left {
			// A request that surely cannot be served would take an engine's time
			// from those that can, and its caller would wait for nothing.
			continue
		}
		if limited != nil && limited[i] {
			s.limitedCandidates = append(s.limitedCandidates, next)
			continue
		}
		if !found || next.score < best.score {
			best, found = next, true
		}
	}
	if len(s.limitedCandidates) > 0 {
		best, found = s.applyLimits(best, found)
	}
	why := "least work"
	if found && order != nil && best.prefillTokens < call.PromptTokens {
		why = "holds the prompt's parts"
	}
	return best, why, found
}

func (c *Chooser) totalLoad(id ident.Instance, o *ownWork) Load {
	return o.load.Plus(c.cfg.Others(id))
}

// isFull reports whether an upstream has as much work as it may get.
func (c *Chooser) isFull(call *forward.Call, x *candidate) bool {
	queue := c.cfg.Params.PlainQueuePerSlot
	if call.Service.Engine != nil {
		queue = c.cfg.Params.EngineQueuePerSlot
	}
	most := float64(x.upstream.Slots) * (1 + queue)
	return x.upstream.Slots > 0 && float64(x.load.Running) >= most
}

// tieBreakSeconds is what an upstream's place in this gateway's order counts, in seconds: less
// than a request in progress, or another failure domain.
const tieBreakSeconds = 1e-4

// score sets the candidate's expected first event, and its score: that time in seconds,
// and what else speaks against it.
func (c *Chooser) score(call *forward.Call, x *candidate, order *homeOrder, i int, estimate *enginemodel.Figures) {
	p := c.cfg.Params
	x.prefillTokens = call.PromptTokens
	again := 0.0
	if order != nil {
		shared := sharedTokens(call)
		if order.home == i {
			x.prefillTokens -= shared
		} else {
			again = (p.RecomputeWeight - 1) * float64(shared)
		}
	}
	if call.Service.Engine == nil {
		x.score = float64(x.load.Running) / float64(max(1, x.upstream.Slots)) * call.Route.Objective.Seconds()
		// What goes wrong if all gateways take the same one of several idle upstreams: each
		// of hundreds sends it what few requests it has, and the others stand by.
		x.score += c.rank(x.upstream.Name) * tieBreakSeconds
	} else {
		x.firstEventSeconds = estimate.FirstSeconds(float64(x.prefillTokens), float64(x.load.Unread), float64(x.load.Running))
		x.score = x.firstEventSeconds + again*estimate.Token
	}
	if order != nil {
		// Among equals the first in line, so that copies of a part stay few. The
		// weight is below what a request in progress counts.
		x.score += order.distanceFromFront(i) * 1e-3
	}
	if x.upstream.FailureDomain != c.cfg.Domain {
		x.score += p.OtherDomainCost
	}
}

// refreshView takes over a new view of the upstreams.
func (c *Chooser) refreshView() *directory.View {
	view := c.cfg.View()
	if view == c.view {
		return view
	}
	c.view = view
	// Marks by their lists would keep the views of before in memory.
	c.limitedMarks.marks = nil
	for service, set := range c.ejectionSets {
		set.SetUpstreams(readyIDs(view.Of(service)))
	}
	for id, o := range c.own {
		if _, known := view.Upstream(id); !known && o.load == (Load{}) {
			delete(c.own, id)
			delete(c.loggedStates, id)
		}
	}
	return view
}

func readyIDs(upstreams []directory.Upstream) []ident.Instance {
	var ids []ident.Instance
	for _, u := range upstreams {
		if u.State == directory.Ready {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

func (c *Chooser) ejectionSet(service ident.Service) *ejection.Set {
	set := c.ejectionSets[service]
	if set == nil {
		set = ejection.New(ejectionConfig)
		if c.view != nil {
			set.SetUpstreams(readyIDs(c.view.Of(service)))
		}
		c.ejectionSets[service] = set
	}
	return set
}

// getOrCreate returns what a map holds of a key; a zero value that it holds from now on, if
// nothing.
func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	v := m[key]
	if v == nil {
		v = new(V)
		m[key] = v
	}
	return v
}

// Own returns this gateway's work at each upstream that has any.
func (c *Chooser) Own() map[ident.Instance]Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[ident.Instance]Load)
	for id, o := range c.own {
		if o.load != (Load{}) {
			out[id] = o.load
		}
	}
	return out
}

func contains[T comparable](list []T, x T) bool { return slices.Contains(list, x) }
