package gate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

var (
	shortClass  = document.Class{Name: "short", FirstToken: time.Second, Priority: 10}
	reviewClass = document.Class{Name: "review", Completion: 90 * time.Second, Priority: 1}
)

// load is one stream of requests of the simulation.
type load struct {
	account ident.ClientAccount
	class   document.Class
	limit   document.AccountLimit
	// rate is in requests a second; hold is the mean slot time, which is
	// also the cost in seconds.
	rate float64
	hold time.Duration
}

// tally counts what became of one load.
type tally struct {
	first, granted, refused int
	// returned counts those who came back as told; admitted of them.
	returned, admitted int
	cost               float64
	longestWait        time.Duration
}

// event is a step of the simulation.
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

// sim drives gates in virtual time: callers arrive at random at one of them,
// hold a slot for a random time, and come back when told, at any gate.
type sim struct {
	gates    []*Gate
	random   *rand.Rand
	now      time.Time
	end      time.Time
	events   events
	sequence int
	requests int
	// patience is how many times a caller comes back.
	patience int
	tallies  []tally
	owner    map[*Entry]int
	offered  map[*Entry]time.Time
}

func newSim(seed uint64, gates, slots, patience int) *sim {
	s := &sim{
		random:   rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(0, 0),
		patience: patience,
		owner:    map[*Entry]int{},
		offered:  map[*Entry]time.Time{},
	}
	for range gates {
		s.gates = append(s.gates, New(Config{Slots: slots}))
	}
	return s
}

func (s *sim) at(after time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now.Add(after), s.sequence, run})
}

// run simulates the loads for a time.
func (s *sim) run(length time.Duration, loads []load) []tally {
	s.end = s.now.Add(length)
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
	s.at(s.exponential(time.Duration(float64(time.Second)/l.rate)), func() {
		s.requests++
		s.tallies[i].first++
		hold := s.exponential(l.hold)
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
		Remaining: hold, Cost: hold.Seconds(), Attempt: attempt,
	}}
	s.owner[e], s.offered[e] = i, s.now
	t := &s.tallies[i]
	if attempt > 1 {
		t.returned++
	}
	comeBack := func(after time.Duration) {
		t.refused++
		if int(attempt) <= s.patience {
			s.at(after, func() { s.offer(i, l, id, hold, attempt+1) })
		}
	}
	d := g.Offer(s.now, e)
	if d.Evicted != nil {
		v := d.Evicted
		s.ended(v, loadsOf(l, v))
	}
	switch {
	case d.Granted:
		s.granted(g, e)
	case d.Refused:
		comeBack(d.Refusal.RetryAfter)
	default:
		s.at(e.LatestStart().Sub(s.now), func() {
			if refusal, waited := g.Abandon(s.now, e, "overloaded"); waited {
				comeBack(refusal.RetryAfter)
			}
		})
	}
}

// loadsOf rebuilds the load of an evicted entry, so that it can return.
func loadsOf(l load, v *Ending) load {
	r := &v.Entry.Request
	return load{account: r.Account, class: r.Class, limit: r.Limit, hold: l.hold}
}

// ended lets an entry that the gate ended come back.
func (s *sim) ended(v *Ending, l load) {
	i, r := s.owner[v.Entry], v.Entry.Request
	s.tallies[i].refused++
	if int(r.Attempt) <= s.patience {
		s.at(v.Refusal.RetryAfter, func() { s.offer(i, l, r.ID, r.Remaining, r.Attempt+1) })
	}
}

func (s *sim) granted(g *Gate, e *Entry) {
	t := &s.tallies[s.owner[e]]
	t.granted++
	t.cost += e.Request.Cost
	t.longestWait = max(t.longestWait, s.now.Sub(s.offered[e]))
	if e.Request.Attempt > 1 {
		t.admitted++
	}
	s.at(e.Request.Remaining, func() {
		g.Done(s.now, e, 0)
		s.drain(g)
	})
}

func (s *sim) drain(g *Gate) {
	for {
		e, expired := g.Next(s.now)
		if expired != nil {
			r := expired.Entry.Request
			s.ended(expired, load{account: r.Account, class: r.Class, limit: r.Limit})
			continue
		}
		if e == nil {
			return
		}
		s.granted(g, e)
	}
}

func acc(s string) ident.ClientAccount { return ident.ClientAccount(s) }
