package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// quotingEngine fails its first request with an error that quotes the prompt.
type quotingEngine struct {
	upstream.Engine
	asked atomic.Int32
}

func (q *quotingEngine) Generate(ctx context.Context, req upstream.GenerateRequest) (upstream.TokenStream, error) {
	if q.asked.Add(1) == 1 {
		return nil, errcode.New(errcode.Unavailable, "cannot serve "+req.Prompt)
	}
	return q.Engine.Generate(ctx, req)
}

// What callers send must not appear in the log, in traces or in other callers'
// outcomes. The upstreams' errors quote the request and name addresses, and would
// reveal both if their texts were passed on.
func TestNothingThatCallersSendIsLoggedOrTraced(t *testing.T) {
	env := newTestEnv(t, envOptions{engine: &quotingEngine{Engine: newEngine(t)}})
	// With three upstreams a booking ends when its last target has failed.
	upstreams := envUpstreams()
	third := upstreams.ByService[plainService][1]
	third.Instance.ID, third.Instance.Address = "app-3", "app-3"
	upstreams.ByService[plainService] = append(upstreams.ByService[plainService], third)
	env.board.Upstreams.Publish(upstreams)
	quote := func(kind error) func(invocation) (upstream.Answer, error) {
		return func(i invocation) (upstream.Answer, error) {
			text := "10.9.8.7:443 says: cannot run " + string(i.request.Payload)
			if kind != nil {
				return upstream.Answer{}, errcode.Wrap(errcode.Unavailable, fmt.Errorf("%w: %s", kind, text), "invoke")
			}
			return upstream.Answer{}, errcode.New(errcode.Unavailable, text)
		}
	}
	ctx, caller := tracedContext()
	var messages strings.Builder
	for _, kind := range []error{nil, upstream.ErrLeaving, upstream.ErrNotSent} {
		for i, req := range []string{"first", "second", "third", "fourth"} {
			env.first.answer, env.second.answer = quote(kind), quote(kind)
			for _, call := range []bool{true, false} {
				message := lookupRequest("secret-payload")
				if call {
					message = bidRequest(fmt.Sprint(req, i, kind), 1, "secret-payload")
				}
				resp, err := env.client.Call(ctx, message)
				if err != nil {
					t.Fatal(err)
				}
				messages.WriteString(resp.GetOutcome().GetMessage() + "\n")
			}
		}
	}
	if got, err := generate(ctx, env.client, generateRequest(streamID, "secret-prompt", 4)); err != nil || len(got.tokens) != 4 {
		t.Errorf("got stream %+v, error %v, want 4 tokens", got, err)
	}
	malformed := generateRequest("secret-id", "secret-prompt", 0)
	if _, err := generate(ctx, env.client, malformed); err == nil {
		t.Error("no error for a malformed request")
	}
	if _, err := env.clientWithToken(t, "secret-wrong-token").Call(ctx, lookupRequest("secret-payload")); err == nil {
		t.Error("no error for a wrong token")
	}
	inSpans := traceText(caller.TraceID())
	if !strings.Contains(inSpans, "upstream attempt") || !strings.Contains(env.output.String(), "request refused or failed") {
		t.Fatal("nothing was logged or traced")
	}
	for place, text := range map[string]string{"log": env.output.String(), "spans": inSpans, "outcomes": messages.String()} {
		for line := range strings.Lines(text) {
			if strings.Contains(line, "secret-") || strings.Contains(line, "10.9.8.7") {
				t.Errorf("the %s reveal what a caller sent or an address: %s", place, line)
			}
		}
	}
}
