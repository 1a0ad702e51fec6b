package calls

import (
	"context"

	"go.opentelemetry.io/otel"
)

// tracer makes a span of the wait for the journal, the hop from gateway to the
// platform's log. It uses the process's tracer provider.
var tracer = otel.Tracer("github.com/goldcrestspool/goldcrestspool/internal/calls")

// startJournalSpan begins the span of a claim's way to its verdict. Appends carry the
// claims of many calls, so each call has a span of its own wait.
func startJournalSpan(ctx context.Context) (context.Context, func()) {
	ctx, span := tracer.Start(ctx, "journal")
	return ctx, func() { span.End() }
}
