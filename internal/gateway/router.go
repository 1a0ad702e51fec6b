package gateway

import (
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/prompt"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
)

// maxExplainedUpstreams is the number of a service's upstreams up to which each
// decision records its reasons. Recording allocates memory for each upstream; with
// hundreds of upstreams it would cost more than the decision.
const maxExplainedUpstreams = 32

// ejections returns the upstreams that get no requests now because they are ejected or
// under a probe.
type ejections interface {
	Excluded(service ident.Service) []ident.Instance
}

// upstreamRouter chooses upstreams from this gateway's view of them. It is safe for
// concurrent use and takes no lock.
type upstreamRouter struct {
	board     *blackboard.Board
	domain    ident.FailureDomain
	ejections ejections
	routers   sync.Map // ident.Service to *routing.Router
}

func (r *upstreamRouter) serviceRouter(service ident.Service) *routing.Router {
	if known, ok := r.routers.Load(service); ok {
		return known.(*routing.Router)
	}
	added, _ := r.routers.LoadOrStore(service, routing.New(routing.DefaultParams(), time.Now()))
	return added.(*routing.Router)
}

// view returns what is known of a service's upstreams.
func (r *upstreamRouter) view(service ident.Service) []blackboard.Upstream {
	return r.board.Upstreams.Value().ByService[service]
}

// find returns one upstream of a service.
func (r *upstreamRouter) find(service ident.Service, id ident.Instance) (blackboard.Upstream, bool) {
	for _, u := range r.view(service) {
		if u.Instance.ID == id {
			return u, true
		}
	}
	return blackboard.Upstream{}, false
}

// decide chooses an upstream. It chooses an ejected upstream only if there is no other,
// since a slow answer is better than none.
func (r *upstreamRouter) decide(doc *document.Document, req routing.Request) routing.Decision {
	view := r.view(doc.Service)
	req.FailureDomain = r.domain
	req.Explain = len(view) <= maxExplainedUpstreams
	router := r.serviceRouter(doc.Service)
	failed := req.Exclude
	req.Exclude = append(r.ejections.Excluded(doc.Service), failed...)
	decision := router.Decide(doc, view, req, time.Now())
	if decision.Found() || len(req.Exclude) == len(failed) {
		return decision
	}
	req.Exclude = failed
	return router.Decide(doc, view, req, time.Now())
}

// start records that an attempt is sent to the upstream of a decision.
func (r *upstreamRouter) start(d routing.Decision, req routing.Request) *activeAttempt {
	router := r.serviceRouter(req.Service)
	now := time.Now()
	return &activeAttempt{router: router, ticket: router.Started(d, req, now), sentAt: now, inFlight: router.Outstanding(d.Upstream)}
}

// activeAttempt is an attempt that has not ended.
type activeAttempt struct {
	router   *routing.Router
	ticket   routing.Ticket
	sentAt   time.Time
	inFlight int
}

// recordFirstToken records the first token, by which the prompt has been computed.
func (a *activeAttempt) recordFirstToken() { a.router.FirstToken(&a.ticket, time.Now()) }

func (a *activeAttempt) end(result routing.Result) {
	a.router.Finished(&a.ticket, result, time.Now())
}

// streamRoutingRequest returns the routing request of a token stream whose caller
// already has the delivered tokens.
func streamRoutingRequest(doc *document.Document, class document.Class, account ident.ClientAccount, text string, maxTokens uint32, delivered []string) routing.Request {
	tokens := prompt.Tokens(text) + len(delivered)
	return routing.Request{
		Service:      doc.Service,
		Account:      account,
		Class:        class,
		Blocks:       prompt.Blocks(text),
		PromptTokens: tokens,
		MaxTokens:    int(maxTokens) - len(delivered),
	}
}
