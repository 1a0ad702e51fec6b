package poison

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// testTracker is one gateway's Tracker with its own clock.
type testTracker struct {
	*Tracker
	now    time.Time
	lastID int
}

func newTestTracker() *testTracker {
	tr := &testTracker{now: epoch}
	tr.Tracker = newTracker(func() time.Time { return tr.now })
	return tr
}

func contentHash(n int) ident.ContentHash { return ident.ContentHashOf(ident.OutlineHash(n), 0) }

func content(n int) ident.Feature { return contentHash(n).Feature() }

func part(id uint64) ident.Feature { return ident.Feature{Kind: ident.PartFeature, Value: id} }

// testSoftware is what upstreams run unless a test says otherwise.
const testSoftware Software = 1

// crashWith records a crash of an upstream under one new request per content.
func (tr *testTracker) crashWith(upstream string, contents ...ident.Feature) {
	for _, c := range contents {
		tr.crashUnder(upstream, testSoftware, c)
	}
}

// crashUnder records a crash of an upstream under one new request with a content and parts.
func (tr *testTracker) crashUnder(upstream string, software Software, content ident.Feature, parts ...ident.Feature) {
	tr.lastID++
	tr.crashUnderRequest(upstream, software, fmt.Sprint(tr.lastID), content, parts...)
}

// crashUnderRequest records a crash of an upstream under a request with an ID, a content and parts.
func (tr *testTracker) crashUnderRequest(upstream string, software Software, id string, content ident.Feature, parts ...ident.Feature) {
	tr.interrupt(upstream, software, id, ProcessEnded, content, parts...)
}

// interrupt records that a request with an ID, a content and parts was interrupted at an upstream.
func (tr *testTracker) interrupt(upstream string, software Software, id string, evidence Evidence, content ident.Feature, parts ...ident.Feature) {
	tr.Interrupted(&Interruption{
		Upstream: ident.Instance(upstream), Software: software, Request: ident.Request(id), Content: ident.ContentHash(content.Value), Parts: parts, Evidence: evidence,
	})
}

// answer records the complete answer to a request with the features.
func (tr *testTracker) answer(features ...ident.Feature) {
	tr.Completed(&Completion{Features: features, Software: testSoftware, Sent: tr.now, Success: true})
}

// advance lets time pass and merges the reports of other gateways.
func (tr *testTracker) advance(by time.Duration, reports ...Report) {
	tr.now = tr.now.Add(by)
	var all Report
	for _, r := range reports {
		all = all.Merge(r)
	}
	tr.Refresh(all)
}

func (tr *testTracker) isBarred(features ...ident.Feature) bool { return tr.Barred(features) != nil }

// Guards against a content that is barred too early, too late or instead of the real cause.
func TestConvictions(t *testing.T) {
	cause, beside, other := content(1), content(2), content(3)
	for _, c := range []struct {
		name   string
		happen func(tr *testTracker)
		barred []ident.Feature
		free   []ident.Feature
	}{
		{"two ends are not enough", func(tr *testTracker) {
			tr.crashWith("a", cause)
			tr.crashWith("b", cause)
			tr.advance(settleTime)
		}, nil, []ident.Feature{cause}},
		{"three ends, of which all have told", func(tr *testTracker) {
			tr.crashWith("a", cause, beside)
			tr.crashWith("b", cause)
			tr.crashWith("c", cause, beside)
			tr.advance(settleTime)
		}, []ident.Feature{cause}, []ident.Feature{beside}},
		{"others may yet tell of what else was there", func(tr *testTracker) {
			tr.crashWith("a", cause)
			tr.crashWith("b", cause)
			tr.crashWith("c", cause)
			tr.advance(settleTime - time.Millisecond)
		}, nil, []ident.Feature{cause}},
		{"a whole answer between the ends", func(tr *testTracker) {
			tr.crashWith("a", cause)
			tr.crashWith("b", cause)
			tr.advance(time.Second)
			tr.answer(cause)
			tr.now = tr.now.Add(time.Second)
			tr.crashWith("c", cause)
			tr.advance(settleTime)
		}, nil, []ident.Feature{cause}},
		{"a whole answer of a request that was on its way", func(tr *testTracker) {
			tr.crashWith("a", cause)
			tr.crashWith("b", cause)
			tr.crashWith("c", cause)
			tr.advance(settleTime)
			tr.answer(cause)
		}, nil, []ident.Feature{cause}},
		{"one request that its gateway sent on", func(tr *testTracker) {
			for _, u := range []string{"a", "b", "c", "d"} {
				tr.crashUnderRequest(u, testSoftware, "one", beside)
			}
			tr.advance(settleTime)
		}, nil, []ident.Feature{beside}},
		{"two at the same ends", func(tr *testTracker) {
			for _, u := range []string{"a", "b", "c"} {
				tr.crashWith(u, cause, beside)
			}
			tr.advance(settleTime)
		}, nil, []ident.Feature{cause, beside}},
		{"two at the same ends, and then one alone", func(tr *testTracker) {
			for _, u := range []string{"a", "b", "c"} {
				tr.crashWith(u, cause, beside)
			}
			tr.crashWith("d", cause)
			tr.advance(settleTime)
		}, []ident.Feature{cause}, []ident.Feature{beside}},
		{"two causes", func(tr *testTracker) {
			for _, u := range []string{"a", "b", "c"} {
				tr.crashWith(u, cause, beside)
				tr.crashWith(u+"2", other, beside)
			}
			tr.crashWith("d", cause)
			tr.crashWith("d2", other)
			tr.advance(settleTime)
			// The content that ran beside both causes has more crashes than either, until it is
			// answered.
			tr.answer(beside)
			tr.advance(0)
		}, []ident.Feature{cause, other}, []ident.Feature{beside}},
		{"a life that ends twice under one name", func(tr *testTracker) {
			for range 3 {
				tr.crashWith("a", cause)
				tr.advance(3 * time.Second)
			}
		}, []ident.Feature{cause}, nil},
		{"forgotten once it stays away", func(tr *testTracker) {
			for _, u := range []string{"a", "b", "c"} {
				tr.crashWith(u, cause)
			}
			tr.advance(settleTime)
			tr.advance(VerdictTTL)
		}, nil, []ident.Feature{cause}},
	} {
		tr := newTestTracker()
		c.happen(tr)
		for _, x := range c.barred {
			if !tr.isBarred(x) {
				t.Errorf("%s: %s is not barred", c.name, x)
			}
		}
		for _, x := range c.free {
			if tr.isBarred(x) {
				t.Errorf("%s: %s is barred", c.name, x)
			}
		}
	}
}

// Guards against a gateway that has just started, or was disconnected, and still sends what the
// others bar.
func TestReportedConvictionsAreBarred(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	for _, u := range []string{"a", "b", "c"} {
		a.crashWith(u, content(1))
	}
	a.advance(settleTime)
	a.advance(time.Minute)
	b.now = a.now
	b.advance(0, a.Report())
	if !b.isBarred(content(1)) {
		t.Fatal("content convicted by another gateway is not barred")
	}
	// A report that arrives a round late has no effect.
	late := b.Report()
	if !b.Clear(content(1)) {
		t.Fatal("Clear reports that the content was not barred")
	}
	b.advance(250*time.Millisecond, a.Report(), late.Aged(250*time.Millisecond))
	if b.isBarred(content(1)) {
		t.Error("barred again by an older report")
	}
	a.now = b.now
	a.advance(0, b.Report())
	if a.isBarred(content(1)) {
		t.Error("the operator's clearance did not reach the gateway that convicted the content")
	}
}

// Guards against counting a crash once per gateway that reports it.
func TestOneCrashIsCountedOnce(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	a.crashWith("u", content(1))
	b.lastID = 10
	b.crashWith("u", content(1))
	b.now = b.now.Add(30 * time.Millisecond)
	for range 4 {
		a.advance(250*time.Millisecond, b.Report())
		b.now = a.now
	}
	if n := a.crashesAgainst(content(1), a.now); n != 1 {
		t.Errorf("%d crashes counted, want 1", n)
	}
	if a.isBarred(content(1)) {
		t.Error("barred after one crash")
	}
}

// Guards against memory, messages and records that grow with the number of different poison
// requests.
func TestManyPoisonRequestsAreBounded(t *testing.T) {
	tr := newTestTracker()
	for i := range 2000 {
		for k := range 3 {
			tr.crashWith(fmt.Sprintf("u%d-%d", i, k), content(i+1))
		}
		tr.advance(settleTime)
	}
	if len(tr.crashes) > maxCrashes || len(tr.convictions) > maxConvictions || len(tr.clearances) > maxClearances {
		t.Errorf("too much is held: %d crashes, %d convictions and %d clearances", len(tr.crashes), len(tr.convictions), len(tr.clearances))
	}
	report := tr.Report()
	marks := 0
	for _, c := range report.Crashes {
		marks += len(c.Marks)
	}
	if marks > maxReported(ident.ContentFeature) || len(report.Verdicts) > rulesByKind[ident.ContentFeature].maxVerdicts {
		t.Errorf("%d marks and %d verdicts in one report", marks, len(report.Verdicts))
	}
	var stored []storedVerdict
	if err := json.Unmarshal(tr.Snapshot(), &stored); err != nil || len(stored) != maxStoredVerdicts {
		t.Errorf("%d verdicts stored, error %v", len(stored), err)
	}
	tr.advance(VerdictTTL)
	if !tr.KnowsNone() {
		t.Error("crashes or verdicts not expired after VerdictTTL")
	}
}

// Guards against verdicts whose turn to be reported never comes.
func TestAllVerdictsAreReportedInTurn(t *testing.T) {
	tr, other := newTestTracker(), newTestTracker()
	for i := range 10 {
		for k := range 3 {
			tr.crashWith(fmt.Sprintf("u%d-%d", i, k), content(i+1))
		}
	}
	tr.advance(settleTime)
	for range 12 {
		other.advance(250*time.Millisecond, tr.Report())
		tr.now = other.now
	}
	for i := range 10 {
		if !other.isBarred(content(i + 1)) {
			t.Errorf("the verdict on content %d was not reported", i+1)
		}
	}
}

// Guards against convictions that are lost when all gateways restart, and against invalid
// stored records that bar something.
func TestStoredVerdicts(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	for _, u := range []string{"a", "b", "c"} {
		a.crashWith(u, content(1))
	}
	a.advance(settleTime)
	b.now = a.now
	b.Restore(a.Snapshot())
	if b.KnowsNone() || !b.isBarred(content(1)) {
		t.Error("stored content is not barred")
	}
	c := newTestTracker()
	for _, data := range []string{"", "null", "[]", "{}", "7", `[{"content":0}]`, `[{"content":256,"age_ms":-1}]`} {
		c.Restore(json.RawMessage(data))
	}
	if !c.KnowsNone() {
		t.Error("an invalid record left crashes or verdicts")
	}
}

// Guards against a suspected request that skips the checks because its outline is not known.
func TestKnownOutlines(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	known := contentHash(1).Outline()
	a.crashWith("a", content(1))
	if !a.Knows(known) || a.Knows(contentHash(2).Outline()) {
		t.Error("outlines do not match this gateway's crash")
	}
	b.advance(0, a.Report())
	if !b.Knows(known) {
		t.Error("outline of another gateway's crash is not known")
	}
	a.crashWith("b", content(1))
	a.crashWith("c", content(1))
	a.advance(settleTime)
	c := newTestTracker()
	c.Restore(a.Snapshot())
	if !c.Knows(known) {
		t.Error("outline of a stored verdict is not known")
	}
	a.advance(VerdictTTL)
	if a.Knows(known) {
		t.Error("outline is known after the verdict expired")
	}
}

// Guards against a request that is sent before it is decided whether it is a poison request, and
// against a request that waits forever.
func TestAdmission(t *testing.T) {
	tr := newTestTracker()
	c := content(1)
	if !tr.KnowsNone() {
		t.Fatal("a new tracker is not empty")
	}
	tr.crashWith("a", c)
	if got := tr.Admit([]ident.Feature{c}, 0); got.Step != Send {
		t.Errorf("after one crash: %+v", got)
	}
	tr.crashWith("b", c)
	ended := tr.Started("c", []ident.Feature{c})
	if got := tr.Admit([]ident.Feature{c}, 0); got.Step != Wait {
		t.Errorf("after two crashes, one request in progress: %+v", got)
	}
	if got := tr.Admit([]ident.Feature{c}, settleTime); got.Step != Send {
		t.Errorf("still waits after settleTime: %+v", got)
	}
	if got := tr.Admit([]ident.Feature{content(2)}, 0); got.Step != Send || len(got.Avoid) != 0 {
		t.Errorf("another content: %+v", got)
	}
	tr.crashWith("x", content(2))
	if got := tr.Admit([]ident.Feature{content(2)}, 0); got.Step != Send || len(got.Avoid) != 1 || got.Avoid[0] != "c" {
		t.Errorf("a second suspect does not avoid the upstream of the first: %+v", got)
	}
	if !tr.MayResend([]ident.Feature{c}) {
		t.Error("no resend after two crashes")
	}
	ended()
	tr.crashWith("c", c)
	if tr.MayResend([]ident.Feature{c}) {
		t.Error("resend after three crashes")
	}
	if got := tr.Admit([]ident.Feature{c}, 0); got.Step != Wait {
		t.Errorf("after three crashes that others may not have reported yet: %+v", got)
	}
	tr.advance(settleTime)
	if got := tr.Admit([]ident.Feature{c}, 0); got.Step != Bar || got.Barred.RetryAfter != VerdictTTL {
		t.Errorf("after three settled crashes: %+v", got)
	}
}
