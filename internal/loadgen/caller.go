package loadgen

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/sleep"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

const (
	// firstBackoff and maxBackoff bound the wait before the next attempt after a
	// failed connection.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// defaultRetryAfter is used where an outcome has no retry-after time.
	defaultRetryAfter = 500 * time.Millisecond
)

// caller is the state of one request over all its attempts. Each attempt goes to
// one gateway.
type caller struct {
	gateways []callerv1connect.CallerServiceClient
	// nextGateway modulo the number of gateways is the index of the gateway for
	// the next attempt.
	nextGateway int
	token       string
	// backoff is the wait after the last failed connection; 0 after an outcome.
	backoff time.Duration
	// tries counts the attempts.
	tries int
	// cuts counts connections that broke when the gateway may already have
	// accepted the request.
	cuts int
	// refusals counts outcomes of the kind not_run.
	refusals int
	// lastOutcome is the last outcome that was received, or nil.
	lastOutcome *callerv1.Outcome
}

func newGateways(client *http.Client, addresses []string) []callerv1connect.CallerServiceClient {
	gateways := make([]callerv1connect.CallerServiceClient, len(addresses))
	for i, address := range addresses {
		gateways[i] = callerv1connect.NewCallerServiceClient(client, "http://"+address)
	}
	return gateways
}

// prepareAttempt counts an attempt and returns its context, which carries the
// bearer token, and its gateway.
func (c *caller) prepareAttempt(ctx context.Context) (context.Context, callerv1connect.CallerServiceClient) {
	c.tries++
	ctx, call := connect.NewClientContext(ctx)
	call.RequestHeader().Set("Authorization", "Bearer "+c.token)
	return ctx, c.gateways[c.nextGateway%len(c.gateways)]
}

// recordFailure reports whether the gateway may have accepted the request of an
// attempt that failed with err. In that case it counts a cut, unless the error is
// the gateway's rejection.
func (c *caller) recordFailure(attempt *transport.Attempt, err error) bool {
	if attempt.NotSent() {
		return false
	}
	if assessRejection(err) == nil {
		c.cuts++
	}
	return true
}

// backOff moves to the next gateway after a failed connection and waits; the wait
// doubles with each failure in a row. It returns false if ctx ends first.
func (c *caller) backOff(ctx context.Context) bool {
	c.nextGateway++
	c.backoff = min(max(2*c.backoff, firstBackoff), maxBackoff)
	return sleep.For(ctx, c.backoff)
}

// waitRetryAfter records an outcome that is not final, moves to the next gateway
// and waits for the outcome's retry-after time. It returns false if ctx ends
// first.
func (c *caller) waitRetryAfter(ctx context.Context, outcome *callerv1.Outcome) bool {
	c.nextGateway++
	c.backoff = 0
	c.lastOutcome = outcome
	retryAfter := outcome.GetRetryAfter().AsDuration()
	if retryAfter <= 0 {
		retryAfter = defaultRetryAfter
	}
	return sleep.For(ctx, retryAfter)
}

// assessUnfinished assesses a request that its caller gave up without a final
// outcome. lastErr is the error of the last attempt, or nil.
func (c *caller) assessUnfinished(lastErr error) *assessment {
	switch c.lastOutcome.GetKind() {
	case callerv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return assessOutcome(Refused, c.lastOutcome)
	case callerv1.OutcomeKind_OUTCOME_KIND_UNKNOWN, callerv1.OutcomeKind_OUTCOME_KIND_IN_PROGRESS:
		return assessOutcome(Unknown, c.lastOutcome)
	}
	return assessmentf(Lost, "no outcome after %d tries: %v", c.tries, lastErr)
}

// assessRejection returns the assessment of an error with which every gateway would
// reject the request, or nil for other errors.
func assessRejection(err error) *assessment {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodeInvalidArgument, connect.CodeUnimplemented:
		return assessmentf(Lost, "rejected: %v", err)
	}
	return nil
}
