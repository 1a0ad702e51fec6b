// Package gate decides for one service at one gateway: a request is granted a
// slot, waits for one within its deadline, or is refused at once with a
// retry-after time.
//
// A slot is the permission to run one request. A retry is a request that was
// refused before and that its caller sends again; other requests are first
// attempts. A priority band comprises the requests of one priority.
//
// A Gate is a pure state machine. Its caller passes the time in, makes one call
// at a time, and after every Done, Cancel, Abandon or SetSlots calls Next until
// it returns nil. Package admission wraps it for goroutines; a discrete-event
// simulation uses it directly.
package gate

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/fairshare"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Defaults of Config.
const (
	DefaultMaxQueue        = 512
	DefaultMaxWait         = 10 * time.Second
	DefaultInitialHoldTime = time.Second
)

// Config configures the gate of one service. Zero fields other than Slots take
// defaults.
type Config struct {
	// Slots is how many requests may run at once until SetSlots is called.
	Slots int
	// MaxQueue is the largest number of waiting requests.
	MaxQueue int
	// MaxWait bounds the wait of a request whose class sets no target.
	MaxWait time.Duration
	// InitialHoldTime is the assumed time for which a unit of cost holds a slot, used
	// until the first request has ended.
	InitialHoldTime time.Duration
	// FairShare configures how waiting requests share the slots.
	FairShare fairshare.Config
}

func (c Config) withDefaults() Config {
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.InitialHoldTime <= 0 {
		c.InitialHoldTime = DefaultInitialHoldTime
	}
	return c
}

// Request describes a request to the gate.
type Request struct {
	ID      ident.Request
	Account ident.ClientAccount
	// Limit is this gateway's part of the account's limits; see
	// quota.Divide.
	Limit document.AccountLimit
	// Class is the zero value for plain services.
	Class document.Class
	// PredictedFirstToken is the predicted time from the grant to the first token
	// at the present load. UnloadedFirstToken is the same on an idle upstream.
	PredictedFirstToken, UnloadedFirstToken time.Duration
	// PredictedFirstTokenP80 is the 80th percentile of the predicted time to the
	// first token; 0 means PredictedFirstToken. It may replace PredictedFirstToken
	// for all priorities but the most urgent: engines serve that one first, so its
	// times vary little, and a wrong refusal costs most there.
	PredictedFirstTokenP80 time.Duration
	// PredictedAfterFirstToken is the predicted time from the first token to the last.
	PredictedAfterFirstToken time.Duration
	// Deadline is the caller's deadline; zero means none.
	Deadline time.Time
	// Cost is the estimated cost of the request, in any unit that is the same
	// for all requests of a service; 0 means 1. Slot time is shared in
	// proportion to it.
	Cost float64
	// Attempt counts the caller's attempts from 1. 2 or more marks a retry,
	// which goes ahead of first attempts of its account.
	Attempt uint32
}

func (r *Request) isRetry() bool { return r.Attempt > 1 }

// entryState is the stage of an entry on its way through the gate.
type entryState int

const (
	stateNew entryState = iota
	stateWaiting
	stateGranted
	stateEnded
)

// Entry is one request on its way through the gate. Its user sets Request alone.
type Entry struct {
	Request Request
	// Item represents the entry in the queue. The gate sets it.
	Item fairshare.Item

	state     entryState
	grantedAt time.Time
	// firstTokenSeen is set once the first token was reported.
	firstTokenSeen bool
	// inFlightAtGrant is how many requests of the entry's priority were in
	// flight when it was granted, itself included.
	inFlightAtGrant int
}

// Waiting reports whether the entry is queued.
func (e *Entry) Waiting() bool { return e.state == stateWaiting }

// Granted reports whether the entry holds a slot.
func (e *Entry) Granted() bool { return e.state == stateGranted }

// LatestStart returns the time at which a waiting entry must be abandoned.
func (e *Entry) LatestStart() time.Time { return e.Item.LatestStart }

// RefusedEntry is an entry that the gate refused after it had waited, with the
// refusal for its caller.
type RefusedEntry struct {
	Entry   *Entry
	Refusal outcome.Outcome
}

// Decision is the result of Offer. If neither Granted nor Refused is set, the
// entry waits.
type Decision struct {
	Granted bool
	Refused bool
	// Refusal is set with Refused.
	Refusal outcome.Outcome
	// Evicted is a waiting entry that was evicted to make room for the
	// offered one; nil if none was.
	Evicted *RefusedEntry
}

// Gate admits the requests of one service. It is not safe for concurrent use.
// See New.
type Gate struct {
	config  Config
	queue   *fairshare.Queue
	clients map[ident.ClientAccount]*client
	// clientList holds the clients in order of arrival. Sums over the map
	// would be rounded differently in each run.
	clientList []*client
	// waitingEntries maps a queued item to its entry.
	waitingEntries map[*fairshare.Item]*Entry
	slots          int
	inFlight       int
	holdTimes      holdTimeMeter
	bands          bands
	// slotsPerWeight is the max-min fair share of the slots per unit of
	// weight; infinite while all accounts get what they ask for.
	slotsPerWeight float64
	// timelySlotsPerWeight is the same for the requests that upstreams can
	// answer in time; infinite while they aren't late. See
	// exceedsTimelyShare.
	timelySlotsPerWeight float64
	// lastLateRefusal is when a request was last refused because its predicted
	// wait exceeded what its targets and deadline allow.
	lastLateRefusal time.Time
	// priorityAllowed calls bands.allows with the gate's slots. It is kept
	// here so that the closure is allocated only once.
	priorityAllowed func(priority int) bool
}

// New returns an empty gate.
func New(config Config) *Gate {
	config = config.withDefaults()
	g := &Gate{
		config:               config,
		queue:                fairshare.New(config.FairShare),
		clients:              map[ident.ClientAccount]*client{},
		waitingEntries:       map[*fairshare.Item]*Entry{},
		slots:                config.Slots,
		holdTimes:            holdTimeMeter{initial: config.InitialHoldTime},
		slotsPerWeight:       math.Inf(1),
		timelySlotsPerWeight: math.Inf(1),
	}
	g.priorityAllowed = func(priority int) bool { return g.bands.allows(priority, g.slots) }
	return g
}

// SetSlots sets how many requests may run at once. 0 means that there is no
// upstream.
func (g *Gate) SetSlots(slots int) { g.slots = max(slots, 0) }

// Slots returns how many requests may run at once.
func (g *Gate) Slots() int { return g.slots }

// InFlight returns the number of requests that hold a slot.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns the number of waiting requests.
func (g *Gate) Queued() int { return g.queue.Len() }

// AccountInFlight returns the number of requests of an account that run or
// wait.
func (g *Gate) AccountInFlight(name ident.ClientAccount) int {
	c := g.clients[name]
	if c == nil {
		return 0
	}
	return c.quota.InFlight()
}

// Offer grants a slot to a new entry, queues it or refuses it.
func (g *Gate) Offer(now time.Time, e *Entry) Decision {
	c := g.clientFor(&e.Request, now)
	g.fillItem(now, e)
	u := c.usageOf(e.Item.Priority)
	g.recordOffer(now, u, e)
	g.updateReserves(now)
	g.bands.sampleOverdue(now, g.bands.forPriority(e.Item.Priority))
	if refusal, refused := g.checkLimits(now, c, e); refused {
		return refuse(e, refusal)
	}
	if refusal, refused := g.checkTime(now, c, u, e); refused {
		return refuse(e, refusal)
	}
	if g.canGrantNow(e) {
		c.quota.Take(now)
		g.queue.Charge(e.Item.Account, e.Item.Weight, e.Item.Cost)
		g.grant(now, e)
		return Decision{Granted: true}
	}
	return g.enqueue(now, c, e)
}

// canGrantNow reports whether an entry can be granted a slot without waiting:
// a slot is free for its priority and no waiting entry goes first.
func (g *Gate) canGrantNow(e *Entry) bool {
	return g.inFlight < g.slots && g.priorityAllowed(e.Item.Priority) && !g.queue.HasItemsAhead(&e.Item)
}

// enqueue queues an entry. If the queue is full, it evicts an entry of the
// account with the most waiting cost for its weight, or refuses the new entry if
// that is its own account.
//
// Without the eviction, one account that sends far more than its share would
// keep the queue full, and other accounts would be refused on arrival however
// fair the order within the queue is.
func (g *Gate) enqueue(now time.Time, c *client, e *Entry) Decision {
	var decision Decision
	if g.queue.Len() >= g.config.MaxQueue {
		candidate := g.queue.EvictionCandidate(&e.Item)
		if candidate == nil {
			return refuse(e, g.overloadRefusal(now, c.usageOf(e.Item.Priority), e, 0))
		}
		evicted := g.waitingEntries[candidate]
		refusal := g.overloadRefusal(now, g.clients[candidate.Account].usageOf(candidate.Priority), evicted, 0)
		g.dequeue(evicted)
		decision.Evicted = &RefusedEntry{Entry: evicted, Refusal: refusal}
	}
	c.quota.Take(now)
	e.state = stateWaiting
	g.waitingEntries[&e.Item] = e
	g.queue.Push(&e.Item)
	return decision
}

// Next takes the next entry from the queue if a slot is free for it. It grants
// the slot, or refuses the entry if its latest start has passed. It returns nil
// for both if there is nothing to do.
func (g *Gate) Next(now time.Time) (granted *Entry, expired *RefusedEntry) {
	if g.queue.Len() == 0 || g.inFlight >= g.slots {
		return nil, nil
	}
	g.updateReserves(now)
	item := g.queue.Pop(g.priorityAllowed)
	if item == nil {
		return nil, nil
	}
	e := g.waitingEntries[item]
	delete(g.waitingEntries, item)
	if latest := e.Item.LatestStart; !latest.IsZero() && now.After(latest) {
		g.queue.Correct(item.Account, -item.Cost)
		e.state = stateEnded
		g.clients[item.Account].quota.Release()
		return nil, &RefusedEntry{Entry: e, Refusal: g.lateRefusal(now, e)}
	}
	g.grant(now, e)
	return e, nil
}

// Abandon refuses a waiting entry because its caller left, its deadline passed
// or its latest start passed. It returns false if the entry doesn't wait.
func (g *Gate) Abandon(now time.Time, e *Entry, cause outcome.Reason) (outcome.Outcome, bool) {
	if e.state != stateWaiting {
		return outcome.Outcome{}, false
	}
	g.dequeue(e)
	if cause == outcome.ReasonCancelled {
		return outcome.NewNotRun(cause, messageCancelled, 0), true
	}
	return g.lateRefusal(now, e), true
}

// Done frees the slot of a granted entry. The cost is the request's actual one;
// 0 keeps the estimate. Further calls have no effect.
func (g *Gate) Done(now time.Time, e *Entry, cost float64) {
	if e.state != stateGranted {
		return
	}
	g.freeSlot(e)
	if cost > 0 {
		g.queue.Correct(e.Item.Account, cost-e.Item.Cost)
	} else {
		cost = e.Item.Cost
	}
	g.holdTimes.add(now.Sub(e.grantedAt), cost)
	g.bands.forPriority(e.Item.Priority).recordCost(cost)
}

// Cancel takes back a grant that was never used: it frees the slot and refunds
// the account's charge.
func (g *Gate) Cancel(e *Entry) {
	if e.state != stateGranted {
		return
	}
	g.freeSlot(e)
	g.queue.Correct(e.Item.Account, -e.Item.Cost)
}

func (g *Gate) grant(now time.Time, e *Entry) {
	e.state = stateGranted
	e.grantedAt = now
	g.inFlight++
	b := g.bands.forPriority(e.Item.Priority)
	b.inFlight++
	e.inFlightAtGrant = b.inFlight
	b.grantedEntries = append(b.grantedEntries, e)
	g.clients[e.Item.Account].usageOf(e.Item.Priority).inFlight++
}

// freeSlot ends a granted entry and frees its slot.
func (g *Gate) freeSlot(e *Entry) {
	e.state = stateEnded
	g.inFlight--
	g.bands.forPriority(e.Item.Priority).inFlight--
	c := g.clients[e.Item.Account]
	c.usageOf(e.Item.Priority).inFlight--
	c.quota.Release()
}

// dequeue ends a waiting entry and removes it from the queue.
func (g *Gate) dequeue(e *Entry) {
	g.queue.Remove(&e.Item)
	delete(g.waitingEntries, &e.Item)
	e.state = stateEnded
	g.clients[e.Item.Account].quota.Release()
}

func refuse(e *Entry, refusal outcome.Outcome) Decision {
	e.state = stateEnded
	return Decision{Refused: true, Refusal: refusal}
}
