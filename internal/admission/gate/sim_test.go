package gate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

var (
	shortClass  = document.Class{Name: "short", FirstToken: time.Second, Priority: 10}
	reviewClass = document.Class{Name: "review", Completion: 90 * time.Second, Priority: 1}
)

// load is one stream of simulated requests, of one account and class.
type load struct {
	account ident.ClientAccount
	class   document.Class
	limit   document.AccountLimit
	// rate is in requests per second. hold is the mean time for which a
	// request holds a slot; a request's cost is its own time in seconds.
	rate float64
	hold time.Duration
}

// tally counts the results of one load.
type tally struct {
	firstAttempts, granted, refused int
	// expired counts the requests that were refused after they had waited.
	expired int
	// retried counts the retries whose end could be observed, admitted those
	// of them that were granted.
	retried, admitted int
	// cost is the cost granted, offered the cost of all first attempts.
	cost, offered float64
}

func (t *tally) add(o tally) {
	t.firstAttempts += o.firstAttempts
	t.granted += o.granted
	t.refused += o.refused
	t.expired += o.expired
	t.retried += o.retried
	t.admitted += o.admitted
	t.cost += o.cost
}

// event is a step of the simulation at a virtual time.
type event struct {
	at       time.Time
	sequence int
	run      func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// sim drives gates in virtual time. Requests arrive at random times at a random
// gate and hold a slot for a random time; refused callers retry at their
// retry-after time, at a random gate.
type sim struct {
	gates    []*Gate
	random   *rand.Rand
	now      time.Time
	end      time.Time
	events   events
	sequence int
	requests int
	// maxRetries is how many times a caller retries a refused request.
	maxRetries int
	loads      []load
	tallies    []tally
	// loadOf is the index of each entry's load.
	loadOf    map[*Entry]int
	offeredAt map[*Entry]time.Time
}

func newSim(seed uint64, gates, slots, maxRetries int) *sim {
	s := &sim{
		random:     rand.New(rand.NewPCG(seed, 1)),
		now:        time.Unix(0, 0),
		maxRetries: maxRetries,
		loadOf:     map[*Entry]int{},
		offeredAt:  map[*Entry]time.Time{},
	}
	for range gates {
		s.gates = append(s.gates, New(Config{Slots: slots}))
	}
	return s
}

func (s *sim) schedule(after time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now.Add(after), s.sequence, run})
}

// run simulates the loads for the given time and returns their tallies.
func (s *sim) run(length time.Duration, loads []load) []tally {
	s.end = s.now.Add(length)
	s.loads = loads
	s.tallies = make([]tally, len(loads))
	for i := range loads {
		s.nextArrival(i, loads[i])
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at.After(s.end) {
			break
		}
		s.now = e.at
		e.run()
	}
	return s.tallies
}

func (s *sim) nextArrival(i int, l load) {
	s.schedule(s.exponential(time.Duration(float64(time.Second)/l.rate)), func() {
		s.requests++
		s.tallies[i].firstAttempts++
		hold := s.exponential(l.hold)
		s.tallies[i].offered += hold.Seconds()
		s.offer(i, l, ident.Request(fmt.Sprint("r", s.requests)), hold, 1)
		s.nextArrival(i, l)
	})
}

func (s *sim) exponential(mean time.Duration) time.Duration {
	return time.Duration(s.random.ExpFloat64() * float64(mean))
}

func (s *sim) offer(i int, l load, id ident.Request, hold time.Duration, attempt uint32) {
	g := s.gates[s.random.IntN(len(s.gates))]
	e := &Entry{Request: Request{
		ID: id, Account: l.account, Limit: l.limit, Class: l.class,
		PredictedAfterFirstToken: hold, Cost: hold.Seconds(), Attempt: attempt,
	}}
	s.loadOf[e], s.offeredAt[e] = i, s.now
	if attempt > 1 && s.endObservable(e) {
		s.tallies[i].retried++
	}
	d := g.Offer(s.now, e)
	if d.Evicted != nil {
		s.recordExpired(d.Evicted.Entry, d.Evicted.Refusal)
	}
	switch {
	case d.Granted:
		s.recordGranted(g, e)
	case d.Refused:
		s.recordRefused(e, d.Refusal)
	default:
		s.schedule(e.LatestStart().Sub(s.now), func() {
			if refusal, waited := g.Abandon(s.now, e, outcome.ReasonOverloaded); waited {
				s.recordExpired(e, refusal)
			}
		})
	}
}

// endObservable reports whether an entry was offered early enough that it is
// granted or refused before the simulation ends.
func (s *sim) endObservable(e *Entry) bool { return s.end.Sub(s.offeredAt[e]) > reviewClass.Completion }

func (s *sim) recordExpired(e *Entry, refusal outcome.Outcome) {
	s.tallies[s.loadOf[e]].expired++
	s.recordRefused(e, refusal)
}

// recordRefused counts a refusal and schedules the caller's retry at its
// retry-after time.
func (s *sim) recordRefused(e *Entry, refusal outcome.Outcome) {
	i, r := s.loadOf[e], e.Request
	s.tallies[i].refused++
	if int(r.Attempt) > s.maxRetries {
		return
	}
	s.schedule(refusal.RetryAfter, func() { s.offer(i, s.loads[i], r.ID, r.PredictedAfterFirstToken, r.Attempt+1) })
}

// waitingCost returns the cost of an account's requests that wait at the gates.
func (s *sim) waitingCost(account ident.ClientAccount) float64 {
	total := 0.0
	for e := range s.loadOf {
		if e.Waiting() && e.Request.Account == account {
			total += e.Request.Cost
		}
	}
	return total
}

func (s *sim) recordGranted(g *Gate, e *Entry) {
	t := &s.tallies[s.loadOf[e]]
	t.granted++
	t.cost += e.Request.Cost
	if e.Request.Attempt > 1 && s.endObservable(e) {
		t.admitted++
	}
	s.schedule(e.Request.PredictedAfterFirstToken, func() {
		g.Done(s.now, e, 0)
		s.grantNext(g)
	})
}

func (s *sim) grantNext(g *Gate) {
	for {
		e, expired := g.Next(s.now)
		if expired != nil {
			s.recordExpired(expired.Entry, expired.Refusal)
			continue
		}
		if e == nil {
			return
		}
		s.recordGranted(g, e)
	}
}
