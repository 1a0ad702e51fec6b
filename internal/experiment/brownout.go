package experiment

import (
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/retryafter"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// overBudgetRetryAfter is the base of the retry-after time of a caller whose request was allowed
// no further attempt by the retry budget.
const overBudgetRetryAfter = time.Second

// upstreamRefuses draws whether an upstream refuses an attempt in a brown-out.
func (r *run) upstreamRefuses() bool {
	return r.fault.RefusedShare > 0 && r.events.Now() >= faultAt && r.events.Now() < faultEnd && r.rng.Float64() < r.fault.RefusedShare
}

// mayAttempt reports whether a request's next attempt is allowed. The first attempt is, and
// so is one that resumes a stream after its upstream was lost. An attempt after a refusal is
// allowed if the gateway's retry budget has enough left, and is taken from it.
func (r *run) mayAttempt(k *call, refused bool) bool {
	a := r.admission(k)
	if a == nil {
		return true
	}
	if k.attempts == 0 {
		a.budget.RecordFirstAttempt()
	}
	return !refused || a.budget.Spend(r.events.Clock())
}

// recordUpstreamRefusal reports an attempt that an upstream refused to the outlier ejection.
func (r *run) recordUpstreamRefusal(k *call, id ident.Instance) {
	if a := r.admission(k); a != nil {
		a.ejection.RecordAttemptStart(r.events.Clock(), id)
		a.ejection.RecordAttemptEnd(r.events.Clock(), id, ejection.Sample{Failed: true, Started: r.events.Clock()})
	}
}

// refuseRetry ends a request whose next attempt the retry budget does not allow. If nothing
// of its answer was delivered, it is refused with a retry-after time.
func (r *run) refuseRetry(k *call) {
	a := r.admission(k)
	if k.delivered > 0 || k.entry == nil {
		r.finish(k)
		return
	}
	k.retriesOverBudget++
	entry := k.entry
	r.refuse(k, outcome.NewNotRun(outcome.ReasonUpstreamRefused, "", retryafter.Spread(overBudgetRetryAfter, k.id())))
	a.gate.Done(r.events.Clock(), entry, 0)
	r.grantWaiting(a)
}
