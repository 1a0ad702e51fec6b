package gate

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// TestAtTheDoor: what a request hears when it arrives, by what is predicted.
func TestAtTheDoor(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		story   string
		slots   int
		request Request
		// want is the reason of the refusal; empty is granted.
		want outcome.Reason
	}{
		{"in time", 1, Request{Predicted: 900 * time.Millisecond}, ""},
		{"the first token would be late", 1, Request{Predicted: 1100 * time.Millisecond}, outcome.ReasonOverloaded},
		{"late, but it was told to return", 1, Request{Predicted: 1100 * time.Millisecond, Attempt: 2}, ""},
		{"far too late, though told to return", 1, Request{Predicted: 3 * time.Second, Attempt: 2}, outcome.ReasonOverloaded},
		{"late because it is long itself", 1, Request{Predicted: 1500 * time.Millisecond, Unloaded: time.Second}, ""},
		{"the deadline passes before the first token", 1, Request{Predicted: time.Second / 2, Deadline: now.Add(time.Second / 4)}, outcome.ReasonDeadline},
		{"no upstream", 0, Request{}, outcome.ReasonNoUpstream},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			c.request.Account, c.request.Class = "a", shortClass
			d := New(Config{Slots: c.slots}).Offer(now, &Entry{Request: c.request})
			if c.want == "" {
				if !d.Granted {
					t.Fatalf("got %+v, want a grant", d)
				}
				return
			}
			if r := d.Refusal; !d.Refused || r.Kind != outcome.NotRun || r.Reason != c.want || r.RetryAfter <= 0 {
				t.Fatalf("got %+v, want not_run %s with a return time", d, c.want)
			}
		})
	}
}

// TestFullQueue: a full queue makes room for the account that waits with less,
// and whoever has to leave hears it.
//
// Symptom: a small account is refused at once while a large one's requests
// wait. Sequence: the large one fills the queue. Cause: the queue is full for
// everybody.
func TestFullQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(Config{Slots: 1, MaxQueue: 3, Hold: time.Millisecond})
	patient := document.Class{Completion: time.Hour}
	fill := func(n int) (entries []*Entry) {
		for range n {
			e := &Entry{Request: Request{Account: "large", Class: patient}}
			g.Offer(now, e)
			entries = append(entries, e)
		}
		return entries
	}
	large := fill(4)
	if g.Queued() != 3 {
		t.Fatalf("%d wait, want 3", g.Queued())
	}
	if d := g.Offer(now, &Entry{Request: Request{Account: "large", Class: patient}}); !d.Refused || d.Evicted != nil {
		t.Fatalf("got %+v, want a refusal of the account that fills the queue", d)
	}
	small := &Entry{Request: Request{Account: "small", Class: patient}}
	d := g.Offer(now, small)
	if d.Refused || d.Evicted == nil || d.Evicted.Entry != large[3] {
		t.Fatalf("got %+v, want the large account's last one evicted", d)
	}
	if r := d.Evicted.Refusal; r.Kind != outcome.NotRun || r.RetryAfter <= 0 {
		t.Errorf("the evicted one hears %+v", r)
	}
	if !small.Waiting() || large[3].Waiting() || g.Queued() != 3 || g.AccountInFlight("large") != 3 {
		t.Errorf("queue of %d, large account counts %d", g.Queued(), g.AccountInFlight("large"))
	}
}

// TestLateUpstreams: while upstreams cannot answer all in time, the account
// that asks for most of it leaves room to the others, although slots are free.
//
// Symptom: a small account's requests are refused as often as those of the
// account that causes the load. Sequence: one account asks for ever more;
// predictions come to lie around the target. Cause: nothing waits, so that no
// queue divides.
func TestLateUpstreams(t *testing.T) {
	g := New(Config{Slots: 1000})
	now := time.Unix(1000, 0)
	granted := map[ident.ClientAccount]int{}
	offered := map[ident.ClientAccount]int{}
	var running []*Entry
	offer := func(account ident.ClientAccount, predicted time.Duration) {
		e := &Entry{Request: Request{Account: account, Class: shortClass, Predicted: predicted}}
		offered[account]++
		if g.Offer(now, e).Granted {
			granted[account]++
			running = append(running, e)
		}
	}
	for i := range 2000 {
		now = now.Add(10 * time.Millisecond)
		for len(running) > 0 && now.Sub(running[0].grantedAt) >= time.Second {
			g.Done(now, running[0], 0)
			running = running[1:]
		}
		offer("large", []time.Duration{800 * time.Millisecond, 1200 * time.Millisecond}[i%2])
		if i%50 == 0 {
			offer("small", 800*time.Millisecond)
		}
	}
	if granted["small"] != offered["small"] {
		t.Errorf("%d of %d of the small account's requests granted", granted["small"], offered["small"])
	}
	if granted["large"]*10 > offered["large"] {
		t.Errorf("%d of %d of the large account's requests granted", granted["large"], offered["large"])
	}
}

// TestLateBound: the late bound of a prediction refuses a less urgent request,
// unless such requests are answered in time anyway; it never refuses one of
// the most urgent class.
func TestLateBound(t *testing.T) {
	long := document.Class{Name: "long", FirstToken: time.Second, Priority: 1}
	g := New(Config{Slots: 100})
	now := time.Unix(1000, 0)
	offer := func(class document.Class, by time.Duration) *Entry {
		e := &Entry{Request: Request{Account: "a", Class: class, PredictedBy: by}}
		g.Offer(now, e)
		return e
	}
	if !offer(shortClass, 2*time.Second).Granted() {
		t.Error("most urgent request refused for its late bound")
	}
	if offer(long, 2*time.Second).Granted() {
		t.Error("long request granted against its late bound, though nothing is known of its answers")
	}
	g.FirstToken(now, offer(long, 0))
	if !offer(long, 2*time.Second).Granted() {
		t.Error("long request refused for its late bound, though such requests are answered in time")
	}
	e := offer(long, 0)
	now = now.Add(2 * time.Second)
	g.FirstToken(now, e)
	if offer(long, 2*time.Second).Granted() {
		t.Error("long request granted against its late bound, though such requests are answered late")
	}
}
