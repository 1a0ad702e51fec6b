package waiting

import (
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/fairshare"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/origin"
)

// maxMisses bounds the calls that one wake of a queue asks places for in vain, apart from the first of each
// account and route. With more such calls before it, a later call of an account waits for the next wake, or
// for its last ask.
const maxMisses = 16

// search is one search through a queue for calls that free places accept.
type search struct {
	queue *serviceQueue
	now   time.Time
	// choice is that of the waiter that was accepted last.
	choice forward.Choice
	// full holds the choice that found no place for a call of a kind, if that is so for all calls of the kind.
	full map[callKind]forward.Choice
	// tried are the accounts and routes for whose calls the placement was asked.
	tried map[accountRoute]bool
	// asked are the waiters that got no place in this search, and misses how often the placement was
	// asked for them.
	asked  map[*Waiter]bool
	misses int
	// blocked are the waiters whom waiting doesn't help.
	blocked []*Waiter
}

func newSearch(q *serviceQueue, now time.Time) *search {
	return &search{queue: q, now: now, full: make(map[callKind]forward.Choice), tried: make(map[accountRoute]bool), asked: make(map[*Waiter]bool)}
}

// judge decides on a waiter. If it is accepted, its place is reserved.
func (s *search) judge(w *Waiter) fairshare.Verdict {
	c := callOf(w)
	if full, known := s.full[c.kind]; known && !s.asked[w] {
		c.lastChoice = full
		s.miss(w, full)
		return fairshare.Skip
	}
	if !s.mayAsk(w) {
		return fairshare.Skip
	}
	s.tried[accountRoute{w.Account, c.kind.route}] = true
	choice, found := s.queue.choose(w, s.now)
	if found {
		s.choice = choice
		return fairshare.Accept
	}
	if !choice.Late {
		s.full[c.kind] = choice
	}
	if choice.Late || !c.kind.goesAnywhere() {
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
	return !slices.ContainsFunc(s.queue.order.expiries, s.mayAsk)
}

// mayAsk reports whether the placement may be asked for a waiter.
func (s *search) mayAsk(w *Waiter) bool {
	kind := callOf(w).kind
	if _, known := s.full[kind]; known || s.asked[w] {
		return false
	}
	return s.misses < maxMisses || !s.tried[accountRoute{w.Account, kind.route}]
}

// accountRoute is one account's calls of one route.
type accountRoute struct {
	account ident.ClientAccount
	route   string
}

// callKind is what calls have in common of which none finds a place if one of them found none.
type callKind struct {
	route string
	// exclude holds the upstreams to which the calls were sent before, sorted and separated by spaces.
	exclude string
	// origin is the software that began the streams that the calls go on with; zero if there is none.
	origin origin.Origin
}

func kindOf(call *forward.Call, exclude []ident.Instance) callKind {
	k := callKind{route: call.Route.Name}
	for _, id := range slices.Sorted(slices.Values(exclude)) {
		k.exclude += string(id) + " "
	}
	if call.Origin != nil {
		k.origin = *call.Origin
	}
	return k
}

// goesAnywhere reports whether the calls may go to any upstream.
func (k callKind) goesAnywhere() bool { return k.exclude == "" && k.origin == origin.Origin{} }
