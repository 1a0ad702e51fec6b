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
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/fairshare"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/returntime"
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

// client is what the gate remembers of a client account.
type client struct {
	quota *quota.Account
	// overload and rate book turns of those refused for either reason.
	overload, limited returntime.Schedule
	// returns is the cost a second of returning requests.
	returns meter
}

// Gate decides for one service. See New.
type Gate struct {
	config  Config
	queue   *fairshare.Queue
	clients map[ident.ClientAccount]*client
	// waiting finds the entry of a queued item.
	waiting  map[*fairshare.Item]*Entry
	slots    int
	inFlight int
	holds    holds
	// bookedUntil is when the last turn that was told to anyone begins.
	bookedUntil time.Time
}

// New returns a gate without requests.
func New(config Config) *Gate {
	config = config.withDefaults()
	return &Gate{
		config:  config,
		queue:   fairshare.New(config.Fair),
		clients: map[ident.ClientAccount]*client{},
		waiting: map[*fairshare.Item]*Entry{},
		slots:   config.Slots,
		holds:   holds{assumed: config.Hold},
	}
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
	if e.Request.returning() {
		c.returns.add(now, e.Item.Cost)
	}
	if refusal, refused := g.checkLimits(now, c, e); refused {
		return refuse(e, refusal)
	}
	plan := g.plan(now, c, e)
	if plan.refused {
		return refuse(e, plan.refusal)
	}
	if g.queue.Len() == 0 && g.inFlight < g.slots {
		c.quota.Take(now)
		g.queue.Charge(e.Item.Account, e.Item.Weight, e.Item.Cost)
		g.grant(now, e)
		return Decision{Granted: true}
	}
	return g.enqueue(now, c, e)
}

// enqueue lets an entry wait. A full queue makes room at the expense of the
// account that waits with most, or else refuses the entry.
//
// Without that, one account that sends far more than its share would keep the
// queue full and the others would be refused at the door, whatever the order
// inside.
func (g *Gate) enqueue(now time.Time, c *client, e *Entry) Decision {
	var decision Decision
	if g.queue.Len() >= g.config.MaxQueue {
		victim := g.queue.Victim(&e.Item)
		if victim == nil {
			return refuse(e, g.overloaded(now, c, e, 0))
		}
		evicted := g.waiting[victim]
		refusal := g.overloaded(now, g.clients[victim.Account], evicted, 0)
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
	item := g.queue.Pop()
	e := g.waiting[item]
	delete(g.waiting, item)
	if late := e.Item.LatestStart; !late.IsZero() && now.After(late) {
		g.queue.Correct(item.Account, -item.Cost)
		e.state = ended
		c := g.clients[item.Account]
		c.quota.Release()
		return nil, &Ending{Entry: e, Refusal: g.late(now, c, e)}
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
	c := g.clients[e.Item.Account]
	if cause == outcome.ReasonCancelled {
		return outcome.NewNotRun(cause, messageCancelled, 0), true
	}
	return g.late(now, c, e), true
}

// Done frees the slot of a granted entry. Cost is what the request did cost;
// 0 keeps the estimate. Further calls change nothing.
func (g *Gate) Done(now time.Time, e *Entry, cost float64) {
	if e.state != granted {
		return
	}
	e.state = ended
	g.inFlight--
	g.clients[e.Item.Account].quota.Release()
	if cost > 0 {
		g.queue.Correct(e.Item.Account, cost-e.Item.Cost)
	} else {
		cost = e.Item.Cost
	}
	g.holds.add(now.Sub(e.grantedAt), cost)
}

// Cancel takes back a grant that was never used: it frees the slot and the
// account is not charged.
func (g *Gate) Cancel(e *Entry) {
	if e.state != granted {
		return
	}
	e.state = ended
	g.inFlight--
	g.clients[e.Item.Account].quota.Release()
	g.queue.Correct(e.Item.Account, -e.Item.Cost)
}

func (g *Gate) grant(now time.Time, e *Entry) {
	e.state = granted
	e.grantedAt = now
	g.inFlight++
}

// drop takes a waiting entry out of the queue.
func (g *Gate) drop(e *Entry) {
	g.queue.Remove(&e.Item)
	delete(g.waiting, &e.Item)
	e.state = ended
	g.clients[e.Item.Account].quota.Release()
}

func (g *Gate) client(r *Request, now time.Time) *client {
	c := g.clients[r.Account]
	if c == nil {
		c = &client{quota: quota.NewAccount(r.Limit, now)}
		g.clients[r.Account] = c
		return c
	}
	c.quota.SetLimit(r.Limit, now)
	return c
}

func refuse(e *Entry, refusal outcome.Outcome) Decision {
	e.state = ended
	return Decision{Refused: true, Refusal: refusal}
}
