// Package admission decides at one gateway which requests may run. Each request
// is granted a slot, waits for one for a bounded time, or is refused at once
// with a retry-after time at which it can expect to be admitted.
//
// The decisions are made by the packages below it, which are pure: quota
// (limits of a client account), fairshare (order of waiting requests), gate
// (slots, deadlines, retry-after times), concurrency (limit per upstream) and
// ejection (upstreams to leave out). A Controller adds one lock per service and
// the blocking wait. Every method, SetUpstreams and SetSlots included, holds
// the lock only for the length of one decision.
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

// Config configures a Controller. Zero fields take the defaults of the
// respective package.
type Config struct {
	Gate        gate.Config
	Concurrency concurrency.Config
	Ejection    ejection.Config
	// Metrics counts the controller's decisions; nil if nobody reads them.
	Metrics *Metrics
}

// Request describes a request to Admit; gate.Request explains the fields
// further.
type Request struct {
	Service ident.Service
	ID      ident.Request
	Account ident.ClientAccount
	// Limit is the account's limit for the whole system, as the document
	// states it. Admit divides it by the number of live gateways.
	Limit document.AccountLimit
	Class document.Class
	// PredictedFirstToken and the next two fields are routing's predictions: the time
	// to the first token now, the same on an idle upstream, and the time from
	// the first token to the last.
	PredictedFirstToken, UnloadedFirstToken, PredictedAfterFirstToken time.Duration
	// PredictedFirstTokenP80 is the 80th percentile of the predicted time to the first
	// token; 0 means PredictedFirstToken.
	PredictedFirstTokenP80 time.Duration
	// Deadline is the caller's deadline; zero means none. The context's
	// deadline counts too, whichever is earlier.
	Deadline time.Time
	// Cost is the estimated cost of the request; see gate.Request.
	Cost float64
	// Attempt counts the caller's attempts from 1. 2 or more marks a retry:
	// the request was refused before and its caller sends it again.
	Attempt uint32
}

// Result says how a granted request, or one attempt of it, ended.
type Result struct {
	// Upstream is the one that served the request last; empty if none did.
	Upstream ident.Instance
	// Sent is when the request was sent to Upstream.
	Sent time.Time
	// FirstToken is the time from Sent to the first token, or to the answer
	// of a plain service. 0 means that none came.
	FirstToken time.Duration
	// InFlight is how many requests this gateway had in flight at the
	// upstream when this one was sent.
	InFlight int
	// Failed reports that the upstream gave no answer or refused because of
	// load. An application error counts as an answer.
	Failed bool
	// Cost is the request's actual cost; 0 keeps the estimate.
	Cost float64
}

// Controller admits the requests of one gateway. It is safe for concurrent
// use. See New.
type Controller struct {
	config   Config
	metrics  *Metrics
	gateways atomic.Int64
	services sync.Map // ident.Service to *service
}

// New returns a controller that assumes that its gateway is the only one until
// SetGateways is called.
func New(config Config) *Controller {
	c := &Controller{config: config, metrics: config.Metrics}
	if c.metrics == nil {
		c.metrics = &Metrics{}
	}
	c.gateways.Store(1)
	return c
}

// SetGateways sets the number of live gateways, this one included. The limits
// of the document are divided among them.
func (c *Controller) SetGateways(live int) { c.gateways.Store(int64(max(live, 1))) }

// SetUpstreams sets the live upstreams of a service.
func (c *Controller) SetUpstreams(name ident.Service, ids []ident.Instance) {
	c.service(name).setUpstreams(ids)
}

// SetSlots sets how many requests of a service may run at once from this
// gateway, instead of the sum of the upstreams' concurrency limits; see
// routing.Router.Slots. 0 returns to that sum. A service without upstreams has
// no slots in either case.
func (c *Controller) SetSlots(name ident.Service, slots int) { c.service(name).setSlots(slots) }

// Excluded returns the upstreams that must not receive a request now: ejected
// ones and those with a probe under way. The slice is shared and must not be
// changed.
func (c *Controller) Excluded(name ident.Service) []ident.Instance {
	return c.service(name).excluded(time.Now())
}

// RecordAttemptStart records that a granted request is about to be sent to an
// upstream. If the upstream's ejection is over, the request counts as its probe.
func (c *Controller) RecordAttemptStart(name ident.Service, id ident.Instance) {
	c.service(name).recordAttemptStart(time.Now(), id)
}

// RecordAttemptEnd records the result of one attempt, for requests that may take
// several attempts. unloaded is the time to the first token on an idle upstream;
// 0 means unknown. The Result passed to the ticket's Done must then name no
// upstream, so that the attempt isn't recorded twice.
func (c *Controller) RecordAttemptEnd(name ident.Service, r Result, unloaded time.Duration) {
	c.service(name).recordAttemptEnd(r, unloaded)
}

// Admit returns a ticket, or else the refusal to send to the caller. It blocks
// while the request waits. The holder of a ticket must call Done.
func (c *Controller) Admit(ctx context.Context, r Request) (*Ticket, *outcome.Outcome) {
	if deadline, ok := ctx.Deadline(); ok && (r.Deadline.IsZero() || deadline.Before(r.Deadline)) {
		r.Deadline = deadline
	}
	t := &Ticket{service: c.service(r.Service), unloaded: r.UnloadedFirstToken}
	t.entry.Request = gate.Request{
		ID:                       r.ID,
		Account:                  r.Account,
		Limit:                    quota.Divide(r.Limit, int(c.gateways.Load())),
		Class:                    r.Class,
		PredictedFirstToken:      r.PredictedFirstToken,
		PredictedFirstTokenP80:   r.PredictedFirstTokenP80,
		UnloadedFirstToken:       r.UnloadedFirstToken,
		PredictedAfterFirstToken: r.PredictedAfterFirstToken,
		Deadline:                 r.Deadline,
		Cost:                     r.Cost,
		Attempt:                  r.Attempt,
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

// Ticket is the permission to run one request.
type Ticket struct {
	service  *service
	unloaded time.Duration
	entry    gate.Entry
	// decided is closed when a waiting request is granted or refused; nil if
	// the request never waited.
	decided chan struct{}
	// refusal is set before decided is closed if the request was refused.
	refusal *outcome.Outcome
}

// FirstToken reports that the first token arrived. Once it has been called for a
// request of a service, each priority is limited to the number of requests that
// upstreams answer in time; see gate.Gate.FirstToken. Further calls for the
// same ticket have no effect.
func (t *Ticket) FirstToken() { t.service.firstToken(t) }

// Done releases the slot and records the result. Further calls have no effect.
func (t *Ticket) Done(r Result) { t.service.done(t, r) }
