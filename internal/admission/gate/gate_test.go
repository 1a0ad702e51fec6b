package gate

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// TestDecisionOnArrival checks the decision on arrival for different predictions.
func TestDecisionOnArrival(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		story   string
		slots   int
		request Request
		// want is the reason of the refusal; empty means granted.
		want outcome.Reason
	}{
		{"in time", 1, Request{PredictedFirstToken: 900 * time.Millisecond}, ""},
		{"the first token would be late", 1, Request{PredictedFirstToken: 1100 * time.Millisecond}, outcome.ReasonOverloaded},
		{"late, but it was told to return", 1, Request{PredictedFirstToken: 1100 * time.Millisecond, Attempt: 2}, ""},
		{"far too late, though told to return", 1, Request{PredictedFirstToken: 3 * time.Second, Attempt: 2}, outcome.ReasonOverloaded},
		{"late because it is long itself", 1, Request{PredictedFirstToken: 1500 * time.Millisecond, UnloadedFirstToken: time.Second}, ""},
		{"the deadline passes before the first token", 1, Request{PredictedFirstToken: time.Second / 2, Deadline: now.Add(time.Second / 4)}, outcome.ReasonDeadline},
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
				t.Fatalf("got %+v, want not_run %s with a retry-after time", d, c.want)
			}
		})
	}
}

// TestFullQueue checks that a full queue evicts an entry of the account with the
// most waiting cost to make room for another account, and that the evicted entry
// is refused.
//
// It guards against a small account that is refused at once because a large one
// has filled the queue with its waiting requests.
func TestFullQueue(t *testing.T) {
	now := time.Unix(1000, 0)
	g := New(Config{Slots: 1, MaxQueue: 3, InitialHoldTime: time.Millisecond})
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
		t.Fatalf("%d entries wait, want 3", g.Queued())
	}
	if d := g.Offer(now, &Entry{Request: Request{Account: "large", Class: patient}}); !d.Refused || d.Evicted != nil {
		t.Fatalf("got %+v, want a refusal without eviction for the account that fills the queue", d)
	}
	small := &Entry{Request: Request{Account: "small", Class: patient}}
	d := g.Offer(now, small)
	if d.Refused || d.Evicted == nil || d.Evicted.Entry != large[3] {
		t.Fatalf("got %+v, want the last entry of the large account evicted", d)
	}
	if r := d.Evicted.Refusal; r.Kind != outcome.NotRun || r.RetryAfter <= 0 {
		t.Errorf("evicted entry refused with %+v, want not_run with a retry-after time", r)
	}
	if !small.Waiting() || large[3].Waiting() || g.Queued() != 3 || g.AccountInFlight("large") != 3 {
		t.Errorf("%d entries wait, large account counts %d, want 3 and 3 with the small account's entry waiting", g.Queued(), g.AccountInFlight("large"))
	}
}

// TestLateUpstreams checks that while upstreams can't answer all requests in
// time, the account that asks for the most is refused for the sake of the
// others, although slots are free.
//
// It guards against a small account whose requests are refused as often as those
// of the account that causes the load. That happens if one account asks for more
// and more until predictions are around the target: nothing waits then, so the
// queue's order divides nothing.
func TestLateUpstreams(t *testing.T) {
	g := New(Config{Slots: 1000})
	now := time.Unix(1000, 0)
	granted := map[ident.ClientAccount]int{}
	offered := map[ident.ClientAccount]int{}
	var running []*Entry
	offer := func(account ident.ClientAccount, predicted time.Duration) {
		e := &Entry{Request: Request{Account: account, Class: shortClass, PredictedFirstToken: predicted}}
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

// TestLateBound checks that the late bound of a prediction, Request.PredictedFirstTokenP80,
// makes the gate refuse a less urgent request unless answers of its priority come
// in time anyway, and that it never makes the gate refuse the most urgent class.
func TestLateBound(t *testing.T) {
	long := document.Class{Name: "long", FirstToken: time.Second, Priority: 1}
	g := New(Config{Slots: 100})
	now := time.Unix(1000, 0)
	offer := func(class document.Class, predictedP80 time.Duration) *Entry {
		e := &Entry{Request: Request{Account: "a", Class: class, PredictedFirstTokenP80: predictedP80}}
		g.Offer(now, e)
		return e
	}
	if !offer(shortClass, 2*time.Second).Granted() {
		t.Error("most urgent request refused because of its late bound")
	}
	if offer(long, 2*time.Second).Granted() {
		t.Error("long request granted against its late bound, though no answer to a long request was reported")
	}
	g.FirstToken(now, offer(long, 0))
	if !offer(long, 2*time.Second).Granted() {
		t.Error("long request refused because of its late bound, though long requests are answered in time")
	}
	e := offer(long, 0)
	now = now.Add(2 * time.Second)
	g.FirstToken(now, e)
	if offer(long, 2*time.Second).Granted() {
		t.Error("long request granted against its late bound, though long requests are answered late")
	}
}
