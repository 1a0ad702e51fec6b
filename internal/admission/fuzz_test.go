package admission

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
)

// caller is one request of TestConcurrentUse and its result.
type caller struct {
	cancel context.CancelFunc
	// answer is nil until Admit has returned.
	answer atomic.Pointer[answer]
	// finished is set once the test has taken the ticket to call Done.
	finished bool
	// latest is the time by which Admit must have returned.
	latest time.Time
}

// answer is what Admit returned.
type answer struct {
	ticket  *Ticket
	refusal *outcome.Outcome
}

// running returns the ticket of a granted request that isn't finished, or nil.
func (c *caller) running() *Ticket {
	if a := c.answer.Load(); a != nil && !c.finished {
		return a.ticket
	}
	return nil
}

// bubbled hides the Deadline method of testing.T from rapid, since it must not be
// called inside a synctest bubble.
type bubbled struct{ testing.TB }

// TestConcurrentUse lets callers arrive, cancel, run into deadlines and finish in
// any order, and compares the controller with a count of the unfinished tickets.
//
// It guards against more running requests than slots, callers that get no answer
// and slots that are lost. That happens if a grant races with a cancellation, a
// deadline, an eviction or a change of slots, and the two sides disagree on
// which of them owns the slot.
func TestConcurrentUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(bubbled{t}, checkConcurrentUse)
	})
}

func checkConcurrentUse(t *rapid.T) {
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	ctl := New(Config{Gate: gate.Config{Slots: slots, MaxQueue: 5, InitialHoldTime: 50 * time.Millisecond}})
	ctl.SetUpstreams("s", []ident.Instance{"u"})
	ctl.SetSlots("s", slots)
	var callers []*caller
	running := func() (n int) {
		for _, c := range callers {
			if c.running() != nil {
				n++
			}
		}
		return n
	}
	t.Repeat(map[string]func(*rapid.T){
		"arrive": func(t *rapid.T) {
			callers = append(callers, arrive(ctl, drawRequest(t, len(callers)),
				time.Duration(rapid.IntRange(0, 3000).Draw(t, "timeout"))*time.Millisecond))
		},
		"cancel": func(t *rapid.T) {
			if len(callers) > 0 {
				callers[rapid.IntRange(0, len(callers)-1).Draw(t, "caller")].cancel()
			}
		},
		"finish": func(t *rapid.T) { finish(take(callers, rapid.IntRange(0, 8).Draw(t, "nth"))) },
		"first token": func(t *rapid.T) {
			if n := len(callers); n > 0 {
				if ticket := callers[rapid.IntRange(0, n-1).Draw(t, "caller")].running(); ticket != nil {
					ticket.FirstToken()
				}
			}
		},
		"slots change": func(t *rapid.T) { ctl.SetSlots("s", rapid.IntRange(1, slots).Draw(t, "to")) },
		"cancel and finish at once": func(t *rapid.T) {
			ticket := take(callers, 0)
			for _, c := range callers {
				c.cancel()
			}
			finish(ticket)
		},
		"time passes": func(t *rapid.T) {
			time.Sleep(time.Duration(rapid.IntRange(1, 800).Draw(t, "pause")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			synctest.Wait()
			if n := running(); n > slots {
				t.Fatalf("%d requests run, want at most %d", n, slots)
			}
			for i, c := range callers {
				a := c.answer.Load()
				if a == nil && time.Now().After(c.latest) {
					t.Fatalf("caller %d has no answer %v after its latest start", i, time.Since(c.latest))
				}
				if a != nil && a.refusal != nil && a.refusal.Kind != outcome.NotRun {
					t.Fatalf("caller %d was refused with %v, want %v", i, a.refusal.Kind, outcome.NotRun)
				}
			}
		},
	})
	endAll(t, ctl, callers)
}

func drawRequest(t *rapid.T, n int) Request {
	return Request{
		Service: "s",
		ID:      ident.Request(fmt.Sprint("r", n)),
		Account: ident.ClientAccount(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account")),
		Limit:   document.AccountLimit{MaxInFlight: rapid.SampledFrom([]int{0, 3}).Draw(t, "limit"), Share: 1},
		Class: document.Class{
			FirstToken: rapid.SampledFrom([]time.Duration{0, time.Second, 4 * time.Second}).Draw(t, "target"),
			Priority:   rapid.IntRange(0, 1).Draw(t, "priority"),
		},
		Attempt: uint32(rapid.IntRange(1, 2).Draw(t, "attempt")),
	}
}

// arrive starts Admit for a request; a timeout of 0 means none.
func arrive(ctl *Controller, r Request, timeout time.Duration) *caller {
	ctx, cancel := context.WithCancel(context.Background())
	latest := time.Now().Add(gate.DefaultMaxWait)
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(ctx, timeout)
		latest = time.Now().Add(timeout)
	}
	c := &caller{cancel: cancel, latest: latest}
	go func() {
		ticket, refusal := ctl.Admit(ctx, r)
		c.answer.Store(&answer{ticket, refusal})
	}()
	return c
}

// take returns the ticket of the nth running request, counted from 0, and marks
// the request as finished. It returns nil if there is none.
func take(callers []*caller, nth int) *Ticket {
	for _, c := range callers {
		ticket := c.running()
		if ticket == nil {
			continue
		}
		if nth == 0 {
			c.finished = true
			return ticket
		}
		nth--
	}
	return nil
}

func finish(ticket *Ticket) {
	if ticket != nil {
		ticket.Done(Result{})
	}
}

// endAll cancels and finishes all requests and checks that no slot, queue place
// or counted request of an account is left.
func endAll(t *rapid.T, ctl *Controller, callers []*caller) {
	for _, c := range callers {
		c.cancel()
	}
	synctest.Wait()
	for _, c := range callers {
		finish(c.running())
	}
	s := ctl.service("s")
	if s.gate.InFlight() != 0 || s.gate.Queued() != 0 || len(s.waiting) != 0 {
		t.Fatalf("after all requests ended: %d in flight, %d queued, %d waiting", s.gate.InFlight(), s.gate.Queued(), len(s.waiting))
	}
	for _, account := range []ident.ClientAccount{"a", "b", "c"} {
		if n := s.gate.AccountInFlight(account); n != 0 {
			t.Fatalf("account %s still counts %d requests in flight", account, n)
		}
	}
}
