package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

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
	return New(Config{Gate: gate.Config{Slots: 1, Hold: 100 * time.Millisecond}})
}

func request(id ident.Request) Request {
	return Request{Service: "s", ID: id, Account: "a", Class: shortClass}
}

// TestWaitingEnds: whatever ends a wait, the caller hears it at that moment and
// the slot is free afterwards.
//
// Symptom: a slot stays taken after a caller gave up, and the gateway's
// capacity shrinks until it is restarted. Sequence: a request waits; its
// caller cancels, its deadline passes or its class's target passes. Cause: the
// wait ends without the entry leaving the gate.
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
					t.Errorf("answer after %v, want %v", waited, c.after)
				}
				first.Done(Result{})
				first.Done(Result{})
				third, refusal := ctl.Admit(t.Context(), request("third"))
				if refusal != nil {
					t.Fatal("slot not free after the wait ended:", refusal)
				}
				third.Done(Result{})
			})
		})
	}
}
