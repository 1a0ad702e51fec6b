package poison

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// testTracker is one gateway's tracker with a clock of its own.
type testTracker struct {
	*Tracker
	now    time.Time
	lastID int
}

func newTestTracker() *testTracker {
	d := &testTracker{now: epoch}
	d.Tracker = newTracker(func() time.Time { return d.now })
	return d
}

func content(n int) ident.Content { return ident.ContentOf(ident.Outline(n), 0) }

// crashWith ends an upstream under a new request of each content.
func (d *testTracker) crashWith(upstream string, contents ...ident.Content) {
	for _, c := range contents {
		d.lastID++
		d.Crashed(ident.Instance(upstream), ident.MarkOf(c, ident.Request(fmt.Sprint(d.lastID))))
	}
}

// advance lets time pass and takes in what others told.
func (d *testTracker) advance(by time.Duration, words ...Words) {
	d.now = d.now.Add(by)
	var all Words
	for _, w := range words {
		all = all.Plus(w)
	}
	d.Refresh(all)
}

func (d *testTracker) isBarred(c ident.Content) bool {
	_, barred := d.Barred(c)
	return barred
}

// Guards against a content that is barred too soon, too late or in place of another.
func TestWhatIsFound(t *testing.T) {
	cause, beside, other := content(1), content(2), content(3)
	for _, c := range []struct {
		name   string
		happen func(d *testTracker)
		barred []ident.Content
		free   []ident.Content
	}{
		{"two ends are not enough", func(d *testTracker) {
			d.crashWith("a", cause)
			d.crashWith("b", cause)
			d.advance(settleTime)
		}, nil, []ident.Content{cause}},
		{"three ends, of which all have told", func(d *testTracker) {
			d.crashWith("a", cause, beside)
			d.crashWith("b", cause)
			d.crashWith("c", cause, beside)
			d.advance(settleTime)
		}, []ident.Content{cause}, []ident.Content{beside}},
		{"others may yet tell of what else was there", func(d *testTracker) {
			d.crashWith("a", cause)
			d.crashWith("b", cause)
			d.crashWith("c", cause)
			d.advance(settleTime - time.Millisecond)
		}, nil, []ident.Content{cause}},
		{"a whole answer between the ends", func(d *testTracker) {
			d.crashWith("a", cause)
			d.crashWith("b", cause)
			d.advance(time.Second)
			d.Completed(cause)
			d.now = d.now.Add(time.Second)
			d.crashWith("c", cause)
			d.advance(settleTime)
		}, nil, []ident.Content{cause}},
		{"a whole answer of a request that was on its way", func(d *testTracker) {
			d.crashWith("a", cause)
			d.crashWith("b", cause)
			d.crashWith("c", cause)
			d.advance(settleTime)
			d.Completed(cause)
		}, nil, []ident.Content{cause}},
		{"one request that its gateway sent on", func(d *testTracker) {
			for _, u := range []string{"a", "b", "c", "d"} {
				d.Crashed(ident.Instance(u), ident.MarkOf(beside, "one"))
			}
			d.advance(settleTime)
		}, nil, []ident.Content{beside}},
		{"two at the same ends", func(d *testTracker) {
			for _, u := range []string{"a", "b", "c"} {
				d.crashWith(u, cause, beside)
			}
			d.advance(settleTime)
		}, nil, []ident.Content{cause, beside}},
		{"two at the same ends, and then one alone", func(d *testTracker) {
			for _, u := range []string{"a", "b", "c"} {
				d.crashWith(u, cause, beside)
			}
			d.crashWith("d", cause)
			d.advance(settleTime)
		}, []ident.Content{cause}, []ident.Content{beside}},
		{"two causes", func(d *testTracker) {
			for _, u := range []string{"a", "b", "c"} {
				d.crashWith(u, cause, beside)
				d.crashWith(u+"2", other, beside)
			}
			d.crashWith("d", cause)
			d.crashWith("d2", other)
			d.advance(settleTime)
			// What ran beside both was at more ends than either, until it is answered.
			d.Completed(beside)
			d.advance(0)
		}, []ident.Content{cause, other}, []ident.Content{beside}},
		{"a life that ends twice under one name", func(d *testTracker) {
			for range 3 {
				d.crashWith("a", cause)
				d.advance(3 * time.Second)
			}
		}, []ident.Content{cause}, nil},
		{"forgotten once it stays away", func(d *testTracker) {
			for _, u := range []string{"a", "b", "c"} {
				d.crashWith(u, cause)
			}
			d.advance(settleTime)
			d.advance(ForgetAfter)
		}, nil, []ident.Content{cause}},
	} {
		d := newTestTracker()
		c.happen(d)
		for _, x := range c.barred {
			if !d.isBarred(x) {
				t.Errorf("%s: content %d is not barred", c.name, x.Outline())
			}
		}
		for _, x := range c.free {
			if d.isBarred(x) {
				t.Errorf("%s: content %d is barred", c.name, x.Outline())
			}
		}
	}
}

// Guards against a gateway that has just started, or was out of touch, and sends on what
// the others found.
func TestWhatOthersFoundIsBarred(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	for _, u := range []string{"a", "b", "c"} {
		a.crashWith(u, content(1))
	}
	a.advance(settleTime)
	a.advance(time.Minute)
	b.now = a.now
	b.advance(0, a.Words())
	if !b.isBarred(content(1)) {
		t.Fatal("what another gateway found is not barred")
	}
	// A word that is late by a round changes nothing.
	late := b.Words()
	if !b.Clear(content(1)) {
		t.Fatal("it was not barred")
	}
	b.advance(250*time.Millisecond, a.Words(), late.Aged(250*time.Millisecond))
	if b.isBarred(content(1)) {
		t.Error("barred again by an older word")
	}
	a.now = b.now
	a.advance(0, b.Words())
	if a.isBarred(content(1)) {
		t.Error("the operator's word did not reach the gateway that found it")
	}
}

// Guards against ends that are counted once for each gateway that tells of them.
func TestOneEndIsCountedOnce(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	a.crashWith("u", content(1))
	b.lastID = 10
	b.crashWith("u", content(1))
	b.now = b.now.Add(30 * time.Millisecond)
	for range 4 {
		a.advance(250*time.Millisecond, b.Words())
		b.now = a.now
	}
	if n, _ := a.crashesAgainst(content(1), a.now); n != 1 {
		t.Errorf("%d ends", n)
	}
	if a.isBarred(content(1)) {
		t.Error("barred after one end")
	}
}

// Guards against memory, messages and records that grow with the number of different
// requests that end upstreams.
func TestManyDifferentOnesAreBounded(t *testing.T) {
	d := newTestTracker()
	for i := range 2000 {
		for k := range 3 {
			d.crashWith(fmt.Sprintf("u%d-%d", i, k), content(i+1))
		}
		d.advance(settleTime)
	}
	if len(d.crashes) > maxCrashes || len(d.verdicts) > maxVerdicts {
		t.Errorf("%d ends and %d verdicts", len(d.crashes), len(d.verdicts))
	}
	w := d.Words()
	marks := 0
	for _, c := range w.Crashes {
		marks += len(c.Marks)
	}
	if marks > maxReportedMarks || len(w.Verdicts) > maxReportedVerdicts {
		t.Errorf("%d marks and %d verdicts told", marks, len(w.Verdicts))
	}
	var kept []storedVerdict
	if err := json.Unmarshal(d.Keep(), &kept); err != nil || len(kept) != maxStoredVerdicts {
		t.Errorf("%d kept, %v", len(kept), err)
	}
	d.advance(ForgetAfter)
	if !d.Quiet() {
		t.Error("not forgotten")
	}
}

// Guards against verdicts that wait for their turn for good.
func TestAllVerdictsAreToldInTurn(t *testing.T) {
	d, other := newTestTracker(), newTestTracker()
	for i := range 10 {
		for k := range 3 {
			d.crashWith(fmt.Sprintf("u%d-%d", i, k), content(i+1))
		}
	}
	d.advance(settleTime)
	for range 12 {
		other.advance(250*time.Millisecond, d.Words())
		d.now = other.now
	}
	for i := range 10 {
		if !other.isBarred(content(i + 1)) {
			t.Errorf("content %d was not told of", i+1)
		}
	}
}

// Guards against a start after which all that was found must be found again, and against
// records that cannot be.
func TestKeptVerdicts(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	for _, u := range []string{"a", "b", "c"} {
		a.crashWith(u, content(1))
	}
	a.advance(settleTime)
	b.now = a.now
	b.Learn(a.Keep())
	if b.Quiet() || !b.isBarred(content(1)) {
		t.Error("what was kept is not barred")
	}
	c := newTestTracker()
	for _, data := range []string{"", "null", "[]", "{}", "7", `[{"content":0}]`, `[{"content":256,"age_ms":-1}]`} {
		c.Learn(json.RawMessage(data))
	}
	if !c.Quiet() {
		t.Error("a record that names nothing barred something")
	}
}

// Guards against a request that is let by unasked although others like it are known.
func TestKnownOutlines(t *testing.T) {
	a, b := newTestTracker(), newTestTracker()
	known := content(1).Outline()
	a.crashWith("a", content(1))
	if !a.Knows(known) || a.Knows(content(2).Outline()) {
		t.Error("not what was just at an end")
	}
	b.advance(0, a.Words())
	if !b.Knows(known) {
		t.Error("not what another gateway had at an end")
	}
	a.crashWith("b", content(1))
	a.crashWith("c", content(1))
	a.advance(settleTime)
	c := newTestTracker()
	c.Learn(a.Keep())
	if !c.Knows(known) {
		t.Error("not what was kept")
	}
	a.advance(ForgetAfter)
	if a.Knows(known) {
		t.Error("known after it was forgotten")
	}
}

// Guards against a request that is sent on while it is open whether it ends upstreams, and
// against one that waits for good.
func TestAdmission(t *testing.T) {
	d := newTestTracker()
	c := content(1)
	if !d.Quiet() {
		t.Fatal("something is known at the start")
	}
	d.crashWith("a", c)
	if got := d.Admit(c, 0); got.Step != Send {
		t.Errorf("after one end: %+v", got)
	}
	d.crashWith("b", c)
	ended := d.Started("c", c)
	if got := d.Admit(c, 0); got.Step != Wait {
		t.Errorf("after two ends, one in progress: %+v", got)
	}
	if got := d.Admit(c, settleTime); got.Step != Send {
		t.Errorf("it waits for good: %+v", got)
	}
	if got := d.Admit(content(2), 0); got.Step != Send || len(got.Avoid) != 0 {
		t.Errorf("another request: %+v", got)
	}
	d.crashWith("x", content(2))
	if got := d.Admit(content(2), 0); got.Step != Send || len(got.Avoid) != 1 || got.Avoid[0] != "c" {
		t.Errorf("a second suspect runs beside the first: %+v", got)
	}
	if !d.Resend(c) {
		t.Error("not sent once more after two ends")
	}
	ended()
	d.crashWith("c", c)
	if d.Resend(c) {
		t.Error("sent once more after three ends")
	}
	if got := d.Admit(c, 0); got.Step != Wait {
		t.Errorf("others have not told yet: %+v", got)
	}
	d.advance(settleTime)
	if got := d.Admit(c, 0); got.Step != Bar || got.After != ForgetAfter {
		t.Errorf("after three ends of which all told: %+v", got)
	}
}
