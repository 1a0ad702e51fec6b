package gateway

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/internal/answerbudget"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// maxAttempts bounds the attempts of one idempotent call, even if the retry budget
// allows more.
const maxAttempts = 4

// plainDialer returns clients of plain services.
type plainDialer interface {
	Plain(address string) upstream.Plain
}

// plainDispatcher sends calls to plain services. For calls with an idempotency key it
// implements calls.Dispatcher, and package calls decides when to send. It retries
// idempotent calls itself, within a retry budget.
type plainDispatcher struct {
	documents *blackboard.Section[*document.Set]
	router    *upstreamRouter
	dialer    plainDialer
	leaving   leavingNotes
	attempts  attemptRecorder
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

// Run sends an idempotent call until an upstream answers, no further attempt is allowed
// or possible, or ctx ends.
func (p *plainDispatcher) Run(ctx context.Context, call idempotentCall) outcome.Outcome {
	budget := p.budgets.forService(call.doc.Service)
	budget.RecordFirstAttempt()
	var tried []ident.Instance
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		u, decision, found := p.decide(ctx, call.doc, call.account, tried)
		if !found {
			return unansweredOutcome(mayHaveRun, outcome.ReasonNoUpstream, "no upstream can take the call now")
		}
		route := routing.Request{Service: call.doc.Service, Account: call.account}
		answer, err := p.send(ctx, u, plainAttempt{subject: call.subject(), route: route, decision: decision, attempt: attempt,
			request: upstream.InvokeRequest{Method: call.method, Payload: call.payload}})
		if err == nil {
			return answeredOutcome(answer)
		}
		mayHaveRun = mayHaveRun || upstream.MayHaveRun(err)
		if ctx.Err() != nil {
			return unansweredOutcome(mayHaveRun, outcome.EndReason(ctx), "the request was given up before an upstream answered")
		}
		if attempt == maxAttempts || !retry.Retryable(err, true, upstream.MayHaveRun(err)) {
			return unansweredOutcome(mayHaveRun, outcome.ReasonUpstreamLost, "no upstream answered")
		}
		if !budget.Spend(time.Now()) {
			return unansweredOutcome(mayHaveRun, outcome.ReasonOverloaded, "too many retries at this time")
		}
		tried = append(tried, u.Instance.ID)
		if !sleep.For(ctx, p.backoff.Delay(attempt, call.request)) {
			return unansweredOutcome(mayHaveRun, outcome.EndReason(ctx), "the request was given up before an upstream answered")
		}
	}
}

// unansweredOutcome returns the outcome of an idempotent call that no upstream
// answered: unknown if it may have run, and not run otherwise.
func unansweredOutcome(mayHaveRun bool, reason outcome.Reason, message string) outcome.Outcome {
	if mayHaveRun {
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

// send sends one request, without retries, and reports its result to the router, the
// membership, admission and the explain recorder.
func (p *plainDispatcher) send(ctx context.Context, u blackboard.Upstream, a plainAttempt) (upstream.Answer, error) {
	ctx, span, end := startSpan(ctx, p.tracer, "upstream attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(upstreamKey.String(string(u.Instance.ID)), attemptKey.Int(a.attempt)))
	defer end()
	active := p.router.start(a.decision, a.route)
	p.attempts.RecordAttemptStart(a.route.Service, u.Instance.ID)
	answer, err := p.dialer.Plain(u.Instance.Address).Invoke(ctx, a.request)
	took := time.Since(active.sentAt)
	active.end(plainRoutingResult(err))
	if err != nil {
		span.SetStatus(codes.Error, errorCodeText(err))
		took = 0
	}
	if isLeaving(err) {
		p.leaving.NoteLeaving(u.Instance.ID, u.Instance.Incarnation)
	}
	p.attempts.RecordAttemptEnd(a.route.Service, attemptResult{
		upstream:   u.Instance.ID,
		sentAt:     active.sentAt,
		inFlight:   active.inFlight,
		firstToken: took,
		failed:     countsAgainstUpstream(ctx, err),
	})
	p.explain.RecordAttempt(a.subject, explain.Attempt{
		Upstream:            u.Instance.ID,
		Cause:               attemptCause(a.attempt),
		Reasons:             a.decision.Reasons,
		PredictedFirstToken: a.decision.FirstToken,
		FirstToken:          took,
		Error:               errorCodeText(err),
	})
	return answer, err
}

// countsAgainstUpstream reports whether an attempt's error says something of its upstream. That this gateway had no room
// for the answer says nothing.
func countsAgainstUpstream(ctx context.Context, err error) bool {
	return err != nil && !isLeaving(err) && !errors.Is(err, answerbudget.ErrNoRoom) && ctx.Err() == nil
}

func plainRoutingResult(err error) routing.Result {
	switch {
	case err == nil:
		return routing.ResultDone
	case !upstream.MayHaveRun(err):
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

// errorCodeText returns the code of an upstream's error for operators. It leaves the
// error's text out, which may contain what a caller sent.
func errorCodeText(err error) string {
	if err == nil {
		return ""
	}
	return errcode.Of(err).String()
}
