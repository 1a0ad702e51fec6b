package placement

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/enginemodel"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/rollout"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/routing/spread"
)

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
	// slowness is the upstream's Config.Slowness.
	slowness float64
}

// search is the state of the search for one call's upstream.
type search struct {
	chooser  *Chooser
	call     *forward.Call
	estimate enginemodel.Estimate
	now      time.Time
	// again: the call was sent before.
	again bool
	// cautious is the result of isCautious, once cautiousKnown is set.
	cautious, cautiousKnown bool
	// limitedCandidates are the candidates with rate limits. The next search reuses
	// the slice.
	limitedCandidates []candidate
	// atLimit are the upstreams that scored better than the chosen one, but whose
	// limits did not admit the call.
	atLimit  []ident.Instance
	bans     bans
	software softwareFilter
	// fleet is the load by which the call is spread over upstreams that have fewer slots than there are
	// gateways; nil otherwise.
	fleet *spread.Fleet
	// excluded counts the upstreams that were passed over, by the reason. An upstream may be counted
	// twice.
	excluded exclusionCounts
	// paused are some of the upstreams that were passed over because they had asked
	// for a pause, and pauseEnds is when the first of these pauses ends.
	paused    []ident.Instance
	pauseEnds time.Time
	// newToo: upstreams of versions that have just appeared may be chosen.
	newToo bool
}

// bestOfLists returns the best candidate of the first list that has one, and
// the reason of the choice for the log.
func (s *search) bestOfLists(lists rollout.Candidates) (candidate, string, bool) {
	best, why, found := s.bestOfEach(lists)
	if !found && s.excluded[tooNew] > 0 {
		s.newToo = true
		return s.bestOfEach(lists)
	}
	return best, why, found
}

func (s *search) bestOfEach(lists rollout.Candidates) (candidate, string, bool) {
	best, why, found := s.bestOfList(lists.Preferred)
	if !found && len(lists.Fallback) > 0 {
		return s.bestOfList(lists.Fallback)
	}
	return best, why, found
}

// bestOfList returns the candidate with the lowest score among the upstreams that nothing excludes
// and whose limits admit the call.
func (s *search) bestOfList(all []directory.Upstream) (candidate, string, bool) {
	var best candidate
	found := false
	c, call, estimate := s.chooser, s.call, &s.estimate
	s.limitedCandidates = s.limitedCandidates[:0]
	limited, paused, brittle := c.limitedOf(all), c.pausedOf(all), c.anyBrittle(all)
	order := c.homeOrderOf(call, all)
	var pair sampledPair
	if call.Service.Engine != nil {
		pair = samplePair(call, all)
	}
	remaining := call.Remaining(s.now).Seconds()
	for i := range all {
		u := &all[i]
		o := getOrCreate(c.own, u.ID)
		if why := s.exclusionOf(u, o); why != eligible {
			s.excluded[why]++
			continue
		}
		next := candidate{upstream: u, own: o, load: c.totalLoad(u.ID, o), slowness: c.cfg.Slowness(u.ID)}
		use := usable
		if paused != nil && paused[i] {
			use = s.useAfterPause(u, o)
		}
		if use == unusable {
			continue
		}
		full := brittle && c.isFullWhileBrittle(&next, all, s.now)
		if s.fleet != nil {
			next.load.Running = o.load.Running + s.fleet.Now(next.load.Running-o.load.Running, u.Slots)
		}
		if s.bans.only == "" && (full || c.isFull(call, &next)) {
			s.excluded[isFull]++
			continue
		}
		c.score(call, &next, order, i, estimate)
		if s.fleet != nil {
			next.score = spread.Of(call.ID, c.seed).Score(u.Name, c.capacityOf(call.Service, u)-float64(next.load.Running))
		}
		if next.firstEventSeconds > 0 && (order == nil || order.home != i) && !pair.has(i) {
			next.score += unsampledPenalty
		}
		if use == lastChoice || s.avoidsForOthers(&next) {
			next.score += lastChoicePenalty
		}
		if estimate.Samples >= minSamples && next.firstEventSeconds > remaining {
			// A request that will not be served in time would take engine time
			// from requests that can be, and its caller would wait in vain.
			s.excluded[tooSlow]++
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
	switch {
	case s.bans.only != "":
		why = "leased a slot"
	case s.fleet != nil:
		why = "drawn by room"
	}
	if found && order != nil && best.prefillTokens < call.PromptTokens {
		why = "holds the prompt's parts"
	}
	return best, why, found
}

// readySlots returns how many slots the ready upstreams have together; 0 if one doesn't name its slots.
func readySlots(all []directory.Upstream) int {
	sum := 0
	for i := range all {
		if all[i].State != directory.Ready {
			continue
		}
		if all[i].Slots == 0 {
			return 0
		}
		sum += all[i].Slots
	}
	return sum
}

// ChooseOne reserves a slot at an upstream at which the call leased one, unless this gateway may not use it.
// What others have there is known to whoever leases the slots.
func (c *Chooser) ChooseOne(call *forward.Call, id ident.Instance, now time.Time) (forward.Choice, bool) {
	return c.choose(call, nil, id, now)
}

// Barred returns the upstreams of a call's service that this gateway may not use for it now, apart from their
// load, and whether there are others. exclude lists those to which the call was sent before.
func (c *Chooser) Barred(call *forward.Call, exclude []ident.Instance, now time.Time) (barred []ident.Instance, others bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.refreshView().Of(call.Service.Name)
	s := search{
		chooser: c, call: call, now: now, again: len(exclude) > 0, software: softwareFilterOf(call, all),
		bans: bans{tried: exclude, ejected: c.ejectionSet(call.Service.Name).Excluded(now), cutOff: c.cutOffDomains(now), share: c.connectionShareOf(call.Service)},
	}
	for i := range all {
		u := &all[i]
		o := getOrCreate(c.own, u.ID)
		if s.exclusionOf(u, o) == eligible && s.useAfterPause(u, o) == usable {
			others = true
		} else {
			barred = append(barred, u.ID)
		}
	}
	return barred, others
}

// SharedSlots returns the upstreams of a plain service that has fewer slots than there are gateways; nil if each
// gateway has one, and while upstreams are split by version, as the split decides which one takes a call.
func (c *Chooser) SharedSlots(service *routetable.Service) []directory.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.refreshView().Of(service.Name)
	if c.cfg.Split(service.Name) != nil || c.sharedFleet(service, all) == nil {
		return nil
	}
	return all
}

// MeanWork returns the mean time that a service's requests take in a slot; 0 if it isn't known.
func (c *Chooser) MeanWork(service ident.Service) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w := c.work[service]; w != nil {
		return w.Mean()
	}
	return 0
}

// totalLoad returns the load of all gateways at an upstream.
func (c *Chooser) totalLoad(id ident.Instance, o *ownWork) Load {
	return o.load.Plus(c.cfg.OtherLoad(id))
}

// isFull reports whether an upstream has as many requests as it may get.
func (c *Chooser) isFull(call *forward.Call, x *candidate) bool {
	return x.upstream.Slots > 0 && float64(x.load.Running) >= c.capacityOf(call.Service, x.upstream)
}

// capacityOf returns how many requests an upstream of a service may get, those that wait there included.
func (c *Chooser) capacityOf(service *routetable.Service, u *directory.Upstream) float64 {
	queue := c.cfg.Params.PlainQueuePerSlot
	if service.Engine != nil {
		queue = c.cfg.Params.EngineQueuePerSlot
	}
	return float64(u.Slots) * (1 + queue)
}

// plainWork is what is known of a plain service's calls.
type plainWork struct {
	spread.Work
	// spreads: the service's upstreams have too few slots for the gateways, as of the last choice.
	spreads bool
}

// sharedFleet returns the load by which calls are spread over the upstreams of a plain service, or nil if
// these have a slot for each gateway, or one of them doesn't name its slots.
func (c *Chooser) sharedFleet(service *routetable.Service, all []directory.Upstream) *spread.Fleet {
	if service.Engine != nil {
		return nil
	}
	slots, w := readySlots(all), getOrCreate(c.work, service.Name)
	w.spreads = spread.Needed(c.cfg.Gateways(), slots, w.spreads)
	if !w.spreads {
		return nil
	}
	f := &spread.Fleet{Slots: slots, Kept: w.Kept()}
	for i := range all {
		if all[i].State == directory.Ready {
			f.Running += c.cfg.OtherLoad(all[i].ID).Running
		}
	}
	return f
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
		// At a slow upstream the call itself takes longer, too.
		work := float64(x.load.Running+1)*x.slowness - 1
		x.score = work / float64(max(1, x.upstream.Slots)) * call.Route.Objective.Seconds()
		// The rank differs between gateways. Without it hundreds of gateways with
		// few requests each would all use the same one of several idle upstreams.
		x.score += c.rank(x.upstream.Name) * tieBreakSeconds
	} else {
		x.firstEventSeconds = estimate.FirstEventSecondsAt(x.slowness, float64(x.prefillTokens), float64(x.load.UnreadTokens), float64(x.load.Running))
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
