package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

const (
	simGates       = 2
	simSlots       = 24
	simLength      = 5 * time.Minute
	overloadLength = 10 * time.Minute
	simClients     = 5
)

// fairShareSlots is one account's fair share of all slots.
const fairShareSlots = float64(simGates*simSlots) / simClients

// mixedLoad returns the load of an account that asks for factor times its fair
// share, 70% of it in short requests.
func mixedLoad(account ident.ClientAccount, factor float64) []load {
	return []load{
		{account: account, class: shortClass, rate: 0.7 * factor * fairShareSlots, hold: time.Second},
		{account: account, class: reviewClass, rate: 0.3 * factor * fairShareSlots / 10, hold: 10 * time.Second},
	}
}

// singleClassLoad returns the load of an account that asks for factor times its
// fair share in requests of one class.
func singleClassLoad(account ident.ClientAccount, class document.Class, factor float64) []load {
	hold := time.Second
	if class.Name == reviewClass.Name {
		hold *= 10
	}
	return []load{{account: account, class: class, rate: factor * fairShareSlots / hold.Seconds(), hold: hold}}
}

// TestSmallAccountKeepsShare checks that an account that asks for about its share
// gets it within 5%, whatever the others send and whether or not refused callers
// retry.
//
// It guards against a small account whose requests are refused while those of a
// large one run. That happens if slots go to the accounts that ask most often, while
// one account sends ten times its share and three others send twice theirs.
func TestSmallAccountKeepsShare(t *testing.T) {
	cases := []struct {
		class      document.Class
		factor     float64
		maxRetries int
	}{
		{shortClass, 0.9, 0}, {shortClass, 1.1, 5}, {shortClass, 2, 0},
		{reviewClass, 0.9, 5}, {reviewClass, 1.1, 0}, {reviewClass, 2, 5},
	}
	for _, c := range cases {
		story := fmt.Sprintf("%s at %.1f of its share, callers return %d times", c.class.Name, c.factor, c.maxRetries)
		t.Run(story, func(t *testing.T) { checkSmallAccount(t, c.class, c.factor, c.maxRetries) })
	}
}

func checkSmallAccount(t *testing.T, class document.Class, factor float64, maxRetries int) {
	loads := append(mixedLoad("a", 10), mixedLoad("b", 2)...)
	loads = append(append(loads, mixedLoad("c", 2)...), mixedLoad("d", 2)...)
	loads = append(loads, singleClassLoad("small", class, factor)...)
	s := newSim(1, simGates, simSlots, maxRetries)
	small := s.run(simLength, loads)[len(loads)-1]
	// Requests that wait at the end were neither refused nor served.
	asked := small.offered - s.waitingCost("small")
	entitled := min(asked, fairShareSlots*simLength.Seconds())
	t.Logf("asked for %.3f and got %.3f of its share", asked/fairShareSlots/simLength.Seconds(), small.cost/fairShareSlots/simLength.Seconds())
	if small.cost < 0.95*entitled {
		t.Errorf("got %.0f slot seconds, want at least 95%% of %.0f", small.cost, entitled)
	}
}

// TestOverload checks that beyond capacity nearly all slots stay in use, most
// callers that retry at their retry-after time are admitted, and few queued
// requests are refused later.
//
// It guards against refused callers that retry together and are refused
// again, because retry-after times don't follow the drain rate; and against long
// reviews that wait and are then refused, because their wait was predicted
// without regard to the requests that go first.
func TestOverload(t *testing.T) {
	cases := []struct {
		story  string
		factor float64
		loads  []load
	}{
		{"1.5 times capacity", 1.5, nil},
		{"3 times capacity", 3, nil},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			for _, account := range []ident.ClientAccount{"a", "b", "c", "d", "e"} {
				c.loads = append(c.loads, mixedLoad(account, c.factor)...)
			}
			s := newSim(1, simGates, simSlots, 20)
			checkOverload(t, s, s.run(overloadLength, c.loads))
		})
	}
}

func checkOverload(t *testing.T, s *sim, tallies []tally) {
	var sum [2]tally
	for i, r := range tallies {
		sum[i%2].add(r)
	}
	used := (sum[0].cost + sum[1].cost) / (simGates * simSlots * overloadLength.Seconds())
	t.Logf("slots used %.3f", used)
	if used < 0.97 {
		t.Errorf("slots used %.3f, want at least 0.97", used)
	}
	for i, name := range []string{"short", "review"} {
		retriesAdmitted := float64(sum[i].admitted) / float64(sum[i].retried)
		expiredPerGrant := float64(sum[i].expired) / float64(sum[i].granted)
		t.Logf("%s: %d first attempts, %d granted, %d refused, %d retries of which %.3f admitted; refused after waiting per grant %.3f",
			name, sum[i].firstAttempts, sum[i].granted, sum[i].refused, sum[i].retried, retriesAdmitted, expiredPerGrant)
		if retriesAdmitted < 0.9 {
			t.Errorf("%s: %.3f of the retries were admitted, want at least 0.9", name, retriesAdmitted)
		}
		if expiredPerGrant > 0.2 {
			t.Errorf("%s: refused after waiting per grant %.3f, want at most 0.2", name, expiredPerGrant)
		}
	}
}
