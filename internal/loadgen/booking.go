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
	// silence is how long a gateway may give no answer. A frozen gateway, or a
	// connection gone silent, would otherwise hold the caller for good.
	silence time.Duration
	// doubt: a call may be running, so ask for its outcome before another.
	doubt bool
	// impatient callers send a call in doubt again instead of asking, which
	// has to be as safe.
	impatient bool
}

// run sends the call until its outcome is final, it was refused maxRefusals
// times, or ctx ends.
func (b *bookingCaller) run(ctx context.Context, maxRefusals int) *finding {
	for {
		reply, err := b.once(ctx)
		if err != nil {
			if final := rejected(err); final != nil {
				return final
			}
			if !b.broken(ctx) {
				return b.giveUp(err)
			}
			continue
		}
		outcome := reply.outcome
		switch outcome.GetKind() {
		case callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED:
			return b.judge(reply.payload)
		case callerv1.OutcomeKind_OUTCOME_KIND_FAILED:
			return fromOutcome(Failed, outcome)
		case callerv1.OutcomeKind_OUTCOME_KIND_NOT_RUN:
			b.refusals++
			b.doubt = false
		default:
			b.doubt = outcome.GetReason() != string(outcomes.ReasonNotSeen)
		}
		if b.refusals >= maxRefusals || !b.told(ctx, outcome) {
			b.last = outcome
			return b.giveUp(nil)
		}
	}
}

// callReply is what a gateway said of a call.
type callReply struct {
	outcome *callerv1.Outcome
	payload []byte
}

// once asks for the outcome of a call in doubt, or sends the call.
func (b *bookingCaller) once(ctx context.Context) (callReply, error) {
	ctx, cancel := context.WithTimeout(ctx, b.silence)
	defer cancel()
	if b.doubt && !b.impatient {
		return b.ask(ctx)
	}
	ctx, attempt := transport.Observe(ctx)
	ctx, gateway := b.try(ctx)
	b.request.Attempt++
	response, err := gateway.Call(ctx, proto.CloneOf(b.request))
	if err != nil {
		b.doubt = b.sent(attempt, err)
		if !b.doubt {
			b.request.Attempt--
		}
		return callReply{}, err
	}
	return callReply{response.GetOutcome(), response.GetPayload()}, nil
}

// ask asks for the outcome. A key that nobody knows may be sent again: its
// repeat is the gateways' to recognize.
func (b *bookingCaller) ask(ctx context.Context) (callReply, error) {
	ctx, gateway := b.try(ctx)
	response, err := gateway.GetOutcome(ctx, &callerv1.GetOutcomeRequest{
		Service:        b.request.GetService(),
		IdempotencyKey: b.request.GetIdempotencyKey(),
		IssuedAt:       b.request.GetIssuedAt(),
	})
	if err != nil {
		b.doubt = connect.CodeOf(err) != connect.CodeNotFound
		return callReply{}, err
	}
	return callReply{response.GetOutcome(), response.GetPayload()}, nil
}

func (b *bookingCaller) judge(payload []byte) *finding {
	want := answer.Reply(ident.Method(b.request.GetMethod()), b.request.GetPayload())
	if !bytes.Equal(payload, want) {
		return findingf(Wrong, "payload %q, want %q", payload, want)
	}
	return findingf(Whole, "")
}
