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

// outcomeCounts counts what callers were told, by kind of outcome.
var outcomeCounts = expvar.NewMap("goldcrestspool.gateway.outcomes")

// retryBudgets keeps one retry budget for each service.
type retryBudgets struct{ byService sync.Map } // ident.Service to *retry.Budget

func (b *retryBudgets) forService(service ident.Service) *retry.Budget {
	if known, ok := b.byService.Load(service); ok {
		return known.(*retry.Budget)
	}
	added, _ := b.byService.LoadOrStore(service, retry.NewBudget(retry.BudgetConfig{}, time.Now()))
	return added.(*retry.Budget)
}

// Take implements streaming.Budget. A stream that goes on after a reclaim, a
// cut connection or at another gateway has been accepted and must finish, so
// its attempts are not the budget's to refuse; a reclaim ends each of them at
// most once. What could become a storm is trying again at engines that fail.
func (b *retryBudgets) Take(req streaming.Request, cause streaming.Cause) bool {
	switch cause {
	case streaming.CauseFirst, streaming.CauseNotice, streaming.CauseMoved, streaming.CauseResumed:
		return true
	}
	return b.forService(req.Ask.Service).Spend(time.Now())
}

// admissionRecorder tells admission how attempts at upstreams end.
type admissionRecorder struct{ admission *admission.Controller }

var _ attemptRecorder = (*admissionRecorder)(nil)

// RecordAttemptStart implements upstreamResults.
func (r *admissionRecorder) RecordAttemptStart(service ident.Service, id ident.Instance) {
	r.admission.Sending(service, id)
}

// RecordAttemptEnd implements upstreamResults.
func (r *admissionRecorder) RecordAttemptEnd(service ident.Service, a attemptResult) {
	observed := admission.Result{
		Upstream:   a.upstream,
		Sent:       a.sentAt,
		FirstToken: a.firstToken,
		InFlight:   a.inFlight,
		Failed:     a.failed,
	}
	var unloaded time.Duration
	if a.latencyRatio > 0 {
		observed.FirstToken = time.Duration(a.latencyRatio * float64(time.Second))
		unloaded = targetUnloadedLatency
	}
	r.admission.Observe(service, observed, unloaded)
}

// targetUnloadedLatency is the unloaded latency with which an attempt at its target, taken
// as one second, neither widens nor narrows the upstream's limit.
const targetUnloadedLatency = time.Second / concurrency.DefaultTolerance
