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

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	// retryInterval is how often a lost path is tried again while requests want it, so that it is
	// used again within a second of its return.
	retryInterval = 400 * time.Millisecond
	// spreadWindow is how long after one path was lost the loss of a second one makes all others
	// doubtful.
	spreadWindow = time.Second
	// unreachableTTL is how long an upstream fails at once that neither this gateway nor the others
	// could connect to in time. Without it, each call would wait for several time-outs.
	unreachableTTL = 250 * time.Millisecond
	// verifyInterval is the shortest time between two checks of one path.
	verifyInterval = time.Second
)

// path is what is known of the path to one upstream.
type path struct {
	// lostAt is when the path was found lost; zero if it is not.
	lostAt time.Time
	// retryAt is when a lost path is tried again.
	retryAt time.Time
	// unreachableUntil is until when no gateway is expected to reach the upstream.
	unreachableUntil time.Time
	// verifyAt is when the path may be checked again.
	verifyAt time.Time
}

func (p *path) lost() bool { return !p.lostAt.IsZero() }

// paths holds the paths of which anything is known. It is not safe for concurrent use.
type paths struct {
	byUpstream map[ident.Instance]*path
	// lastLostAt is when a path was found lost last.
	lastLostAt time.Time
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
	s.recordWorks(id)
	delete(s.byUpstream, id)
}

// recordLost records that another gateway reaches an upstream that this one does not. first is set if
// the path was not lost before, and spread if others may be lost too.
func (s *paths) recordLost(id ident.Instance, now time.Time) (first, spread bool) {
	p := s.of(id)
	if p.lost() {
		return false, false
	}
	spread = s.lost > 0 || !s.lastLostAt.IsZero() && now.Sub(s.lastLostAt) < spreadWindow
	p.lostAt, p.retryAt = now, now.Add(retryInterval)
	p.unreachableUntil = time.Time{}
	s.lastLostAt = now
	s.lost++
	return true, spread
}

// recordWorks records that a connection to the upstream was made, and returns since when the path was
// lost; zero if it was not.
func (s *paths) recordWorks(id ident.Instance) (since time.Time) {
	p := s.byUpstream[id]
	if p == nil || !p.lost() {
		return since
	}
	since = p.lostAt
	p.lostAt = time.Time{}
	s.lost--
	return since
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
