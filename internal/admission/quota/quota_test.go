package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// TestLimitsHold sends at random to all gateways and counts what they let
// through together against the document and the error that Divide states.
//
// Symptom: an account gets several times its limit. Sequence: its requests
// spread over gateways that do not ask each other. Cause: each gateway grants
// the whole limit.
func TestLimitsHold(t *testing.T) { rapid.Check(t, checkLimitsHold) }

func checkLimitsHold(t *rapid.T) {
	gateways := rapid.IntRange(1, 9).Draw(t, "gateways")
	limit := document.AccountLimit{
		RequestsPerSecond: rapid.Float64Range(0.1, 200).Draw(t, "rate"),
		Burst:             rapid.IntRange(0, 40).Draw(t, "burst"),
		MaxInFlight:       rapid.IntRange(1, 40).Draw(t, "in flight"),
	}
	start := time.Unix(1000, 0)
	now := start
	accounts := make([]*Account, gateways)
	for i := range accounts {
		accounts[i] = NewAccount(Divide(limit, gateways), now)
	}
	taken, inFlight := 0, 0
	for range rapid.IntRange(1, 300).Draw(t, "steps") {
		a := accounts[rapid.IntRange(0, gateways-1).Draw(t, "gateway")]
		switch rapid.IntRange(0, 3).Draw(t, "step") {
		case 0:
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "pause")) * time.Millisecond)
		case 1:
			if a.InFlight() > 0 {
				a.Release()
				inFlight--
			}
		default:
			if !a.AtMaxInFlight() && a.Delay(now, rapid.Bool().Draw(t, "returning")) == 0 {
				a.Take(now)
				taken++
				inFlight++
			}
		}
		allowed := limit.RequestsPerSecond*now.Sub(start).Seconds() + float64(max(limit.Burst, 1)+2*gateways)
		if float64(taken) > allowed {
			t.Fatalf("%d taken, at most %.1f", taken, allowed)
		}
		if inFlight >= limit.MaxInFlight+gateways {
			t.Fatalf("%d in flight at %d gateways, limit %d", inFlight, gateways, limit.MaxInFlight)
		}
	}
}

// TestDelayIsEnough: a request that waits as long as it was told is allowed,
// and a nanosecond before it was not.
func TestDelayIsEnough(t *testing.T) {
	for _, returning := range []bool{false, true} {
		t.Run(fmt.Sprint("returning ", returning), func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := NewAccount(document.AccountLimit{RequestsPerSecond: 7, Burst: 4}, now)
			for a.Delay(now, returning) == 0 {
				a.Take(now)
			}
			delay := a.Delay(now, returning)
			if early := a.Delay(now.Add(delay-time.Microsecond), returning); early <= 0 {
				t.Error("allowed before the delay is over")
			}
			if late := a.Delay(now.Add(delay+time.Microsecond), returning); late != 0 {
				t.Errorf("another %v after the delay is over", late)
			}
		})
	}
}

// TestReserve: first tries leave room for those who return as told, also where
// a gateway's part of the burst is a single request.
func TestReserve(t *testing.T) {
	for _, burst := range []int{1, 2, 8} {
		now := time.Unix(1000, 0)
		a := NewAccount(document.AccountLimit{RequestsPerSecond: 1, Burst: burst}, now)
		first := 0
		for a.Delay(now, false) == 0 {
			a.Take(now)
			first++
		}
		if first < 1 {
			t.Errorf("burst %d: no first try is let in", burst)
		}
		if a.Delay(now, true) != 0 {
			t.Errorf("burst %d: first tries left nothing to those who return", burst)
		}
	}
}
