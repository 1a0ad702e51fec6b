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

// bookingCaller carries one call that may not be repeated through to its end.
type bookingCaller struct {
	caller
	request *callerv1.CallRequest
	// silenceTimeout is how long a gateway may give no answer. A frozen gateway, or a
	// connection gone silent, would otherwise hold the caller for good.
	silenceTimeout time.Duration
	// doubt: a call may be running, so ask for its outcome before another.
	outcomeUnknown bool
	// resendIfUnknown callers send a call in doubt again instead of asking, which
	// has to be as safe.
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

// callReply is what a gateway said of a call.
type callReply struct {
	outcome *callerv1.Outcome
	payload []byte
}

// sendOrQuery asks for the outcome of a call in doubt, or sends the call.
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

// queryOutcome asks for the outcome. A key that nobody knows may be sent again: its
// repeat is the gateways' to recognize.
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
