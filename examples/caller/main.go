// Command caller shows how to call a gateway: with a token stream, an idempotent call and
// a booking that must not be repeated. It compares the answers with those of the stand-ins
// and exits with status 1 if one is incomplete or wrong.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/alexflint/go-arg"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
)

// requestTimeout bounds each step.
const requestTimeout = 20 * time.Second

// arguments holds the command line.
type arguments struct {
	Gateway string `arg:"--gateway,required" placeholder:"HOST:PORT" help:"callers' address of a gateway"`
	Other   string `arg:"--other" placeholder:"HOST:PORT" help:"another gateway, to ask for the booking's outcome"`
	Token   string `arg:"--token,required" help:"bearer token of a client account"`
	Model   string `arg:"--model-service" default:"spool-llm" help:"service for the token stream"`
	Plain   string `arg:"--plain-service" default:"auktion-app" help:"service for the calls"`
}

// Description returns the text above the options in --help.
func (arguments) Description() string {
	return "Sends a token stream, an idempotent call and a booking to a gateway and prints the answers."
}

// caller sends requests as one client account.
type caller struct {
	gateway, other callerv1connect.CallerServiceClient
	token          string
	args           arguments
}

func main() {
	var args arguments
	arg.MustParse(&args)
	if args.Other == "" {
		args.Other = args.Gateway
	}
	c := &caller{
		gateway: callerv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+args.Gateway),
		other:   callerv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+args.Other),
		token:   args.Token,
		args:    args,
	}
	failed := false
	for _, step := range []func(context.Context) error{c.stream, c.lookup, c.book} {
		if err := c.run(step); err != nil {
			fmt.Println("  WRONG:", err)
			failed = true
		}
	}
	if failed {
		os.Exit(1)
	}
}

// run runs a step with a timeout and with the bearer token in its requests.
func (c *caller) run(step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	ctx, info := connect.NewClientContext(ctx)
	info.RequestHeader().Set("Authorization", "Bearer "+c.token)
	return step(ctx)
}

func (c *caller) stream(ctx context.Context) error {
	const tokens = 24
	req := &callerv1.GenerateRequest{
		Service:   c.args.Model,
		Class:     "short",
		Prompt:    "Draft a notice to the bidders of lot 17: the auction ends in ten minutes.",
		MaxTokens: tokens,
		RequestId: uuid.NewString(),
	}
	fmt.Printf("token stream %s\n", req.GetRequestId())
	events, err := c.gateway.Generate(ctx, req)
	if err != nil {
		return err
	}
	defer events.Close()
	var got []string
	var end *callerv1.Outcome
	for events.Receive() {
		frame := events.Msg().GetTokens()
		if frame != nil && int(frame.GetIndex()) != len(got) {
			return errcode.Errorf(errcode.Internal, "token %d came after %d tokens", frame.GetIndex(), len(got))
		}
		got = append(got, frame.GetTokens()...)
		end = events.Msg().GetOutcome()
	}
	if err := events.Err(); err != nil {
		return err
	}
	fmt.Printf("  %s: %s\n", end.GetKind(), strings.Join(got, ""))
	var want []string
	for i := range tokens {
		want = append(want, answer.Token(req.GetPrompt(), i))
	}
	if end.GetKind() != callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED || strings.Join(got, "") != strings.Join(want, "") {
		return errcode.Errorf(errcode.Internal, "the answer is not whole: %d of %d tokens, %s %s", len(got), tokens, end.GetKind(), end.GetReason())
	}
	return nil
}

func (c *caller) lookup(ctx context.Context) error {
	payload := []byte("lot 17")
	fmt.Println("idempotent call: lookup")
	resp, err := c.gateway.Call(ctx, &callerv1.CallRequest{Service: c.args.Plain, Method: "lookup", Payload: payload})
	if err != nil {
		return err
	}
	return checkAnswer(resp.GetOutcome(), resp.GetPayload(), "lookup", payload)
}

// book places a bid and then asks the other gateway for its outcome.
func (c *caller) book(ctx context.Context) error {
	payload := []byte("lot 17: 250 EUR")
	req := &callerv1.CallRequest{
		Service:        c.args.Plain,
		Method:         "place_bid",
		IdempotencyKey: uuid.NewString(),
		IssuedAt:       timestamppb.Now(),
		Attempt:        1,
		Payload:        payload,
	}
	fmt.Printf("booking %s\n", req.GetIdempotencyKey())
	resp, err := c.gateway.Call(ctx, req)
	if err != nil {
		return err
	}
	if err := checkAnswer(resp.GetOutcome(), resp.GetPayload(), "place_bid", payload); err != nil {
		return err
	}
	fmt.Println("its outcome, asked at the other gateway")
	for {
		found, err := c.other.GetOutcome(ctx, &callerv1.GetOutcomeRequest{
			Service:        req.GetService(),
			IdempotencyKey: req.GetIdempotencyKey(),
			IssuedAt:       req.GetIssuedAt(),
		})
		if err != nil {
			return err
		}
		if found.GetOutcome().GetKind() == callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED {
			return checkAnswer(found.GetOutcome(), found.GetPayload(), "place_bid", payload)
		}
		// The other gateway does not know the outcome yet; it tells when to ask again.
		time.Sleep(found.GetOutcome().GetRetryAfter().AsDuration())
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

func checkAnswer(o *callerv1.Outcome, got []byte, method ident.Method, payload []byte) error {
	fmt.Printf("  %s %s: %s\n", o.GetKind(), o.GetReason(), got)
	want := answer.Reply(method, payload)
	if o.GetKind() != callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED || string(got) != string(want) {
		return errcode.Errorf(errcode.Internal, "want completed with %q", want)
	}
	return nil
}
