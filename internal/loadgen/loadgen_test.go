package loadgen

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/types/known/durationpb"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
	"github.com/goldcrestspool/goldcrestspool/api/standin/v1/standinv1connect"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/admin"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/answer"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/plain"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// errCut makes the scripted gateway close the connection instead of answering.
var errCut = errors.New("cut")

// scriptedGateway is a gateway in front of a plain stand-in that answers by
// scripts. Each script is used once, the last one for all requests that follow.
type scriptedGateway struct {
	callerv1connect.UnimplementedCallerServiceHandler
	plain *plain.Service

	mu       sync.Mutex
	streams  []streamScript
	calls    []callScript
	outcomes []callScript
}

// streamScript sends the tokens of a prompt's answer with the indexes from up to,
// but not including, to.
type streamScript func(ctx context.Context, prompt string, from, to int, send func(int, ...string)) (*callerv1.Outcome, error)

// callScript answers a call, or the query for its outcome.
type callScript func(ctx context.Context, g *scriptedGateway, key string) (*callerv1.Outcome, []byte, error)

// nextScript returns the next script of a list.
func nextScript[S any](g *scriptedGateway, scripts *[]S) S {
	g.mu.Lock()
	defer g.mu.Unlock()
	script := (*scripts)[0]
	if len(*scripts) > 1 {
		*scripts = (*scripts)[1:]
	}
	return script
}

func (g *scriptedGateway) Generate(
	ctx context.Context, req *callerv1.GenerateRequest, out *connect.ServerStream[callerv1.GenerateResponse],
) error {
	outcome, err := nextScript(g, &g.streams)(ctx, req.GetPrompt(), 0, int(req.GetMaxTokens()), func(i int, tokens ...string) {
		frame := &callerv1.TokenFrame{Index: uint32(i), Tokens: tokens}
		_ = out.Send(&callerv1.GenerateResponse{Event: &callerv1.GenerateResponse_Tokens{Tokens: frame}})
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return out.Send(&callerv1.GenerateResponse{Event: &callerv1.GenerateResponse_Outcome{Outcome: outcome}})
}

func (g *scriptedGateway) Resume(
	ctx context.Context, req *callerv1.ResumeRequest, out *connect.ServerStream[callerv1.ResumeResponse],
) error {
	from, to := int(req.GetNextIndex()), int(req.GetOriginal().GetMaxTokens())
	outcome, err := nextScript(g, &g.streams)(ctx, req.GetOriginal().GetPrompt(), from, to, func(i int, tokens ...string) {
		frame := &callerv1.TokenFrame{Index: uint32(i), Tokens: tokens}
		_ = out.Send(&callerv1.ResumeResponse{Event: &callerv1.ResumeResponse_Tokens{Tokens: frame}})
	})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return out.Send(&callerv1.ResumeResponse{Event: &callerv1.ResumeResponse_Outcome{Outcome: outcome}})
}

func (g *scriptedGateway) Call(ctx context.Context, req *callerv1.CallRequest) (*callerv1.CallResponse, error) {
	outcome, payload, err := nextScript(g, &g.calls)(ctx, g, req.GetIdempotencyKey())
	if connect.CodeOf(err) == connect.CodeInvalidArgument {
		return nil, err
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return &callerv1.CallResponse{Outcome: outcome, Payload: payload}, nil
}

func (g *scriptedGateway) GetOutcome(
	ctx context.Context, req *callerv1.GetOutcomeRequest,
) (*callerv1.GetOutcomeResponse, error) {
	outcome, payload, err := nextScript(g, &g.outcomes)(ctx, g, req.GetIdempotencyKey())
	if err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	return &callerv1.GetOutcomeResponse{Outcome: outcome, Payload: payload}, nil
}

func outcomeOf(kind callerv1.OutcomeKind) *callerv1.Outcome {
	return &callerv1.Outcome{Kind: kind, Reason: "overloaded", RetryAfter: durationpb.New(time.Millisecond)}
}

var (
	completed = outcomeOf(callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED)
	notRun    = outcomeOf(callerv1.OutcomeKind_OUTCOME_KIND_NOT_RUN)
	unknown   = outcomeOf(callerv1.OutcomeKind_OUTCOME_KIND_UNKNOWN)
	notSeen   = &callerv1.Outcome{Kind: callerv1.OutcomeKind_OUTCOME_KIND_UNKNOWN, Reason: "not_seen"}
)

func whole(_ context.Context, prompt string, from, to int, send func(int, ...string)) (*callerv1.Outcome, error) {
	for i := from; i < to; i++ {
		send(i, answer.Token(prompt, i))
	}
	return completed, nil
}

func refuse(context.Context, string, int, int, func(int, ...string)) (*callerv1.Outcome, error) {
	return notRun, nil
}

func cut(_ context.Context, prompt string, from, _ int, send func(int, ...string)) (*callerv1.Outcome, error) {
	send(from, answer.Token(prompt, from))
	return nil, errCut
}

func silent(ctx context.Context, prompt string, from, _ int, send func(int, ...string)) (*callerv1.Outcome, error) {
	send(from, answer.Token(prompt, from))
	<-ctx.Done()
	return nil, errCut
}

// sendsFrame returns a script that sends one frame and the outcome completed.
func sendsFrame(index int, tokens func(prompt string, n int) []string) streamScript {
	return func(_ context.Context, prompt string, _, to int, send func(int, ...string)) (*callerv1.Outcome, error) {
		send(index, tokens(prompt, to)...)
		return completed, nil
	}
}

// execute executes a booking once at the plain stand-in.
func execute(ctx context.Context, g *scriptedGateway, key string) (*callerv1.Outcome, []byte, error) {
	got, err := g.plain.Invoke(ctx, upstream.InvokeRequest{
		Method:  "bid",
		Key:     ident.CallKey{Service: "auktion-app", Account: "alpha", Key: ident.Key(key)}.String(),
		Payload: []byte("booking " + key),
	})
	return completed, got.Payload, err
}

func executeTwice(ctx context.Context, g *scriptedGateway, key string) (*callerv1.Outcome, []byte, error) {
	_, _, _ = execute(ctx, g, key)
	return execute(ctx, g, key)
}

// executeButAnswer returns a script that executes a booking but answers with
// another outcome and payload.
func executeButAnswer(outcome *callerv1.Outcome, err error) callScript {
	return func(ctx context.Context, g *scriptedGateway, key string) (*callerv1.Outcome, []byte, error) {
		_, _, _ = execute(ctx, g, key)
		return outcome, []byte("something else"), err
	}
}

// answerOnly returns a script that answers without executing anything.
func answerOnly(outcome *callerv1.Outcome, err error) callScript {
	return func(_ context.Context, _ *scriptedGateway, key string) (*callerv1.Outcome, []byte, error) {
		return outcome, answer.Reply("bid", []byte("booking "+key)), err
	}
}

const (
	// testTimeout is longer than any answer takes.
	testTimeout = time.Minute
	// shortTimeout ends requests that never get a final outcome.
	shortTimeout = 2 * time.Second
	// shortSilenceTimeout ends a stream that stays silent.
	shortSilenceTimeout = 100 * time.Millisecond
)

// runOne sends one arrival to a scripted gateway, expects a verdict and returns
// the result. Timeouts that no case waits for are long, so that a busy machine
// does not run into them.
func runOne(t *testing.T, g *scriptedGateway, kind Kind, silence time.Duration, want Verdict) *Result {
	t.Helper()
	options := Options{CallerTimeout: testTimeout, SilenceTimeout: silence, MaxRefusals: 2}
	if want == Lost || want == Unknown {
		options.CallerTimeout = shortTimeout
	}
	g.plain = plain.New(plain.Options{})
	mux := http.NewServeMux()
	mux.Handle(callerv1connect.NewCallerServiceHandler(g))
	mux.Handle(standinv1connect.NewPlainAdminServiceHandler(&admin.Plain{Service: g.plain}))
	address := strings.TrimPrefix(testkit.Serve(t, mux), "http://")
	account := Account{Name: "alpha", Token: "secret", Weight: 1}
	workload := &Workload{
		ModelService: "spool-llm", PlainService: "auktion-app", BookingMethod: "bid",
		Accounts: []Account{account},
		Shapes:   map[Kind]Shape{Short: {Class: "short", PromptTokens: 8, MaxTokens: 4}},
	}
	options.Gateways, options.PlainStandins = []string{address}, []string{address}
	result := NewRun(options, workload).Do(t.Context(), []Arrival{{Kind: kind, Account: account}})
	expectVerdict(t, result, kind, want)
	return result
}

func expectVerdict(t *testing.T, result *Result, kind Kind, want Verdict) {
	t.Helper()
	if got := result.Kinds[kind].Verdicts; !cmp.Equal(got, map[Verdict]int{want: 1}) {
		t.Errorf("got %v, want %s; %+v", got, want, result.Problems)
	}
	reasons := map[string]int{}
	if want == Refused || want == Unknown {
		reasons["overloaded"] = 1
	}
	if got := result.Kinds[kind].Reasons; !cmp.Equal(got, reasons) {
		t.Errorf("reasons %v, want %v", got, reasons)
	}
	if (result.Broken > 0) != want.BreaksPromise() {
		t.Errorf("%d broken for verdict %s", result.Broken, want)
	}
}

func TestStreamsAreJudged(t *testing.T) {
	cases := []struct {
		story   string
		streams []streamScript
		want    Verdict
		resumes int
	}{
		{"whole answer", []streamScript{whole}, Whole, 0},
		{"answer of another prompt", []streamScript{sendsFrame(0, func(_ string, n int) []string { return answer.Tokens("other", n) })}, Wrong, 0},
		{"gap", []streamScript{sendsFrame(1, answer.Tokens)}, Wrong, 0},
		{"more than asked", []streamScript{sendsFrame(0, func(p string, n int) []string { return answer.Tokens(p, n+1) })}, Wrong, 0},
		{"end missing", []streamScript{sendsFrame(0, func(p string, n int) []string { return answer.Tokens(p, n-1) })}, Incomplete, 0},
		{"resumed with a token again", []streamScript{cut, sendsFrame(0, answer.Tokens)}, Doubled, 1},
		{"cut and resumed", []streamScript{cut, cut, whole}, Whole, 2},
		{"refused, then served", []streamScript{refuse, whole}, Whole, 0},
		{"cut, refused, then resumed", []streamScript{cut, refuse, whole}, Whole, 2},
		{"refused for ever", []streamScript{refuse}, Refused, 0},
		{"nothing but a dead connection", []streamScript{func(context.Context, string, int, int, func(int, ...string)) (*callerv1.Outcome, error) {
			return nil, errCut
		}}, Lost, -1},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			result := runOne(t, &scriptedGateway{streams: c.streams}, Short, testTimeout, c.want)
			if c.resumes >= 0 && result.Resumes != c.resumes {
				t.Errorf("%d resumes, want %d", result.Resumes, c.resumes)
			}
		})
	}
}

// Guards against a caller that waits for ever because its stream delivers nothing
// any more, not even heartbeats.
func TestSilentStreamIsResumed(t *testing.T) {
	result := runOne(t, &scriptedGateway{streams: []streamScript{silent, whole}}, Short, shortSilenceTimeout, Whole)
	if result.Resumes == 0 {
		t.Error("the stream was not resumed")
	}
}

// Guards against a caller that waits for ever because a gateway executes a call
// and then freezes without answering.
func TestOutcomeOfASilentCallIsQueried(t *testing.T) {
	frozen := func(ctx context.Context, g *scriptedGateway, key string) (*callerv1.Outcome, []byte, error) {
		_, _, _ = execute(ctx, g, key)
		<-ctx.Done()
		return nil, nil, errCut
	}
	g := &scriptedGateway{calls: []callScript{frozen, executeTwice}, outcomes: []callScript{answerOnly(completed, nil)}}
	runOne(t, g, Booking, shortSilenceTimeout, Whole)
}

func TestBookingsAreJudged(t *testing.T) {
	calls := func(scripts ...callScript) []callScript { return scripts }
	cases := []struct {
		story           string
		calls, outcomes []callScript
		want            Verdict
	}{
		{"executed once", calls(execute), nil, Whole},
		{"answer of another booking", calls(executeButAnswer(completed, nil)), nil, Wrong},
		{"executed twice", calls(executeTwice), nil, Doubled},
		{"confirmed but not executed", calls(answerOnly(completed, nil)), nil, Lost},
		{"called not run but executed", calls(executeButAnswer(notRun, nil), answerOnly(notRun, nil)), nil, Wrong},
		{"refused, then served", calls(answerOnly(notRun, nil), execute), nil, Whole},
		{"refused for ever", calls(answerOnly(notRun, nil)), nil, Refused},
		{"answer lost, outcome found", calls(executeButAnswer(nil, errCut)), calls(answerOnly(unknown, nil), answerOnly(completed, nil)), Whole},
		{"request lost, key unknown, sent again", calls(answerOnly(nil, errCut), execute), calls(answerOnly(nil, errCut)), Whole},
		{"request lost, not seen, sent again", calls(answerOnly(nil, errCut), execute), calls(answerOnly(notSeen, nil)), Whole},
		{"unknown for ever", calls(answerOnly(unknown, nil)), calls(answerOnly(unknown, nil)), Unknown},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			runOne(t, &scriptedGateway{calls: c.calls, outcomes: c.outcomes}, Booking, testTimeout, c.want)
		})
	}
}

// Guards against counting every error of a request that was sent as a cut: here
// the gateway answers that the service has no such method, and no connection
// breaks.
func TestRejectedBookingIsNoCut(t *testing.T) {
	rejection := connect.NewError(connect.CodeInvalidArgument, errors.New("no such method"))
	result := runOne(t, &scriptedGateway{calls: []callScript{answerOnly(nil, rejection)}}, Booking, testTimeout, Lost)
	if result.Cuts != 0 {
		t.Errorf("%d cuts, want none", result.Cuts)
	}
}

func TestArrivalsFollowTheirRateAndShares(t *testing.T) {
	workload := &Workload{
		Accounts: []Account{{Name: "large", Weight: 3}, {Name: "small", Weight: 1}},
		Weights:  map[Kind]float64{Short: 1, Booking: 1},
	}
	arrivals := workload.Poisson(100, 100*time.Second, 1)
	if !cmp.Equal(arrivals, workload.Poisson(100, 100*time.Second, 1)) {
		t.Error("the same seed gave other arrivals")
	}
	count := map[string]int{}
	for _, a := range arrivals {
		count[string(a.Account.Name)]++
		count[string(a.Kind)]++
	}
	// Five standard deviations of a count of 10,000 are 500.
	for name, want := range map[string]int{"large": 7500, "small": 2500, "short": 5000, "booking": 5000, "long": 0} {
		if got := count[name]; got < want-500 || got > want+500 {
			t.Errorf("%s: %d arrivals, want about %d", name, got, want)
		}
	}
}

func TestTraceFaultsAreReportedTogether(t *testing.T) {
	workload := &Workload{Accounts: []Account{{Name: "alpha"}}}
	good := `{"at_ms":5,"kind":"short","account":"alpha"}`
	arrivals, err := workload.ReadTrace(strings.NewReader(good))
	want := []Arrival{{At: 5 * time.Millisecond, Kind: Short, Account: Account{Name: "alpha"}}}
	if err != nil || !cmp.Equal(arrivals, want) {
		t.Errorf("got %+v, %v", arrivals, err)
	}
	bad := good + "\nnonsense\n" + `{"at_ms":1,"kind":"short","account":"alpha"}` + "\n" +
		`{"at_ms":6,"kind":"odd","account":"alpha"}` + "\n" + `{"at_ms":7,"kind":"short","account":"beta"}`
	_, err = workload.ReadTrace(strings.NewReader(bad))
	for _, fault := range []string{"line 2:", "line 3: at_ms", "line 4: unknown kind", "line 5: unknown account"} {
		if err == nil || !strings.Contains(err.Error(), fault) {
			t.Errorf("%q is missing in %v", fault, err)
		}
	}
}

func TestAuditWithoutAllExecutions(t *testing.T) {
	const key = "auktion-app/alpha/k"
	cases := []struct {
		story string
		count uint32
		// caller is the verdict before the audit.
		caller Verdict
		want   Verdict
	}{
		{"executed where nobody answers, it may be", 0, Whole, ""},
		{"doubled among those that answer", 2, Whole, Doubled},
		{"refused but executed", 1, Refused, Wrong},
		{"refused", 0, Refused, ""},
	}
	for _, c := range cases {
		e := executions{count: map[string]uint32{key: c.count}, unreachable: 1}
		audited := e.auditBooking(key, c.caller)
		if audited == nil {
			audited = &assessment{}
		}
		if audited.verdict != c.want {
			t.Errorf("%s: got %q, want %q", c.story, audited.verdict, c.want)
		}
	}
}
