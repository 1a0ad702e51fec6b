// Package reach sends requests to upstreams over this gateway's own paths and, where one of these is
// lost, through other gateways that reach the upstream.
//
// Whether a path works belongs to the pair of this gateway and an upstream; whether an upstream works
// belongs to the upstream. A path counts as lost only if another gateway reaches the upstream while
// this one does not. An upstream that no gateway reaches is down, and is left to the choice of
// upstreams.
package reach

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// retryInterval is how often a lost path is tried again that a request wants, and how often one of
	// all lost paths is, so that they are used again within a second of their return.
	retryInterval = 400 * time.Millisecond
	// unreachableTTL is how long an upstream fails at once that neither this gateway nor the others
	// could connect to in time, and how long the others are not asked again. Without it, each call
	// would wait for several time-outs, and the end of many upstreams would be asked for by all.
	unreachableTTL = 250 * time.Millisecond
	// verifyInterval is the shortest time between two checks of one path.
	verifyInterval = 500 * time.Millisecond
)

// path is what is known of the path to one upstream.
type path struct {
	// target is where the upstream is, once the path was lost.
	target httpconn.Target
	// lostAt is when the path was found lost; zero if it is not.
	lostAt time.Time
	// retryAt is when a lost path is tried again.
	retryAt time.Time
	// unreachableUntil is until when no gateway is expected to reach the upstream.
	unreachableUntil time.Time
	// deniedUntil is until when it counts that the gateways that were asked did not reach the upstream
	// either, and refused that one of them was refused.
	deniedUntil time.Time
	refused     bool
	// verifyAt is when the path may be checked again.
	verifyAt time.Time
}

func (p *path) lost() bool { return !p.lostAt.IsZero() }

// paths holds the paths of which anything is known. It is not safe for concurrent use.
type paths struct {
	byUpstream map[ident.Instance]*path
	lost       int
}

func newPaths() *paths { return &paths{byUpstream: make(map[ident.Instance]*path)} }

func (s *paths) of(id ident.Instance) *path {
	p := s.byUpstream[id]
	if p == nil {
		p = &path{}
		s.byUpstream[id] = p
	}
	return p
}

// forget drops what is known of an upstream that has left.
func (s *paths) forget(id ident.Instance) {
	if p := s.byUpstream[id]; p != nil && p.lost() {
		s.lost--
	}
	delete(s.byUpstream, id)
}

// recordLost records that another gateway reaches an upstream that this one does not, and reports
// whether the path was not lost before.
func (s *paths) recordLost(target httpconn.Target, now time.Time) (first bool) {
	p := s.of(target.ID)
	p.unreachableUntil = time.Time{}
	if p.lost() {
		return false
	}
	p.target, p.lostAt, p.retryAt = target, now, now.Add(retryInterval)
	s.lost++
	return true
}

// recordDown records that neither this gateway nor others reach the upstream, so that this is no
// matter of the path.
func (s *paths) recordDown(id ident.Instance, now time.Time) {
	p := s.of(id)
	p.unreachableUntil = now.Add(unreachableTTL)
	if p.lost() {
		p.lostAt = time.Time{}
		s.lost--
	}
}

// recordWorks records that a connection to the upstream was made, and returns since when the path was
// lost, or zero if it was not, and how many others are lost. The others may work again too, and are
// taken for lost no more: the next request to each finds out, with little time for it.
func (s *paths) recordWorks(id ident.Instance) (since time.Time, others int) {
	p := s.byUpstream[id]
	if p == nil || !p.lost() {
		return since, s.lost
	}
	since, others = p.lostAt, s.lost-1
	for _, p := range s.byUpstream {
		p.lostAt = time.Time{}
	}
	s.lost = 0
	return since, others
}

// mayRetry reports whether a lost path is to be tried again now. It returns true once per
// retryInterval.
func (s *paths) mayRetry(id ident.Instance, now time.Time) bool {
	p := s.of(id)
	if !p.lost() || now.Before(p.retryAt) {
		return false
	}
	p.retryAt = now.Add(retryInterval)
	return true
}

// recordDenied records that the gateways that were asked did not reach the upstream either.
func (s *paths) recordDenied(id ident.Instance, refused bool, now time.Time) {
	p := s.of(id)
	p.deniedUntil, p.refused = now.Add(unreachableTTL), refused
}

// denied reports whether other gateways did not reach the upstream a moment ago, and whether one of
// them was refused.
func (s *paths) denied(id ident.Instance, now time.Time) (denied, refused bool) {
	p := s.byUpstream[id]
	return p != nil && now.Before(p.deniedUntil), p != nil && p.refused
}

// anyLost returns the target of one of the lost paths, or false if none is lost.
func (s *paths) anyLost() (httpconn.Target, bool) {
	for _, p := range s.byUpstream { // in random order
		if p.lost() {
			return p.target, true
		}
	}
	return httpconn.Target{}, false
}

// mayVerify reports whether a path that is not known to be lost may be checked now. It returns true
// once per verifyInterval.
func (s *paths) mayVerify(id ident.Instance, now time.Time) bool {
	p := s.of(id)
	if p.lost() || now.Before(p.verifyAt) {
		return false
	}
	p.verifyAt = now.Add(verifyInterval)
	return true
}
