package peer

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// tracer makes the spans of calls between two processes, one span at each end. It
// uses the process's global tracer provider.
var tracer = otel.Tracer("github.com/goldcrestspool/goldcrestspool/internal/peer")

// w3c puts trace contexts into W3C headers and reads them from there.
var w3c propagation.TraceContext

// carrier reads and writes trace headers in gRPC metadata.
type carrier metadata.MD

var _ propagation.TextMapCarrier = carrier{}

// Get implements propagation.TextMapCarrier.
func (c carrier) Get(key string) string {
	values := metadata.MD(c).Get(key)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}

// Set implements propagation.TextMapCarrier.
func (c carrier) Set(key, value string) { metadata.MD(c).Set(key, value) }

// Keys implements propagation.TextMapCarrier.
func (c carrier) Keys() []string {
	var keys []string
	for key := range c {
		keys = append(keys, key)
	}
	return keys
}

// traceClient starts a span for a call that belongs to a trace and sends the trace
// context to the peer. Heartbeats belong to no trace, because their spans would far
// outnumber those of requests.
func traceClient(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return invoke(ctx, method, req, reply, conn, options...)
	}
	ctx, span := tracer.Start(ctx, method, trace.WithSpanKind(trace.SpanKindClient))
	defer func() { span.End() }()
	headers := carrier{}
	w3c.Inject(ctx, headers)
	for key, values := range headers {
		ctx = metadata.AppendToOutgoingContext(ctx, key, values[0])
	}
	err := invoke(ctx, method, req, reply, conn, options...)
	recordError(span, err)
	return err
}

// traceServer continues the trace of a peer's call.
func traceServer(ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	incoming, _ := metadata.FromIncomingContext(ctx)
	ctx = w3c.Extract(ctx, carrier(incoming))
	if !trace.SpanContextFromContext(ctx).IsValid() {
		return handle(ctx, req)
	}
	ctx, span := tracer.Start(ctx, info.FullMethod, trace.WithSpanKind(trace.SpanKindServer))
	defer func() { span.End() }()
	resp, err := handle(ctx, req)
	recordError(span, err)
	return resp, err
}

// recordError sets the span's status to the error's code. It leaves out the error's
// text, which may quote a request.
func recordError(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, status.Code(err).String())
	}
}
