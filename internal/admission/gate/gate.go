// Package gate decides for one service at one gateway: a request is granted a
// slot, waits for one within its deadline, or is refused at once with a time
// to return.
//
// A Gate is a pure state machine. Its caller passes the time in, takes no two
// steps at once, and after every Done, Abandon or SetSlots calls Next until it
// returns nil. Package admission wraps it for goroutines; a discrete-event
// driver uses it as it is.
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
	DefaultMaxQueue = 512
	DefaultMaxWait  = 10 * time.Second
	DefaultInitialHoldTime     = time.Second
)

// Config of one service's gate.
type Config struct {
	// Slots is how many requests may run at once until SetSlots is called.
	Slots int
	// MaxQueue bounds the waiting requests.
	MaxQueue int
	// MaxWait bounds the wait of a request whose class sets no target.
	MaxWait time.Duration
	// Hold is how long a request is taken to run before any has ended.
	Hold time.Duration
	FairShare fairshare.Config
}

func (c Config) withDefaults() Config {
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Hold <= 0 {
		c.Hold = DefaultInitialHoldTime
	}
	return c
}

// Request is what the gate needs to know of a request.
type Request struct {
	ID      ident.Request
	Account ident.ClientAccount
	// Limit is this gateway's part of the account's limits; see
	// quota.Divide.
	Limit document.AccountLimit
	// Class is the zero value for plain services.
	Class document.Class
	// Predicted is the time from grant to the first token, as routing sees
	// it now. Unloaded is the same on an idle upstream.
	Predicted, Unloaded time.Duration
	// PredictedBy is when four of five such first tokens have come; 0 counts
	// as Predicted. It decides for all but the most urgent priority: what
	// engines serve first varies little, and a wrong refusal costs most.
	PredictedBy time.Duration
	// Remaining is the predicted time from the first token to the last.
	Remaining time.Duration
	// Deadline of the caller; zero is none.
	Deadline time.Time
	// Cost of the request in any unit, the same for all of a service's
	// requests; 0 counts as 1. Slot time is shared in its proportion.
	Cost float64
	// Attempt counts from 1. A request that was refused before and comes
	// back says 2 or more; it goes ahead of first tries of its account.
	Attempt uint32
}

func (r *Request) isRetry() bool { return r.Attempt > 1 }

// entryState of an entry.
type entryState int

const (
	stateNew entryState = iota
	stateWaiting
	stateGranted
	stateEnded
)

// Entry is one request on its way through the gate.
type Entry struct {
	Request Request
	// Item is the entry's place in the queue.
	Item fairshare.Item

	state     entryState
	grantedAt time.Time
	// firstTokenSeen is set with the first token.
	firstTokenSeen bool
	// inFlightAtGrant is how many of its priority were in flight with it at first.
	inFlightAtGrant int
}

// Waiting reports whether the entry is queued.
func (e *Entry) Waiting() bool { return e.state == stateWaiting }

// Granted reports whether the entry holds a slot.
func (e *Entry) Granted() bool { return e.state == stateGranted }

// LatestStart is when a waiting entry has to be abandoned.
func (e *Entry) LatestStart() time.Time { return e.Item.LatestStart }

// RefusedEntry is an entry that the gate ended, with what its caller hears.
type RefusedEntry struct {
	Entry   *Entry
	Refusal outcome.Outcome
}

// Decision is the gate's answer to an offer. If neither Granted nor Refused
// is set, the entry waits.
type Decision struct {
	Granted bool
	Refused bool
	// Refusal is set with Refused.
	Refusal outcome.Outcome
	// Evicted is a waiting entry that had to make room; nil for none.
	Evicted *RefusedEntry
}

// Gate decides for one service. See New.
type Gate struct {
	config  Config
	queue   *fairshare.Queue
	clients map[ident.ClientAccount]*client
	// clientList lists the clients as they came: sums over a map would round
	// differently at every run.
	clientList []*client
	// waitingEntries finds the entry of a queued item.
	waitingEntries  map[*fairshare.Item]*Entry
	slots    int
	inFlight int
	holdTimes    holdTimeMeter
	bands    bands
	// slotsPerWeight is the slots per unit of weight that an account can have while
	// all are taken; infinite while there is enough for all.
	slotsPerWeight float64
	// timelySlotsPerWeight is the same for what upstreams answer in time; see beyondPart.
	timelySlotsPerWeight float64
	// lastLateRefusal is when a request was last refused because its first token
	// would have come late.
	lastLateRefusal time.Time
	// priorityAllowed is bands.allows for this gate, made once.
	priorityAllowed func(priority int) bool
}

// New returns a gate without requests.
func New(config Config) *Gate {
	config = config.withDefaults()
	g := &Gate{
		config:  config,
		queue:   fairshare.New(config.FairShare),
		clients: map[ident.ClientAccount]*client{},
		waitingEntries: map[*fairshare.Item]*Entry{},
		slots:   config.Slots,
		holdTimes:   holdTimeMeter{initial: config.Hold},
		slotsPerWeight:   math.Inf(1),
		timelySlotsPerWeight:    math.Inf(1),
	}
	g.priorityAllowed = func(priority int) bool { return g.bands.allows(priority, g.slots) }
	return g
}

// SetSlots changes how many requests may run at once. 0 says that no
// upstream is there.
func (g *Gate) SetSlots(slots int) { g.slots = max(slots, 0) }

// Slots returns how many requests may run at once.
func (g *Gate) Slots() int { return g.slots }

// InFlight returns how many requests hold a slot.
func (g *Gate) InFlight() int { return g.inFlight }

// Queued returns how many requests wait.
func (g *Gate) Queued() int { return g.queue.Len() }

// AccountInFlight returns how many requests of an account run or wait.
func (g *Gate) AccountInFlight(name ident.ClientAccount) int {
	c := g.clients[name]
	if c == nil {
		return 0
	}
	return c.quota.InFlight()
}

// Offer decides on a request. The entry must be new.
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

// canGrantNow reports whether an entry can be granted a slot without waiting.
func (g *Gate) canGrantNow(e *Entry) bool {
	return g.inFlight < g.slots && g.priorityAllowed(e.Item.Priority) && !g.queue.HasItemsAhead(&e.Item)
}

// enqueue lets an entry wait. A full queue makes room at the expense of the
// account that waits with most, or else refuses the entry.
//
// Without that, one account that sends far more than its share would keep the
// queue full and the others would be refused on arrival, whatever the order
// inside.
func (g *Gate) enqueue(now time.Time, c *client, e *Entry) Decision {
	var decision Decision
	if g.queue.Len() >= g.config.MaxQueue {
		victim := g.queue.EvictionCandidate(&e.Item)
		if victim == nil {
			return refuse(e, g.overloadRefusal(now, c.usageOf(e.Item.Priority), e, 0))
		}
		evicted := g.waitingEntries[victim]
		refusal := g.overloadRefusal(now, g.clients[victim.Account].usageOf(victim.Priority), evicted, 0)
		g.dequeue(evicted)
		decision.Evicted = &RefusedEntry{Entry: evicted, Refusal: refusal}
	}
	c.quota.Take(now)
	e.state = stateWaiting
	g.waitingEntries[&e.Item] = e
	g.queue.Push(&e.Item)
	return decision
}

// Next grants a free slot to the entry whose turn it is, or ends an entry
// whose turn came too late. It returns nil when there is nothing to do.
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
	if late := e.Item.LatestStart; !late.IsZero() && now.After(late) {
		g.queue.Correct(item.Account, -item.Cost)
		e.state = stateEnded
		g.clients[item.Account].quota.Release()
		return nil, &RefusedEntry{Entry: e, Refusal: g.lateRefusal(now, e)}
	}
	g.grant(now, e)
	return e, nil
}

// Abandon ends a waiting entry because its caller left, its deadline passed or
// its latest start came. It reports false when the entry does not wait.
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

// Done frees the slot of a granted entry. Cost is what the request did cost;
// 0 keeps the estimate. Further calls change nothing.
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

// Cancel takes back a grant that was never used: it frees the slot and the
// account is not charged.
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

// freeSlot frees a granted entry's slot.
func (g *Gate) freeSlot(e *Entry) {
	e.state = stateEnded
	g.inFlight--
	g.bands.forPriority(e.Item.Priority).inFlight--
	c := g.clients[e.Item.Account]
	c.usageOf(e.Item.Priority).inFlight--
	c.quota.Release()
}

// dequeue takes a waiting entry out of the queue.
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
