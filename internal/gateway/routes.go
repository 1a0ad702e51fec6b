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

// explainUpTo is the number of upstreams up to which every decision records
// its reasons. Reasons allocate for each upstream, and with hundreds of them
// recording would cost more than deciding.
const explainUpTo = 32

// ejections tells which upstreams get no request now.
type ejections interface {
	Ejected(service ident.Service) []ident.Instance
}

// routes decides by this gateway's view of the upstreams. It takes no lock.
type routes struct {
	board     *blackboard.Board
	domain    ident.FailureDomain
	ejections ejections
	routers   sync.Map // ident.Service to *routing.Router
}

func (r *routes) router(service ident.Service) *routing.Router {
	if known, ok := r.routers.Load(service); ok {
		return known.(*routing.Router)
	}
	added, _ := r.routers.LoadOrStore(service, routing.New(routing.DefaultParams(), time.Now()))
	return added.(*routing.Router)
}

// view returns what is known of a service's upstreams.
func (r *routes) view(service ident.Service) []blackboard.Upstream {
	return r.board.Upstreams.Value().ByService[service]
}

// find returns one upstream of a service.
func (r *routes) find(service ident.Service, id ident.Instance) (blackboard.Upstream, bool) {
	for _, u := range r.view(service) {
		if u.Instance.ID == id {
			return u, true
		}
	}
	return blackboard.Upstream{}, false
}

// decide chooses an upstream. An ejected upstream is chosen only when there is
// no other, since a slow answer is better than none.
func (r *routes) decide(doc *document.Document, req routing.Request) routing.Decision {
	view := r.view(doc.Service)
	req.FailureDomain = r.domain
	req.Explain = len(view) <= explainUpTo
	router := r.router(doc.Service)
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
func (r *routes) start(d routing.Decision, req routing.Request) *flight {
	router := r.router(req.Service)
	now := time.Now()
	return &flight{router: router, ticket: router.Started(d, req, now), sent: now, inFlight: router.Outstanding(d.Upstream)}
}

// flight is an attempt under way.
type flight struct {
	router   *routing.Router
	ticket   routing.Ticket
	sent     time.Time
	inFlight int
}

// firstToken notes that the prompt is computed.
func (f *flight) firstToken() { f.router.FirstToken(&f.ticket, time.Now()) }

func (f *flight) end(result routing.Result) { f.router.Finished(&f.ticket, result, time.Now()) }

// streamRequest returns what routing needs to know of a token stream that has
// delivered some tokens already.
func streamRequest(doc *document.Document, class document.Class, account ident.ClientAccount, text string, maxTokens uint32, delivered []string) routing.Request {
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
