package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Split is a service's upstreams by version, while not all of them may take any request.
// Its lists do not change.
type Split struct {
	tracker *Tracker
	// tracked is nil where a version is held back of which no order is known yet.
	tracked      *trackedOrder
	to           ident.Version
	oldUpstreams []directory.Upstream
	// newUpstreams are the ready upstreams of the new version, in halves by their names.
	newUpstreams []directory.Upstream
	halves       [2][]directory.Upstream
}

// Lists are the upstreams that may take a request: those of First, and those of Then where
// none of First can.
type Lists struct{ First, Then []directory.Upstream }

// rebuildSplits works out the splits anew; t.mu is held.
func (t *Tracker) rebuildSplits() {
	splits := make(map[ident.Service]*Split)
	for service := range t.mixed {
		if s := t.splitOf(service); s != nil {
			splits[service] = s
		}
	}
	t.splits.Store(&splits)
}

// staleEntriesFor is for how long after the end of an order the old version's upstreams may
// still be listed, though they are stopped: their entries lapse sooner.
const staleEntriesFor = 10 * time.Second

func (t *Tracker) splitOf(service ident.Service) *Split {
	r := t.rollouts[service]
	if r != nil && r.phase == Completed && t.cfg.Now().Sub(r.phaseSince) > staleEntriesFor {
		// Whatever stands beside the version now came later.
		r = nil
	}
	list := t.view.Of(service)
	s := &Split{tracker: t, tracked: r}
	if r != nil {
		s.to = r.order.To
	}
	for _, u := range list {
		switch {
		case r != nil && u.Version == r.order.To:
			if u.State == directory.Ready {
				s.newUpstreams = append(s.newUpstreams, u)
			}
		case !t.rejected[service][u.Version] && !t.isWithheld(service, u.Version, list):
			s.oldUpstreams = append(s.oldUpstreams, u)
		}
	}
	if len(s.oldUpstreams) == len(list) || len(s.oldUpstreams) == 0 {
		// Nothing is held back, or there is nothing beside it.
		return nil
	}
	s.assignHalves()
	return s
}

// isWithheld reports whether a version came so lately that an order that names it may not be
// known here yet, while another one has been there for longer. What goes wrong without it:
// upstreams of a bad version are listed before this gateway hears of the order, and get
// their full part of all requests.
func (t *Tracker) isWithheld(service ident.Service, version ident.Version, list []directory.Upstream) bool {
	first := t.firstSeen[service][version]
	since, frozen := t.frozen[service]
	if !first.After(t.cfg.OrdersKnown()) && !(frozen && first.After(since)) {
		return false
	}
	for i := range list {
		if t.firstSeen[service][list[i].Version].Before(first) {
			return true
		}
	}
	return false
}

// assignHalves divides the new version's upstreams by a hash of their names that all gateways
// share.
func (s *Split) assignHalves() {
	if s.tracked == nil {
		return
	}
	order := s.tracked.order.Offset
	byHash := slices.Clone(s.newUpstreams)
	slices.SortFunc(byHash, func(a, b directory.Upstream) int {
		return cmp.Compare(hashFraction(order, string(a.Name)), hashFraction(order, string(b.Name)))
	})
	for i, u := range byHash {
		s.halves[i%2] = append(s.halves[i%2], u)
	}
}

// hasBothHalves reports whether both halves have upstreams.
func (s *Split) hasBothHalves() bool { return len(s.halves[1]) > 0 }

// serves reports whether a version carries the service's work for good.
func (s *Split) serves(version ident.Version) bool {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	r := s.tracked
	if r == nil {
		return true
	}
	return (version == s.to) == !r.maySendToOld(s.tracker.cfg.Now())
}

// Lists returns where a request may go. One that is sent again goes to the old version
// where that may take it: nobody is to suffer from the new one twice.
func (s *Split) Lists(id ident.Request, route string, again bool, now time.Time) Lists {
	t := s.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := s.tracked
	if r == nil {
		return Lists{First: s.oldUpstreams}
	}
	switch {
	case !r.maySendToOld(now):
		if len(s.newUpstreams) > 0 {
			return Lists{First: s.newUpstreams}
		}
	case r.stopped || now.Sub(r.confirmedAt) > t.confirmationTTL():
	case r.phase == Canary:
		return s.canaryLists(r, KeyOf(route), again, now)
	case r.phase == Shifting:
		if !again && hashFraction(r.order.Offset, string(id)) < now.Sub(r.phaseSince).Seconds()/rampTime.Seconds() {
			return Lists{First: s.newUpstreams, Then: s.oldUpstreams}
		}
		return Lists{First: s.oldUpstreams, Then: s.newUpstreams}
	}
	return Lists{First: s.oldUpstreams}
}

func (s *Split) canaryLists(r *trackedOrder, key RouteKey, again bool, now time.Time) Lists {
	if again {
		return Lists{First: s.oldUpstreams}
	}
	r.budget.setSlack(s.tracker.cfg.Limits, s.tracker.cfg.Gateways(), hashFraction(r.order.Offset, s.tracker.cfg.Life))
	if !r.budget.allows(key, s.tracker.cfg.Limits) {
		return Lists{First: s.oldUpstreams}
	}
	return Lists{First: s.canaryUpstreams(r, now), Then: s.oldUpstreams}
}

const (
	// halfFraction of the order's length is for how long the requests that are spared for a
	// version go to one half of its upstreams, mostHalf at the most: long enough for a
	// few upstreams to become as busy as one of the old version's.
	halfFraction = 1.0 / 8
	maxHalfTime  = 2 * time.Second
)

// canaryUpstreams returns the upstreams that are tried now: as few as carry the canary's requests
// when each has as much as one of the old version's.
func (s *Split) canaryUpstreams(r *trackedOrder, now time.Time) []directory.Upstream {
	half := s.halves[0]
	if s.hasBothHalves() {
		each := min(time.Duration(halfFraction*float64(r.order.Length)), maxHalfTime)
		half = s.halves[int(now.Sub(r.orderedAt)/max(each, 1))%2]
	}
	width := int(math.Round(canaryFraction * s.tracker.cfg.Limits.Share * float64(len(s.oldUpstreams))))
	return half[:min(len(half), max(1, width))]
}

// Sent notes that a request of a route was sent to an upstream of the service, for the
// first time or again, and returns the side that its end belongs to. Ended or Withdrawn
// must follow.
func (s *Split) Sent(u *directory.Upstream, route string) Side {
	t := s.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	side := s.sideOf(u)
	if r := s.tracked; r != nil {
		r.budget.count(KeyOf(route), side != Old)
		r.ownEvidence.Send(KeyOf(route), side)
	}
	return side
}

// Withdrawn notes that the end of a request says nothing of its upstream's version.
func (s *Split) Withdrawn(route string, side Side) {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	if s.tracked != nil {
		s.tracked.ownEvidence.UncountSent(KeyOf(route), side)
	}
}

// Ended notes what a request saw that was sent to an upstream at an instant.
func (s *Split) Ended(u *directory.Upstream, route string, side Side, sent time.Time, a Answer) {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	if s.tracked == nil {
		return
	}
	if sent.Before(u.WarmAt) {
		// It is slow after its start, whatever its version.
		a.Timed = false
	}
	s.tracked.ownEvidence.Add(KeyOf(route), side, a)
}

func (s *Split) sideOf(u *directory.Upstream) Side {
	if u.Version != s.to {
		return Old
	}
	for i := range s.halves[1] {
		if s.halves[1][i].ID == u.ID {
			return NewB
		}
	}
	return NewA
}

// Unproven reports whether a version is tried, so that its figures say nothing of the
// others.
func (s *Split) Unproven(version ident.Version) bool {
	return s.tracked != nil && version == s.to
}
