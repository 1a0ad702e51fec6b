package forward

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/eventstream"
	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/retry"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// acceptingCaller is a caller that accepts all parts.
type acceptingCaller struct{ Caller }

func (acceptingCaller) Part([]byte) error { return nil }

// Guards against a stream that pauses for a second without any trace in the log: its time
// to the first event and its whole duration look normal, so the longest pause is logged.
func TestTheLongestPauseOfAStreamIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &session{f: &Forwarder{cfg: Config{Now: func() time.Time { return now }}}, caller: acceptingCaller{}, answerBegan: true, lastPartAt: now}
	for _, pause := range []time.Duration{20 * time.Millisecond, 800 * time.Millisecond, 30 * time.Millisecond} {
		now = now.Add(pause)
		if !s.deliver(Choice{}, nil, &eventstream.Scanner{}, []byte("data: x\n\n")) {
			t.Fatal("the caller has left")
		}
	}
	if got := s.outcome.LongestPause; got != 800*time.Millisecond {
		t.Errorf("the longest pause is %v", got)
	}
}

// slowBudget is a Budget that waits for the answers of other gateways.
type slowBudget struct{ asked, answer chan struct{} }

func (slowBudget) RecordFirstAttempt(ident.Service, time.Time) {}
func (b slowBudget) Spend(ident.Service, time.Time) retry.Decision {
	close(b.asked)
	<-b.answer
	return retry.Decision{OK: true}
}

// Guards against a stream that is cut off though it goes on: its next event arrives while the retry budget is asked
// whether the stream, silent until then, may be sent to another upstream. The retry that was paid for is kept.
func TestAStreamThatGoesOnWhileTheBudgetIsAskedIsNotCutOff(t *testing.T) {
	for _, goesOn := range []bool{true, false} {
		t.Run(fmt.Sprintf("goes on %v", goesOn), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const silence = 100 * time.Millisecond
				budget := slowBudget{asked: make(chan struct{}), answer: make(chan struct{})}
				now := time.Now()
				s := &session{f: &Forwarder{cfg: Config{Now: time.Now, Budget: budget}}, state: NewState(resumableRoute), call: &Call{
					Route: resumableRoute, Service: &routetable.Service{Name: "svc"}, Received: now, Expires: now.Add(time.Minute),
				}}
				ctx, cancel := context.WithCancelCause(t.Context())
				timer := s.watchForSilence(Choice{SilenceTimeout: silence}, cancel)
				defer timer.stop()
				<-budget.asked
				if goesOn {
					timer.reset()
				}
				close(budget.answer)
				synctest.Wait()
				if cut := ctx.Err() != nil; cut == goesOn {
					t.Errorf("it is cut off: %v", cut)
				}
				if !s.nextAttemptPaid.Load() {
					t.Error("the retry is lost")
				}
			})
		})
	}
}
