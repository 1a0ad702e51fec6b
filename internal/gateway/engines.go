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

// noUpstreamRetryAfter is when a caller should come back when no upstream could
// take the request: the membership learns of a new one within seconds.
const noUpstreamRetryAfter = 2 * time.Second

// leavingNotes takes note of an upstream that refused because it is leaving.
type leavingNotes interface {
	NoteLeaving(id ident.Instance, incarnation ident.Incarnation)
}

// engineDialer reaches model engines.
type engineDialer interface {
	Engine(address string) upstream.Engine
}

// notices tells a stream that its upstream is to be reclaimed.
type notices interface {
	// Watch returns a channel that gets one value at the instance's notice,
	// and a function that ends the watch.
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
	attempts   attemptRecorder
	explain   *explain.Recorder
	tracer    trace.Tracer
}

// attemptRecorder learns how attempts at upstreams end.
type attemptRecorder interface {
	RecordAttemptStart(service ident.Service, id ident.Instance)
	RecordAttemptEnd(service ident.Service, r attemptResult)
}

// attemptResult is how one attempt ended, for limits and ejection.
type attemptResult struct {
	upstream   ident.Instance
	sentAt       time.Time
	inFlight   int
	firstToken time.Duration
	failed     bool
	// latencyRatio is the attempt's times in units of its class's targets; 0
	// when there is no target to compare with.
	latencyRatio float64
}

// Pick implements streaming.Picker.
func (e *enginePicker) Pick(ctx context.Context, req streaming.PickRequest) (streaming.Target, error) {
	_, span, end := startSpan(ctx, e.tracer, "routing")
	defer end()
	ask := req.Request.Ask
	doc, ok := e.documents.Value().Find(ask.Service)
	if !ok {
		return streaming.Target{}, noUpstreamRefusal("the service is no longer offered")
	}
	class, _ := doc.FindClass(ask.Class)
	route := streamRoutingRequest(doc, class, req.Request.Key.Account, ask.Prompt, ask.MaxTokens, req.Answer)
	route.Exclude = req.Exclude
	e.recordServedPrompt(doc.Service, req.Served, route.Blocks)
	decision := e.router.decide(doc, route)
	u, found := e.router.find(doc.Service, decision.Upstream)
	if !decision.Found() || !found {
		return streaming.Target{}, noUpstreamRefusal("no engine can take the request now")
	}
	span.SetAttributes(upstreamKey.String(string(decision.Upstream)))
	return e.target(req, route, decision, u), nil
}

// placer is a cache view that takes notice of placements.
type placer interface {
	Placed(blocks []uint64, now time.Time)
}

// recordServedPrompt notes that an engine has computed a stream's prompt already.
// A gateway that took the stream over did not place it there itself, and would
// have the whole prompt computed again elsewhere.
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
	flight := e.router.start(d, route)
	e.attempts.RecordAttemptStart(route.Service, d.Upstream)
	notice, unwatch := e.notices.Watch(d.Upstream, u.Instance.Incarnation)
	return streaming.Target{
		Instance:   d.Upstream,
		Engine:     e.dialer.Engine(d.Address),
		Notice:     notice,
		FirstToken: flight.recordFirstToken,
		Release: func(r streaming.Result) {
			unwatch()
			flight.end(streamRoutingResult(r))
			if r.Unused {
				return
			}
			e.recordEnd(req, route, d, u, flight, r)
		},
	}
}

// recordEnd tells everyone who learns from an attempt how it ended.
func (e *enginePicker) recordEnd(req streaming.PickRequest, route routing.Request, d routing.Decision, u blackboard.Upstream, f *activeAttempt, r streaming.Result) {
	if r.Leaving {
		e.leaving.NoteLeaving(d.Upstream, u.Instance.Incarnation)
	}
	e.attempts.RecordAttemptEnd(route.Service, attemptResult{
		upstream:   d.Upstream,
		sentAt:       f.sentAt,
		inFlight:   f.inFlight,
		firstToken: r.FirstToken,
		failed:     r.Next != "" && !r.Leaving,
		latencyRatio:   targetLatencyRatio(route.Class, f, r, time.Now()),
	})
	subject := explain.Subject{Request: req.Request.Key.Request, Service: route.Service, Account: req.Request.Key.Account}
	e.explain.RecordAttempt(subject, explain.Attempt{
		Upstream:   d.Upstream,
		Cause:      string(req.Cause),
		Reasons:    d.Reasons,
		Predicted:  d.FirstToken,
		FirstToken: r.FirstToken,
		Error:      string(r.Next),
	})
}

// targetLatencyRatio returns how close an attempt came to its class's targets: 1 is at
// the target, for the first token or between tokens, whichever is worse.
//
// An engine's first token comes several times later in a full batch than on an
// idle engine and is still in time. Held against the idle engine, a limit would
// keep engines half empty and refuse callers that could have been served.
func targetLatencyRatio(class document.Class, f *activeAttempt, r streaming.Result, now time.Time) float64 {
	pressure := 0.0
	if class.FirstToken > 0 && r.FirstToken > 0 {
		pressure = r.FirstToken.Seconds() / class.FirstToken.Seconds()
	}
	if class.BetweenTokens > 0 && r.Tokens > 1 {
		between := (now.Sub(f.sentAt) - r.FirstToken) / time.Duration(r.Tokens-1)
		pressure = max(pressure, between.Seconds()/class.BetweenTokens.Seconds())
	}
	return pressure
}

// unloadedFirstToken is the time to the first token on an idle engine.
func unloadedFirstToken(r upstream.Report, uncached int) time.Duration {
	if r.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(uncached)/r.PrefillRate*float64(time.Second)) + r.Step
}

// streamRoutingResult translates how an attempt ended for the router.
func streamRoutingResult(r streaming.Result) routing.Result {
	switch {
	case r.Unused:
		return routing.ResultCancelled
	case r.Next == "":
		return routing.ResultDone
	case r.Next == streaming.CauseRefused:
		return routing.ResultRefused
	}
	return routing.ResultFailed
}
