package streaming

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
)

// tracer records a span of each attempt, which is one call from gateway to engine.
// It uses the process's tracer provider.
var tracer = otel.Tracer("github.com/goldcrestspool/goldcrestspool/internal/streaming")

// The attributes of an attempt's span.
const (
	attemptKey    = attribute.Key("stream.attempt")
	instanceKey   = attribute.Key("stream.upstream")
	causeKey      = attribute.Key("stream.cause")
	nextKey       = attribute.Key("stream.next")
	tokensKey     = attribute.Key("stream.tokens")
	recomputedKey = attribute.Key("stream.tokens_recomputed")
	importedKey   = attribute.Key("stream.tokens_imported")
	errorKey      = attribute.Key("stream.error")
)

// startSpan begins the span of an attempt.
func startSpan(ctx context.Context, a *attempt) (context.Context, trace.Span) {
	return tracer.Start(ctx, "stream attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attemptKey.Int(int(a.number)),
		instanceKey.String(string(a.target.Instance)),
		causeKey.String(string(a.cause)),
	))
}

// endSpan ends the span of an attempt and records what it did. Of an error it
// records only the code, because the text may quote the prompt.
func endSpan(span trace.Span, r AttemptReport) {
	span.SetAttributes(
		nextKey.String(string(r.NextCause)),
		tokensKey.Int(r.Tokens),
		recomputedKey.Int(r.Recomputed),
		importedKey.Int(r.Imported),
	)
	if r.Err != nil {
		span.SetAttributes(errorKey.String(errcode.Of(r.Err).String()))
	}
	if r.endedUnplanned() {
		span.SetStatus(codes.Error, string(r.NextCause))
	}
	span.End()
}

// endedUnplanned reports whether the attempt ended by a failure, and not by a
// completed answer, a stop of the run or a reclaim notice.
func (r AttemptReport) endedUnplanned() bool {
	return r.NextCause != "" && r.NextCause != CauseMoved && r.NextCause != CauseNotice
}
