package streaming

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// testGateway is one gateway over two engines.
type testGateway struct {
	picker   *fakePicker
	engines  []*fakeEngine
	registry *Registry
	reportLog
}

func newTestGateway(config Config) *testGateway {
	const step = 20 * time.Millisecond
	b := &testGateway{engines: []*fakeEngine{newFakeEngine("a", step), newFakeEngine("b", step)}}
	b.picker = &fakePicker{engines: []testEngine{b.engines[0], b.engines[1]}}
	b.registry = NewRegistry(config, NewRunner(config, b.picker, nil, b))
	return b
}

// Symptom: a caller gets part of an answer, twice the same part, or a mix of
// two answers.
// Sequence: the first engine's stream goes wrong in the middle of the answer,
// in the way that the case names.
// Cause: frames were forwarded as they came, instead of being checked against
// what the caller has.
func TestAnswerIsWholeWhateverTheUpstreamDoes(t *testing.T) {
	cases := []struct {
		story string
		// fault happens when about half of the answer is there.
		fault func(b *testGateway)
		// next is the cause of the attempt that follows, "" for none.
		next Cause
		kind Fault
	}{
		{story: "nothing goes wrong", fault: func(*testGateway) {}},
		{story: "the upstream is lost", fault: func(b *testGateway) { b.engines[0].lose() }, next: CauseLost},
		{story: "the connection goes silent for good", fault: func(b *testGateway) { b.engines[0].breakAll(true) }, next: CauseSilent},
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
				b := newTestGateway(DefaultConfig())
				defer b.registry.Close()
				caller := newCaller("weber", "r-1", 400)
				time.AfterFunc(4*time.Second, func() { c.fault(b) })
				got, err := caller.generate(t.Context(), b.registry)
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
				if got := len(b.all()); got != attempts {
					t.Errorf("%d attempts; want %d", got, attempts)
				}
				if again := b.all()[attempts-1]; c.next == CauseSilent && again.Instance != b.all()[0].Instance {
					t.Errorf("the instance was left out, and not its connection alone")
				}
				if first := b.all()[0]; first.NextCause != c.next || first.Fault != c.kind {
					t.Errorf("first attempt ended for %q, fault %q; want %q, %q", first.NextCause, first.Fault, c.next, c.kind)
				}
				synctest.Wait()
				if held := b.picker.heldTargets(); held != 0 {
					t.Errorf("%d targets were not released", held)
				}
			})
		})
	}
}

func withDefect(o frameDefect) func(*testGateway) {
	return func(b *testGateway) { b.engines[0].setNextDefect(o) }
}

func notice(left time.Duration) func(*testGateway) {
	return func(b *testGateway) {
		b.engines[0].giveNotice(left)
		time.AfterFunc(left, b.engines[0].lose)
	}
}

// Symptom: a caller hears not_run although an engine worked for it, or hears
// nothing until its deadline.
// Sequence: the request cannot be served, as the case names.
// Cause: giving up looked at the last attempt only, or waited for nothing.
func TestGivenUpRequestHearsTheTruthAtOnce(t *testing.T) {
	refusal := &Refusal{Reason: outcome.ReasonOverloaded, Message: "full", RetryAfter: 3 * time.Second}
	cases := []struct {
		story  string
		set    func(b *testGateway)
		kind   outcome.Kind
		reason outcome.Reason
		within time.Duration
	}{
		{"the picker refuses", func(b *testGateway) { b.picker.refusal = refusal }, outcome.NotRun, outcome.ReasonOverloaded, 0},
		{"every engine refuses", refuseAll(upstream.ErrRefused), outcome.NotRun, outcome.ReasonUpstreamRefused, 3 * time.Second},
		{"every engine is leaving", refuseAll(upstream.ErrLeaving), outcome.NotRun, outcome.ReasonNoUpstream, 0},
		{"no engine can be reached", refuseAll(upstream.ErrNotSent), outcome.NotRun, outcome.ReasonUpstreamRefused, 3 * time.Second},
		{"every engine may have run it", refuseAll(errors.New("reset")), outcome.Interrupted, outcome.ReasonUpstreamLost, 3 * time.Second},
		{"lost in the middle, then refused", func(b *testGateway) {
			time.AfterFunc(time.Second, func() {
				b.picker.mu.Lock()
				b.picker.refusal = refusal
				b.picker.mu.Unlock()
				b.engines[0].lose()
			})
		}, outcome.Interrupted, outcome.ReasonOverloaded, time.Second},
		{"the deadline passes while engines are slow", func(b *testGateway) {
			b.engines[0].step = time.Minute
			b.engines[1].step = time.Minute
		}, outcome.Interrupted, outcome.ReasonDeadline, 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestGateway(DefaultConfig())
				defer b.registry.Close()
				c.set(b)
				caller := newCaller("weber", "r-1", 400)
				caller.req.Deadline = time.Now().Add(5 * time.Second)
				began := time.Now()
				got, err := caller.generate(t.Context(), b.registry)
				if err != nil || got.Kind != c.kind || got.Reason != c.reason {
					t.Errorf("got %v, error %v; want %v, %v", got, err, c.kind, c.reason)
				}
				if problem := caller.check(got); problem != "" {
					t.Error(problem)
				}
				if got.RetryAfter <= 0 {
					t.Error("no time to come back")
				}
				if took := time.Since(began); took > c.within {
					t.Errorf("took %v; want at most %v", took, c.within)
				}
			})
		})
	}
}

func refuseAll(err error) func(*testGateway) {
	return func(b *testGateway) {
		for _, e := range b.engines {
			e.setRefuse(err)
		}
	}
}
