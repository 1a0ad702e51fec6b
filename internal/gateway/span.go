package gateway

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
)

// The attributes of the gateway's spans.
const (
	serviceKey  = attribute.Key("service")
	accountKey  = attribute.Key("client_account")
	requestKey  = attribute.Key("request_id")
	upstreamKey = attribute.Key("upstream")
	attemptKey  = attribute.Key("attempt")
	outcomeKey  = attribute.Key("outcome")
	reasonKey   = attribute.Key("reason")
	refusedKey  = attribute.Key("refused")
)

// startSpan begins the span of a step inside the gateway. The returned function ends
// it. Unlike a deferred trace.Span.End, that function does not record the value of a
// panic in the span: it may quote what a caller sent.
func startSpan(ctx context.Context, tracer trace.Tracer, name string, options ...trace.SpanStartOption) (context.Context, trace.Span, func()) {
	ctx, span := tracer.Start(ctx, name, options...)
	return ctx, span, func() { span.End() }
}

// startRequestSpan begins the span of a caller's request, which continues the
// caller's trace if it sent one.
func (h *handler) startRequestSpan(ctx context.Context, name, service string) (context.Context, trace.Span, func()) {
	service = service[:min(len(service), maxServiceNameBytes)]
	return startSpan(ctx, h.tracer, name, trace.WithSpanKind(trace.SpanKindServer),
		trace.WithAttributes(serviceKey.String(service)))
}
