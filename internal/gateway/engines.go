package gateway

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/internal/blackboard"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/explain"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/routing"
	"github.com/goldcrestspool/goldcrestspool/internal/streaming"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// noUpstreamRetryAfter is the retry-after time of a request that no upstream could
// serve. The membership learns of a new upstream within seconds.
const noUpstreamRetryAfter = 2 * time.Second

// leavingNotes records that an upstream refused a request because it is leaving.
type leavingNotes interface {
	NoteLeaving(id ident.Instance, incarnation ident.Incarnation)
}

// engineDialer returns clients of model engines.
type engineDialer interface {
	Engine(address string) upstream.Engine
}

// notices tells a stream that its upstream is to be reclaimed.
type notices interface {
	// Watch returns a channel that receives one value when the instance gets a reclaim
	// notice, and a function that ends the watch.
	Watch(id ident.Instance, incarnation ident.Incarnation) (<-chan streaming.Notice, func())
}

// enginePicker chooses the engine for each attempt of a token stream. It implements
// streaming.Picker.
type enginePicker struct {
	documents *blackboard.Section[*document.Set]
	router    *upstreamRouter
	dialer    engineDialer
	leaving   leavingNotes
	notices   notices
	attempts  attemptRecorder
	explain   *explain.Recorder
	tracer    trace.Tracer
}

// attemptRecorder records the start and the end of each attempt at an upstream.
type attemptRecorder interface {
	RecordAttemptStart(service ident.Service, id ident.Instance)
	RecordAttemptEnd(service ident.Service, r attemptResult)
}

// attemptResult is how one attempt ended, for limits and ejection.
type attemptResult struct {
	upstream   ident.Instance
	sentAt     time.Time
	inFlight   int
	firstToken time.Duration
	failed     bool
	// latencyRatio is the attempt's latency divided by the target of its class; 0 if
	// there is no target.
	latencyRatio float64
}

// Pick implements streaming.Picker.
func (e *enginePicker) Pick(ctx context.Context, req streaming.PickRequest) (streaming.Target, error) {
	_, span, end := startSpan(ctx, e.tracer, "routing")
	defer end()
	params := req.Request.Params
	doc, ok := e.documents.Value().Find(params.Service)
	if !ok {
		return streaming.Target{}, noUpstreamRefusal("the service is no longer offered")
	}
	class, _ := doc.FindClass(params.Class)
	route := streamRoutingRequest(doc, class, req.Request.Key.Account, params.Prompt, params.MaxTokens, req.Answer)
	route.Exclude = req.Exclude
	e.recordServedPrompt(doc.Service, req.LastInstance, route.Blocks)
	decision := e.router.decide(doc, route)
	u, found := e.router.find(doc.Service, decision.Upstream)
	if !decision.Found() || !found {
		return streaming.Target{}, noUpstreamRefusal("no engine can take the request now")
	}
	span.SetAttributes(upstreamKey.String(string(decision.Upstream)))
	return e.target(req, route, decision, u), nil
}

// placer is a cache view that records the prompts placed on its engine.
type placer interface {
	Placed(blocks []uint64, now time.Time)
}

// recordServedPrompt records that an engine has already computed a stream's prompt. A
// gateway that took the stream over did not place it there itself; without the record
// it would have the whole prompt computed again on another engine.
func (e *enginePicker) recordServedPrompt(service ident.Service, served ident.Instance, blocks []uint64) {
	u, found := e.router.find(service, served)
	if !found || len(blocks) == 0 {
		return
	}
	if view, ok := u.Cache.(placer); ok {
		view.Placed(blocks, time.Now())
	}
}

func noUpstreamRefusal(message string) error {
	return &streaming.Refusal{Reason: outcome.ReasonNoUpstream, Message: message, RetryAfter: noUpstreamRetryAfter}
}

// target returns the target of an attempt that begins now.
func (e *enginePicker) target(req streaming.PickRequest, route routing.Request, d routing.Decision, u blackboard.Upstream) streaming.Target {
	active := e.router.start(d, route)
	e.attempts.RecordAttemptStart(route.Service, d.Upstream)
	notice, unwatch := e.notices.Watch(d.Upstream, u.Instance.Incarnation)
	return streaming.Target{
		Instance:     d.Upstream,
		Engine:       e.dialer.Engine(d.Address),
		Notice:       notice,
		OnFirstToken: active.recordFirstToken,
		Release: func(r streaming.Result) {
			unwatch()
			active.end(streamRoutingResult(r))
			if r.Unused {
				return
			}
			e.recordEnd(req, route, d, u, active, r)
		},
	}
}

// recordEnd reports the end of an attempt to the membership, to admission and to the
// explain recorder.
func (e *enginePicker) recordEnd(req streaming.PickRequest, route routing.Request, d routing.Decision, u blackboard.Upstream, active *activeAttempt, r streaming.Result) {
	if r.Leaving {
		e.leaving.NoteLeaving(d.Upstream, u.Instance.Incarnation)
	}
	e.attempts.RecordAttemptEnd(route.Service, attemptResult{
		upstream:     d.Upstream,
		sentAt:       active.sentAt,
		inFlight:     active.inFlight,
		firstToken:   r.FirstToken,
		failed:       r.NextCause != "" && !r.Leaving,
		latencyRatio: targetLatencyRatio(route.Class, active, r, time.Now()),
	})
	subject := explain.Subject{Request: req.Request.Key.Request, Service: route.Service, Account: req.Request.Key.Account}
	e.explain.RecordAttempt(subject, explain.Attempt{
		Upstream:            d.Upstream,
		Cause:               string(req.Cause),
		Reasons:             d.Reasons,
		PredictedFirstToken: d.FirstToken,
		FirstToken:          r.FirstToken,
		Error:               string(r.NextCause),
	})
}

// targetLatencyRatio returns an attempt's latency divided by the target of its class,
// either for the first token or between tokens, whichever ratio is higher.
//
// The latency is divided by the target and not by the latency of an idle engine,
// because in a full batch the first token comes several times later than on an idle
// engine and is still in time. A concurrency limit based on the idle engine's latency
// would keep engines half empty and refuse callers that could have been served.
func targetLatencyRatio(class document.Class, active *activeAttempt, r streaming.Result, now time.Time) float64 {
	ratio := 0.0
	if class.FirstToken > 0 && r.FirstToken > 0 {
		ratio = r.FirstToken.Seconds() / class.FirstToken.Seconds()
	}
	if class.BetweenTokens > 0 && r.Tokens > 1 {
		between := (now.Sub(active.sentAt) - r.FirstToken) / time.Duration(r.Tokens-1)
		ratio = max(ratio, between.Seconds()/class.BetweenTokens.Seconds())
	}
	return ratio
}

// unloadedFirstToken returns the time to the first token on an idle engine that has to
// compute the given number of uncached tokens. It is 0 if the engine reports no prefill
// rate.
func unloadedFirstToken(r upstream.Report, uncached int) time.Duration {
	if r.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(uncached)/r.PrefillRate*float64(time.Second)) + r.Step
}

// streamRoutingResult returns the result of an attempt in the router's terms.
func streamRoutingResult(r streaming.Result) routing.Result {
	switch {
	case r.Unused:
		return routing.ResultCancelled
	case r.NextCause == "":
		return routing.ResultDone
	case r.NextCause == streaming.CauseRefused:
		return routing.ResultRefused
	}
	return routing.ResultFailed
}
