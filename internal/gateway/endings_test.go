package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/internal/admission"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func TestRetries(t *testing.T) {
	refuse := func(err error) func(invocation) (upstream.Answer, error) {
		return func(invocation) (upstream.Answer, error) { return upstream.Answer{}, err }
	}
	none := retry.BudgetConfig{Ratio: 1e-9, Floor: 1e-9, MaxStored: 1e-9}
	cases := map[string]struct {
		budget retry.BudgetConfig
		err    error
		send   *callerv1.CallRequest
		// want is what the caller gets, and calls is how many calls reach the
		// upstreams.
		want  callResult
		calls int
	}{
		"an idempotent call is repeated elsewhere":                {err: errLost, send: lookupRequest("x"), want: callResult{kind: completed, payload: "x"}, calls: 2},
		"an idempotent call is not repeated beyond the budget":    {budget: none, err: errLost, send: lookupRequest("x"), want: callResult{kind: unknown, reason: "overloaded"}, calls: 1},
		"one that was refused did not run":                        {budget: none, err: upstream.ErrLeaving, send: lookupRequest("x"), want: callResult{kind: notRun, reason: "overloaded"}, calls: 1},
		"a booking whose answer was lost is never sent again":     {err: errLost, send: bidRequest("lost", 1, "x"), want: callResult{kind: unknown, reason: "upstream_lost"}, calls: 1},
		"a booking that an upstream refused may go to another":    {err: upstream.ErrLeaving, send: bidRequest("refused", 1, "x"), want: callResult{kind: completed, payload: "x"}, calls: 2},
		"an error that another upstream would give as well stays": {err: errcode.New(errcode.InvalidArgument, "bad lot"), send: lookupRequest("x"), want: callResult{kind: unknown, reason: "upstream_lost"}, calls: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t, envOptions{budget: c.budget})
			env.failFirstCall(refuse(c.err))
			if got := env.mustCall(t, env.client, c.send); got != c.want {
				t.Errorf("got outcome %+v, want %+v", got, c.want)
			}
			first, second := len(env.first.calls()), len(env.second.calls())
			if first+second != c.calls || c.calls == 2 && first != second {
				t.Errorf("%d and %d calls reached the upstreams, want %d in all, each at a different upstream", first, second, c.calls)
			}
		})
	}
}

// failFirstCall makes fail answer the first call, whichever upstream it goes to.
func (env *testEnv) failFirstCall(fail func(invocation) (upstream.Answer, error)) {
	turn := make(chan struct{}, 1)
	turn <- struct{}{}
	answer := func(i invocation) (upstream.Answer, error) {
		select {
		case <-turn:
			return fail(i)
		default:
			return upstream.Answer{Payload: i.request.Payload}, nil
		}
	}
	env.first.answer, env.second.answer = answer, answer
}

// holdCalls makes calls wait at the upstreams until release is closed or their context
// ends. arrived receives each of the calls.
func (env *testEnv) holdCalls() (arrived chan invocation, release chan struct{}) {
	arrived, release = make(chan invocation, 16), make(chan struct{})
	answer := func(i invocation) (upstream.Answer, error) {
		arrived <- i
		select {
		case <-release:
			return upstream.Answer{Payload: i.request.Payload}, nil
		case <-i.ctx.Done():
			return upstream.Answer{}, errcode.Wrap(errcode.Cancelled, i.ctx.Err(), "invoke")
		}
	}
	env.first.answer, env.second.answer = answer, answer
	return arrived, release
}

func TestDeadlines(t *testing.T) {
	t.Run("the upstream gets the method's timeout", func(t *testing.T) {
		for _, req := range []*callerv1.CallRequest{lookupRequest("x"), bidRequest("timeout", 1, "x")} {
			env := newTestEnv(t, envOptions{})
			env.mustCall(t, env.client, req)
			seen := append(env.first.calls(), env.second.calls()...)
			deadline, ok := seen[0].ctx.Deadline()
			if !ok || time.Until(deadline) > 20*time.Second {
				t.Errorf("%s: got deadline %v (set: %v), want one within 20s", req.GetMethod(), deadline, ok)
			}
		}
	})
	t.Run("a call that runs when the method's timeout ends may have run", func(t *testing.T) {
		env := newTestEnv(t, envOptions{})
		env.holdCalls()
		req := bidRequest("slow", 1, "x")
		req.Method = "quick_bid"
		if got := env.mustCall(t, env.client, req); got.kind != unknown {
			t.Errorf("got outcome %+v, want unknown", got)
		}
	})
	t.Run("a booking goes on when its caller has gone, and its outcome is kept", func(t *testing.T) {
		env := newTestEnv(t, envOptions{})
		arrived, release := env.holdCalls()
		ctx, cancel := context.WithCancel(context.Background())
		gone := make(chan error, 1)
		go func() {
			_, err := env.client.Call(ctx, bidRequest("left", 1, "x"))
			gone <- err
		}()
		i := <-arrived
		cancel()
		if err := <-gone; connect.CodeOf(err) != connect.CodeCanceled {
			t.Errorf("the caller got %v, want a cancellation", err)
		}
		close(release)
		if got := env.callUntilFinal(t, bidRequest("left", 2, "x")); got.kind != completed {
			t.Errorf("the repeat got outcome %+v, want completed", got)
		}
		if i.ctx.Err() != nil && len(env.first.calls())+len(env.second.calls()) != 1 {
			t.Error("the booking was cut off or ran twice")
		}
	})
	t.Run("a look-up is cut off when its caller goes", func(t *testing.T) {
		env := newTestEnv(t, envOptions{})
		arrived, _ := env.holdCalls()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _, _ = env.client.Call(ctx, lookupRequest("x")) }()
		i := <-arrived
		cancel()
		<-i.ctx.Done()
	})
	t.Run("a queued call that is given up on did not run", func(t *testing.T) {
		env := newTestEnv(t, envOptions{admission: admission.Config{
			// With a short initial hold time, admission queues callers as it expects to
			// serve them in time.
			Gate:        gate.Config{InitialHoldTime: time.Millisecond},
			Concurrency: concurrency.Config{Initial: 1, Min: 1, Max: 1},
		}})
		arrived, release := env.holdCalls()
		for _, key := range []string{"runs-1", "runs-2"} {
			go func() { _, _ = env.client.Call(context.Background(), bidRequest(key, 1, "x")) }()
		}
		<-arrived
		<-arrived
		late := bidRequest("late", 1, "y")
		late.Method = "quick_bid"
		if got := env.mustCall(t, env.client, late); got.kind != notRun {
			t.Errorf("got outcome %+v, want not run", got)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		got, err := callResultOf(env.client.Call(ctx, bidRequest("cancelled", 1, "y")))
		if err == nil && got.kind != notRun || err != nil && connect.CodeOf(err) != connect.CodeDeadlineExceeded {
			t.Errorf("the cancelled caller got outcome %+v, error %v", got, err)
		}
		close(release)
		if got := env.mustCall(t, env.client, bidRequest("after", 1, "z")); got.kind != completed {
			t.Errorf("a later call got outcome %+v, want completed", got)
		}
		// No call with the outcome not_run may have run. The cancelled one may have
		// been granted a slot before its cancellation arrived.
		for _, i := range append(env.first.calls(), env.second.calls()...) {
			if strings.HasSuffix(i.request.Key, "/late") || err == nil && strings.HasSuffix(i.request.Key, "/cancelled") {
				t.Errorf("call %s reached an upstream although it was reported as not run", i.request.Key)
			}
		}
	})
}

// callUntilFinal repeats a call until its outcome is final.
func (env *testEnv) callUntilFinal(t *testing.T, req *callerv1.CallRequest) callResult {
	t.Helper()
	for {
		got := env.mustCall(t, env.client, req)
		if got.kind != inProgress && got.kind != unknown {
			return got
		}
		req.Attempt++
	}
}

func TestLeavingGatewayRefusesTruthfully(t *testing.T) {
	env := newTestEnv(t, envOptions{})
	if got := env.mustCall(t, env.client, bidRequest("done", 1, "x")); got.kind != completed {
		t.Fatal(got)
	}
	env.board.Stopping.Publish(true)
	stop, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := env.handler.calls.(interface{ Stop(context.Context) error }).Stop(stop); err != nil {
		t.Fatal(err)
	}
	leaving := string(outcome.ReasonLeaving)
	if got, want := env.mustCall(t, env.client, lookupRequest("x")), (callResult{kind: notRun, reason: leaving}); got != want {
		t.Errorf("a look-up got outcome %+v", got)
	}
	if got, want := env.mustCall(t, env.client, bidRequest("new", 1, "x")), (callResult{kind: notRun, reason: leaving}); got != want {
		t.Errorf("a new booking got outcome %+v", got)
	}
	if got, want := env.mustCall(t, env.client, bidRequest("new", 2, "x")), (callResult{kind: unknown, reason: leaving}); got != want {
		t.Errorf("a repeated booking got outcome %+v", got)
	}
	if got, want := env.mustCall(t, env.client, bidRequest("done", 2, "x")), (callResult{kind: completed, payload: "x"}); got != want {
		t.Errorf("a completed booking got outcome %+v", got)
	}
	got, err := generate(context.Background(), env.client, generateRequest(streamID, "p", 3))
	if err != nil || got.outcome.GetKind() != notRun || got.outcome.GetReason() != leaving {
		t.Errorf("a token stream got %+v, error %v", got, err)
	}
	if n := len(env.first.calls()) + len(env.second.calls()); n != 1 {
		t.Errorf("%d calls reached the upstreams, want 1", n)
	}
}

// A panic in a handler must end only its own request. If it is not recovered it ends
// the process; if its ticket is not given back, a slot is lost for good.
func TestPanicEndsOneRequestOnly(t *testing.T) {
	env := newTestEnv(t, envOptions{limit: document.AccountLimit{MaxInFlight: 1}})
	env.failFirstCall(func(invocation) (upstream.Answer, error) { panic("secret-panic") })
	ctx, caller := tracedContext()
	_, err := env.client.Call(ctx, lookupRequest("x"))
	if code, text := errorCodeAndText(err); code != connect.CodeInternal || text != "internal error" {
		t.Errorf("got error %v %q, want an internal error", code, text)
	}
	if got := env.mustCall(t, env.client, lookupRequest("y")); got.kind != completed {
		t.Errorf("the next request got outcome %+v, want completed", got)
	}
	if log := env.output.String(); !strings.Contains(log, "handler panicked") || strings.Contains(log, "secret-panic") {
		t.Errorf("want the panic logged without its value, got log: %s", log)
	}
	if text := traceText(caller.TraceID()); !strings.Contains(text, "call") || strings.Contains(text, "secret-panic") {
		t.Errorf("want the span of the call without the panic's value, got spans: %s", text)
	}
}

func TestApplicationErrorIsToldAsFailed(t *testing.T) {
	env := newTestEnv(t, envOptions{})
	env.failFirstCall(func(invocation) (upstream.Answer, error) {
		return upstream.Answer{Payload: []byte("no such lot"), Failed: true}, nil
	})
	if got, want := env.mustCall(t, env.client, lookupRequest("x")), (callResult{failed, "application_error", "no such lot"}); got != want {
		t.Errorf("got outcome %+v, want %+v", got, want)
	}
}
