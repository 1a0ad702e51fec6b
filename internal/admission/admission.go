// Package admission admits requests at one gateway: each is granted, waits for
// a bounded time, or is refused at once with a truthful time to return.
//
// The decisions are those of the pure packages below it: quota (limits of a
// client account), fairshare (order), gate (slots, deadlines, return times),
// concurrency (limit per upstream) and ejection (upstreams to leave out). A
// Controller adds a lock per service and the blocking wait. The lock is held
// for the length of one decision, also by SetUpstreams and SetSlots.
package admission

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/quota"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// Config of a controller. Zero fields take the packages' defaults.
type Config struct {
	Gate        gate.Config
	Concurrency concurrency.Config
	Ejection    ejection.Config
	// Metrics may be nil.
	Metrics *Metrics
}

// Request is what admission needs to know of a request; see gate.Request for
// units.
type Request struct {
	Service ident.Service
	ID      ident.Request
	Account ident.ClientAccount
	// Limit as the document says it, for the whole system.
	Limit document.AccountLimit
	Class document.Class
	// Predicted, Unloaded and Remaining are routing's predictions: time to
	// the first token now and on an idle upstream, and from the first token
	// to the last.
	Predicted, Unloaded, Remaining time.Duration
	// PredictedBy is when four of five such first tokens have come; 0 counts
	// as Predicted.
	PredictedBy time.Duration
	// Deadline of the caller; zero is none. The context's deadline counts
	// too.
	Deadline time.Time
	Cost     float64
	// Attempt counts from 1; 2 or more says that the request was refused
	// before and returns.
	Attempt uint32
}

// Result says how a granted request ended.
type Result struct {
	// Upstream that served it last; empty when none did.
	Upstream ident.Instance
	// Sent is when the request was sent to Upstream.
	Sent time.Time
	// FirstToken is the time from Sent to the first token, or to the answer
	// of a plain service. 0: there was none.
	FirstToken time.Duration
	// InFlight at the upstream from this gateway when it was sent.
	InFlight int
	// Failed: the upstream gave no answer, or refused for load. An error of
	// the application is an answer.
	Failed bool
	// Cost that the request had after all; 0 keeps the estimate.
	Cost float64
}

// Controller admits the requests of one gateway. See New.
type Controller struct {
	config   Config
	metrics  *Metrics
	gateways atomic.Int64
	services sync.Map // ident.Service to *service
}

// New returns a controller that takes itself for the only gateway.
func New(config Config) *Controller {
	c := &Controller{config: config, metrics: config.Metrics}
	if c.metrics == nil {
		c.metrics = &Metrics{}
	}
	c.gateways.Store(1)
	return c
}

// SetGateways tells among how many live gateways document limits are divided,
// this one included.
func (c *Controller) SetGateways(live int) { c.gateways.Store(int64(max(live, 1))) }

// SetUpstreams tells which upstreams of a service are alive.
func (c *Controller) SetUpstreams(name ident.Service, ids []ident.Instance) {
	c.service(name).setUpstreams(ids)
}

// SetSlots tells how many requests of a service may run at once from here, in
// place of the sum of the upstreams' limits; see routing.Router.Slots. 0 goes
// back to the limits. Without upstreams there are no slots all the same.
func (c *Controller) SetSlots(name ident.Service, slots int) { c.service(name).setSlots(slots) }

// Ejected returns the upstreams that a request must not go to now. The slice
// is shared and must not be changed.
func (c *Controller) Ejected(name ident.Service) []ident.Instance {
	return c.service(name).excluded(time.Now())
}

// Sending tells that a granted request goes to an upstream, so that a probe
// of an ejected one is counted.
func (c *Controller) Sending(name ident.Service, id ident.Instance) {
	c.service(name).recordAttemptStart(time.Now(), id)
}

// Observe learns from one attempt of a request that may take several. Unloaded
// is the time to the first token on an idle upstream; 0 is unknown. The
// request's own ticket then ends with a Result without an upstream.
func (c *Controller) Observe(name ident.Service, r Result, unloaded time.Duration) {
	c.service(name).recordAttemptEnd(r, unloaded)
}

// Admit returns a ticket, or else the outcome that the caller has to hear. It
// blocks while the request waits. The holder of a ticket must call Done.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, *outcome.Outcome) {
	if deadline, ok := ctx.Deadline(); ok && (r.Deadline.IsZero() || deadline.Before(r.Deadline)) {
		r.Deadline = deadline
	}
	t := &Ticket{service: c.service(r.Service), unloaded: r.Unloaded}
	t.entry.Request = gate.Request{
		ID:          r.ID,
		Account:     r.Account,
		Limit:       quota.Divide(r.Limit, int(c.gateways.Load())),
		Class:       r.Class,
		Predicted:   r.Predicted,
		PredictedBy: r.PredictedBy,
		Unloaded:    r.Unloaded,
		Remaining:   r.Remaining,
		Deadline:    r.Deadline,
		Cost:        r.Cost,
		Attempt:     r.Attempt,
	}
	refusal := t.service.admit(ctx, t)
	c.metrics.countDecision(refusal)
	if refusal != nil {
		return nil, refusal
	}
	return t, nil
}

func (c *Controller) service(name ident.Service) *service {
	if s, ok := c.services.Load(name); ok {
		return s.(*service)
	}
	s, _ := c.services.LoadOrStore(name, newService(c.config, c.metrics))
	return s.(*service)
}

// Ticket is the right to run one request.
type Ticket struct {
	service  *service
	unloaded time.Duration
	entry    gate.Entry
	// decided receives the verdict on a request that waits; nil if it never
	// waited.
	decided   chan struct{}
	refusal *outcome.Outcome
}

// FirstToken tells that the first token came. A gateway that calls it for the
// requests of a service has each priority limited to what upstreams answer in
// time; see gate.Gate.FirstToken. Further calls change nothing.
func (t *Ticket) FirstToken() { t.service.firstToken(t) }

// Done gives the slot back. Further calls change nothing.
func (t *Ticket) Done(r Result) { t.service.done(t, r) }
