package forward

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// For any sequence of attempt results and a retry budget that runs out at any time, a
// request must not run twice if that is not allowed, must not go to too many upstreams, and
// must not be refused as not run if it may have run. Guards against a step that ignores
// the result of an earlier attempt.
func TestAnySequenceOfResultsKeepsTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		route := &routetable.Route{
			Kind:      routetable.Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
			Resumable: rapid.Bool().Draw(t, "resumable"),
			Attempts:  rapid.IntRange(1, 3).Draw(t, "attempts"),
		}
		if route.Kind != routetable.Streaming {
			route.Resumable = false
		}
		s := NewState(route)
		ran, spent, delivered := 0, 0, false
		for i := range 50 {
			result := rapid.SampledFrom([]Result{NoConnection, Withdrawn, Rejected, Declined, Failed, Broken, Cut, Done, Expired, CallerGone}).Draw(t, "result")
			if delivered && (result == Broken || result == Failed) {
				result = Cut
			}
			if result == Failed || result == Broken || result == Cut || result == Done || result == Expired {
				ran++
			}
			delivered = delivered || result == Cut
			step := s.After(ident.Instance(fmt.Sprint("u", i)), result, func() bool {
				spent++
				return rapid.Bool().Draw(t, "budget")
			})
			if step != TryAnother && step != Resume {
				checkFinalStep(t, step, result, ran, delivered)
				return
			}
			if ran > 0 && !route.Repeatable() && !route.Resumable {
				t.Fatalf("sent again after it may have run")
			}
			if ran >= route.Attempts {
				t.Fatalf("sent to a further upstream after %d of %d may have run it", ran, route.Attempts)
			}
			if step == Resume && !route.Resumable {
				t.Fatal("resumed a stream that may not be")
			}
		}
		t.Fatal("never ends")
	})
}

func checkFinalStep(t *rapid.T, step Step, result Result, ran int, delivered bool) {
	if step == Refuse && ran > 0 {
		t.Fatal("refused as not run, and may have run")
	}
	if step == Deliver && result != Done && result != Failed {
		t.Fatalf("delivered after %v", result)
	}
	if delivered && step != Break && step != Abandon && step != Deliver && step != TimeOut && step != Fail {
		t.Fatalf("ends a begun answer by %v", step)
	}
}

func TestSteps(t *testing.T) {
	yes, no := func() bool { return true }, func() bool { return false }
	once := &routetable.Route{Kind: routetable.NonIdempotent, Attempts: 1}
	again := &routetable.Route{Kind: routetable.Idempotent, Attempts: 2}
	stream := &routetable.Route{Kind: routetable.Streaming, Attempts: 1}
	resume := &routetable.Route{Kind: routetable.Streaming, Attempts: 2, Resumable: true}
	for _, c := range []struct {
		name    string
		route   *routetable.Route
		results []Result
		budget  func() bool
		want    Step
	}{
		{"a booking that was not sent goes elsewhere without a budget", once, []Result{NoConnection}, no, TryAnother},
		{"a booking that was rejected goes elsewhere", once, []Result{Rejected}, yes, TryAnother},
		{"a rejected booking without a budget is refused", once, []Result{Rejected}, no, Refuse},
		{"a booking whose answer was lost fails", once, []Result{Broken}, yes, Fail},
		{"a booking that failed is told so", once, []Result{Failed}, yes, Deliver},
		{"a lookup whose answer was lost is sent again", again, []Result{Broken}, yes, TryAnother},
		{"a lookup is sent to two at the most", again, []Result{Broken, Broken}, yes, Fail},
		{"a lookup that failed and cannot be sent again is told so", again, []Result{Failed}, no, Deliver},
		{"a stream that broke off is broken off", stream, []Result{Cut}, yes, Break},
		{"a lookup's answer of which a part was delivered is broken off", again, []Result{Cut}, yes, Break},
		{"a resumable stream goes on", resume, []Result{Cut}, yes, Resume},
		{"a resumable stream goes on once", resume, []Result{Cut, Cut}, yes, Break},
		{"rejected by three, it is refused", again, []Result{Rejected, Rejected, Rejected}, yes, Refuse},
		{"a lookup that may have run is not refused", again, []Result{Broken, Rejected, Rejected, Rejected}, yes, Fail},
		{"declined by five, it goes on to a sixth", again, []Result{Declined, Declined, Declined, Declined, Declined}, yes, TryAnother},
		{"a declined booking without a budget is refused", once, []Result{Declined}, no, Refuse},
		{"a booking whose upstream withdrew goes elsewhere without a budget", once, []Result{Withdrawn}, no, TryAnother},
		{"a lookup that may have run is not refused when declined", again, []Result{Broken, Declined}, no, Fail},
		{"five without a connection are enough", once, []Result{NoConnection, NoConnection, NoConnection, NoConnection, NoConnection}, yes, Refuse},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewState(c.route)
			var got Step
			for i, result := range c.results {
				got = s.After(ident.Instance(fmt.Sprint("u", i)), result, c.budget)
			}
			if got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
