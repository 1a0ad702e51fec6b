package gateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// maxAttempts bounds the attempts of one idempotent call, whatever the budget
// still holds.
const maxAttempts = 4

// plainDialer reaches plain services.
type plainDialer interface {
	Plain(address string) upstream.Plain
}

// plainDispatcher sends calls to plain services. For calls with a key it is the
// dispatcher of package calls, which decides when to send; for idempotent ones
// it retries by itself, from a budget.
type plainDispatcher struct {
	documents *blackboard.Section[*document.Set]
	router    *upstreamRouter
	dialer    plainDialer
	leaving   leavingNotes
	attempts   attemptRecorder
	budgets   *retryBudgets
	backoff   retry.Backoff
	explain   *explain.Recorder
	tracer    trace.Tracer
}

// idempotentCall is a call that may run any number of times.
type idempotentCall struct {
	doc     *document.Document
	method  ident.Method
	payload []byte
	account ident.ClientAccount
	request ident.Request
}

func (c idempotentCall) subject() explain.Subject {
	return explain.Subject{Request: c.request, Service: c.doc.Service, Account: c.account}
}

// Run sends an idempotent call until it is answered, the budget is empty or
// ctx ends.
func (p *plainDispatcher) Run(ctx context.Context, call idempotentCall) outcome.Outcome {
	budget := p.budgets.forService(call.doc.Service)
	budget.FirstTry()
	var tried []ident.Instance
	ran := false
	for attempt := 1; ; attempt++ {
		u, decision, found := p.decide(ctx, call.doc, call.account, tried)
		if !found {
			return unansweredOutcome(ran, outcome.ReasonNoUpstream, "no upstream can take the call now")
		}
		route := routing.Request{Service: call.doc.Service, Account: call.account}
		answer, err := p.send(ctx, u, plainAttempt{subject: call.subject(), route: route, decision: decision, attempt: attempt,
			request: upstream.InvokeRequest{Method: call.method, Payload: call.payload}})
		if err == nil {
			return answeredOutcome(answer)
		}
		ran = ran || upstream.Ran(err)
		if ctx.Err() != nil {
			return unansweredOutcome(ran, contextReason(ctx), "the request was given up before an upstream answered")
		}
		if attempt == maxAttempts || !retry.Retryable(err, true, upstream.Ran(err)) {
			return unansweredOutcome(ran, outcome.ReasonUpstreamLost, "no upstream answered")
		}
		if !budget.Spend(time.Now()) {
			return unansweredOutcome(ran, outcome.ReasonOverloaded, "too many retries at this time")
		}
		tried = append(tried, u.Instance.ID)
		if !pause.For(ctx, p.backoff.Delay(attempt, call.request)) {
			return unansweredOutcome(ran, contextReason(ctx), "the request was given up before an upstream answered")
		}
	}
}

// unansweredOutcome is the truthful answer for an idempotent call without an answer.
func unansweredOutcome(ran bool, reason outcome.Reason, message string) outcome.Outcome {
	if ran {
		return outcome.NewUnknown(reason, message, noUpstreamRetryAfter)
	}
	return outcome.NewNotRun(reason, message, noUpstreamRetryAfter)
}

// answeredOutcome returns the outcome of a call that an upstream answered.
func answeredOutcome(a upstream.Answer) outcome.Outcome {
	if a.Failed {
		return outcome.Outcome{Kind: outcome.Failed, Reason: outcome.ReasonApplication, Payload: a.Payload}
	}
	return outcome.Outcome{Kind: outcome.Completed, Payload: a.Payload}
}

func contextReason(ctx context.Context) outcome.Reason {
	if ctx.Err() == context.DeadlineExceeded {
		return outcome.ReasonDeadline
	}
	return outcome.ReasonCancelled
}

// decide chooses an upstream of a plain service.
func (p *plainDispatcher) decide(ctx context.Context, doc *document.Document, account ident.ClientAccount, exclude []ident.Instance) (blackboard.Upstream, routing.Decision, bool) {
	_, span, end := startSpan(ctx, p.tracer, "routing")
	defer end()
	decision := p.router.decide(doc, routing.Request{Service: doc.Service, Account: account, Exclude: exclude})
	span.SetAttributes(upstreamKey.String(string(decision.Upstream)))
	u, found := p.router.find(doc.Service, decision.Upstream)
	return u, decision, found && decision.Found()
}

// plainAttempt is one request to one upstream.
type plainAttempt struct {
	subject  explain.Subject
	route    routing.Request
	decision routing.Decision
	attempt  int
	request  upstream.InvokeRequest
}

// send sends one request, once, and tells everyone who learns from it.
func (p *plainDispatcher) send(ctx context.Context, u blackboard.Upstream, s plainAttempt) (upstream.Answer, error) {
	ctx, span, end := startSpan(ctx, p.tracer, "upstream attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(upstreamKey.String(string(u.Instance.ID)), attemptKey.Int(s.attempt)))
	defer end()
	flight := p.router.start(s.decision, s.route)
	p.attempts.RecordAttemptStart(s.route.Service, u.Instance.ID)
	answer, err := p.dialer.Plain(u.Instance.Address).Invoke(ctx, s.request)
	took := time.Since(flight.sentAt)
	flight.end(plainRoutingResult(err))
	if err != nil {
		span.SetStatus(codes.Error, errorCodeText(err))
		took = 0
	}
	if isLeaving(err) {
		p.leaving.NoteLeaving(u.Instance.ID, u.Instance.Incarnation)
	}
	p.attempts.RecordAttemptEnd(s.route.Service, attemptResult{
		upstream:   u.Instance.ID,
		sentAt:       flight.sentAt,
		inFlight:   flight.inFlight,
		firstToken: took,
		failed:     err != nil && !isLeaving(err) && ctx.Err() == nil,
	})
	p.explain.RecordAttempt(s.subject, explain.Attempt{
		Upstream:   u.Instance.ID,
		Cause:      attemptCause(s.attempt),
		Reasons:    s.decision.Reasons,
		Predicted:  s.decision.FirstToken,
		FirstToken: took,
		Error:      errorCodeText(err),
	})
	return answer, err
}

func plainRoutingResult(err error) routing.Result {
	switch {
	case err == nil:
		return routing.ResultDone
	case !upstream.Ran(err):
		return routing.ResultRefused
	}
	return routing.ResultFailed
}

func attemptCause(attempt int) string {
	if attempt <= 1 {
		return "first"
	}
	return "retry"
}

// errorCodeText names an upstream's error for operators by its code alone: its text
// may hold what a caller sent.
func errorCodeText(err error) string {
	if err == nil {
		return ""
	}
	return errcode.Of(err).String()
}
