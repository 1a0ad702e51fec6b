package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// observer is a testTracker that knows entries, and may be alone.
type observer struct {
	*testTracker
	standings map[ident.Instance]Standing
	alone     bool
}

func newObserver() *observer {
	o := &observer{testTracker: &testTracker{now: epoch}, standings: make(map[ident.Instance]Standing)}
	o.Tracker = New(Config{
		Self: "gw0", Now: func() time.Time { return o.now }, Log: hclog.NewNullLogger(), Key: testUpstreamKey, Alone: func() bool { return o.alone },
		Standing: func(id ident.Instance, _ time.Time) Standing { return o.standings[id] },
	})
	return o
}

// breakOff interrupts a new request with a content at each of some upstreams.
func (o *observer) breakOff(evidence Evidence, content ident.Feature, upstreams ...string) {
	for _, u := range upstreams {
		o.lastID++
		o.interrupt(u, testSoftware, fmt.Sprint(o.lastID), evidence, content)
	}
}

// crashAt returns another gateway's report of a crash.
func crashAt(upstream string, age time.Duration) Report {
	return Report{Crashes: []Crash{{Upstream: testUpstreamKey(ident.Instance(upstream)), Age: age, Marks: []ident.Mark{ident.ContentMark(contentHash(2), "x")}}}}
}

// countOf returns how many crashes count against a content.
func (o *observer) countOf(f ident.Feature) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.crashesAgainst(f, o.now)
}

// Guards against the end of a process that counts against nobody because it did not show at once, and against a
// connection that broke off, or a caller that left, which counts as one.
func TestWhatProvesThatAnInterruptionWasACrash(t *testing.T) {
	c := content(1)
	for _, test := range []struct {
		name     string
		evidence Evidence
		happen   func(o *observer)
		want     int
	}{
		{"nothing", BrokenOff, func(o *observer) { o.advance(time.Second) }, 0},
		{"its entry lapses", BrokenOff, func(o *observer) { o.standings["a"] = Gone; o.advance(4 * time.Second) }, 1},
		{"its entry lapses, the caller had left", GivenUp, func(o *observer) { o.standings["a"] = Gone; o.advance(4 * time.Second) }, 1},
		{"its entry lapses long after", BrokenOff, func(o *observer) { o.standings["a"] = Gone; o.advance(proofLookback) }, 0},
		{"another upstream's lapses", BrokenOff, func(o *observer) { o.standings["b"] = Gone; o.advance(4 * time.Second) }, 0},
		{"its entry is renewed", BrokenOff, func(o *observer) {
			o.standings["a"] = Renewed
			o.advance(time.Second)
			o.standings["a"] = Gone
			o.advance(time.Second)
		}, 0},
		{"it leaves", BrokenOff, func(o *observer) {
			o.standings["a"] = Leaving
			o.advance(time.Second)
			o.standings["a"] = Gone
			o.advance(time.Second)
		}, 0},
		{"it answers what was sent later", BrokenOff, func(o *observer) {
			o.Answered("a", o.now.Add(aliveAfter))
			o.standings["a"] = Gone
			o.advance(4 * time.Second)
		}, 0},
		{"it answers what was sent before", BrokenOff, func(o *observer) {
			o.Answered("a", o.now)
			o.standings["a"] = Gone
			o.advance(4 * time.Second)
		}, 1},
		{"another gateway saw it", BrokenOff, func(o *observer) { o.advance(time.Second, crashAt("a", time.Second)) }, 1},
		{"another gateway saw it, the caller had left", GivenUp, func(o *observer) { o.advance(time.Second, crashAt("a", time.Second)) }, 0},
		{"another gateway saw it later", BrokenOff, func(o *observer) { o.advance(2*time.Second, crashAt("a", 0)) }, 0},
		{"another of its requests shows it", BrokenOff, func(o *observer) { o.breakOff(ProcessEnded, content(2), "a") }, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			o := newObserver()
			o.breakOff(test.evidence, c, "a")
			test.happen(o)
			if got := o.countOf(c); got != test.want {
				t.Errorf("%d crashes count, want %d", got, test.want)
			}
		})
	}
}

// Guards against one end that counts twice, because one gateway saw it at once and another by the entry.
func TestAnEndThatShowsTwiceIsOneCrash(t *testing.T) {
	c := content(1)
	o := newObserver()
	o.breakOff(GivenUp, c, "a")
	o.now = o.now.Add(2 * time.Second)
	o.breakOff(BrokenOff, c, "a")
	o.now = o.now.Add(100 * time.Millisecond)
	o.breakOff(ProcessEnded, c, "a")
	o.standings["a"] = Gone
	o.advance(time.Second)
	if got := o.countOf(c); got != 1 {
		t.Errorf("%d crashes count, want 1", got)
	}
}

// Guards against a content that is sent on while it is open whether three upstreams crashed under it, against one that
// is held back though it was answered, and against a hold that lasts.
func TestAContentIsHeldBackWhileItsEndsAreOpen(t *testing.T) {
	c := content(1)
	features := []ident.Feature{c}
	o := newObserver()
	o.breakOff(BrokenOff, c, "a", "b")
	if got := o.Admit(features, settleTime); got.Step != Send {
		t.Errorf("after two: %+v", got)
	}
	if !o.MayResend(features) {
		t.Error("no resend after two")
	}
	o.breakOff(BrokenOff, c, "c")
	if got := o.Admit(features, 0); got.Step != Wait {
		t.Errorf("after three: %+v", got)
	}
	if got := o.Admit(features, settleTime); got.Step != Bar || got.Barred.RetryAfter != holdRetryAfter {
		t.Errorf("after three and the time to hear of others: %+v", got)
	}
	if o.MayResend(features) {
		t.Error("resent after three")
	}
	if o.isBarred(c) {
		t.Error("convicted without a crash")
	}
	for _, u := range []ident.Instance{"a", "b", "c"} {
		o.standings[u] = Renewed
	}
	o.advance(time.Second)
	if got := o.Admit(features, 0); got.Step != Send {
		t.Errorf("all three go on: %+v", got)
	}
	o.breakOff(BrokenOff, c, "d", "e", "f")
	o.answer(c)
	if got := o.Admit(features, 0); got.Step != Send {
		t.Errorf("after a complete answer: %+v", got)
	}
}

// Guards against gateways that hold a content back each by what it saw itself, and send it on three times each.
func TestOpenEndsOfOtherGatewaysCount(t *testing.T) {
	c := content(1)
	first, second := newObserver(), newObserver()
	first.breakOff(BrokenOff, c, "a", "b")
	second.lastID = 10
	second.breakOff(BrokenOff, c, "c")
	second.advance(0, first.Report())
	if got := second.Admit([]ident.Feature{c}, settleTime); got.Step != Bar {
		t.Errorf("two at another gateway and one here: %+v", got)
	}
	second.advance(0, crashAt("a", 0))
	if got := second.countOf(c); got != 1 {
		t.Errorf("%d crashes count once another gateway saw the end of an upstream, want 1", got)
	}
}

// Guards against a gateway that sends a content on by its own count alone, while the others, which it does not hear, have
// convicted it.
func TestAGatewayThatHearsNoneHoldsBackWhatUpstreamsMayHaveCrashedUnder(t *testing.T) {
	c := content(1)
	o := newObserver()
	o.alone = true
	if got := o.Admit([]ident.Feature{c}, settleTime); got.Step != Send {
		t.Errorf("before anything happened: %+v", got)
	}
	o.breakOff(ProcessEnded, c, "a")
	if got := o.Admit([]ident.Feature{c}, settleTime); got.Step != Send {
		t.Errorf("after one crash: %+v", got)
	}
	o.breakOff(ProcessEnded, c, "b")
	if got := o.Admit([]ident.Feature{c}, settleTime); got.Step != Bar {
		t.Errorf("after two crashes: %+v", got)
	}
	if got := o.Admit([]ident.Feature{content(2)}, settleTime); got.Step != Send {
		t.Errorf("another content: %+v", got)
	}
	o.advance(aloneHold)
	if got := o.Admit([]ident.Feature{c}, settleTime); got.Step != Send {
		t.Errorf("once the store can have told what others know: %+v", got)
	}
}

// Guards against gateways that cannot hear each other and never learn of each other's crashes though both reach the
// store, against crashes in it that count twice, and against writes while all hear each other.
func TestGatewaysThatDoNotHearEachOtherKnowThroughTheStore(t *testing.T) {
	c := content(1)
	first, second := newObserver(), newObserver()
	sync := NewStoreSync(first.Tracker)
	if _, due := sync.NextWrite(0, false, first.now); due {
		t.Error("a write before anything happened")
	}
	first.breakOff(ProcessEnded, c, "a", "b")
	if _, due := sync.NextWrite(0, true, first.now); due {
		t.Error("crashes are written though all gateways hear each other")
	}
	if _, due := sync.NextWrite(storeRanks, false, first.now); due {
		t.Error("a gateway writes that others write for")
	}
	report, due := sync.NextWrite(0, false, first.now)
	if !due {
		t.Fatal("nothing is written")
	}
	if _, due := sync.NextWrite(0, false, first.now.Add(time.Second)); due {
		t.Error("the same is written again")
	}
	second.lastID = 10
	second.breakOff(ProcessEnded, c, "a", "c")
	second.MergeStored(report.Aged(1500 * time.Millisecond))
	if got := second.countOf(c); got != 3 {
		t.Errorf("%d crashes count, want 3", got)
	}
	second.advance(settleTime)
	if !second.isBarred(c) {
		t.Error("not convicted by the crashes of both")
	}
	verdict, due := NewStoreSync(second.Tracker).NextWrite(0, true, second.now)
	if !due {
		t.Fatal("a conviction is not written")
	}
	first.MergeStored(verdict)
	if !first.isBarred(c) {
		t.Error("the other gateway does not know the conviction")
	}
}
