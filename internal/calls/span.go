package calls

import (
	"context"

	"go.opentelemetry.io/otel"
)

// tracer records a span of each wait for the journal, the hop from the gateway to
// the platform's log. It uses the process's tracer provider.
var tracer = otel.Tracer("github.com/goldcrestspool/goldcrestspool/internal/calls")

// startJournalSpan starts a span that covers a claim's wait for its resolution,
// and returns the function that ends it. An append carries the claims of many
// calls, so each call has a span of its own wait.
func startJournalSpan(ctx context.Context) (context.Context, func()) {
	ctx, span := tracer.Start(ctx, "journal")
	return ctx, func() { span.End() }
}
