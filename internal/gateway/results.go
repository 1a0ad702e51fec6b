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

// outcomeCounts counts the outcomes sent to callers, by kind.
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

// Take implements streaming.Budget. It charges nothing for a first attempt, nor for an
// attempt that continues a stream after a reclaim notice, after its caller's connection
// broke or at another gateway: that stream was accepted and must finish, and a reclaim
// ends each attempt at most once. Only retries after failures of engines could grow into
// a retry storm, so only these are charged.
func (b *retryBudgets) Take(req streaming.Request, cause streaming.Cause) bool {
	switch cause {
	case streaming.CauseFirst, streaming.CauseNotice, streaming.CauseMoved, streaming.CauseResumed:
		return true
	}
	return b.forService(req.Params.Service).Spend(time.Now())
}

// admissionRecorder reports attempts at upstreams to the admission controller.
type admissionRecorder struct{ admission *admission.Controller }

var _ attemptRecorder = (*admissionRecorder)(nil)

// RecordAttemptStart implements attemptRecorder.
func (r *admissionRecorder) RecordAttemptStart(service ident.Service, id ident.Instance) {
	r.admission.RecordAttemptStart(service, id)
}

// RecordAttemptEnd implements attemptRecorder.
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
	r.admission.RecordAttemptEnd(service, observed, unloaded)
}

// targetUnloadedLatency is the unloaded latency that is reported for an attempt whose
// latency is known as a ratio to its target. The target is reported as one second. With
// this value, an attempt exactly at its target neither raises nor lowers the upstream's
// concurrency limit.
const targetUnloadedLatency = time.Second / concurrency.DefaultTolerance
