package waiting

import (
	"time"

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

// accepts reports whether a free place accepts a waiter's call, which then is reserved.
func (s *search) accepts(w *Waiter) bool {
	c := callOf(w)
	if s.asked[w] {
		return false
	}
	// Calls that may go to any upstream find none if another one of their route did not.
	plain := len(c.exclude) == 0 && c.call.Origin == nil
	if full, known := s.full[c.call.Route.Name]; plain && known {
		c.lastChoice = full
		s.miss(w, full)
		return false
	}
	if s.misses >= maxMisses {
		return false
	}
	choice, found := s.queue.choose(w, s.now)
	if found {
		s.choice = choice
		return true
	}
	if plain && !choice.Late {
		s.full[c.call.Route.Name] = choice
	} else {
		s.misses++
	}
	s.miss(w, choice)
	return false
}

// miss records that no place was found for a waiter.
func (s *search) miss(w *Waiter, choice forward.Choice) {
	s.asked[w] = true
	if choice.BlockedPast(w.LatestStart) {
		s.blocked = append(s.blocked, w)
	}
}
