package streaming

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// testGateway is one gateway with two fake engines.
type testGateway struct {
	picker   *fakePicker
	engines  []*fakeEngine
	registry *Registry
	reportLog
}

func newTestGateway(config Config) *testGateway {
	const step = 20 * time.Millisecond
	gw := &testGateway{engines: []*fakeEngine{newFakeEngine("a", step), newFakeEngine("b", step)}}
	gw.picker = &fakePicker{engines: []testEngine{gw.engines[0], gw.engines[1]}}
	gw.registry = NewRegistry(config, NewRunner(config, gw.picker, nil, gw))
	return gw
}

// TestAnswerIsWholeWhateverTheUpstreamDoes guards against a caller that receives
// only part of an answer, the same part twice, or a mix of two answers. The first
// engine's stream becomes faulty in the middle of the answer, in the way that the
// case names. The failure comes about if frames are forwarded as they arrive
// instead of being checked against the tokens that the caller has.
func TestAnswerIsWholeWhateverTheUpstreamDoes(t *testing.T) {
	cases := []struct {
		story string
		// fault is called when about half of the answer has been generated.
		fault func(gw *testGateway)
		// next is the cause of the second attempt, or "" if one attempt is
		// enough.
		next Cause
		kind Fault
	}{
		{story: "nothing goes wrong", fault: func(*testGateway) {}},
		{story: "the upstream is lost", fault: func(gw *testGateway) { gw.engines[0].lose() }, next: CauseLost},
		{story: "the connection goes silent for good", fault: func(gw *testGateway) { gw.engines[0].breakAll(true) }, next: CauseSilent},
		{story: "a frame comes twice", fault: withDefect(defectDuplicate)},
		{story: "two frames change places", fault: withDefect(defectSwapped), next: CauseFault, kind: FaultGap},
		{story: "a frame of an older attempt comes late", fault: withDefect(defectOldAttempt)},
		{story: "a frame of an attempt that was never opened", fault: withDefect(defectUnknownAttempt), next: CauseFault, kind: FaultUnknownAttempt},
		{story: "a frame overlaps the one before", fault: withDefect(defectOverlap)},
		{story: "a frame leaves a gap", fault: withDefect(defectGap), next: CauseFault, kind: FaultGap},
		{story: "a frame contradicts the one before", fault: withDefect(defectMismatch), next: CauseFault, kind: FaultMismatch},
		{story: "the engine says more than was asked for", fault: withDefect(defectOverrun), next: CauseFault, kind: FaultOverrun},
		{story: "the engine says done too early", fault: withDefect(defectEarlyDone), next: CauseFault, kind: FaultEarlyDone},
		{story: "the stream ends in good order too early", fault: withDefect(defectEarlyEOF), next: CauseLost},
		{story: "notice with time to finish", fault: notice(time.Minute)},
		{story: "notice with time to move the cache", fault: notice(3 * time.Second), next: CauseMoved},
		{story: "notice without time to move the cache", fault: notice(time.Second), next: CauseNotice},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gw := newTestGateway(DefaultConfig())
				defer gw.registry.Close()
				caller := newCaller("weber", "r-1", 400)
				time.AfterFunc(4*time.Second, func() { c.fault(gw) })
				got, err := caller.generate(t.Context(), gw.registry)
				if err != nil || got.Kind != outcome.Completed {
					t.Fatalf("outcome %v, error %v; want completed", got, err)
				}
				if problem := caller.check(got); problem != "" {
					t.Error(problem)
				}
				attempts := 1
				if c.next != "" {
					attempts = 2
				}
				if got := len(gw.all()); got != attempts {
					t.Errorf("%d attempts; want %d", got, attempts)
				}
				if again := gw.all()[attempts-1]; c.next == CauseSilent && again.Instance != gw.all()[0].Instance {
					t.Errorf("the instance was excluded, and not only its connection")
				}
				if first := gw.all()[0]; first.NextCause != c.next || first.Fault != c.kind {
					t.Errorf("first attempt ended for %q, fault %q; want %q, %q", first.NextCause, first.Fault, c.next, c.kind)
				}
				synctest.Wait()
				if held := gw.picker.heldTargets(); held != 0 {
					t.Errorf("%d targets were not released", held)
				}
			})
		})
	}
}

func withDefect(d frameDefect) func(*testGateway) {
	return func(gw *testGateway) { gw.engines[0].setNextDefect(d) }
}

func notice(left time.Duration) func(*testGateway) {
	return func(gw *testGateway) {
		gw.engines[0].giveNotice(left)
		time.AfterFunc(left, gw.engines[0].lose)
	}
}

// TestGivenUpRequestGetsTheRightOutcomeAtOnce guards against a caller that is told
// not_run although an engine ran the request, or that gets no outcome until its
// deadline. The request cannot be served, for the reason that the case names. The
// failure comes about if the outcome depends on the last attempt alone, or if a
// request that cannot succeed is not given up.
func TestGivenUpRequestGetsTheRightOutcomeAtOnce(t *testing.T) {
	refusal := &Refusal{Reason: outcome.ReasonOverloaded, Message: "full", RetryAfter: 3 * time.Second}
	cases := []struct {
		story  string
		set    func(gw *testGateway)
		kind   outcome.Kind
		reason outcome.Reason
		within time.Duration
	}{
		{"the picker refuses", func(gw *testGateway) { gw.picker.refusal = refusal }, outcome.NotRun, outcome.ReasonOverloaded, 0},
		{"every engine refuses", refuseAll(upstream.ErrRefused), outcome.NotRun, outcome.ReasonUpstreamRefused, 3 * time.Second},
		{"every engine is leaving", refuseAll(upstream.ErrLeaving), outcome.NotRun, outcome.ReasonNoUpstream, 0},
		{"no engine can be reached", refuseAll(upstream.ErrNotSent), outcome.NotRun, outcome.ReasonUpstreamRefused, 3 * time.Second},
		{"every engine may have run it", refuseAll(errors.New("reset")), outcome.Interrupted, outcome.ReasonUpstreamLost, 3 * time.Second},
		{"lost in the middle, then refused", func(gw *testGateway) {
			time.AfterFunc(time.Second, func() {
				gw.picker.mu.Lock()
				gw.picker.refusal = refusal
				gw.picker.mu.Unlock()
				gw.engines[0].lose()
			})
		}, outcome.Interrupted, outcome.ReasonOverloaded, time.Second},
		{"the deadline passes while engines are slow", func(gw *testGateway) {
			gw.engines[0].step = time.Minute
			gw.engines[1].step = time.Minute
		}, outcome.Interrupted, outcome.ReasonDeadline, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				gw := newTestGateway(DefaultConfig())
				defer gw.registry.Close()
				c.set(gw)
				caller := newCaller("weber", "r-1", 400)
				caller.req.Deadline = time.Now().Add(5 * time.Second)
				began := time.Now()
				got, err := caller.generate(t.Context(), gw.registry)
				if err != nil || got.Kind != c.kind || got.Reason != c.reason {
					t.Errorf("got %v, error %v; want %v, %v", got, err, c.kind, c.reason)
				}
				if problem := caller.check(got); problem != "" {
					t.Error(problem)
				}
				if got.RetryAfter <= 0 {
					t.Error("no retry-after time")
				}
				if took := time.Since(began); took > c.within {
					t.Errorf("took %v; want at most %v", took, c.within)
				}
			})
		})
	}
}

func refuseAll(err error) func(*testGateway) {
	return func(gw *testGateway) {
		for _, e := range gw.engines {
			e.setRefuse(err)
		}
	}
}
