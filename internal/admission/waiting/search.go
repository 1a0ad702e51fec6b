package waiting

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/fairshare"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
)

// maxMisses bounds the calls that one wake of a queue asks places for in vain, apart from the first of each
// route. With more such calls before it, a call waits for the next wake, or for its last ask.
const maxMisses = 16

// search is one search through a queue for calls that free places accept.
type search struct {
	queue *serviceQueue
	now   time.Time
	// choice is that of the waiter that was accepted last.
	choice forward.Choice
	// full holds the choice that found no place for a call of a route, by route, if that is so for all
	// calls of the route which may go to any upstream.
	full map[string]forward.Choice
	// asked are the waiters that got no place in this search, and misses how often the placement was
	// asked for them.
	asked  map[*Waiter]bool
	misses int
	// blocked are the waiters whom waiting doesn't help.
	blocked []*Waiter
}

func newSearch(q *serviceQueue, now time.Time) *search {
	return &search{queue: q, now: now, full: make(map[string]forward.Choice), asked: make(map[*Waiter]bool)}
}

// judge decides on a waiter. If it is accepted, its place is reserved.
func (s *search) judge(w *Waiter) fairshare.Verdict {
	c := callOf(w)
	if s.asked[w] {
		return fairshare.Skip
	}
	if full, known := s.full[c.call.Route.Name]; known && c.goesAnywhere() {
		c.lastChoice = full
		s.miss(w, full)
		return fairshare.Skip
	}
	if s.misses >= maxMisses {
		return fairshare.Skip
	}
	choice, found := s.queue.choose(w, s.now)
	if found {
		s.choice = choice
		return fairshare.Accept
	}
	if c.goesAnywhere() && !choice.Late {
		s.full[c.call.Route.Name] = choice
	} else {
		s.misses++
	}
	s.miss(w, choice)
	if choice.Blocked == 0 && s.exhausted() {
		return fairshare.Stop
	}
	return fairshare.Skip
}

// miss records that no place was found for a waiter.
func (s *search) miss(w *Waiter, choice forward.Choice) {
	s.asked[w] = true
	if choice.BlockedPast(w.LatestStart) {
		s.blocked = append(s.blocked, w)
	}
}

// exhausted reports whether no waiter is left for whom a place might be found.
func (s *search) exhausted() bool {
	return !slices.ContainsFunc(s.queue.order.expiries, func(w *Waiter) bool {
		c := callOf(w)
		if c.goesAnywhere() {
			if _, known := s.full[c.call.Route.Name]; known {
				return false
			}
		}
		return !s.asked[w] && s.misses < maxMisses
	})
}

// goesAnywhere reports whether the call may go to any upstream. Such a call finds none if another one of its
// route did not.
func (c *waitingCall) goesAnywhere() bool { return len(c.exclude) == 0 && c.call.Origin == nil }
