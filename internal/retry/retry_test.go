package retry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

func init() { testkit.FixSeed() }

// TestBudgetBound checks that no order of first attempts, extra attempts and pauses gets more extra
// attempts out of a budget than its documented bound.
//
// Guards against a brown-out that turns into an outage with several times the usual load, because
// everything fails and is retried without regard to the number of first attempts.
func TestBudgetBound(t *testing.T) { rapid.Check(t, checkBudgetBound) }

func checkBudgetBound(t *rapid.T) {
	config := BudgetConfig{
		Ratio:     rapid.Float64Range(0.01, 1).Draw(t, "ratio"),
		Floor:     rapid.Float64Range(0.01, 5).Draw(t, "floor"),
		MaxStored: rapid.Float64Range(1, 20).Draw(t, "most stored"),
	}
	start := time.Unix(1000, 0)
	now, latest := start, start
	b := NewBudget(config, start)
	first, extra := 0, 0
	for range rapid.IntRange(1, 100).Draw(t, "phases") {
		switch rapid.IntRange(0, 3).Draw(t, "phase") {
		case 0:
			now = now.Add(time.Duration(rapid.Int64Range(-int64(time.Second), int64(30*time.Second)).Draw(t, "pause")))
		case 1:
			n := rapid.IntRange(1, 50).Draw(t, "first tries")
			for range n {
				b.RecordFirstAttempt()
			}
			first += n
		default:
			for range rapid.IntRange(1, 60).Draw(t, "failures") {
				if b.Spend(now) {
					extra++
				}
			}
		}
		if now.After(latest) {
			latest = now
		}
		bound := config.Ratio*float64(first) + config.Floor*latest.Sub(start).Seconds() + config.MaxStored
		if float64(extra) > bound {
			t.Fatalf("%d extra attempts after %d first attempts, at most %.2f allowed", extra, first, bound)
		}
	}
}

// TestBudgetSuffices checks that all retries are allowed when a tenth of the requests fail, and
// that a service with few requests can retry.
func TestBudgetSuffices(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetConfig{}, now)
	for i := range 1000 {
		b.RecordFirstAttempt()
		if i%10 == 9 && !b.Spend(now) {
			t.Fatalf("no retry after %d first attempts", i+1)
		}
	}
	for b.Spend(now) {
	}
	if now = now.Add(5 * time.Second); !b.Spend(now) {
		t.Error("no retry after five seconds without requests")
	}
}

// TestRetryable checks that a call that may have run is never repeated unless it is idempotent.
//
// Guards against a trader who is charged twice: the upstream runs a bid, the connection breaks
// before the answer, and the gateway tries again because it takes an error that only says that no
// answer came for a refusal.
func TestRetryable(t *testing.T) {
	cases := []struct {
		story      string
		err        error
		sent       bool
		idempotent bool // expected if the call is idempotent
		other      bool // expected if it is not
	}{
		{"success", nil, true, false, false},
		{"no connection", upstream.ErrNotSent, false, true, true},
		{"not sent, wrapped", fmt.Errorf("dial: %w", upstream.ErrNotSent), false, true, true},
		{"said to be not sent, though bytes left", upstream.ErrNotSent, true, true, false},
		{"refused before running", upstream.ErrRefused, true, true, true},
		{"upstream is leaving", upstream.ErrLeaving, true, true, true},
		{"old fencing number", upstream.ErrOldFence, true, false, false},
		{"connection broke after the request", io.ErrUnexpectedEOF, true, true, false},
		{"unknown error, sent unknown", errors.New("broken"), false, true, false},
		{"time out", context.DeadlineExceeded, true, true, false},
		{"caller gave up", context.Canceled, true, false, false},
		{"unavailable", errcode.New(errcode.Unavailable, "x"), true, true, false},
		{"bad argument", errcode.New(errcode.InvalidArgument, "x"), true, false, false},
		{"permission denied", errcode.New(errcode.PermissionDenied, "x"), true, false, false},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			if got := Retryable(c.err, true, c.sent); got != c.idempotent {
				t.Errorf("idempotent call: Retryable returned %v", got)
			}
			if got := Retryable(c.err, false, c.sent); got != c.other {
				t.Errorf("call that is not idempotent: Retryable returned %v", got)
			}
		})
	}
}

func TestBackoff(t *testing.T) {
	b := Backoff{Base: 20 * time.Millisecond, Max: time.Second}
	for attempt, longest := range map[int]time.Duration{
		1: 20 * time.Millisecond, 2: 40 * time.Millisecond, 6: 640 * time.Millisecond, 7: time.Second, 1000: time.Second,
	} {
		seen := map[time.Duration]bool{}
		for i := range 50 {
			d := b.Delay(attempt, ident.Request(fmt.Sprint(i)))
			if d < longest/2 || d > longest {
				t.Errorf("attempt %d: pause %v outside %v and %v", attempt, d, longest/2, longest)
			}
			seen[d] = true
		}
		if len(seen) < 45 {
			t.Errorf("attempt %d: only %d different pauses of 50", attempt, len(seen))
		}
	}
}

// TestHedge checks that a hedge is sent after the usual latency, only for idempotent requests of a
// short class, only once, and only if it can still be answered.
func TestHedge(t *testing.T) {
	l := NewLatencies()
	if _, known := l.HedgeAfter(); known {
		t.Error("HedgeAfter is known without any latency")
	}
	for i := range 1000 {
		l.Observe(time.Duration(i%100+1) * time.Millisecond)
	}
	after, known := l.HedgeAfter()
	if !known || after < 90*time.Millisecond || after > 100*time.Millisecond {
		t.Fatalf("hedge after %v, want the 95th percentile of 1 to 100 ms", after)
	}
	for range 2 * hedgeWindow {
		l.Observe(500 * time.Millisecond)
	}
	if slower, _ := l.HedgeAfter(); slower < 450*time.Millisecond {
		t.Errorf("hedge after %v though all requests take 500ms now", slower)
	}
	ready := HedgeState{Idempotent: true, Short: true, Waited: after, Left: time.Second}
	cases := []struct {
		story  string
		change func(*HedgeState)
		want   bool
	}{
		{"slow first attempt", func(*HedgeState) {}, true},
		{"not idempotent", func(s *HedgeState) { s.Idempotent = false }, false},
		{"long class", func(s *HedgeState) { s.Short = false }, false},
		{"first token came", func(s *HedgeState) { s.Answered = true }, false},
		{"hedged before", func(s *HedgeState) { s.Hedged = true }, false},
		{"too early", func(s *HedgeState) { s.Waited = after - 1 }, false},
		{"too late to be answered", func(s *HedgeState) { s.Left = after / 2 }, false},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			s := ready
			c.change(&s)
			if got := ShouldHedge(s, after); got != c.want {
				t.Errorf("hedge %v, want %v", got, c.want)
			}
		})
	}
}
