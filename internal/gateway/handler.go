package gateway

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/trace"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/admission"
	"github.com/goldcrestspool/goldcrestspool/internal/auth"
	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/calls"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
)

// keyedCalls runs calls with an idempotency key, each at most once; see package calls.
type keyedCalls interface {
	Do(ctx context.Context, call calls.Call) outcome.Outcome
	Find(ctx context.Context, key ident.CallKey) outcome.Outcome
	FindLocal(key ident.CallKey) calls.PeerAnswer
}

// tokenStreams serves token streams; see package streaming.
type tokenStreams interface {
	Generate(ctx context.Context, req streaming.Request, sink streaming.Sink) (outcome.Outcome, error)
	Resume(ctx context.Context, resume streaming.ResumeRequest, sink streaming.Sink) (outcome.Outcome, error)
	Holds(key streaming.Key) bool
}

// handler serves the callers' API.
type handler struct {
	documents  *blackboard.Section[*document.Set]
	stopping   *blackboard.Section[bool]
	admission  *admission.Controller
	router     *upstreamRouter
	dispatcher *plainDispatcher
	calls      keyedCalls
	streams    tokenStreams
	explain    *explain.Recorder
	log        hclog.Logger
	tracer     trace.Tracer
	auth       *auth.Authenticator
}

var _ callerv1connect.CallerServiceHandler = (*handler)(nil)

// Call implements the callers' API.
func (h *handler) Call(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
	ctx, span, end := h.startRequestSpan(ctx, "call", req.GetService())
	defer end()
	doc, err := findService(h.documents.Value(), req.GetService(), document.Plain)
	if err != nil {
		return nil, wireError(err)
	}
	method, err := checkCall(doc, req)
	if err != nil {
		return nil, wireError(err)
	}
	ctx, cancel := withTimeout(ctx, method.Timeout)
	defer cancel()
	subject := explain.Subject{Request: ident.NewRequest(), Service: doc.Service, Account: auth.Account(ctx)}
	o := h.call(ctx, subject, doc, method, req)
	h.recordOutcome(span, subject, o)
	return &callerv1.CallResponse{Outcome: toWire(o), Payload: o.Payload, RequestId: string(subject.Request)}, nil
}

// withTimeout bounds ctx unless limit is 0.
func withTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	if limit <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, limit)
}

// call admits and runs a call.
func (h *handler) call(ctx context.Context, subject explain.Subject, doc *document.Document, method document.Method, req *callerv1.CallRequest) outcome.Outcome {
	keyed := !method.Idempotent
	call := calls.Call{
		Key:      ident.CallKey{Service: doc.Service, Account: subject.Account, Key: ident.Key(req.GetIdempotencyKey())},
		Method:   method.Name,
		Payload:  req.GetPayload(),
		IssuedAt: req.GetIssuedAt().AsTime(),
		Attempt:  req.GetAttempt(),
		Request:  subject.Request,
	}
	// An attempt of a call whose outcome is known needs no upstream, so it is answered
	// without admission.
	if keyed && h.calls.FindLocal(call.Key).Outcome != nil {
		return h.calls.Do(ctx, call)
	}
	if !keyed && h.stopping.Value() {
		return outcome.NewNotRun(outcome.ReasonLeaving, "this gateway is leaving; ask any other", 0)
	}
	ticket, refusal := h.admit(ctx, admission.Request{
		Service: doc.Service,
		ID:      subject.Request,
		Account: subject.Account,
		Limit:   doc.AccountLimit(subject.Account),
		Attempt: req.GetAttempt(),
	})
	if refusal != nil {
		return refusedCall(*refusal, keyed, call.Attempt)
	}
	defer ticket.Done(admission.Result{})
	if keyed {
		return h.calls.Do(ctx, call)
	}
	return h.dispatcher.Run(ctx, idempotentCall{
		doc:     doc,
		method:  method.Name,
		payload: req.GetPayload(),
		account: subject.Account,
		request: subject.Request,
	})
}

// refusedCall returns the outcome of a call that admission refused. An earlier attempt
// with the same key may have run, so the outcome says that the call did not run only
// for a first attempt or a call without an idempotency key.
func refusedCall(refusal outcome.Outcome, keyed bool, attempt uint32) outcome.Outcome {
	if !keyed || attempt == 1 {
		return refusal
	}
	return outcome.NewUnknown(refusal.Reason, "This attempt was refused; an earlier one may have run.", refusal.RetryAfter)
}

func (h *handler) admit(ctx context.Context, req admission.Request) (*admission.Ticket, *outcome.Outcome) {
	ctx, span, end := startSpan(ctx, h.tracer, "admission")
	defer end()
	ticket, refusal := h.admission.Admit(ctx, req)
	if refusal != nil {
		span.SetAttributes(refusedKey.String(string(refusal.Reason)))
	}
	return ticket, refusal
}

// recordOutcome logs, traces and counts the outcome that a caller gets, and records it
// for operators who ask about the request.
func (h *handler) recordOutcome(span trace.Span, s explain.Subject, o outcome.Outcome) {
	span.SetAttributes(requestKey.String(string(s.Request)), accountKey.String(string(s.Account)),
		outcomeKey.String(o.Kind.String()), reasonKey.String(string(o.Reason)))
	h.explain.RecordEnding(s, explain.Ending{Outcome: o.Kind.String(), Reason: string(o.Reason), Message: o.Message})
	outcomeCounts.Add(o.Kind.String(), 1)
	fields := []any{"request_id", s.Request, "client_account", s.Account, "service", s.Service,
		"outcome", o.Kind.String(), "reason", o.Reason, "retry_after", o.RetryAfter}
	if o.Kind == outcome.Completed {
		h.log.Debug("request ended", fields...)
		return
	}
	h.log.Info("request refused or failed", append(fields, "message", o.Message)...)
}

// GetOutcome implements the callers' API.
func (h *handler) GetOutcome(ctx context.Context, req *callerv1.GetOutcomeRequest) (*callerv1.GetOutcomeResponse, error) {
	ctx, _, end := h.startRequestSpan(ctx, "get outcome", req.GetService())
	defer end()
	doc, err := findService(h.documents.Value(), req.GetService(), document.Plain)
	if err != nil {
		return nil, wireError(err)
	}
	if err := invalidRequest(checkKey(req.GetIdempotencyKey())); err != nil {
		return nil, wireError(err)
	}
	key := ident.CallKey{Service: doc.Service, Account: auth.Account(ctx), Key: ident.Key(req.GetIdempotencyKey())}
	o := h.calls.Find(ctx, key)
	return &callerv1.GetOutcomeResponse{Outcome: toWire(o), Payload: o.Payload}, nil
}

// Generate implements the callers' API.
func (h *handler) Generate(ctx context.Context, req *callerv1.GenerateRequest, out *connect.ServerStream[callerv1.GenerateResponse]) error {
	ctx, span, end := h.startRequestSpan(ctx, "generate", req.GetService())
	defer end()
	stream, err := h.checkStreamRequest(ctx, req)
	if err != nil {
		return wireError(err)
	}
	sink := generateSink(out)
	o, err := h.generate(ctx, stream, sink)
	if err != nil {
		return wireError(err)
	}
	h.recordOutcome(span, stream.subject(), o)
	return sink.sendOutcome(o)
}

// checkedStream is a checked request for a token stream, with its document.
type checkedStream struct {
	doc     *document.Document
	class   document.Class
	request streaming.Request
	// attempt is the number of this attempt as the caller counts it.
	attempt uint32
}

func (stream checkedStream) subject() explain.Subject {
	return explain.Subject{Request: stream.request.Key.Request, Service: stream.doc.Service, Account: stream.request.Key.Account}
}

// checkStreamRequest checks a request for a token stream.
func (h *handler) checkStreamRequest(ctx context.Context, req *callerv1.GenerateRequest) (checkedStream, error) {
	doc, err := findService(h.documents.Value(), req.GetService(), document.Model)
	if err != nil {
		return checkedStream{}, err
	}
	class, err := checkGenerate(doc, req)
	if err != nil {
		return checkedStream{}, err
	}
	return checkedStream{doc: doc, class: class, attempt: req.GetAttempt(), request: streaming.Request{
		Key: streaming.Key{Account: auth.Account(ctx), Request: ident.Request(req.GetRequestId())},
		Params: streaming.Params{
			Service:   doc.Service,
			Class:     class.Name,
			Prompt:    req.GetPrompt(),
			MaxTokens: req.GetMaxTokens(),
		},
		Priority: int32(class.Priority),
		Deadline: deadlineAfter(time.Now(), class.Completion),
	}}, nil
}

// generate admits and serves a token stream.
func (h *handler) generate(ctx context.Context, stream checkedStream, sink streaming.Sink) (outcome.Outcome, error) {
	if h.stopping.Value() {
		return outcome.NewNotRun(outcome.ReasonLeaving, "this gateway is leaving; ask any other", 0), nil
	}
	ticket, refusal := h.admitStream(ctx, stream)
	if refusal != nil {
		return *refusal, nil
	}
	defer ticket.Done(admission.Result{})
	h.dispatcher.budgets.forService(stream.doc.Service).RecordFirstAttempt()
	return h.streams.Generate(ctx, stream.request, &firstTokenSink{Sink: sink, onFirstToken: ticket.FirstToken})
}

// admitStream admits a token stream of which the caller has no tokens yet.
func (h *handler) admitStream(ctx context.Context, stream checkedStream) (*admission.Ticket, *outcome.Outcome) {
	key := stream.request.Key
	params := stream.request.Params
	route := streamRoutingRequest(stream.doc, stream.class, key.Account, params.Prompt, params.MaxTokens, nil)
	predicted := h.router.decide(stream.doc, route)
	u, _ := h.router.find(stream.doc.Service, predicted.Upstream)
	return h.admit(ctx, admission.Request{
		Service:                  stream.doc.Service,
		ID:                       key.Request,
		Account:                  key.Account,
		Limit:                    stream.doc.AccountLimit(key.Account),
		Class:                    stream.class,
		PredictedFirstToken:      predicted.FirstToken,
		PredictedFirstTokenP80:   predicted.FirstTokenBy,
		UnloadedFirstToken:       unloadedFirstToken(u.Report, predicted.UncachedTokens),
		PredictedAfterFirstToken: time.Duration(route.MaxTokens) * predicted.BetweenTokens,
		Deadline:                 stream.request.Deadline,
		Cost:                     float64(predicted.UncachedTokens + route.MaxTokens),
		Attempt:                  stream.attempt,
	})
}

// Resume implements the callers' API.
func (h *handler) Resume(ctx context.Context, req *callerv1.ResumeRequest, out *connect.ServerStream[callerv1.ResumeResponse]) error {
	ctx, span, end := h.startRequestSpan(ctx, "resume", req.GetService())
	defer end()
	if err := checkResume(req); err != nil {
		return wireError(err)
	}
	resume := streaming.ResumeRequest{
		Key:       streaming.Key{Account: auth.Account(ctx), Request: ident.Request(req.GetRequestId())},
		NextIndex: req.GetNextIndex(),
		Delivered: req.GetDelivered(),
	}
	sink := resumeSink(out)
	o, err := h.resume(ctx, resume, req.GetOriginal(), sink)
	if err != nil {
		return wireError(err)
	}
	h.recordOutcome(span, explain.Subject{Request: resume.Key.Request, Service: ident.Service(req.GetService()), Account: resume.Key.Account}, o)
	return sink.sendOutcome(o)
}

// resume serves the rest of a token stream. A stream that a gateway has accepted must
// finish and is not refused for load, because callers of killed gateways come back when
// there is the least capacity for them. It counts as accepted if this gateway holds it
// or if tokens of it were delivered. Any other stream is admitted like a new one.
func (h *handler) resume(ctx context.Context, resume streaming.ResumeRequest, original *callerv1.GenerateRequest, sink streaming.Sink) (outcome.Outcome, error) {
	if original == nil {
		return h.streams.Resume(ctx, resume, sink)
	}
	stream, err := h.checkStreamRequest(ctx, original)
	if err != nil {
		return outcome.Outcome{}, err
	}
	resume.Original = &stream.request
	if resume.NextIndex > 0 || h.streams.Holds(resume.Key) {
		return h.streams.Resume(ctx, resume, sink)
	}
	ticket, refusal := h.admitStream(ctx, stream)
	if refusal != nil {
		return *refusal, nil
	}
	defer ticket.Done(admission.Result{})
	return h.streams.Resume(ctx, resume, &firstTokenSink{Sink: sink, onFirstToken: ticket.FirstToken})
}
