package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// fewLeft is a slack that holds a number of extra attempts.
type fewLeft struct{ n int }

func (f *fewLeft) Take(ident.Service, time.Time) SlackDecision {
	if f.n == 0 {
		return SlackDecision{RetryAfter: 300 * time.Millisecond}
	}
	f.n--
	return SlackDecision{OK: true}
}

var testConfig = FleetBudgetConfig{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// Guards against a service that gets more extra attempts in some window than its requests allow, without any
// of the slack. Gateways make first attempts and ask for extra ones at any time and in any order, they are
// started anew at any time, and extra attempts arrive late. The test fails when a request earns more than
// half of the ratio, when what was earned is kept for longer, or when a start brings something along.
func TestGatewaysKeepTheBudgetTogether(t *testing.T) {
	const latest = lateSlices * 10 * time.Second / sliceCount
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "gateways")
		start := func() *FleetBudget { return NewFleetBudget(testConfig, &fewLeft{}) }
		var budgets []*FleetBudget
		for range n {
			budgets = append(budgets, start())
		}
		now := time.Unix(1000, 0)
		var firsts, extras []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			i := rapid.IntRange(0, n-1).Draw(t, "gateway")
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				budgets[i] = start()
			case 1, 2, 3, 4, 5, 6:
				budgets[i].RecordFirstAttempt("svc", now)
				firsts = append(firsts, now)
			default:
				for budgets[i].Spend("svc", now).OK {
					extras = append(extras, now.Add(time.Duration(rapid.IntRange(0, int(latest/time.Millisecond)).Draw(t, "late"))*time.Millisecond))
				}
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "passes")) * time.Millisecond)
		}
		count := func(times []time.Time, from, to time.Time) (n float64) {
			for _, at := range times {
				if at.After(from) && !at.After(to) {
					n++
				}
			}
			return n
		}
		w := testConfig.Window
		for _, end := range extras {
			got := count(extras, end.Add(-w), end)
			requests := max(count(firsts, end.Add(-w), end), count(firsts, end.Add(-2*w), end.Add(-w)))
			if allowed := testConfig.Ratio * requests; got > allowed {
				t.Fatalf("%.0f extra attempts in a window, %.1f allowed by its requests alone", got, allowed)
			}
		}
	})
}

// Guards against a failing service that gets more retries than its requests earn and the slack holds, and
// against one that gets none of either.
func TestAFailingServiceGetsItsFewRetriesAndNoMore(t *testing.T) {
	b := NewFleetBudget(testConfig, &fewLeft{n: 4})
	now := time.Unix(1000, 0)
	granted := 0
	for range 100 {
		b.RecordFirstAttempt("svc", now)
		if b.Spend("svc", now).OK {
			granted++
		}
		now = now.Add(100 * time.Millisecond)
	}
	// A tenth of 100 requests, and the slack.
	if granted != 14 {
		t.Errorf("%d of 100 requests were granted an extra attempt, want 14", granted)
	}
	if got := b.Counters(); got != (Counters{Earned: 10, Slack: 4, Refused: 86}) {
		t.Errorf("counted %+v", got)
	}
}

// Guards against a gateway that asks the others again and again for a slack that was found empty, and against one
// that never asks again.
func TestAnEmptySlackIsAskedAgainWhenItMayHoldAnAttempt(t *testing.T) {
	slack := &fewLeft{}
	b := NewFleetBudget(testConfig, slack)
	now := time.Unix(1000, 0)
	if b.Spend("svc", now).OK || b.Left("svc", now) {
		t.Fatal("an empty slack gives an attempt")
	}
	slack.n = 1
	if d := b.Spend("svc", now.Add(200*time.Millisecond)); d.OK || d.Source != FromRefusal {
		t.Errorf("asked again after 0.2 s: %v", &d)
	}
	if d := b.Spend("svc", now.Add(400*time.Millisecond)); !d.OK {
		t.Errorf("not asked again after 0.4 s: %v", &d)
	}
}

// Guards against a service without slack whose requests are all retried: a limit of zero is no limit to quota.
func TestWithoutSlackOnlyWhatWasEarnedIsSpent(t *testing.T) {
	b := NewFleetBudget(FleetBudgetConfig{Ratio: 0.2, Window: 10 * time.Second}, &fewLeft{n: 100})
	if now := time.Unix(1000, 0); b.Spend("svc", now).OK || b.Left("svc", now) {
		t.Error("an attempt is left")
	}
}
