package slotlease

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/gossip"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

const (
	// askTimeout is how long an answer may take beyond the time that the call may wait. Gateways are about
	// 1 ms apart.
	askTimeout = 30 * time.Millisecond
	// holdMargin is how long a lease lasts beyond the call's time, so that it doesn't end before the attempt.
	holdMargin = time.Second
	// maxAsksPerCall bounds the asks of one attempt, if the gateway may not use the upstream that it got.
	maxAsksPerCall = 2
)

// Network reaches the other gateways.
type Network interface {
	// SendSlots sends an encoded message to a gateway and returns its encoded answer.
	SendSlots(ctx context.Context, keeper gossip.Contact, message []byte) ([]byte, error)
}

// Placement chooses upstreams by what this gateway alone knows.
type Placement interface {
	forward.Placement
	// ChooseOne reserves a slot at an upstream, unless this gateway may not use it.
	ChooseOne(call *forward.Call, id ident.Instance, now time.Time) (forward.Choice, bool)
	// Barred returns the upstreams that this gateway may not use for a call, and whether there are others.
	Barred(call *forward.Call, exclude []ident.Instance, now time.Time) (barred []ident.Instance, others bool)
	// SharedSlots returns the upstreams of a service that has fewer slots than there are gateways; nil if
	// there are enough.
	SharedSlots(service *routetable.Service) []directory.Upstream
	// MeanWork returns the mean time that a service's requests take in a slot; 0 if it isn't known.
	MeanWork(service ident.Service) time.Duration
}

// Places is where calls get a place without a lease.
type Places interface {
	Take(ctx context.Context, call *forward.Call, exclude []ident.Instance) (forward.Choice, bool)
}

// ClientConfig configures a Client. All fields are required.
type ClientConfig struct {
	Self   ident.Instance
	Domain ident.FailureDomain
	// Incarnation identifies this process of the gateway.
	Incarnation string
	Now         boottime.Clock
	Log         hclog.Logger
	Network     Network
	Placement   Placement
	// Places serves the calls whose service has enough slots, and those that get no answer in time.
	Places Places
	// Standing returns why a call may not go on in the present configuration; 0 if it may.
	Standing func(*forward.Call) forward.Block
	// Server keeps the slots that this gateway itself keeps.
	Server *Server
}

// Client finds places for calls. Where gateways outnumber a service's slots it leases one. It is safe for
// concurrent use.
type Client struct {
	Placement
	cfg      ClientConfig
	keepers  atomic.Pointer[[]gossip.Contact]
	health   *health
	returns  *returns
	lastAsk  atomic.Uint64
	counters clientCounters

	mu sync.Mutex
	// held are the leases of the attempts in progress, by their reservations.
	held map[any]heldLease
	// refusals tell until when a keeper expects no free slot, by service.
	refusals map[ident.Service]time.Time
	// divided are the services' upstreams in parts.
	divided map[ident.Service]divided
}

// heldLease is a lease of this gateway.
type heldLease struct {
	part   partID
	keeper gossip.Contact
	number uint64
	end    leaseEnd
}

// leaseEnd is how the attempt of a lease ended.
type leaseEnd int

const (
	// endUnfinished: no request ran to its end.
	endUnfinished leaseEnd = iota
	// endFinished: a request ran to its end, or for all of its time.
	endFinished
	// endFailed: the upstream failed or refused the attempt.
	endFailed
)

// clientCounters count since the start.
type clientCounters struct{ asked, granted, refused, unanswered, unusable, bytes atomic.Int64 }

// NewClient returns a Client that knows no keepers yet.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{Placement: cfg.Placement, cfg: cfg, health: newHealth(cfg.Now, cfg.Log), held: make(map[any]heldLease), refusals: make(map[ident.Service]time.Time), divided: make(map[ident.Service]divided)}
	c.returns = newReturns(cfg.Incarnation, cfg.Network, cfg.Log, cfg.Now)
	c.SetKeepers(nil)
	return c
}

// SetKeepers replaces the gateways that keep slots.
func (c *Client) SetKeepers(gateways []gossip.Contact) {
	c.keepers.Store(&gateways)
	c.health.keep(func(id ident.Instance) bool {
		return slices.ContainsFunc(gateways, func(g gossip.Contact) bool { return g.Node == id })
	})
}

// Take implements forward.Places.
func (c *Client) Take(ctx context.Context, call *forward.Call, exclude []ident.Instance) (forward.Choice, bool) {
	upstreams := c.cfg.Placement.SharedSlots(call.Service)
	if len(upstreams) == 0 || ctx.Err() != nil {
		return c.cfg.Places.Take(ctx, call, exclude)
	}
	choice, err := c.lease(ctx, call, exclude, upstreams)
	switch {
	case err == nil:
		return choice, true
	case errors.Is(err, errRemoved):
		return forward.Choice{Blocked: c.cfg.Standing(call)}, false
	case errors.Is(err, errRefused):
		return forward.Choice{PassedOver: []string{"no slot"}}, false
	case ctx.Err() != nil:
		return forward.Choice{}, false
	}
	return c.cfg.Places.Take(ctx, call, exclude)
}

// Errors for which a call gets no lease.
var (
	// errRefused: there is no free slot, and none will be in time.
	errRefused = errors.New("no slot is free in time")
	// errNoKeeper: no gateway that keeps the slots answers.
	errNoKeeper = errors.New("no gateway that keeps the slots answers")
	// errUnusable: this gateway may not use the upstreams that it could lease a slot at.
	errUnusable = errors.New("the upstreams with free slots may not be used")
	// errRemoved: the call's key, route or service was removed while it waited.
	errRemoved = errors.New("the key, route or service of the call was removed")
)

// lease leases a slot for a call and reserves it. A part that refuses may have none while another one does, so
// the call asks a second one then.
func (c *Client) lease(ctx context.Context, call *forward.Call, exclude []ident.Instance, upstreams []directory.Upstream) (forward.Choice, error) {
	avoid, others := c.cfg.Placement.Barred(call, exclude, c.cfg.Now())
	if !others {
		return forward.Choice{}, errUnusable
	}
	var choice forward.Choice
	err := errUnusable
	for _, number := range DrawParts(call.ID, c.divide(call.Service.Name, upstreams), avoid) {
		choice, err = c.leaseIn(ctx, call, partID{call.Service.Name, number}, avoid)
		if !errors.Is(err, errRefused) || ctx.Err() != nil {
			break
		}
	}
	return choice, err
}

// divided is a service's upstreams and the parts into which they are divided.
type divided struct {
	upstreams []directory.Upstream
	parts     [][]Upstream
}

// divide returns the parts of a service's upstreams. They are kept until the upstreams change.
func (c *Client) divide(service ident.Service, upstreams []directory.Upstream) [][]Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.divided[service]
	// A view's list is never written to, so the same list has the same parts.
	if len(d.upstreams) != len(upstreams) || &d.upstreams[0] != &upstreams[0] {
		d = divided{upstreams, Divide(upstreams)}
		c.divided[service] = d
	}
	return d.parts
}

// leaseIn leases a slot of a part for a call and reserves it.
func (c *Client) leaseIn(ctx context.Context, call *forward.Call, part partID, avoid []ident.Instance) (forward.Choice, error) {
	keeper, found := keeperOf(part, *c.keepers.Load())
	if !found {
		return forward.Choice{}, errNoKeeper
	}
	avoid = slices.Clone(avoid)
	for n := range maxAsksPerCall {
		ask := c.newAsk(call, avoid)
		answer, err := c.ask(ctx, keeper, part, ask)
		if err != nil {
			return forward.Choice{}, err
		}
		switch {
		case answer.Upstream != "":
		case n > 0:
			return forward.Choice{}, errUnusable
		default:
			c.recordRefusal(call.Service.Name, answer.RetryAfter)
			return forward.Choice{}, errRefused
		}
		l := heldLease{part: part, keeper: keeper, number: ask.ID.Number}
		if c.cfg.Standing(call) != 0 {
			c.giveBack(l)
			return forward.Choice{}, errRemoved
		}
		if choice, reserved := c.cfg.Placement.ChooseOne(call, answer.Upstream, c.cfg.Now()); reserved {
			c.hold(choice, l)
			return choice, nil
		}
		c.counters.unusable.Add(1)
		c.giveBack(l)
		avoid = append(avoid, answer.Upstream)
	}
	return forward.Choice{}, errUnusable
}

// newAsk returns an ask for a call.
func (c *Client) newAsk(call *forward.Call, avoid []ident.Instance) Ask {
	now := c.cfg.Now()
	latest := call.Received.Add(MaxWait(call.Route.Objective, c.cfg.Placement.MeanWork(call.Service.Name)))
	if call.Expires.Before(latest) {
		latest = call.Expires
	}
	return Ask{
		ID: LeaseID{c.cfg.Incarnation, c.lastAsk.Add(1)}, Account: call.Account, Priority: call.Priority, Domain: c.cfg.Domain,
		Wait: max(0, latest.Sub(now)), Hold: call.Remaining(now) + holdMargin, Avoid: slices.Clone(avoid),
	}
}

// ask asks the gateway that keeps a part. An answer that is lost, or that comes as the caller leaves, may be a
// lease, so the ask is given back then.
func (c *Client) ask(ctx context.Context, keeper gossip.Contact, part partID, a Ask) (Answer, error) {
	if keeper.Node == c.cfg.Self {
		answer, err := c.cfg.Server.Ask(ctx, part, a)
		c.count(answer, err)
		return answer, err
	}
	if !c.health.begin(keeper.Node) {
		return Answer{}, errNoKeeper
	}
	answer, err := c.send(ctx, keeper, part, a)
	c.count(answer, err)
	if err != nil || ctx.Err() != nil {
		c.giveBack(heldLease{part: part, keeper: keeper, number: a.ID.Number})
	}
	if ctx.Err() != nil {
		c.health.abandoned(keeper.Node)
		return Answer{}, context.Cause(ctx)
	}
	if errors.Is(err, errNotKeeper) { // it answers, and may keep other parts
		c.cfg.Log.Debug("gateway keeps no slots of a part, the call is placed without it", "keeper", keeper.Node, "service", part.service, "part", part.number)
		c.health.ended(keeper.Node, nil)
		return answer, err
	}
	c.health.ended(keeper.Node, err)
	return answer, err
}

func (c *Client) count(answer Answer, err error) {
	c.counters.asked.Add(1)
	switch {
	case err != nil:
		c.counters.unanswered.Add(1)
	case answer.Upstream == "":
		c.counters.refused.Add(1)
	default:
		c.counters.granted.Add(1)
	}
}

// send sends an ask and returns the answer.
func (c *Client) send(ctx context.Context, keeper gossip.Contact, part partID, a Ask) (Answer, error) {
	data, err := message{part: part, gateway: c.cfg.Incarnation, ask: &a}.encode()
	if err != nil {
		return Answer{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, a.Wait+askTimeout)
	defer cancel()
	encoded, err := c.cfg.Network.SendSlots(ctx, keeper, data)
	c.counters.bytes.Add(int64(len(data) + len(encoded)))
	if err != nil {
		return Answer{}, errors.Wrapf(err, "ask %s for a slot", keeper.Node)
	}
	return decodeAnswer(encoded)
}

// Finished implements forward.Placement.
func (c *Client) Finished(choice forward.Choice, result forward.Result, now time.Time) {
	c.Placement.Finished(choice, result, now)
	c.mu.Lock()
	l, leased := c.held[choice.Reservation]
	delete(c.held, choice.Reservation)
	c.mu.Unlock()
	if leased {
		l.end = endOf(result)
		c.giveBack(l)
	}
}

// endOf returns how a lease ended whose attempt has a result.
func endOf(result forward.Result) leaseEnd {
	switch result {
	case forward.NoConnection, forward.Broken, forward.Cut, forward.Rejected, forward.Declined:
		return endFailed
	case forward.Done, forward.Failed, forward.Expired:
		return endFinished
	}
	return endUnfinished
}

func (c *Client) hold(choice forward.Choice, l heldLease) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held[choice.Reservation] = l
}

// giveBack gives a lease back, or withdraws an ask whose answer was lost.
func (c *Client) giveBack(l heldLease) {
	id := LeaseID{c.cfg.Incarnation, l.number}
	switch {
	case l.keeper.Node != c.cfg.Self:
		c.returns.add(l)
	case l.end == endFailed:
		c.cfg.Server.Fail(l.part, id)
	case l.end == endFinished:
		c.cfg.Server.Return(l.part, id)
	default:
		c.cfg.Server.Withdraw(l.part, id)
	}
}

// recordRefusal records when a keeper expects a free slot.
func (c *Client) recordRefusal(service ident.Service, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refusals[service] = c.cfg.Now().Add(after)
}

// RetryAfter returns the time until a keeper expects a free slot for a refused call; 0 if it expects one now.
func (c *Client) RetryAfter(service ident.Service, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(0, c.refusals[service].Sub(now))
}

// ClientCounters are totals since the start.
type ClientCounters struct {
	// Asked counts the asks, Granted and Refused the answers, Unanswered those without one. Unusable counts the
	// leases at upstreams that this gateway could not use.
	Asked, Granted, Refused, Unanswered, Unusable int64
	// Returned counts the slots that were given back to other gateways, Lost those that could not be.
	Returned, Lost int64
	// Bytes counts those of the messages to other gateways and of their answers, without headers.
	Bytes int64
	// Held is the number of leases now.
	Held int
}

// Counters returns the totals since the start.
func (c *Client) Counters() ClientCounters {
	c.mu.Lock()
	held := len(c.held)
	c.mu.Unlock()
	n := &c.counters
	return ClientCounters{
		Asked: n.asked.Load(), Granted: n.granted.Load(), Refused: n.refused.Load(), Unanswered: n.unanswered.Load(), Unusable: n.unusable.Load(),
		Returned: c.returns.sent.Load(), Lost: c.returns.lost.Load(), Bytes: n.bytes.Load() + c.returns.bytes.Load(), Held: held,
	}
}
