package loadgen

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/pause"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

const (
	// The wait before a caller tries again after a failed connection.
	firstBackoff = 20 * time.Millisecond
	maxBackoff   = time.Second
	// defaultRetryAfter is used where an outcome names no time to return.
	defaultRetryAfter = 500 * time.Millisecond
)

// caller holds the state of one request: which gateway is next, and what it
// has cost so far.
type caller struct {
	gateways []callerv1connect.CallerServiceClient
	// nextGateway is the gateway that is asked next.
	nextGateway int
	token       string
	backoff     time.Duration
	// tries counts requests to gateways.
	tries int
	// cuts counts connections that broke after the request may have been
	// taken.
	cuts int
	// refusals counts outcomes that said not_run.
	refusals int
	// lastOutcome is the outcome that was heard last, or nil.
	lastOutcome *callerv1.Outcome
}

func newGateways(client *http.Client, addresses []string) []callerv1connect.CallerServiceClient {
	gateways := make([]callerv1connect.CallerServiceClient, len(addresses))
	for i, address := range addresses {
		gateways[i] = callerv1connect.NewCallerServiceClient(client, "http://"+address)
	}
	return gateways
}

// prepareAttempt prepares one request to the next gateway.
func (c *caller) prepareAttempt(ctx context.Context) (context.Context, callerv1connect.CallerServiceClient) {
	c.tries++
	ctx, call := connect.NewClientContext(ctx)
	call.RequestHeader().Set("Authorization", "Bearer "+c.token)
	return ctx, c.gateways[c.nextGateway%len(c.gateways)]
}

// recordFailure reports whether a request that failed with err may have been taken. It
// counts a cut, unless the gateway answered with a rejection.
func (c *caller) recordFailure(attempt *transport.Attempt, err error) bool {
	if attempt.NotSent() {
		return false
	}
	if assessRejection(err) == nil {
		c.cuts++
	}
	return true
}

// backOff moves to another gateway after a failed connection, with a wait that
// grows. It returns false when the caller's patience has ended.
func (c *caller) backOff(ctx context.Context) bool {
	c.nextGateway++
	c.backoff = min(max(2*c.backoff, firstBackoff), maxBackoff)
	return pause.For(ctx, c.backoff)
}

// waitRetryAfter notes an outcome that is not final and waits until the time to return.
func (c *caller) waitRetryAfter(ctx context.Context, outcome *callerv1.Outcome) bool {
	c.nextGateway++
	c.backoff = 0
	c.lastOutcome = outcome
	after := outcome.GetRetryAfter().AsDuration()
	if after <= 0 {
		after = defaultRetryAfter
	}
	return pause.For(ctx, after)
}

// assessUnfinished judges a request whose caller's patience has ended.
func (c *caller) assessUnfinished(problem error) *assessment {
	switch c.lastOutcome.GetKind() {
	case callerv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
		return assessOutcome(Refused, c.lastOutcome)
	case callerv1.OutcomeKind_OUTCOME_KIND_UNKNOWN, callerv1.OutcomeKind_OUTCOME_KIND_IN_PROGRESS:
		return assessOutcome(Unknown, c.lastOutcome)
	}
	return assessmentf(Lost, "no outcome after %d tries: %v", c.tries, problem)
}

// assessRejection returns what to say of an error that no other gateway would answer
// differently, or nil.
func assessRejection(err error) *assessment {
	switch connect.CodeOf(err) {
	case connect.CodeUnauthenticated, connect.CodeInvalidArgument, connect.CodeUnimplemented:
		return assessmentf(Lost, "rejected: %v", err)
	}
	return nil
}
