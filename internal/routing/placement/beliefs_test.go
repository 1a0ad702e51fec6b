package placement

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// at reserves a slot at one upstream for a call.
func (f *fixture) at(t *testing.T, call *forward.Call, upstream ident.Instance) forward.Choice {
	t.Helper()
	var others []ident.Instance
	for _, u := range f.view.Of("svc") {
		if u.ID != upstream {
			others = append(others, u.ID)
		}
	}
	choice, found := f.Choose(call, others, f.now)
	if !found {
		t.Fatal("no upstream")
	}
	return choice
}

// Guards against a broken-off answer that counts as a success or twice, and against one that the
// gateway ended itself and that counts as the upstream's failure.
func TestWhatAResultCountsAs(t *testing.T) {
	const nothing, failure, success = "nothing", "failure", "no failure"
	for _, c := range []struct {
		name string
		// firstEvent: the first event had arrived; ended: the upstream's process had ended.
		firstEvent, ended bool
		result            forward.Result
		// ejection and rollout are what the result is to each of them.
		ejection, rollout string
		// learned: the time of the answer is learned as that of a whole one. unreachable: it is
		// evidence that the domain is cut off.
		learned, unreachable bool
	}{
		{"whole", true, false, forward.Done, success, success, true, false},
		{"broken off after an event", true, false, forward.Cut, failure, failure, false, true},
		{"broken off before the first event", false, false, forward.Broken, failure, failure, false, true},
		{"broken off after an event, its process has ended", true, true, forward.Cut, nothing, nothing, false, true},
		{"broken off before the first event, its process has ended", false, true, forward.Broken, nothing, nothing, false, true},
		{"its caller has gone", true, false, forward.CallerGone, nothing, nothing, false, false},
		{"its time is over after the first event", true, false, forward.Expired, nothing, nothing, false, false},
		{"its time is over long before the first event", false, false, forward.Expired, failure, success, false, false},
		{"turned away", false, false, forward.Rejected, failure, nothing, false, false},
		{"declined", false, false, forward.Declined, nothing, nothing, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			choice, found := f.Choose(f.call(plain, 0), nil, f.now)
			if !found {
				t.Fatal("no upstream")
			}
			r := choice.Reservation.(*reservation)
			if c.firstEvent {
				f.FirstEventArrived(choice, f.now.Add(30*time.Millisecond))
			}
			if c.ended {
				f.UpstreamEnded(choice)
			}
			end := f.now.Add(3 * time.Second)
			f.Finished(choice, c.result, end)
			got := map[bool]string{true: failure, false: success}
			ejection, rollout := nothing, nothing
			if sample, counts := ejectionSample(r, c.result, end.Sub(r.sentAt)); counts {
				ejection = got[sample.Failed]
			}
			if answer, counts := r.rolloutAnswer(c.result, f.demands["svc"], end); counts {
				rollout = got[answer.Failed]
			}
			if ejection != c.ejection || rollout != c.rollout {
				t.Errorf("to ejection %s, to the rollout %s; want %s and %s", ejection, rollout, c.ejection, c.rollout)
			}
			if learned := f.demands["svc"].route(route.Name).answer.Samples > 0; learned != c.learned {
				t.Errorf("the time of the answer was learned: %v", learned)
			}
			if _, unreachable := f.lastUnreachable[r.domain]; unreachable != c.unreachable {
				t.Errorf("counts as evidence of a cut: %v", unreachable)
			}
		})
	}
}

// Guards against the rest of a stream that was broken off elsewhere, which takes a part of the time of
// a whole answer, and lowers the mean time from which engines are ordered, and makes the version that
// gave it look fast.
func TestTheRestOfAStreamIsNoWholeAnswer(t *testing.T) {
	stream := &routetable.Route{Name: "stream", Kind: routetable.Streaming, Resumable: true, Objective: 300 * time.Millisecond, Attempts: 2}
	for _, c := range []struct {
		name        string
		lastEventID string
		again       bool
	}{
		{name: "resumed by the gateway", again: true},
		{name: "resumed by the caller", lastEventID: "7"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			serve := func(exclude []ident.Instance, lastEventID string, generating time.Duration) *reservation {
				call := f.call(plain, 0)
				call.Route, call.LastEventID = stream, lastEventID
				choice, found := f.Choose(call, exclude, f.now)
				if !found {
					t.Fatal("no upstream")
				}
				f.now = f.now.Add(30 * time.Millisecond)
				f.FirstEventArrived(choice, f.now)
				f.now = f.now.Add(generating)
				f.Finished(choice, forward.Done, f.now)
				return choice.Reservation.(*reservation)
			}
			for range minSamples {
				serve(nil, "", time.Second)
			}
			before := f.DrainTime("svc")
			var exclude []ident.Instance
			if c.again {
				exclude = []ident.Instance{"a0"}
			}
			for range 10 {
				r := serve(exclude, c.lastEventID, 100*time.Millisecond)
				if answer, counts := r.rolloutAnswer(forward.Done, f.demands["svc"], f.now); !counts || answer.Failed || answer.Timed {
					t.Errorf("the rest of a stream is %+v to the rollout (counts: %v), want an answer without a time", answer, counts)
				}
			}
			if after := f.DrainTime("svc"); after != before {
				t.Errorf("the time within which answers end fell from %v to %v", before, after)
			}
		})
	}
}

// Guards against one broken-off answer that counts against two upstreams: its request goes to another
// one with so little time left that no upstream could answer.
func TestAnUpstreamWithoutTimeToAnswerHasNotFailed(t *testing.T) {
	for _, c := range []struct {
		name    string
		left    time.Duration
		ejected bool
	}{
		{"less time than an idle upstream takes", idleAnswerTime / 2, false},
		{"time enough", 2 * time.Second, true},
	} {
		f := newFixture()
		for range ejectionConfig.ConsecutiveFailures {
			choice := f.at(t, f.call(plain, 0), "a0")
			f.now = f.now.Add(c.left)
			f.Finished(choice, forward.Expired, f.now)
		}
		if ejected := contains(f.ejectionSet("svc").Excluded(f.now), "a0"); ejected != c.ejected {
			t.Errorf("%s: ejected: %v", c.name, ejected)
		}
	}
}
