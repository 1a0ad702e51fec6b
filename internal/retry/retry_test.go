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

// TestBudgetBound: no order of first tries, extra attempts and pauses gets more
// extra attempts out of a budget than its stated bound.
//
// Symptom: a brown-out turns into an outage, with several times the usual load.
// Sequence: everything fails and everything is retried. Cause: retries that
// are not paid for by first tries.
func TestBudgetBound(t *testing.T) { rapid.Check(t, checkBudgetBound) }

func checkBudgetBound(t *rapid.T) {
	config := BudgetConfig{
		Ratio:      rapid.Float64Range(0.01, 1).Draw(t, "ratio"),
		Floor:      rapid.Float64Range(0.01, 5).Draw(t, "floor"),
		MostStored: rapid.Float64Range(1, 20).Draw(t, "most stored"),
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
				b.FirstTry()
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
		bound := config.Ratio*float64(first) + config.Floor*latest.Sub(start).Seconds() + config.MostStored
		if float64(extra) > bound {
			t.Fatalf("%d extra attempts after %d first tries, at most %.2f", extra, first, bound)
		}
	}
}

// TestBudgetSuffices: a tenth of failures is retried in full, and a quiet
// service can retry.
func TestBudgetSuffices(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetConfig{}, now)
	for i := range 1000 {
		b.FirstTry()
		if i%10 == 9 && !b.Spend(now) {
			t.Fatalf("no retry after %d first tries", i+1)
		}
	}
	for b.Spend(now) {
	}
	if now = now.Add(5 * time.Second); !b.Spend(now) {
		t.Error("no retry after five quiet seconds")
	}
}

// TestRetryable holds the classifier against the one rule that must not break:
// a call that may have run is not repeated unless it is idempotent.
//
// Symptom: a trader is charged twice. Sequence: the upstream runs a bid, the
// connection breaks before the answer, the gateway tries again. Cause: an
// error that only says that no answer came is taken for a refusal.
func TestRetryable(t *testing.T) {
	cases := []struct {
		story      string
		err        error
		sent       bool
		idempotent bool // wanted if the call is idempotent
		other      bool // wanted if it is not
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
				t.Errorf("idempotent: %v", got)
			}
			if got := Retryable(c.err, false, c.sent); got != c.other {
				t.Errorf("not idempotent: %v", got)
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

// TestHedge: a hedge is sent after the usual latency, for idempotent short
// calls, once, and only if it can still be answered.
func TestHedge(t *testing.T) {
	l := NewLatencies()
	if _, known := l.HedgeAfter(); known {
		t.Error("a percentile of nothing")
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
		t.Errorf("hedge after %v when all take 500ms now", slower)
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
