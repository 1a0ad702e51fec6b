package gateway

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"
	"go.opentelemetry.io/otel/propagation"
	"google.golang.org/protobuf/types/known/timestamppb"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
)

// bearer is a transport that adds a token and the trace context to requests.
type bearer struct {
	token string
	next  http.RoundTripper
}

func (b bearer) RoundTrip(req *http.Request) (*http.Response, error) {
	req = req.Clone(req.Context())
	if b.token != "" {
		req.Header.Set("Authorization", "Bearer "+b.token)
	}
	propagation.TraceContext{}.Inject(req.Context(), propagation.HeaderCarrier(req.Header))
	return b.next.RoundTrip(req)
}

// clientWithToken returns a client that sends a token, or none if it is empty.
func (env *testEnv) clientWithToken(t testing.TB, token string) callerv1connect.CallerServiceClient {
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: &protocols}
	t.Cleanup(transport.CloseIdleConnections)
	return callerv1connect.NewCallerServiceClient(&http.Client{Transport: bearer{token: token, next: transport}}, env.url)
}

// bidRequest returns a call with an idempotency key.
func bidRequest(key string, attempt uint32, payload string) *callerv1.CallRequest {
	return &callerv1.CallRequest{
		Service: plainService, Method: "place_bid", IdempotencyKey: key, IssuedAt: timestamppb.New(issuedAt),
		Attempt: attempt, Payload: []byte(payload),
	}
}

// issuedAt is the time at which the tests' idempotency keys were issued.
var issuedAt = time.Now()

// lookupRequest returns an idempotent call.
func lookupRequest(payload string) *callerv1.CallRequest {
	return &callerv1.CallRequest{Service: plainService, Method: "find_lot", Payload: []byte(payload), Attempt: 1}
}

// callResult is the outcome and the payload that a caller got.
type callResult struct {
	kind    callerv1.OutcomeKind
	reason  string
	payload string
}

func callResultOf(resp *callerv1.CallResponse, err error) (callResult, error) {
	if err != nil {
		return callResult{}, err
	}
	return callResult{resp.GetOutcome().GetKind(), resp.GetOutcome().GetReason(), string(resp.GetPayload())}, nil
}

// mustCall sends a call and returns its outcome; an error fails the test.
func (env *testEnv) mustCall(t testing.TB, client callerv1connect.CallerServiceClient, req *callerv1.CallRequest) callResult {
	t.Helper()
	got, err := callResultOf(client.Call(context.Background(), req))
	if err != nil {
		t.Fatal(err)
	}
	return got
}

// streamResult is a token stream as its caller got it.
type streamResult struct {
	tokens  []string
	outcome *callerv1.Outcome
}

// streamMessage is a message of a token stream.
type streamMessage[M any] interface {
	*M
	GetTokens() *callerv1.TokenFrame
	GetOutcome() *callerv1.Outcome
}

// collect reads a token stream to its end.
func collect[M any, P streamMessage[M]](stream *connect.ServerStreamForClient[M]) (streamResult, error) {
	defer func() { _ = stream.Close() }()
	var got streamResult
	for stream.Receive() {
		message := P(stream.Msg())
		got.tokens = append(got.tokens, message.GetTokens().GetTokens()...)
		if o := message.GetOutcome(); o != nil {
			got.outcome = o
		}
	}
	return got, stream.Err()
}

// generate reads a token stream to its end.
func generate(ctx context.Context, client callerv1connect.CallerServiceClient, req *callerv1.GenerateRequest) (streamResult, error) {
	stream, err := client.Generate(ctx, req)
	if err != nil {
		return streamResult{}, err
	}
	return collect(stream)
}

// resume reads the rest of a token stream to its end.
func resume(ctx context.Context, client callerv1connect.CallerServiceClient, req *callerv1.ResumeRequest) (streamResult, error) {
	stream, err := client.Resume(ctx, req)
	if err != nil {
		return streamResult{}, err
	}
	return collect(stream)
}

// errorCodeAndText returns the code and the text of an error.
func errorCodeAndText(err error) (connect.Code, string) {
	var wire *connect.Error
	if !errors.As(err, &wire) {
		return 0, ""
	}
	return wire.Code(), wire.Message()
}
