// Package placement chooses the upstream for each request without querying the
// upstreams. It uses what this gateway sent, what the other gateways report that
// they have in progress, and which upstream is the home of which prompt part.
//
// Requests that share a prompt part go to the same engine, the part's home, so
// that the part is read (prefilled) only once. All gateways compute the same
// home by rendezvous hashing, without exchanging messages. If the queue at the
// home takes longer than reading the part again elsewhere, another engine is
// used.
package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/announced"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
)

// Params are the weights and bounds of the choice.
type Params struct {
	// RecomputeWeight multiplies the time to read a shared part at an engine
	// that is not its home. It is more than 1 because reading a part again costs
	// the users' money and delays other requests at that engine.
	RecomputeWeight float64
	// OtherDomainCost is what sending to another failure domain adds to a score,
	// in seconds: the round trip and the price of the bytes.
	OtherDomainCost float64
	// EngineQueuePerSlot and PlainQueuePerSlot are how many requests may wait at
	// an engine or a plain upstream for each of its slots. An upstream with more
	// gets no work.
	EngineQueuePerSlot, PlainQueuePerSlot float64
}

// DefaultParams returns the default parameters. They contain no engine's speed,
// because that is learned.
func DefaultParams() Params {
	return Params{
		// Waiting 0.2 s at the home is better than reading 5,000 tokens again,
		// as the objectives are 0.5 s and more.
		RecomputeWeight: 4,
		// A round trip of 1 ms, and bytes whose price counts as another 1 ms.
		OtherDomainCost:    0.002,
		EngineQueuePerSlot: 0.5,
		PlainQueuePerSlot:  2,
	}
}

// Load is the work at an upstream.
type Load struct {
	// Running counts requests in progress.
	Running int
	// UnreadTokens counts the prompt tokens that are still to be read, which are those of
	// requests without a first event.
	UnreadTokens int
	// Paused counts the gateways that the upstream asked for a pause that is not over.
	Paused int
}

// Plus returns the sum of two loads.
func (l Load) Plus(o Load) Load {
	return Load{l.Running + o.Running, l.UnreadTokens + o.UnreadTokens, l.Paused + o.Paused}
}

// Minus returns the load without a part of it.
func (l Load) Minus(o Load) Load {
	return Load{l.Running - o.Running, l.UnreadTokens - o.UnreadTokens, l.Paused - o.Paused}
}

// Config holds the parameters of a Chooser and where it gets its data. The
// functions are called with the Chooser locked and must not call it.
type Config struct {
	Params Params
	// Self is this gateway, and Domain its failure domain.
	Self   ident.Instance
	Domain ident.FailureDomain
	Log    hclog.Logger
	// View returns the current upstreams. It is called for each choice.
	View func() *directory.View
	// OtherLoad returns the load that the other gateways have at an upstream.
	OtherLoad func(ident.Instance) Load
	// Silent reports whether all gateways of another failure domain have
	// recently stopped reporting.
	Silent func(ident.FailureDomain) bool
	// Gateways returns how many gateways share the upstreams' connections.
	Gateways func() int
	// OtherEngineSums returns the other gateways' samples of a service's engines.
	OtherEngineSums func(ident.Service) enginemodel.Sums
	// Limits are the rate limits that upstreams announced.
	Limits Limits
	// Pauses are the pauses that upstreams asked this gateway for.
	Pauses Pauses
	// Split returns how a service's upstreams are split by version, or nil if
	// they are not.
	Split func(ident.Service) *rollout.Split
}

// Pauses are the pauses that upstreams asked this gateway for.
type Pauses interface {
	// AnyPause reports whether any upstream has a pause.
	AnyPause() bool
	// PausesVersion changes whenever the set of upstreams with a pause changes.
	PausesVersion() uint64
	// Pause returns an upstream's pause, or false if it has none.
	Pause(ident.Instance) (announced.Pause, bool)
	// Pauses returns the pauses that are retained.
	Pauses() map[ident.Instance]announced.Pause
	// Served records that an upstream served a request that was sent at the given
	// time.
	Served(upstream ident.Instance, sentAt time.Time)
}

// Limits are the rate limits that upstreams announced. They hold for all
// gateways together.
type Limits interface {
	// AnyLimited reports whether any upstream has a limit.
	AnyLimited() bool
	// Version changes whenever the set of upstreams with limits changes.
	Version() uint64
	// Limited reports whether an upstream has a limit.
	Limited(ident.Instance) bool
	// Admit reports whether the limit of an upstream admits one more request. If
	// so, the request counts as sent. Call Admit only where the upstream is the
	// best choice for the request, because each call counts as demand.
	Admit(ident.Instance) bool
	// RetryAfter returns the time until one of the upstreams, all of which have
	// limits, admits one more request.
	RetryAfter([]ident.Instance) time.Duration
}

// Chooser implements forward.Placement. It is safe for concurrent use.
type Chooser struct {
	cfg Config
	// seed makes this gateway rank the upstreams differently from the others.
	seed uint64

	// mu guards all fields below.
	mu   sync.Mutex
	view *directory.View
	// lastUnreachable is when an upstream last did not answer, because a connection
	// failed or an answer did not arrive or broke off, by the upstream's failure
	// domain.
	lastUnreachable   map[ident.FailureDomain]time.Time
	own               map[ident.Instance]*ownWork
	ejectionSets      map[ident.Service]*ejection.Set
	firstEventTimings map[ident.Service]*firstEventTiming
	// loggedStates are the ejection states that were logged last.
	loggedStates map[ident.Instance]ejection.State
	demands      map[ident.Service]*serviceDemand
	// allLeaveSince is since when all known upstreams of a service leave, as its requests showed.
	allLeaveSince            map[ident.Service]time.Time
	engines                  map[ident.Service]*serviceEngines
	limitedMarks, pauseMarks listMarks
	search                   search
}

// ownWork is this gateway's work at an upstream.
type ownWork struct {
	load Load
	// avoidUntil is when the upstream is tried again after a connection failed.
	avoidUntil time.Time
	// failures counts the failed connections in a row.
	failures int
}

// An upstream that cannot be reached is avoided for minAvoidance, and for twice
// as long after each further failure in a row, up to maxAvoidance. A crashed
// upstream is back, or gone from the directory, within seconds.
const (
	minAvoidance = 500 * time.Millisecond
	maxAvoidance = 4 * time.Second
)

// ejectionConfig ejects and probes more quickly than the package's defaults,
// because upstreams that fail some of their requests do so for about five
// seconds at a time.
var ejectionConfig = ejection.Config{ConsecutiveFailures: 3, BaseEjectionTime: 2 * time.Second, MaxEjectionTime: 8 * time.Second, Probes: 2, ProbeTimeout: 5 * time.Second}

// reservation is a request's place at an upstream, from Choose to Finished.
type reservation struct {
	domain       ident.FailureDomain
	service      ident.Service
	route        string
	unreadTokens int
	// loadAhead is the load that the upstream had before the request.
	loadAhead Load
	sentAt    time.Time
	// expectedFirstEvent is the predicted time from sending to the first event,
	// the wait for loadAhead included; 0 at a plain upstream.
	expectedFirstEvent time.Duration
	gotFirstEvent      bool
	// firstEventLatency is the time from sending to the first event.
	firstEventLatency time.Duration
	// upstreamEnded is set if the upstream's process ended during the request.
	upstreamEnded bool
	// split is how the service's upstreams were split by version when the request
	// was sent, or nil if they were not.
	split    *rollout.Split
	side     rollout.Side
	upstream directory.Upstream
}

// New returns a Chooser that has sent nothing yet.
func New(cfg Config) *Chooser {
	return &Chooser{
		cfg: cfg, seed: xxhash.Sum64String(string(cfg.Self)), lastUnreachable: make(map[ident.FailureDomain]time.Time), own: make(map[ident.Instance]*ownWork), ejectionSets: make(map[ident.Service]*ejection.Set),
		firstEventTimings: make(map[ident.Service]*firstEventTiming), loggedStates: make(map[ident.Instance]ejection.State),
		allLeaveSince: make(map[ident.Service]time.Time),
		demands:       make(map[ident.Service]*serviceDemand), engines: make(map[ident.Service]*serviceEngines),
	}
}

// candidate is an upstream that may take a request.
type candidate struct {
	// upstream points into the list of the view.
	upstream *directory.Upstream
	own      *ownWork
	// load is the load of all gateways at the upstream.
	load Load
	// score ranks candidates, in seconds; the lowest is the best.
	score float64
	// prefillTokens is how many prompt tokens the upstream would have to read.
	prefillTokens int
	// firstEventSeconds is the predicted time to the call's first event, in
	// seconds; 0 at a plain upstream.
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
	*s = search{chooser: c, call: call, estimate: estimate, now: now, cautious: len(exclude) > 0 || call.NoRetryLeft, limitedCandidates: s.limitedCandidates}
	best, why, found := s.bestOfLists(lists, func(u *directory.Upstream, o *ownWork) bool {
		return !contains(exclude, u.ID) && !contains(excluded, u.ID) && !now.Before(o.avoidUntil) && !contains(cut, u.FailureDomain) && c.mayUse(u, share)
	})
	if !found {
		// If only suspect upstreams are left, one of them is better than none.
		best, why, found = s.bestOfLists(lists, func(u *directory.Upstream, _ *ownWork) bool { return !contains(exclude, u.ID) })
		why = "suspect, " + why
	}
	if !found {
		return s.noChoice(), false
	}
	delete(c.allLeaveSince, call.Service.Name)
	var side rollout.Side
	if split != nil {
		side = split.Sent(best.upstream, call.Route.Name)
	}
	set.RecordAttemptStart(now, best.upstream.ID)
	best.own.load.Running++
	best.own.load.UnreadTokens += best.prefillTokens
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
		SilenceTimeout: t.slowAfter(call.Route.Objective, expected),
		Why:            why,
		AtLimit:        s.atLimit,
		Paused:         s.paused,
		Reservation:    &reservation{domain: best.upstream.FailureDomain, service: call.Service.Name, route: call.Route.Name, unreadTokens: best.prefillTokens, sentAt: now, expectedFirstEvent: expected, loadAhead: best.load, split: split, side: side, upstream: *best.upstream},
	}, true
}

// upstreamLists returns the upstreams that may take a call, and how they are
// split by version. again is true if the call was sent before.
func (c *Chooser) upstreamLists(call *forward.Call, view *directory.View, again bool, now time.Time) (*rollout.Split, rollout.Candidates) {
	split := c.cfg.Split(call.Service.Name)
	if split == nil {
		return nil, rollout.Candidates{Preferred: view.Of(call.Service.Name)}
	}
	return split, split.Candidates(call.ID, call.Route.Name, again, now)
}

// search is the state of the search for one call's upstream.
type search struct {
	chooser  *Chooser
	call     *forward.Call
	estimate enginemodel.Estimate
	now      time.Time
	// cautious: to be turned away costs the call more than others, because it was sent before or
	// no retry is left.
	cautious bool
	// limitedCandidates are the candidates with rate limits. The next search reuses
	// the slice.
	limitedCandidates []candidate
	// atLimit are the upstreams that scored better than the chosen one, but whose
	// limits did not admit the call.
	atLimit []ident.Instance
	// foundFull is set if an upstream was passed over because it was full, and
	// foundSlow if one was because it would not serve the call in time.
	foundFull, foundSlow bool
	// paused are some of the upstreams that were passed over because they had asked
	// for a pause, and pauseEnds is when the first of these pauses ends.
	paused    []ident.Instance
	pauseEnds time.Time
}

// bestOfLists returns the best candidate of the first list that has one, and
// the reason of the choice for the log.
func (s *search) bestOfLists(lists rollout.Candidates, fits func(*directory.Upstream, *ownWork) bool) (candidate, string, bool) {
	best, why, found := s.bestOfList(lists.Preferred, fits)
	if !found && len(lists.Fallback) > 0 {
		return s.bestOfList(lists.Fallback, fits)
	}
	return best, why, found
}

// bestOfList returns the candidate with the lowest score among the ready
// upstreams that fit, are not full, can probably serve the call in time, and
// whose limits admit it.
func (s *search) bestOfList(all []directory.Upstream, fits func(*directory.Upstream, *ownWork) bool) (candidate, string, bool) {
	var best candidate
	found := false
	c, call, estimate := s.chooser, s.call, &s.estimate
	s.limitedCandidates = s.limitedCandidates[:0]
	limited, paused := c.limitedOf(all), c.pausedOf(all)
	order := c.homeOrderOf(call, all)
	var pair sampledPair
	if call.Service.Engine != nil {
		pair = samplePair(call, all)
	}
	remaining := call.Remaining(s.now).Seconds()
	for i := range all {
		u := &all[i]
		o := getOrCreate(c.own, u.ID)
		if u.State != directory.Ready || !fits(u, o) {
			continue
		}
		next := candidate{upstream: u, own: o, load: c.totalLoad(u.ID, o)}
		lastChoice := false
		if paused != nil && paused[i] {
			usable := false
			if usable, lastChoice = s.usableAfterPause(u, o); !usable {
				continue
			}
		}
		if c.isFull(call, &next) {
			s.foundFull = true
			continue
		}
		c.score(call, &next, order, i, estimate)
		if next.firstEventSeconds > 0 && (order == nil || order.home != i) && !pair.has(i) {
			next.score += unsampledPenalty
		}
		if lastChoice || s.avoidsForOthers(&next) {
			next.score += lastChoicePenalty
		}
		if estimate.Samples >= minSamples && next.firstEventSeconds > remaining {
			// A request that will not be served in time would take engine time
			// from requests that can be, and its caller would wait in vain.
			s.foundSlow = true
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

// totalLoad returns the load of all gateways at an upstream.
func (c *Chooser) totalLoad(id ident.Instance, o *ownWork) Load {
	return o.load.Plus(c.cfg.OtherLoad(id))
}

// isFull reports whether an upstream has as many requests as it may get.
func (c *Chooser) isFull(call *forward.Call, x *candidate) bool {
	queue := c.cfg.Params.PlainQueuePerSlot
	if call.Service.Engine != nil {
		queue = c.cfg.Params.EngineQueuePerSlot
	}
	capacity := float64(x.upstream.Slots) * (1 + queue)
	return x.upstream.Slots > 0 && float64(x.load.Running) >= capacity
}

// tieBreakSeconds is the most that the rank of an upstream adds to its score, in
// seconds. It is less than what a request in progress or another failure domain
// adds.
const tieBreakSeconds = 1e-4

// score sets the candidate's predicted time to the first event, and its score:
// that time, plus penalties for reading shared parts again, for another failure
// domain, and for breaking ties. i is the upstream's index in the list of order,
// which is nil if the call shares no prompt part.
func (c *Chooser) score(call *forward.Call, x *candidate, order *homeOrder, i int, estimate *enginemodel.Estimate) {
	p := c.cfg.Params
	x.prefillTokens = call.PromptTokens
	extraTokens := 0.0
	if order != nil {
		shared := sharedTokens(call)
		if order.home == i {
			x.prefillTokens -= shared
		} else {
			extraTokens = (p.RecomputeWeight - 1) * float64(shared)
		}
	}
	if call.Service.Engine == nil {
		x.score = float64(x.load.Running) / float64(max(1, x.upstream.Slots)) * call.Route.Objective.Seconds()
		// The rank differs between gateways. Without it hundreds of gateways with
		// few requests each would all use the same one of several idle upstreams.
		x.score += c.rank(x.upstream.Name) * tieBreakSeconds
	} else {
		x.firstEventSeconds = estimate.FirstEventSeconds(float64(x.prefillTokens), float64(x.load.UnreadTokens), float64(x.load.Running))
		x.score = x.firstEventSeconds + extraTokens*estimate.SecondsPerToken
	}
	if order != nil {
		// Among equals the front of the home order is preferred, so that few
		// engines hold copies of a part. The weight is less than what a request in
		// progress adds.
		x.score += order.distanceFromFront(i) * 1e-3
	}
	if x.upstream.FailureDomain != c.cfg.Domain {
		x.score += p.OtherDomainCost
	}
}

// refreshView returns the current view of the upstreams. If the view is new, it also
// updates the state that the Chooser holds for each upstream.
func (c *Chooser) refreshView() *directory.View {
	view := c.cfg.View()
	if view == c.view {
		return view
	}
	c.view = view
	// The keys of the marks and the candidates point into the previous view and
	// would keep it in memory.
	c.limitedMarks.marks, c.pauseMarks.marks, c.search.limitedCandidates = nil, nil, nil
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

// readyIDs returns the IDs of the upstreams that are ready.
func readyIDs(upstreams []directory.Upstream) []ident.Instance {
	var ids []ident.Instance
	for _, u := range upstreams {
		if u.State == directory.Ready {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// ejectionSet returns the ejection state of a service's upstreams.
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

// getOrCreate returns the value of a key. If there is none, it adds a zero value
// to the map and returns that.
func getOrCreate[K comparable, V any](m map[K]*V, key K) *V {
	v := m[key]
	if v == nil {
		v = new(V)
		m[key] = v
	}
	return v
}

// OwnLoads returns this gateway's load at each upstream where it has any.
func (c *Chooser) OwnLoads() map[ident.Instance]Load {
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
