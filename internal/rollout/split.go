package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Split divides a service's upstreams by version, while not all of them may take any request.
// The division is immutable; a changed one is a new Split. Methods are safe for concurrent use.
type Split struct {
	tracker *Tracker
	// tracked is nil if a version is withheld whose order is not known yet. It is shared with
	// the Tracker, whose lock guards it.
	tracked      *trackedOrder
	newVersion   ident.SoftwareVersion
	oldUpstreams []directory.Upstream
	// newUpstreams are the ready upstreams of the new version, and halves the same ones divided
	// by a hash of their names.
	newUpstreams []directory.Upstream
	halves       [2][]directory.Upstream
}

// Candidates holds the upstreams that may take a request: those of Preferred and, if none of them
// can, those of Fallback.
type Candidates struct{ Preferred, Fallback []directory.Upstream }

// rebuildSplits recomputes all splits. t.mu must be held.
func (t *Tracker) rebuildSplits() {
	splits := make(map[ident.Service]*Split)
	for service := range t.mixed {
		if s := t.splitOf(service); s != nil {
			splits[service] = s
		}
	}
	t.splits.Store(&splits)
}

// staleEntriesFor is how long a completed order still withholds requests from listed upstreams of
// the old version, which are stopped. Their entries expire sooner.
const staleEntriesFor = 10 * time.Second

// splitOf returns the split of a service, or nil if all upstreams may take any request.
func (t *Tracker) splitOf(service ident.Service) *Split {
	r := t.rollouts[service]
	if r != nil && r.phase == Completed && t.cfg.Now().Sub(r.phaseSince) > staleEntriesFor {
		// Any other version that is listed now appeared after the order ended.
		r = nil
	}
	list := t.view.Of(service)
	s := &Split{tracker: t, tracked: r}
	if r != nil {
		s.newVersion = r.order.To
	}
	for _, u := range list {
		switch {
		case r != nil && u.SoftwareVersion == r.order.To:
			if u.State == directory.Ready {
				s.newUpstreams = append(s.newUpstreams, u)
			}
		case !t.rejected[service][u.SoftwareVersion] && !t.isWithheld(service, u.SoftwareVersion, list):
			s.oldUpstreams = append(s.oldUpstreams, u)
		}
	}
	if len(s.oldUpstreams) == len(list) || len(s.oldUpstreams) == 0 {
		// All upstreams may take any request, or there are none to take them instead.
		return nil
	}
	s.assignHalves()
	return s
}

// isWithheld reports whether a version appeared so recently that this gateway may not know its
// order yet, while another version has been there for longer. Without this check, upstreams of
// a bad version that are listed before this gateway receives the order would get their full part
// of all requests.
func (t *Tracker) isWithheld(service ident.Service, version ident.SoftwareVersion, list []directory.Upstream) bool {
	first := t.firstSeen[service][version]
	since, frozen := t.frozen[service]
	if !first.After(t.cfg.OrdersKnown()) && !(frozen && first.After(since)) {
		return false
	}
	for i := range list {
		if t.firstSeen[service][list[i].SoftwareVersion].Before(first) {
			return true
		}
	}
	return false
}

// assignHalves divides the new version's upstreams by a hash of their names, so that all gateways
// divide them alike.
func (s *Split) assignHalves() {
	if s.tracked == nil {
		return
	}
	order := s.tracked.order.seed()
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

// serves reports whether a version serves the service permanently, as far as is decided.
func (s *Split) serves(version ident.SoftwareVersion) bool {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	r := s.tracked
	if r == nil {
		return true
	}
	return (version == s.newVersion) == !r.maySendToOld(s.tracker.cfg.Now())
}

// Candidates returns the upstreams that a request may go to. A request that is sent again prefers
// the old version, so that no caller suffers twice from a bad new one.
func (s *Split) Candidates(id ident.Request, route string, again bool, now time.Time) Candidates {
	t := s.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	r := s.tracked
	if r == nil {
		return Candidates{Preferred: s.oldUpstreams}
	}
	switch {
	case !r.maySendToOld(now):
		if len(s.newUpstreams) > 0 {
			return Candidates{Preferred: s.newUpstreams}
		}
	case r.stopped || now.Sub(r.confirmedAt) > t.confirmationTTL():
	case r.phase == Canary:
		return s.canaryCandidates(r, KeyOf(route), again, now)
	case r.phase == Shifting:
		if !again && hashFraction(r.order.seed(), string(id)) < now.Sub(r.phaseSince).Seconds()/rampTime.Seconds() {
			return Candidates{Preferred: s.newUpstreams, Fallback: s.oldUpstreams}
		}
		return Candidates{Preferred: s.oldUpstreams, Fallback: s.newUpstreams}
	}
	return Candidates{Preferred: s.oldUpstreams}
}

// Continuing returns the upstreams that a stream may go on at whose events have a software version; the
// caller chooses those of that version. A version that was found bad gets no more of them, nor does one
// that is being drained, whose upstreams are stopped without notice.
func (s *Split) Continuing(version ident.SoftwareVersion, now time.Time) Candidates {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	r := s.tracked
	switch {
	case r == nil:
		return Candidates{Preferred: s.oldUpstreams}
	case version == s.newVersion && !r.stopped && r.phase != RolledBack:
		return Candidates{Preferred: s.newUpstreams}
	case version != s.newVersion && r.maySendToOld(now):
		return Candidates{Preferred: s.oldUpstreams}
	}
	return Candidates{}
}

// canaryCandidates returns the candidates in the canary phase: the new version is preferred if the
// budget allows it.
func (s *Split) canaryCandidates(r *trackedOrder, key RouteKey, again bool, now time.Time) Candidates {
	if again {
		return Candidates{Preferred: s.oldUpstreams}
	}
	r.budget.setSlack(s.tracker.cfg.Limits, s.tracker.cfg.Gateways(), hashFraction(r.order.seed(), s.tracker.cfg.IncarnationID))
	if !r.budget.allowsExposure(key, s.tracker.cfg.Limits) {
		return Candidates{Preferred: s.oldUpstreams}
	}
	return Candidates{Preferred: s.canaryUpstreams(r, now), Fallback: s.oldUpstreams}
}

const (
	// The canary's requests go to one half of the new version's upstreams at a time, and change
	// halves after halfFraction of the order's time limit, at most maxHalfTime: long enough for
	// a few upstreams to become as busy as those of the old version.
	halfFraction = 1.0 / 8
	maxHalfTime  = 2 * time.Second
)

// canaryUpstreams returns the upstreams that get the canary's requests now: so few that each has
// about as many requests as an upstream of the old version.
func (s *Split) canaryUpstreams(r *trackedOrder, now time.Time) []directory.Upstream {
	half := s.halves[0]
	if s.hasBothHalves() {
		each := min(time.Duration(halfFraction*float64(r.order.TimeLimit)), maxHalfTime)
		half = s.halves[int(now.Sub(r.orderedAt)/max(each, 1))%2]
	}
	width := int(math.Round(canaryFraction * s.tracker.cfg.Limits.Share * float64(len(s.oldUpstreams))))
	return half[:min(len(half), max(1, width))]
}

// Sent records that a request was sent to an upstream, for the first time or again, and returns
// the side to which its end counts. Ended or Withdrawn must follow.
func (s *Split) Sent(u *directory.Upstream, route string) Side {
	t := s.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	side := s.sideOf(u)
	if r := s.tracked; r != nil {
		r.budget.count(KeyOf(route), side != Old)
		r.ownEvidence.CountSent(KeyOf(route), side)
	}
	return side
}

// Withdrawn records that the end of a request says nothing about its upstream's version.
func (s *Split) Withdrawn(route string, side Side) {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	if s.tracked != nil {
		s.tracked.ownEvidence.UncountSent(KeyOf(route), side)
	}
}

// Ended records the answer to a request that was sent to an upstream at the given time.
func (s *Split) Ended(u *directory.Upstream, route string, side Side, sent time.Time, a Answer) {
	s.tracker.mu.Lock()
	defer s.tracker.mu.Unlock()
	if s.tracked == nil {
		return
	}
	if sent.Before(u.WarmAt) {
		// The upstream was still slow after its start, whatever its version.
		a.Timed = false
	}
	s.tracked.ownEvidence.CountAnswer(KeyOf(route), side, a)
}

// sideOf returns the side that an upstream belongs to.
func (s *Split) sideOf(u *directory.Upstream) Side {
	if u.SoftwareVersion != s.newVersion {
		return Old
	}
	for i := range s.halves[1] {
		if s.halves[1][i].ID == u.ID {
			return NewB
		}
	}
	return NewA
}

// Unproven reports whether a version is the new one of the service's order. Its measurements say
// nothing about other versions.
func (s *Split) Unproven(version ident.SoftwareVersion) bool {
	return s.tracked != nil && version == s.newVersion
}
