package retry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
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
// of the slack, because gateways are started anew. They make first attempts and ask for extra ones at any time and
// in any order, and extra attempts arrive late.
func TestGatewaysKeepTheBudgetTogether(t *testing.T) {
	latest := lateSlices * testConfig.Window / sliceCount
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
		slices.SortFunc(extras, time.Time.Compare)
		checkEarned(t, firsts, extras)
	})
}

// checkEarned checks that in no window more extra attempts arrived than the requests of that window, or of the
// one before, allow by themselves. Both lists are sorted.
func checkEarned(t interface{ Fatalf(string, ...any) }, firsts, extras []time.Time) {
	w := testConfig.Window
	for _, end := range extras {
		got := testkit.CountBetween(extras, end.Add(-w), end)
		requests := max(testkit.CountBetween(firsts, end.Add(-w), end), testkit.CountBetween(firsts, end.Add(-2*w), end.Add(-w)))
		if allowed := testConfig.Ratio * float64(requests); float64(got) > allowed {
			t.Fatalf("%d extra attempts in a window, %.1f allowed by its requests alone", got, allowed)
		}
	}
}

// Guards against bursts of requests that allow more extra attempts together than the requests of one window:
// what each has earned is spent as late as possible, and arrives late.
func TestBurstsEarnNoMoreThanOneWindowAllows(t *testing.T) {
	const burst = 50
	for _, c := range []struct {
		name string
		// bursts are the times of the bursts, and of the attempts to spend what they earned, in seconds. lateness
		// is how much later those of the first burst arrive.
		bursts, spends []float64
		lateness       time.Duration
	}{
		{"one in each of two windows, spent in the same", []float64{0, 10.1}, []float64{7.9, 17.6}, 0},
		{"one that is kept for a window and arrives in the third", []float64{0, 11, 21.9}, []float64{9.95, 18, 21.9}, lateSlices * testConfig.Window / sliceCount},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := NewFleetBudget(testConfig, &fewLeft{})
			at := func(seconds float64) time.Time {
				return time.Unix(1000, 0).Add(time.Duration(seconds * float64(time.Second)))
			}
			var firsts, extras []time.Time
			for i := range c.bursts {
				for range burst {
					b.RecordFirstAttempt("svc", at(c.bursts[i]))
					firsts = append(firsts, at(c.bursts[i]))
				}
				late := c.lateness
				if i > 0 {
					late = 0
				}
				for b.Spend("svc", at(c.spends[i])).OK {
					extras = append(extras, at(c.spends[i]).Add(late))
				}
			}
			slices.SortFunc(extras, time.Time.Compare)
			checkEarned(t, firsts, extras)
		})
	}
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
