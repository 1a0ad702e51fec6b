package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/goldcrestspool/goldcrestspool/internal/admission/concurrency"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/ejection"
	"github.com/goldcrestspool/goldcrestspool/internal/admission/gate"
	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var shortClass = document.Class{Name: "short", FirstToken: time.Second, Priority: 10}

func oneSlot() *Controller {
	return New(Config{Gate: gate.Config{Slots: 1, InitialHoldTime: 100 * time.Millisecond}})
}

func request(id ident.Request) Request {
	return Request{Service: "s", ID: id, Account: "a", Class: shortClass}
}

// TestWaitingEnds checks that whatever ends a wait, the caller is refused at that
// moment and the slot can be granted afterwards.
//
// It guards against a slot that stays taken after a caller gave up, so that the
// gateway's capacity shrinks until it is restarted. That happens if a wait ends,
// because the caller cancels or its deadline or class target passes, without the
// entry leaving the gate.
func TestWaitingEnds(t *testing.T) {
	cases := []struct {
		story  string
		ctx    func(context.Context) (context.Context, context.CancelFunc)
		after  time.Duration
		reason outcome.Reason
	}{
		{"the caller cancels", func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(300*time.Millisecond, cancel)
			return ctx, cancel
		}, 300 * time.Millisecond, outcome.ReasonCancelled},
		{"the caller's deadline passes", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, 200*time.Millisecond)
		}, 200 * time.Millisecond, outcome.ReasonDeadline},
		{"the class's target passes", context.WithCancel, time.Second, outcome.ReasonOverloaded},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctl := oneSlot()
				first, refusal := ctl.Admit(t.Context(), request("first"))
				if refusal != nil {
					t.Fatal("first request refused:", refusal)
				}
				ctx, cancel := c.ctx(t.Context())
				defer cancel()
				begin := time.Now()
				_, refusal = ctl.Admit(ctx, request("second"))
				if refusal == nil || refusal.Kind != outcome.NotRun || refusal.Reason != c.reason {
					t.Fatalf("got %+v, want not_run %s", refusal, c.reason)
				}
				if waited := time.Since(begin); waited != c.after {
					t.Errorf("refused after %v, want %v", waited, c.after)
				}
				first.Done(Result{})
				first.Done(Result{})
				third, refusal := ctl.Admit(t.Context(), request("third"))
				if refusal != nil {
					t.Fatal("request refused after the wait ended:", refusal)
				}
				third.Done(Result{})
			})
		})
	}
}

// TestUpstreams checks that the slots follow the live upstreams, that a failing
// upstream is excluded until its ejection is over, and that a waiting request is
// granted a slot when an upstream is added.
func TestUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctl := New(Config{Concurrency: concurrency.Config{Initial: 1, Max: 1}})
		ctl.SetUpstreams("s", nil)
		_, refusal := ctl.Admit(t.Context(), request("none"))
		if refusal == nil || refusal.Reason != outcome.ReasonNoUpstream || refusal.RetryAfter <= 0 {
			t.Fatalf("got %+v without an upstream, want not_run %s with a retry-after time", refusal, outcome.ReasonNoUpstream)
		}
		ctl.SetUpstreams("s", []ident.Instance{"u1", "u2"})
		first, _ := ctl.Admit(t.Context(), request("1"))
		second, _ := ctl.Admit(t.Context(), request("2"))
		granted := make(chan *Ticket)
		go func() {
			third, _ := ctl.Admit(t.Context(), request("3"))
			granted <- third
		}()
		synctest.Wait()
		ctl.SetUpstreams("s", []ident.Instance{"u1", "u2", "u3"})
		third := <-granted
		for _, ticket := range []*Ticket{first, second, third} {
			ticket.FirstToken()
			ticket.Done(Result{Upstream: "u1", Failed: true, Sent: time.Now()})
		}
		for range ejection.DefaultConsecutiveFailures {
			ctl.RecordAttemptEnd("s", Result{Upstream: "u1", Failed: true, Sent: time.Now()}, 0)
		}
		if excluded := ctl.Excluded("s"); len(excluded) != 1 || excluded[0] != "u1" {
			t.Fatalf("excluded %v, want u1", excluded)
		}
		time.Sleep(ejection.DefaultBaseEjectionTime)
		if excluded := ctl.Excluded("s"); len(excluded) != 0 {
			t.Fatalf("excluded %v after the ejection, want none", excluded)
		}
		ctl.RecordAttemptStart("s", "u1")
		if excluded := ctl.Excluded("s"); len(excluded) != 1 {
			t.Fatalf("excluded %v during a probe, want u1", excluded)
		}
	})
}

// TestSetSlots checks that slots set by SetSlots replace the sum of the
// upstreams' limits while there are upstreams.
func TestSetSlots(t *testing.T) {
	ctl := New(Config{Concurrency: concurrency.Config{Initial: 1, Max: 1}})
	ctl.SetUpstreams("s", []ident.Instance{"u1"})
	ctl.SetSlots("s", 3)
	if n := ctl.service("s").gate.Slots(); n != 3 {
		t.Errorf("%d slots after SetSlots, want 3", n)
	}
	ctl.RecordAttemptEnd("s", Result{Upstream: "u1", Failed: true}, 0)
	ctl.SetUpstreams("s", []ident.Instance{"u1", "u2"})
	if n := ctl.service("s").gate.Slots(); n != 3 {
		t.Errorf("%d slots after a change of upstreams, want 3", n)
	}
	ctl.SetUpstreams("s", nil)
	if n := ctl.service("s").gate.Slots(); n != 0 {
		t.Errorf("%d slots without upstreams, want 0", n)
	}
}

// TestDividedLimit checks that one of four gateways admits a quarter of the
// document's limit.
func TestDividedLimit(t *testing.T) {
	ctl := New(Config{Gate: gate.Config{Slots: 100}})
	ctl.SetGateways(4)
	r := request("r")
	r.Limit = document.AccountLimit{MaxInFlight: 8}
	for range 2 {
		if _, refusal := ctl.Admit(t.Context(), r); refusal != nil {
			t.Fatal("request within the limit refused:", refusal)
		}
	}
	_, refusal := ctl.Admit(t.Context(), r)
	if refusal == nil || refusal.Reason != outcome.ReasonRateLimited || refusal.RetryAfter <= 0 {
		t.Fatalf("got %+v beyond a quarter of 8 in flight, want not_run %s with a retry-after time", refusal, outcome.ReasonRateLimited)
	}
}
