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

// maxExplainedUpstreams is the number of upstreams up to which every decision records
// its reasons. Reasons allocate for each upstream, and with hundreds of them
// recording would cost more than deciding.
const maxExplainedUpstreams = 32

// ejections tells which upstreams get no request now.
type ejections interface {
	Ejected(service ident.Service) []ident.Instance
}

// upstreamRouter decides by this gateway's view of the upstreams. It takes no lock.
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

// decide chooses an upstream. An ejected upstream is chosen only when there is
// no other, since a slow answer is better than none.
func (r *upstreamRouter) decide(doc *document.Document, req routing.Request) routing.Decision {
	view := r.view(doc.Service)
	req.FailureDomain = r.domain
	req.Explain = len(view) <= maxExplainedUpstreams
	router := r.serviceRouter(doc.Service)
	failed := req.Exclude
	req.Exclude = append(r.ejections.Ejected(doc.Service), failed...)
	decision := router.Decide(doc, view, req, time.Now())
	if decision.Found() || len(req.Exclude) == len(failed) {
		return decision
	}
	req.Exclude = failed
	return router.Decide(doc, view, req, time.Now())
}

// start notes that an attempt goes out as decided.
func (r *upstreamRouter) start(d routing.Decision, req routing.Request) *activeAttempt {
	router := r.serviceRouter(req.Service)
	now := time.Now()
	return &activeAttempt{router: router, ticket: router.Started(d, req, now), sentAt: now, inFlight: router.Outstanding(d.Upstream)}
}

// activeAttempt is an attempt under way.
type activeAttempt struct {
	router   *routing.Router
	ticket   routing.Ticket
	sentAt     time.Time
	inFlight int
}

// recordFirstToken notes that the prompt is computed.
func (f *activeAttempt) recordFirstToken() { f.router.FirstToken(&f.ticket, time.Now()) }

func (f *activeAttempt) end(result routing.Result) { f.router.Finished(&f.ticket, result, time.Now()) }

// streamRoutingRequest returns what routing needs to know of a token stream that has
// delivered some tokens already.
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
