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
	// failed instances lost an attempt, refused it or sent faulty frames.
	failed []ident.Instance
	// leaving instances refused because they are leaving, or gave notice.
	leaving []ident.Instance
	// silent instances stopped sending on a connection once. An instance that
	// does so a second time is taken to be faulty itself and becomes a failed
	// one.
	silent []ident.Instance
}

// add records how an attempt at an instance ended.
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

// clearFailed allows failed and silent instances again. It reports whether
// there were any failed ones.
func (e *exclusions) clearFailed() bool {
	had := len(e.failed) > 0
	e.failed = nil
	e.silent = nil
	return had
}

// pick chooses the next attempt's target, or returns the final outcome if there
// is none.
func (r *run) pick(ctx context.Context) (Target, *outcome.Outcome) {
	target, err := r.pickOnce(ctx)
	// Every engine may have failed the request once and one of them may have
	// recovered: the request's own exclusions alone must not end it.
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
		Request:      r.req,
		Cause:        cause,
		Answer:       r.assembler.Answer(),
		LastInstance: r.lastInstance,
		Exclude:      r.excluded.instances(),
	}
}

// pickErrorOutcome returns the final outcome for a picker's error.
func (r *run) pickErrorOutcome(err error) *outcome.Outcome {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return r.giveUpOutcome(refusal.Reason, refusal.Message, refusal.RetryAfter)
	}
	return r.giveUpOutcome(outcome.ReasonNoUpstream, "no engine can serve the request now", r.retryAfter())
}
