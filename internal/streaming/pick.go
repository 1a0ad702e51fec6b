package streaming

import (
	"context"
	"errors"
	"slices"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// exclusions are the instances that a request must not be sent to again.
type exclusions struct {
	// failed are instances that lost or spoiled an attempt.
	failed []ident.Instance
	// leaving are instances that refused since they are leaving, or whose
	// notice came.
	leaving []ident.Instance
	// silent are instances whose connection fell silent once. Only the
	// second time speaks against the instance itself.
	silent []ident.Instance
}

// add notes how an attempt at an instance ended.
func (e *exclusions) add(instance ident.Instance, end attemptEnd) {
	switch {
	case end.leaving:
		e.leaving = append(e.leaving, instance)
	case end.nextCause == CauseSilent && !slices.Contains(e.silent, instance):
		e.silent = append(e.silent, instance)
	case end.nextCause != "":
		e.failed = append(e.failed, instance)
	}
}

// instances returns every excluded instance.
func (e *exclusions) instances() []ident.Instance {
	return slices.Concat(e.failed, e.leaving)
}

// clearFailed lets failed instances be tried again. It reports whether there were
// any.
func (e *exclusions) clearFailed() bool {
	had := len(e.failed) > 0
	e.failed = nil
	e.silent = nil
	return had
}

// pick chooses the next attempt's target, or returns the final outcome.
func (r *run) pick(ctx context.Context) (Target, *outcome.Outcome) {
	target, err := r.pickOnce(ctx)
	// A request that every engine has failed once may still succeed at one
	// that has recovered: its own exclusions must not be what ends it.
	if err != nil && ctx.Err() == nil && r.excluded.clearFailed() {
		target, err = r.pickOnce(ctx)
	}
	if err == nil {
		return target, nil
	}
	if ctx.Err() != nil {
		stopped := r.stopOutcome(ctx)
		return Target{}, &stopped
	}
	return Target{}, r.pickErrorOutcome(err)
}

func (r *run) pickOnce(ctx context.Context) (Target, error) {
	return r.runner.picker.Pick(ctx, r.pickRequest(r.cause))
}

func (r *run) pickRequest(cause Cause) PickRequest {
	return PickRequest{
		Request: r.req,
		Cause:   cause,
		Answer:  r.assembler.Answer(),
		Served:  r.lastInstance,
		Exclude: r.excluded.instances(),
	}
}

// pickErrorOutcome turns a picker's error into the final outcome.
func (r *run) pickErrorOutcome(err error) *outcome.Outcome {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return r.giveUpOutcome(refusal.Reason, refusal.Message, refusal.RetryAfter)
	}
	return r.giveUpOutcome(outcome.ReasonNoUpstream, "no engine can serve the request now", r.retryAfter())
}
