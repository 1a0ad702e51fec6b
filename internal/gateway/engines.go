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

// noUpstreamRetry is when a caller should come back when no upstream could
// take the request: the membership learns of a new one within seconds.
const noUpstreamRetry = 2 * time.Second

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

// engines chooses the engine for each attempt of a token stream. It implements
// streaming.Picker.
type engines struct {
	documents *blackboard.Section[*document.Set]
	routes    *routes
	dialer    engineDialer
	leaving   leavingNotes
	notices   notices
	results   upstreamResults
	explain   *explain.Recorder
	tracer    trace.Tracer
}

// upstreamResults learns how attempts at upstreams end.
type upstreamResults interface {
	Sending(service ident.Service, id ident.Instance)
	Observe(service ident.Service, r attemptResult)
}

// attemptResult is how one attempt ended, for limits and ejection.
type attemptResult struct {
	upstream   ident.Instance
	sent       time.Time
	inFlight   int
	firstToken time.Duration
	failed     bool
	// pressure is the attempt's times in units of its class's targets; 0
	// when there is no target to compare with.
	pressure float64
}

// Pick implements streaming.Picker.
func (e *engines) Pick(ctx context.Context, req streaming.PickRequest) (streaming.Target, error) {
	_, span, end := startSpan(ctx, e.tracer, "routing")
	defer end()
	ask := req.Request.Ask
	doc, ok := e.documents.Value().Find(ask.Service)
	if !ok {
		return streaming.Target{}, noUpstream("the service is no longer offered")
	}
	class, _ := doc.FindClass(ask.Class)
	route := streamRequest(doc, class, req.Request.Key.Account, ask.Prompt, ask.MaxTokens, req.Answer)
	route.Exclude = req.Exclude
	e.rememberServed(doc.Service, req.Served, route.Blocks)
	decision := e.routes.decide(doc, route)
	u, found := e.routes.find(doc.Service, decision.Upstream)
	if !decision.Found() || !found {
		return streaming.Target{}, noUpstream("no engine can take the request now")
	}
	span.SetAttributes(upstreamKey.String(string(decision.Upstream)))
	return e.target(req, route, decision, u), nil
}

// placer is a cache view that takes notice of placements.
type placer interface {
	Placed(blocks []uint64, now time.Time)
}

// rememberServed notes that an engine has computed a stream's prompt already.
// A gateway that took the stream over did not place it there itself, and would
// have the whole prompt computed again elsewhere.
func (e *engines) rememberServed(service ident.Service, served ident.Instance, blocks []uint64) {
	u, found := e.routes.find(service, served)
	if !found || len(blocks) == 0 {
		return
	}
	if view, ok := u.Cache.(placer); ok {
		view.Placed(blocks, time.Now())
	}
}

func noUpstream(message string) error {
	return &streaming.Refusal{Reason: outcome.ReasonNoUpstream, Message: message, RetryAfter: noUpstreamRetry}
}

// target returns the target of an attempt that begins now.
func (e *engines) target(req streaming.PickRequest, route routing.Request, d routing.Decision, u blackboard.Upstream) streaming.Target {
	flight := e.routes.start(d, route)
	e.results.Sending(route.Service, d.Upstream)
	notice, unwatch := e.notices.Watch(d.Upstream, u.Instance.Incarnation)
	return streaming.Target{
		Instance:   d.Upstream,
		Engine:     e.dialer.Engine(d.Address),
		Notice:     notice,
		FirstToken: flight.firstToken,
		Release: func(r streaming.Result) {
			unwatch()
			flight.end(resultOf(r))
			if r.Unused {
				return
			}
			e.ended(req, route, d, u, flight, r)
		},
	}
}

// ended tells everyone who learns from an attempt how it ended.
func (e *engines) ended(req streaming.PickRequest, route routing.Request, d routing.Decision, u blackboard.Upstream, f *flight, r streaming.Result) {
	if r.Leaving {
		e.leaving.NoteLeaving(d.Upstream, u.Instance.Incarnation)
	}
	e.results.Observe(route.Service, attemptResult{
		upstream:   d.Upstream,
		sent:       f.sent,
		inFlight:   f.inFlight,
		firstToken: r.FirstToken,
		failed:     r.Next != "" && !r.Leaving,
		pressure:   pressureOf(route.Class, f, r, time.Now()),
	})
	subject := explain.Subject{Request: req.Request.Key.Request, Service: route.Service, Account: req.Request.Key.Account}
	e.explain.Attempt(subject, explain.Attempt{
		Upstream:   d.Upstream,
		Cause:      string(req.Cause),
		Reasons:    d.Reasons,
		Predicted:  d.FirstToken,
		FirstToken: r.FirstToken,
		Error:      string(r.Next),
	})
}

// pressureOf returns how close an attempt came to its class's targets: 1 is at
// the target, for the first token or between tokens, whichever is worse.
//
// An engine's first token comes several times later in a full batch than on an
// idle engine and is still in time. Held against the idle engine, a limit would
// keep engines half empty and refuse callers that could have been served.
func pressureOf(class document.Class, f *flight, r streaming.Result, now time.Time) float64 {
	pressure := 0.0
	if class.FirstToken > 0 && r.FirstToken > 0 {
		pressure = r.FirstToken.Seconds() / class.FirstToken.Seconds()
	}
	if class.BetweenTokens > 0 && r.Tokens > 1 {
		between := (now.Sub(f.sent) - r.FirstToken) / time.Duration(r.Tokens-1)
		pressure = max(pressure, between.Seconds()/class.BetweenTokens.Seconds())
	}
	return pressure
}

// unloaded is the time to the first token on an idle engine.
func unloaded(r upstream.Report, uncached int) time.Duration {
	if r.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(float64(uncached)/r.PrefillRate*float64(time.Second)) + r.Step
}

// resultOf translates how an attempt ended for the router.
func resultOf(r streaming.Result) routing.Result {
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
