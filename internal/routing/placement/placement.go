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
	"github.com/goldcrestspool/goldcrestspool/internal/routing/speed"
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
	// RetryLeft reports whether the retry budget of a service allows one more retry.
	RetryLeft func(ident.Service, time.Time) bool
	// HoldsBack reports whether a software version of a service begins no streams yet, if upstreams of
	// another one take them.
	HoldsBack func(ident.Service, ident.SoftwareVersion, time.Time) bool
	// EndedEarly reports whether an upstream that is not listed any more, and whose process has ended now, ended sooner
	// than one that leaves without announcing it.
	EndedEarly func(ident.Instance) bool
	// MayBegin reports whether it may all the same, as no other version takes them: the other gateways can find out.
	MayBegin func(ident.Service, ident.SoftwareVersion) bool
	// Split returns how a service's upstreams are split by version, or nil if
	// they are not.
	Split func(ident.Service) *rollout.Split
	// Slowness returns by which factor an upstream is slower than its service's model predicts, the
	// model's base aside; 1 if it is like the model or unknown. nil means 1 for all.
	Slowness func(ident.Instance) float64
	// RecordSpeed records an observed time and its prediction without that factor; nil if nothing learns
	// from it.
	RecordSpeed func(speed.Sample, time.Time)
}

// Pauses are the pauses that upstreams asked this gateway for.
type Pauses interface {
	// AnyPause reports whether any upstream has a pause.
	AnyPause() bool
	// PausesVersion changes whenever the set of upstreams with a pause changes.
	PausesVersion() uint64
	// Pause returns an upstream's pause, or false if it has none.
	Pause(ident.Instance) (announced.Pause, bool)
	// AnyBrittle reports whether any upstream said lately that it falls over if it has to turn many
	// requests away, and Brittle whether one did.
	AnyBrittle() bool
	Brittle(ident.Instance) bool
	// RetainedPauses returns all pauses, also those that are over and after which
	// the upstream has not shown yet that it serves as before.
	RetainedPauses() map[ident.Instance]announced.Pause
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
	engines      map[ident.Service]*serviceEngines
	// work is what is known of the calls of plain services.
	work map[ident.Service]*plainWork
	// allLeaveSince is when a request first found that all known upstreams of its service
	// leave. It is kept as long as they do.
	allLeaveSince map[ident.Service]time.Time
	// limitedMarks and pauseMarks tell which upstreams have limits and pauses.
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
	// bears is what the upstream was seen to bear while it was brittle; zero if it bore all.
	bears bearing
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
	// modelFirstEvent is expectedFirstEvent without factor, the upstream's Config.Slowness when the
	// request was sent.
	modelFirstEvent time.Duration
	factor          float64
	gotFirstEvent   bool
	// firstEventLatency is the time from sending to the first event.
	firstEventLatency time.Duration
	// upstreamEnded is set if the upstream's process ended during the request.
	upstreamEnded bool
	// pathLost is set if this gateway's path to the upstream is lost.
	pathLost bool
	// maybePartial: the answer may be the rest of a stream of which the caller has the
	// first part.
	maybePartial bool
	// split is how the service's upstreams were split by version when the request
	// was sent, or nil if they were not.
	split    *rollout.Split
	side     rollout.Side
	upstream directory.Upstream
}

// New returns a Chooser that has sent nothing yet.
func New(cfg Config) *Chooser {
	if cfg.Slowness == nil {
		cfg.Slowness = func(ident.Instance) float64 { return 1 }
	}
	if cfg.RecordSpeed == nil {
		cfg.RecordSpeed = func(speed.Sample, time.Time) {}
	}
	return &Chooser{
		cfg: cfg, seed: xxhash.Sum64String(string(cfg.Self)), lastUnreachable: make(map[ident.FailureDomain]time.Time), own: make(map[ident.Instance]*ownWork), ejectionSets: make(map[ident.Service]*ejection.Set),
		firstEventTimings: make(map[ident.Service]*firstEventTiming), loggedStates: make(map[ident.Instance]ejection.State),
		allLeaveSince: make(map[ident.Service]time.Time),
		demands:       make(map[ident.Service]*serviceDemand), engines: make(map[ident.Service]*serviceEngines),
		work: make(map[ident.Service]*plainWork),
	}
}

// Choose implements forward.Placement.
func (c *Chooser) Choose(call *forward.Call, exclude []ident.Instance, now time.Time) (forward.Choice, bool) {
	return c.choose(call, exclude, "", now)
}

// choose is Choose, or ChooseOne if only names an upstream.
func (c *Chooser) choose(call *forward.Call, exclude []ident.Instance, only ident.Instance, now time.Time) (forward.Choice, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	view := c.refreshView()
	set := c.ejectionSet(call.Service.Name)
	split, lists := c.upstreamLists(call, view, len(exclude) > 0, now)
	estimate := c.engineEstimate(call.Service.Name, now)
	share := c.connectionShareOf(call.Service)
	all := view.Of(call.Service.Name)
	s := &c.search
	*s = search{
		chooser: c, call: call, estimate: estimate, now: now, again: len(exclude) > 0, limitedCandidates: s.limitedCandidates,
		software: softwareFilterOf(call, all),
		fleet:    c.sharedFleet(call.Service, all),
		bans:     bans{only: only, tried: exclude, ejected: set.Excluded(now), cutOff: c.cutOffDomains(now), share: share},
	}
	best, why, found := s.bestOfLists(lists)
	if !found && only == "" {
		s.bans.suspectsToo = true
		best, why, found = s.bestOfLists(lists)
		why = "suspect, " + why
	}
	if !found {
		return s.noChoice(lists), false
	}
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
		Upstream:        best.upstream.ID,
		Name:            best.upstream.Name,
		Address:         best.upstream.Address,
		SoftwareVersion: best.upstream.SoftwareVersion,
		MaxConnections:  share.maxPerUpstream,
		SilenceTimeout:  t.slowAfter(call.Route.Objective, expected, best.slowness),
		Why:             why,
		AtLimit:         s.atLimit,
		Paused:          s.paused,
		Reservation:     &reservation{domain: best.upstream.FailureDomain, service: call.Service.Name, route: call.Route.Name, unreadTokens: best.prefillTokens, sentAt: now, expectedFirstEvent: expected, modelFirstEvent: best.modelFirstEvent(&estimate), factor: best.slowness, loadAhead: best.load, maybePartial: maybePartial(call, exclude), split: split, side: side, upstream: *best.upstream},
	}, true
}

// upstreamLists returns the upstreams that may take a call, and how they are
// split by version. again is true if the call was sent before.
func (c *Chooser) upstreamLists(call *forward.Call, view *directory.View, again bool, now time.Time) (*rollout.Split, rollout.Candidates) {
	split := c.cfg.Split(call.Service.Name)
	if split == nil {
		return nil, rollout.Candidates{Preferred: view.Of(call.Service.Name)}
	}
	if call.Origin != nil {
		return split, split.Continuing(call.Origin.SoftwareVersion, now)
	}
	return split, split.Candidates(call.ID, call.Route.Name, again, now)
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
	for service := range c.allLeaveSince {
		if !c.allLeave(service) {
			delete(c.allLeaveSince, service)
		}
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

func contains[T comparable](list []T, x T) bool { return slices.Contains(list, x) }
