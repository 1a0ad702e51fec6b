package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Guards against a service that gets more extra attempts in some window than its budget. Gateways
// make first attempts and ask for extra ones at any time and in any order. The test fails when each
// gateway uses the whole budget, or when an unused budget carries over to a later window.
func TestGatewaysKeepTheBudgetTogether(t *testing.T) {
	cfg := FleetBudgetConfig{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}
	type event struct {
		at    time.Time
		extra bool
	}
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "gateways")
		known := n
		if rapid.Bool().Draw(t, "one is not known") {
			known = max(1, n-1)
		}
		var budgets []*FleetBudget
		for range n {
			budgets = append(budgets, NewFleetBudget(cfg, func() int { return known }))
		}
		now := time.Unix(1000, 0)
		var events []event
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			b := budgets[rapid.IntRange(0, n-1).Draw(t, "gateway")]
			service := ident.Service("svc")
			if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
				b.RecordFirstAttempt(service, now)
				events = append(events, event{now, false})
			} else if b.Spend(service, now).OK {
				events = append(events, event{now, true})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "passes")) * time.Millisecond)
		}
		for i := range events {
			extras, firsts := 0.0, 0.0
			for j := i; j >= 0 && events[i].at.Sub(events[j].at) < cfg.Window; j-- {
				if events[j].extra {
					extras++
				}
			}
			for j := i; j >= 0 && events[i].at.Sub(events[j].at) < 2*cfg.Window; j-- {
				if !events[j].extra {
					firsts++
				}
			}
			if allowed := cfg.Ratio*firsts + cfg.Slack; extras > allowed {
				t.Fatalf("%.0f extra attempts in a window, %.1f allowed", extras, allowed)
			}
		}
	})
}

func TestAFailingServiceGetsItsFewRetriesAndNoMore(t *testing.T) {
	b := NewFleetBudget(FleetBudgetConfig{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}, func() int { return 8 })
	now := time.Unix(1000, 0)
	granted := 0
	for range 100 {
		b.RecordFirstAttempt("svc", now)
		if b.Spend("svc", now).OK {
			granted++
		}
		now = now.Add(100 * time.Millisecond)
	}
	// 0.6 of (a fifth of 100 requests + an eighth of 56).
	if granted != 16 {
		t.Errorf("%d of 100 requests were granted an extra attempt, want 16", granted)
	}
	if !b.Spend("other", now).OK {
		t.Error("another service's budget is used up")
	}
}
