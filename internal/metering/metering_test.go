package metering

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/duty"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
)

// holder is a lease, and the platform that takes reports.
type holder struct {
	fence    ident.Fence
	holds    bool
	decided  json.RawMessage
	commit   error
	report   error
	reported []platform.UsageReport
}

func (h *holder) Grant() (duty.Grant, bool) {
	return duty.Grant{Authority: platform.Authority{Fence: h.fence}}, h.holds
}
func (h *holder) Refused(ident.Fence)      { h.holds = false }
func (h *holder) Decided() json.RawMessage { return h.decided }

func (h *holder) Commit(_ context.Context, decided json.RawMessage) error {
	if h.commit == nil {
		h.decided = decided
	}
	return h.commit
}

func (h *holder) Scale(context.Context, platform.Authority, platform.ScaleOrder) error { return nil }

func (h *holder) Report(_ context.Context, _ platform.Authority, r platform.UsageReport) error {
	if h.report != nil {
		return h.report
	}
	h.reported = append(h.reported, r)
	return nil
}

// fixture is a reporter at a time of day.
type fixture struct {
	now time.Time
	// unheard: some gateways were not heard since the window's end.
	someUnheard bool
	gathered    int
	ledger      *Ledger
	holder      *holder
	*Reporter
}

const windowLength = 5 * time.Second

func newFixture() *fixture {
	s := &fixture{now: time.Unix(5000, 0), ledger: NewLedger(), holder: &holder{fence: 1, holds: true}}
	s.Reporter = s.newReporter(s.holder)
	return s
}

func (s *fixture) newReporter(h *holder) *Reporter {
	return &Reporter{
		Length: windowLength, DueAfter: 2 * windowLength, Gather: s.gather, TrueTime: func() time.Time { return s.now }, Now: func() time.Time { return s.now }, Ledger: s.ledger, Leases: h, Duties: h, Log: hclog.NewNullLogger(),
	}
}

func (s *fixture) gather(context.Context, time.Duration) bool {
	s.gathered++
	return !s.someUnheard
}

func (s *fixture) recordBegan(gateway string, window int64, n int64) {
	s.ledger.Hear(gateway, map[int64]map[ident.ClientAccount]int64{window: {"acct": n}})
}

func TestAWindowIsReportedOnceItHasSettled(t *testing.T) {
	s := newFixture()
	s.recordBegan("a/1", 1000, 3)
	s.recordBegan("b/1", 1000, 4)
	s.Step(t.Context())
	if len(s.holder.reported) != 0 {
		t.Fatal("reported before the window ended")
	}
	s.now = s.now.Add(windowLength + minSettleTime)
	s.Step(t.Context())
	s.Step(t.Context())
	want := []platform.UsageReport{{Window: 1000, Counts: Counts{"acct": 7}}}
	if diff := cmp.Diff(want, s.holder.reported); diff != "" {
		t.Fatal(diff)
	}
}

// Symptom: reports are off by a tenth. Sequence: among ninety gateways some are not met
// for six seconds. Cause: counts that are decided before they are in, and nobody who
// asks for them.
func TestAWindowWaitsForCountsThatAreSlowToCome(t *testing.T) {
	s := newFixture()
	s.someUnheard = true
	s.recordBegan("a/1", 1000, 3)
	s.now = s.now.Add(windowLength + minSettleTime)
	s.Step(t.Context())
	if len(s.holder.reported) != 0 || s.gathered == 0 {
		t.Fatalf("reported %d before all was heard, asked %d times", len(s.holder.reported), s.gathered)
	}
	s.someUnheard = false
	s.Step(t.Context())
	if len(s.holder.reported) == 0 {
		t.Fatal("not reported when all was heard")
	}
}

// Symptom: no report by the time it is due. Sequence: a gateway that was killed counts
// as present for some seconds more. Cause: waiting for it.
func TestAWindowThatIsDueWaitsForNobody(t *testing.T) {
	s := newFixture()
	s.someUnheard = true
	s.recordBegan("a/1", 1000, 3)
	s.now = s.now.Add(windowLength + 2*windowLength - reportReserve)
	s.Step(t.Context())
	if len(s.holder.reported) == 0 {
		t.Fatal("not reported in time")
	}
}

// Symptom: the platform gets two reports of one window with different counts.
// Sequence: the holder reports; more counts of the window arrive; another gateway
// takes the duty. Cause: a successor that counts anew.
func TestASuccessorRepeatsTheDecisionExactly(t *testing.T) {
	s := newFixture()
	s.recordBegan("a/1", 1000, 3)
	s.now = s.now.Add(windowLength + minSettleTime)
	s.Step(t.Context())
	s.recordBegan("b/1", 1000, 9)
	next := &holder{fence: 2, holds: true, decided: s.holder.decided}
	s.newReporter(next).Step(t.Context())
	if diff := cmp.Diff(s.holder.reported, next.reported); diff != "" {
		t.Fatal(diff)
	}
}

// Symptom: as above. Sequence: the decision cannot be written, or whether it was
// written is not known. Cause: a report that is sent before its decision stands.
func TestNothingIsSentBeforeItsDecisionStands(t *testing.T) {
	for _, err := range []error{platform.ErrAnswerLost, platform.ErrUnavailable, duty.ErrNotHeld} {
		s := newFixture()
		s.recordBegan("a/1", 1000, 3)
		s.holder.commit = err
		s.now = s.now.Add(windowLength + minSettleTime)
		s.Step(t.Context())
		if len(s.holder.reported) != 0 {
			t.Errorf("%v: reported", err)
		}
	}
}

// Symptom: a window is reported as empty. Sequence: it has ended and is not decided
// yet when all gateways are killed at once; another one takes the duty. Cause:
// counts that only the killed ones knew.
func TestCountsOutliveAKillOfAllGateways(t *testing.T) {
	s := newFixture()
	s.recordBegan("a/1", 1000, 3)
	s.recordBegan("b/1", 1000, 4)
	s.now = s.now.Add(windowLength)
	s.Step(t.Context())
	if len(s.holder.reported) != 0 {
		t.Fatal("reported before it has settled")
	}
	next := &holder{fence: 2, holds: true, decided: s.holder.decided}
	s.ledger = NewLedger()
	s.recordBegan("a/2", 1001, 1)
	// A gateway that lived on tells again what it told before, and more.
	s.recordBegan("b/1", 1000, 5)
	s.now = s.now.Add(minSettleTime)
	s.newReporter(next).Step(t.Context())
	want := []platform.UsageReport{{Window: 1000, Counts: Counts{"acct": 8}}}
	if diff := cmp.Diff(want, next.reported); diff != "" {
		t.Fatal(diff)
	}
}

// Symptom: the lease cannot be written any more. Sequence: there are so many
// accounts that the pending counts exceed what the platform takes as one record.
func TestTooManyPendingCountsAreLeftOut(t *testing.T) {
	s := newFixture()
	counts := make(map[ident.ClientAccount]int64)
	for i := range 20_000 {
		counts[ident.ClientAccount(fmt.Sprint("acct", i))] = 1
	}
	s.ledger.Hear("a/1", map[int64]map[ident.ClientAccount]int64{1000: counts})
	s.Step(t.Context())
	if n := len(s.holder.decided); n == 0 || n > maxRecordBytes {
		t.Errorf("recorded %d bytes", n)
	}
}

// Symptom: the platform's writes double. Cause: counts that are recorded at each
// step.
func TestPendingCountsAreRecordedNowAndThen(t *testing.T) {
	s := newFixture()
	s.recordBegan("a/1", 1000, 1)
	writes := 0
	for range 40 {
		s.holder.decided = nil
		s.Step(t.Context())
		if s.holder.decided != nil {
			writes++
		}
		s.now = s.now.Add(100 * time.Millisecond)
	}
	if writes != 3 {
		t.Errorf("%d writes in 4 s", writes)
	}
}

func TestARefusedHolderStops(t *testing.T) {
	s := newFixture()
	s.recordBegan("a/1", 1000, 3)
	s.holder.report = platform.ErrOldFence
	s.now = s.now.Add(windowLength + minSettleTime)
	s.Step(t.Context())
	if s.holder.holds {
		t.Error("goes on after a higher fencing number was seen")
	}
}

func TestAReportIsRepeatedUntilItIsTaken(t *testing.T) {
	s := newFixture()
	s.recordBegan("a/1", 1000, 3)
	s.holder.report = platform.ErrAnswerLost
	s.now = s.now.Add(windowLength + minSettleTime)
	s.Step(t.Context())
	s.holder.report = nil
	s.Step(t.Context())
	if len(s.holder.reported) != 1 {
		t.Errorf("taken %d times", len(s.holder.reported))
	}
}

// Symptom: counts of a gateway that died are missing, or counted twice after its
// restart. Sequence: it reports, dies, and begins anew from zero. Cause: one entry
// a gateway, whatever its life.
func TestTheDeadCount(t *testing.T) {
	l := NewLedger()
	l.Hear("a/1", map[int64]map[ident.ClientAccount]int64{7: {"acct": 5}})
	l.Hear("a/1", map[int64]map[ident.ClientAccount]int64{7: {"acct": 6}})
	l.Hear("a/2", map[int64]map[ident.ClientAccount]int64{7: {"acct": 1}})
	if got := l.Sum(7); got["acct"] != 7 {
		t.Errorf("counted %v", got)
	}
}

// Symptom: memory grows with time, or with a gateway whose clock is wild. Cause:
// windows that are never forgotten.
func TestWindowsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewCounter(windowLength, func() time.Time { return now })
	l := NewLedger()
	for i := range 100 {
		now = now.Add(windowLength)
		c.Began("acct")
		l.Hear(fmt.Sprint("a/", i%3), c.Windows())
	}
	if n := len(c.Windows()); n > maxCounterWindows {
		t.Errorf("%d windows kept by the counter", n)
	}
	if n := len(l.counts); n > maxLedgerWindows {
		t.Errorf("%d windows kept by the ledger", n)
	}
}
