package loadgen

import (
	"bytes"
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	outcomes "github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/transport"
)

// bookingCaller sends one call that must be executed at most once, until it has
// ended.
type bookingCaller struct {
	caller
	request *callerv1.CallRequest
	// silenceTimeout is the time limit of one attempt. Without it, a frozen
	// gateway or a dead connection would hold the caller for ever.
	silenceTimeout time.Duration
	// outcomeUnknown is set while the call may be running or may have run.
	outcomeUnknown bool
	// resendIfUnknown makes the caller send a call of unknown outcome again
	// instead of querying its outcome. Gateways must handle both equally safely.
	resendIfUnknown bool
}

// run sends the call until its outcome is final, it was refused maxRefusals
// times, or ctx ends.
func (b *bookingCaller) run(ctx context.Context, maxRefusals int) *assessment {
	for {
		reply, err := b.sendOrQuery(ctx)
		if err != nil {
			if final := assessRejection(err); final != nil {
				return final
			}
			if !b.backOff(ctx) {
				return b.assessUnfinished(err)
			}
			continue
		}
		outcome := reply.outcome
		switch outcome.GetKind() {
		case callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED:
			return b.assessPayload(reply.payload)
		case callerv1.OutcomeKind_OUTCOME_KIND_FAILED:
			return assessOutcome(Failed, outcome)
		case callerv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
			b.refusals++
			b.outcomeUnknown = false
		default:
			b.outcomeUnknown = outcome.GetReason() != string(outcomes.ReasonNotSeen)
		}
		if b.refusals >= maxRefusals || !b.waitRetryAfter(ctx, outcome) {
			b.lastOutcome = outcome
			return b.assessUnfinished(nil)
		}
	}
}

// callReply is a gateway's answer about a call.
type callReply struct {
	outcome *callerv1.Outcome
	payload []byte
}

// sendOrQuery sends the call, or queries its outcome if that is unknown and the
// caller doesn't resend. It sets outcomeUnknown if the attempt fails.
func (b *bookingCaller) sendOrQuery(ctx context.Context) (callReply, error) {
	ctx, cancel := context.WithTimeout(ctx, b.silenceTimeout)
	defer cancel()
	if b.outcomeUnknown && !b.resendIfUnknown {
		return b.queryOutcome(ctx)
	}
	ctx, attempt := transport.Observe(ctx)
	ctx, gateway := b.prepareAttempt(ctx)
	b.request.Attempt++
	response, err := gateway.Call(ctx, proto.CloneOf(b.request))
	if err != nil {
		b.outcomeUnknown = b.recordFailure(attempt, err)
		if !b.outcomeUnknown {
			b.request.Attempt--
		}
		return callReply{}, err
	}
	return callReply{response.GetOutcome(), response.GetPayload()}, nil
}

// queryOutcome asks a gateway for the call's outcome. If the gateway knows nothing
// of the key, the call may be sent again: recognizing a repeated key is the
// gateways' task.
func (b *bookingCaller) queryOutcome(ctx context.Context) (callReply, error) {
	ctx, gateway := b.prepareAttempt(ctx)
	response, err := gateway.GetOutcome(ctx, &callerv1.GetOutcomeRequest{
		Service:        b.request.GetService(),
		IdempotencyKey: b.request.GetIdempotencyKey(),
		IssuedAt:       b.request.GetIssuedAt(),
	})
	if err != nil {
		b.outcomeUnknown = connect.CodeOf(err) != connect.CodeNotFound
		return callReply{}, err
	}
	return callReply{response.GetOutcome(), response.GetPayload()}, nil
}

func (b *bookingCaller) assessPayload(payload []byte) *assessment {
	want := answer.Reply(ident.Method(b.request.GetMethod()), b.request.GetPayload())
	if !bytes.Equal(payload, want) {
		return assessmentf(Wrong, "payload %q, want %q", payload, want)
	}
	return assessmentf(Whole, "")
}
