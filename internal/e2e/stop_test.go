//go:build e2e

package e2e

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	callerv1 "github.com/goldcrestspool/goldcrestspool/api/caller/v1"
	"github.com/goldcrestspool/goldcrestspool/api/caller/v1/callerv1connect"
)

// asked is a request and what its caller heard. outcome is nil if that was no outcome.
type asked struct {
	key     string
	sent    time.Time
	took    time.Duration
	outcome *callerv1.Outcome
	err     error
}

// askFunc sends one request and returns its outcome.
type askFunc func(ctx context.Context, client callerv1connect.CallerServiceClient, key string) (*callerv1.Outcome, error)

func call(method string) askFunc {
	return func(ctx context.Context, client callerv1connect.CallerServiceClient, key string) (*callerv1.Outcome, error) {
		req := &callerv1.CallRequest{Service: "auktion-app", Method: method, Payload: []byte("x"), Attempt: 1}
		if method == "place_bid" {
			req.IdempotencyKey, req.IssuedAt = key, timestamppb.Now()
		}
		answer, err := client.Call(ctx, req)
		return answer.GetOutcome(), err
	}
}

func stream(ctx context.Context, client callerv1connect.CallerServiceClient, key string) (*callerv1.Outcome, error) {
	tokens, err := client.Generate(ctx, &callerv1.GenerateRequest{Service: "spool-llm", Class: "short", Prompt: "x", MaxTokens: 100, RequestId: key, Attempt: 1})
	if err != nil {
		return nil, err
	}
	defer tokens.Close()
	for tokens.Receive() {
		if o := tokens.Msg().GetOutcome(); o != nil {
			return o, nil
		}
	}
	return nil, errors.Join(errors.New("the stream ended without an outcome"), tokens.Err())
}

// askUntil sends requests one after another on one connection, which is kept, until ctx ends.
func askUntil(ctx context.Context, g *process, ask askFunc, add func(asked)) {
	client := callerv1connect.NewCallerServiceClient(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}}, "http://"+g.addresses.Callers)
	for ctx.Err() == nil {
		a := asked{key: uuid.NewString(), sent: time.Now()}
		a.outcome, a.err = ask(withToken(ctx), client, a.key)
		a.took = time.Since(a.sent)
		add(a)
		if a.outcome.GetKind() != callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func withToken(ctx context.Context) context.Context {
	ctx, call := connect.NewClientContext(ctx)
	call.RequestHeader().Set("Authorization", "Bearer "+token)
	return ctx
}

// stopping starts a gateway with a limit for its planned stop, and upstreams that need work for a call.
func (s *system) stopping(limit, work time.Duration) (*process, *process) {
	s.t.Helper()
	for _, service := range strings.Fields(services) {
		s.run("spoolctl", "publish", filepath.Join(rootDir, "examples", service+".toml"), "--platform", s.address())
	}
	app := launch(s.t, "app-1", "standin", "plain", "--platform", s.address(), "--id", "app-1", "--service", "auktion-app",
		"--failure-domain", failureDomain(0), "--class", "cpu-small", "--checks-fencing", "--finds-outcomes", "--before", "5ms", "--after", work.String())
	s.engine("engine-1", failureDomain(0), "--step", "100ms")
	file := s.settings("gateway-1", failureDomain(0), fmt.Sprintf("[limits]\nstop_timeout = %q\n[[client_accounts]]\nname = %q\ntoken_sha256 = \"%x\"\n",
		limit, account, sha256.Sum256([]byte(token))))
	g := launch(s.t, "gateway-1", "gateway", "--settings", file)
	s.admin("register", "--id", "gateway-1", "--incarnation", "1", "--failure-domain", failureDomain(0), "--address", g.addresses.Callers, "--peer-address", g.addresses.Peers)
	s.gateways = append(s.gateways, g)
	s.awaitReady(g)
	return g, app
}

// expectOutcomesElsewhere fails the test unless another gateway knows in time what became of the calls whose callers were
// told to ask again by key.
func (s *system) expectOutcomesElsewhere(all []asked) {
	s.t.Helper()
	var other *process
	for _, a := range all {
		if a.outcome.GetKind() != callerv1.OutcomeKind_OUTCOME_KIND_UNKNOWN || !strings.Contains(a.outcome.GetMessage(), "ask again by key") {
			continue
		}
		if other == nil {
			other = s.gateway("gateway-2", failureDomain(0))
			s.awaitReady(other)
		}
		client := callerv1connect.NewCallerServiceClient(http.DefaultClient, "http://"+other.addresses.Callers)
		s.await("the outcome of "+a.key, func() bool {
			found, err := client.GetOutcome(withToken(s.t.Context()), &callerv1.GetOutcomeRequest{Service: "auktion-app", IdempotencyKey: a.key})
			return err == nil && found.GetOutcome().GetKind() == callerv1.OutcomeKind_OUTCOME_KIND_COMPLETED
		})
	}
}

// Guards against requests that a stopping gateway takes late, or has still in progress at the end, and that it cuts without
// an answer. Callers keep their connections and send until the process is gone.
func TestCallersAreAnsweredInAPlannedStop(t *testing.T) {
	const (
		callers = 16
		// A request that waited longer than this was taken; a connection that was idle may be closed at any time.
		taken = 100 * time.Millisecond
	)
	for name, c := range map[string]struct {
		ask         askFunc
		work, limit time.Duration
	}{
		"keyed calls that are short":                {call("place_bid"), 150 * time.Millisecond, 2 * time.Second},
		"keyed calls that are long":                 {call("place_bid"), 900 * time.Millisecond, 2 * time.Second},
		"keyed calls that are longer than the stop": {call("place_bid"), 2500 * time.Millisecond, 2 * time.Second},
		"calls that are long":                       {call("lookup"), 900 * time.Millisecond, 2 * time.Second},
		"calls that are longer than the stop":       {call("lookup"), 4 * time.Second, 1 * time.Second},
		"streams that are longer than the stop":     {stream, 0, 2 * time.Second},
	} {
		t.Run(strings.ReplaceAll(name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			g, app := s.stopping(c.limit, c.work)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var mu sync.Mutex
			var all []asked
			var running sync.WaitGroup
			for range callers {
				running.Go(func() {
					askUntil(ctx, g, c.ask, func(a asked) {
						mu.Lock()
						defer mu.Unlock()
						all = append(all, a)
					})
				})
			}
			time.Sleep(600 * time.Millisecond)
			stopped := time.Now()
			g.stop()
			took := time.Since(stopped)
			cancel()
			running.Wait()
			effects := s.run("standin", "admin", "--platform", s.address(), "effects", "--plain", app.addresses.Address)
			counts := map[string]int{}
			for _, a := range all {
				ran := strings.Contains(effects, a.key)
				counts[a.outcome.GetKind().String()]++
				switch {
				case a.outcome == nil && (ran || a.took > taken):
					t.Errorf("sent %v after the signal, cut after %v, ran %v: %v", a.sent.Sub(stopped), a.took, ran, a.err)
				case a.outcome.GetKind() == callerv1.OutcomeKind_OUTCOME_KIND_UNKNOWN && (a.outcome.GetReason() != "leaving" || a.outcome.GetRetryAfter().AsDuration() <= 0):
					t.Errorf("sent %v after the signal: unknown with the reason %q, retry after %v", a.sent.Sub(stopped), a.outcome.GetReason(), a.outcome.GetRetryAfter())
				case a.outcome.GetKind() == callerv1.OutcomeKind_OUTCOME_KIND_NOT_RUN && ran:
					t.Errorf("sent %v after the signal: the caller was told that it did not run, and it ran", a.sent.Sub(stopped))
				}
			}
			s.expectOutcomesElsewhere(all)
			t.Logf("stopped within %v, outcomes %v", took, counts)
			if took > c.limit+time.Second {
				t.Errorf("the stop took %v, want at most %v", took, c.limit)
			}
		})
	}
}
