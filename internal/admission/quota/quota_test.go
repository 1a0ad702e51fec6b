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

// TestLimitsHold sends requests to gateways at random and checks that what they
// admit together stays within the document's limit and the error that Divide
// states.
//
// It guards against an account that gets several times its limit because its
// requests spread over gateways and each of them grants the whole limit.
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
			t.Fatalf("%d requests taken, want at most %.1f", taken, allowed)
		}
		if inFlight >= limit.MaxInFlight+gateways {
			t.Fatalf("%d requests in flight at %d gateways, limit %d", inFlight, gateways, limit.MaxInFlight)
		}
	}
}

// TestDelayIsEnough checks that a request is allowed a microsecond after the
// delay, and not allowed a microsecond before it ends.
func TestDelayIsEnough(t *testing.T) {
	for _, retry := range []bool{false, true} {
		t.Run(fmt.Sprint("returning ", retry), func(t *testing.T) {
			now := time.Unix(1000, 0)
			a := NewAccount(document.AccountLimit{RequestsPerSecond: 7, Burst: 4}, now)
			for a.Delay(now, retry) == 0 {
				a.Take(now)
			}
			delay := a.Delay(now, retry)
			if early := a.Delay(now.Add(delay-time.Microsecond), retry); early <= 0 {
				t.Error("request allowed before the delay is over")
			}
			if late := a.Delay(now.Add(delay+time.Microsecond), retry); late != 0 {
				t.Errorf("request delayed by another %v after the delay is over", late)
			}
		})
	}
}

// TestReserve checks that first attempts leave tokens to retries, even if a
// gateway's part of the burst is a single request.
func TestReserve(t *testing.T) {
	for _, burst := range []int{1, 2, 8} {
		now := time.Unix(1000, 0)
		a := NewAccount(document.AccountLimit{RequestsPerSecond: 1, Burst: burst}, now)
		firstAttempts := 0
		for a.Delay(now, false) == 0 {
			a.Take(now)
			firstAttempts++
		}
		if firstAttempts < 1 {
			t.Errorf("burst %d: no first attempt is allowed", burst)
		}
		if a.Delay(now, true) != 0 {
			t.Errorf("burst %d: first attempts left no token to retries", burst)
		}
	}
}
