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
	DefaultHold     = time.Second
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
	Fair fairshare.Config
}

func (c Config) withDefaults() Config {
	if c.MaxQueue <= 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.MaxWait <= 0 {
		c.MaxWait = DefaultMaxWait
	}
	if c.Hold <= 0 {
		c.Hold = DefaultHold
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

func (r *Request) returning() bool { return r.Attempt > 1 }

// state of an entry.
type state int

const (
	idle state = iota
	waiting
	granted
	ended
)

// Entry is one request on its way through the gate.
type Entry struct {
	Request Request
	// Item is the entry's place in the queue.
	Item fairshare.Item

	state     state
	grantedAt time.Time
	// answered is set with the first token.
	answered bool
	// others is how many of its priority were in flight with it at first.
	others int
}

// Waiting reports whether the entry is queued.
func (e *Entry) Waiting() bool { return e.state == waiting }

// Granted reports whether the entry holds a slot.
func (e *Entry) Granted() bool { return e.state == granted }

// LatestStart is when a waiting entry has to be abandoned.
func (e *Entry) LatestStart() time.Time { return e.Item.LatestStart }

// Ending is an entry that the gate ended, with what its caller hears.
type Ending struct {
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
	Evicted *Ending
}

// Gate decides for one service. See New.
type Gate struct {
	config  Config
	queue   *fairshare.Queue
	clients map[ident.ClientAccount]*client
	// order lists the clients as they came: sums over a map would round
	// differently at every run.
	order []*client
	// waiting finds the entry of a queued item.
	waiting  map[*fairshare.Item]*Entry
	slots    int
	inFlight int
	holds    holds
	bands    bands
	// level is the slots per unit of weight that an account can have while
	// all are taken; infinite while there is enough for all.
	level float64
	// part is the same for what upstreams answer in time; see beyondPart.
	part float64
	// lateAt is when a request was last refused because its first token
	// would have come late.
	lateAt time.Time
	// allowed is bands.allows for this gate, made once.
	allowed func(priority int) bool
}

// New returns a gate without requests.
func New(config Config) *Gate {
	config = config.withDefaults()
	g := &Gate{
		config:  config,
		queue:   fairshare.New(config.Fair),
		clients: map[ident.ClientAccount]*client{},
		waiting: map[*fairshare.Item]*Entry{},
		slots:   config.Slots,
		holds:   holds{assumed: config.Hold},
		level:   math.Inf(1),
		part:    math.Inf(1),
	}
	g.allowed = func(priority int) bool { return g.bands.allows(priority, g.slots) }
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
	c := g.client(&e.Request, now)
	g.prepare(now, e)
	u := c.use(e.Item.Priority)
	g.count(now, u, e)
	g.reserve(now)
	g.bands.judge(now, g.bands.of(e.Item.Priority))
	if refusal, refused := g.checkLimits(now, c, e); refused {
		return refuse(e, refusal)
	}
	if refusal, refused := g.checkTime(now, c, u, e); refused {
		return refuse(e, refusal)
	}
	if g.free(e) {
		c.quota.Take(now)
		g.queue.Charge(e.Item.Account, e.Item.Weight, e.Item.Cost)
		g.grant(now, e)
		return Decision{Granted: true}
	}
	return g.enqueue(now, c, e)
}

// free reports whether an entry can be granted a slot without waiting.
func (g *Gate) free(e *Entry) bool {
	return g.inFlight < g.slots && g.allowed(e.Item.Priority) && !g.queue.Before(&e.Item)
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
		victim := g.queue.Victim(&e.Item)
		if victim == nil {
			return refuse(e, g.overloaded(now, c.use(e.Item.Priority), e, 0))
		}
		evicted := g.waiting[victim]
		refusal := g.overloaded(now, g.clients[victim.Account].use(victim.Priority), evicted, 0)
		g.drop(evicted)
		decision.Evicted = &Ending{Entry: evicted, Refusal: refusal}
	}
	c.quota.Take(now)
	e.state = waiting
	g.waiting[&e.Item] = e
	g.queue.Push(&e.Item)
	return decision
}

// Next grants a free slot to the entry whose turn it is, or ends an entry
// whose turn came too late. It returns nil when there is nothing to do.
func (g *Gate) Next(now time.Time) (granted *Entry, expired *Ending) {
	if g.queue.Len() == 0 || g.inFlight >= g.slots {
		return nil, nil
	}
	g.reserve(now)
	item := g.queue.Pop(g.allowed)
	if item == nil {
		return nil, nil
	}
	e := g.waiting[item]
	delete(g.waiting, item)
	if late := e.Item.LatestStart; !late.IsZero() && now.After(late) {
		g.queue.Correct(item.Account, -item.Cost)
		e.state = ended
		g.clients[item.Account].quota.Release()
		return nil, &Ending{Entry: e, Refusal: g.late(now, e)}
	}
	g.grant(now, e)
	return e, nil
}

// Abandon ends a waiting entry because its caller left, its deadline passed or
// its latest start came. It reports false when the entry does not wait.
func (g *Gate) Abandon(now time.Time, e *Entry, cause outcome.Reason) (outcome.Outcome, bool) {
	if e.state != waiting {
		return outcome.Outcome{}, false
	}
	g.drop(e)
	if cause == outcome.ReasonCancelled {
		return outcome.NewNotRun(cause, messageCancelled, 0), true
	}
	return g.late(now, e), true
}

// Done frees the slot of a granted entry. Cost is what the request did cost;
// 0 keeps the estimate. Further calls change nothing.
func (g *Gate) Done(now time.Time, e *Entry, cost float64) {
	if e.state != granted {
		return
	}
	g.vacate(e)
	if cost > 0 {
		g.queue.Correct(e.Item.Account, cost-e.Item.Cost)
	} else {
		cost = e.Item.Cost
	}
	g.holds.add(now.Sub(e.grantedAt), cost)
	g.bands.of(e.Item.Priority).learn(cost)
}

// Cancel takes back a grant that was never used: it frees the slot and the
// account is not charged.
func (g *Gate) Cancel(e *Entry) {
	if e.state != granted {
		return
	}
	g.vacate(e)
	g.queue.Correct(e.Item.Account, -e.Item.Cost)
}

func (g *Gate) grant(now time.Time, e *Entry) {
	e.state = granted
	e.grantedAt = now
	g.inFlight++
	b := g.bands.of(e.Item.Priority)
	b.inFlight++
	e.others = b.inFlight
	b.open = append(b.open, e)
	g.clients[e.Item.Account].use(e.Item.Priority).inFlight++
}

// vacate frees a granted entry's slot.
func (g *Gate) vacate(e *Entry) {
	e.state = ended
	g.inFlight--
	g.bands.of(e.Item.Priority).inFlight--
	c := g.clients[e.Item.Account]
	c.use(e.Item.Priority).inFlight--
	c.quota.Release()
}

// drop takes a waiting entry out of the queue.
func (g *Gate) drop(e *Entry) {
	g.queue.Remove(&e.Item)
	delete(g.waiting, &e.Item)
	e.state = ended
	g.clients[e.Item.Account].quota.Release()
}

func refuse(e *Entry, refusal outcome.Outcome) Decision {
	e.state = ended
	return Decision{Refused: true, Refusal: refusal}
}
