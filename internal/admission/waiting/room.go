package waiting

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// WaitDivisor divides a route's objective: a call waits for an eighth of it at most, so that a caller that is
// refused can send the request again and still be served in time.
const WaitDivisor = 8

// RoomConfig holds what a Room uses. Now, Placement and Log are required.
type RoomConfig struct {
	Now boottime.Clock
	// Placement chooses upstreams. It is called with the queue of a service locked.
	Placement forward.Placement
	// Table returns the operators' configuration, or nil while none is known. Without it, no configuration
	// changes what was accepted.
	Table func() *routetable.Table
	// Reading returns the time that an idle engine takes to a call's first event; 0 if that isn't known,
	// and for plain services. Without it, no prompt takes any time.
	Reading func(call *forward.Call, now time.Time) time.Duration
	Log     hclog.Logger
	// MaxWaiters bounds the calls that wait for one service; 0 means DefaultMaxWaiters.
	MaxWaiters int
}

// Room is where calls wait for a place at an upstream. It implements forward.Places over a Placement, and
// forward.Placement so that it notices when places become free. Calls of one service that wait get the
// places in the order of a Queue; nobody asks for a place while others wait before it.
type Room struct {
	forward.Placement
	cfg   RoomConfig
	costs costs
	stats stats

	// mu guards queues. It is never held while the lock of a queue is taken.
	mu     sync.Mutex
	queues map[ident.Service]*serviceQueue
}

// NewRoom returns a Room in which nobody waits.
func NewRoom(cfg RoomConfig) *Room {
	if cfg.Table == nil {
		cfg.Table = func() *routetable.Table { return nil }
	}
	if cfg.Reading == nil {
		cfg.Reading = func(*forward.Call, time.Time) time.Duration { return 0 }
	}
	return &Room{Placement: cfg.Placement, cfg: cfg, stats: newStats(), queues: make(map[ident.Service]*serviceQueue)}
}

// held is what the Room keeps of a call that has a place.
type held struct {
	call      *forward.Call
	grantedAt time.Time
	reading   time.Duration
}

// Take implements forward.Places. A call waits for an eighth of its route's objective and DefaultMaxWait at most.
func (r *Room) Take(ctx context.Context, call *forward.Call, exclude []ident.Instance) (forward.Choice, bool) {
	if ctx.Err() != nil {
		return forward.Choice{}, false
	}
	q := r.queueOf(call.Service.Name)
	w := r.newWaiter(call, exclude)
	if choice, found, waits := q.begin(w); !waits {
		return choice, found
	}
	end := q.await(ctx, w)
	return end.choice, end.found
}

// Choose implements forward.Placement. It finds nothing while other calls wait.
func (r *Room) Choose(call *forward.Call, exclude []ident.Instance, _ time.Time) (forward.Choice, bool) {
	return r.queueOf(call.Service.Name).tryAtOnce(r.newWaiter(call, exclude))
}

// Finished implements forward.Placement. The place that becomes free goes to a waiting call.
func (r *Room) Finished(choice forward.Choice, result forward.Result, now time.Time) {
	r.Placement.Finished(choice, result, now)
	h, ok := choice.Held.(*held)
	if !ok {
		return
	}
	if result == forward.Done {
		r.costs.learn(h.call, now.Sub(h.grantedAt), h.reading)
	}
	r.Wake(h.call.Service.Name)
}

// Wake offers the free places of a service to the calls that wait for it. It must be called when places may
// have become free without a call of Finished.
func (r *Room) Wake(service ident.Service) {
	r.mu.Lock()
	q := r.queues[service]
	r.mu.Unlock()
	if q != nil {
		q.wake()
	}
}

// WakeAll is Wake for all services.
func (r *Room) WakeAll() {
	for _, q := range r.allQueues() {
		q.wake()
	}
}

// Reconfigure applies a changed configuration to the calls that wait: their priorities, and whether they may
// go on waiting.
func (r *Room) Reconfigure() {
	table := r.cfg.Table()
	for _, q := range r.allQueues() {
		q.reconfigure(table)
	}
	if table != nil {
		r.forgetRemoved(table)
	}
}

// forgetRemoved drops what is kept of routes, accounts and services that are gone.
func (r *Room) forgetRemoved(table *routetable.Table) {
	routes := make(map[string]bool)
	for _, route := range table.Routes() {
		routes[route.Name] = true
	}
	r.costs.keep(func(route string) bool { return routes[route] })
	accounts := make(map[ident.ClientAccount]bool)
	for _, account := range table.Accounts() {
		accounts[account.Name] = true
	}
	for _, q := range r.allQueues() {
		q.keepAccounts(accounts)
		if table.Service(q.service) == nil && q.waiting() == 0 {
			r.mu.Lock()
			delete(r.queues, q.service)
			r.mu.Unlock()
		}
	}
}

func (r *Room) allQueues() []*serviceQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*serviceQueue, 0, len(r.queues))
	for _, q := range r.queues {
		all = append(all, q)
	}
	slices.SortFunc(all, func(a, b *serviceQueue) int { return cmp.Compare(a.service, b.service) })
	return all
}

func (r *Room) queueOf(service ident.Service) *serviceQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.queues[service]
	if q == nil {
		q = &serviceQueue{room: r, service: service, order: New(Config{MaxWaiters: r.cfg.MaxWaiters})}
		r.queues[service] = q
	}
	return q
}

// waitingCall is the Value of a Waiter in a Room.
type waitingCall struct {
	call    *forward.Call
	exclude []ident.Instance
	kind    callKind
	reading time.Duration
	// ended gets how the wait ended, once, after the waiter has left the queue.
	ended chan waitEnd
	// lastChoice is the last one that found no place.
	lastChoice forward.Choice
}

// waitEnd is how a wait ended.
type waitEnd struct {
	choice forward.Choice
	found  bool
}

func callOf(w *Waiter) *waitingCall { return w.Value.(*waitingCall) }

// newWaiter returns the waiter for a call.
func (r *Room) newWaiter(call *forward.Call, exclude []ident.Instance) *Waiter {
	now := r.cfg.Now()
	reading := r.cfg.Reading(call, now)
	latest := call.Received.Add(call.Route.Objective / WaitDivisor)
	for _, bound := range []time.Time{call.Expires.Add(-reading), now.Add(DefaultMaxWait)} {
		if bound.Before(latest) {
			latest = bound
		}
	}
	return &Waiter{
		Account: call.Account, Priority: call.Priority, Cost: r.costs.of(call, reading), ArrivedAt: now, LatestStart: latest,
		Value: &waitingCall{call: call, exclude: exclude, kind: kindOf(call, exclude), reading: reading, ended: make(chan waitEnd, 1)},
	}
}
