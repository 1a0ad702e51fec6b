package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// outcomesVar counts what callers were told, by kind of outcome.
var outcomesVar = expvar.NewMap("goldcrestspool.gateway.outcomes")

// budgets keeps one retry budget for each service.
type budgets struct{ known sync.Map } // ident.Service to *retry.Budget

func (b *budgets) of(service ident.Service) *retry.Budget {
	if known, ok := b.known.Load(service); ok {
		return known.(*retry.Budget)
	}
	added, _ := b.known.LoadOrStore(service, retry.NewBudget(retry.BudgetConfig{}, time.Now()))
	return added.(*retry.Budget)
}

// Take implements streaming.Budget. A stream that goes on after a reclaim, a
// cut connection or at another gateway has been accepted and must finish, so
// its attempts are not the budget's to refuse; a reclaim ends each of them at
// most once. What could become a storm is trying again at engines that fail.
func (b *budgets) Take(req streaming.Request, cause streaming.Cause) bool {
	switch cause {
	case streaming.CauseFirst, streaming.CauseNotice, streaming.CauseMoved, streaming.CauseResumed:
		return true
	}
	return b.of(req.Ask.Service).Spend(time.Now())
}

// results tells admission how attempts at upstreams end.
type results struct{ admission *admission.Controller }

var _ upstreamResults = (*results)(nil)

// Sending implements upstreamResults.
func (r *results) Sending(service ident.Service, id ident.Instance) {
	r.admission.Sending(service, id)
}

// Observe implements upstreamResults.
func (r *results) Observe(service ident.Service, a attemptResult) {
	observed := admission.Result{
		Upstream:   a.upstream,
		Sent:       a.sent,
		FirstToken: a.firstToken,
		InFlight:   a.inFlight,
		Failed:     a.failed,
	}
	var unloaded time.Duration
	if a.pressure > 0 {
		observed.FirstToken = time.Duration(a.pressure * float64(time.Second))
		unloaded = atTarget
	}
	r.admission.Observe(service, observed, unloaded)
}

// atTarget is the unloaded latency with which an attempt at its target, taken
// as one second, neither widens nor narrows the upstream's limit.
const atTarget = time.Second / concurrency.DefaultTolerance
