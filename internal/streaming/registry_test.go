package streaming

import (
	"context"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/errcode"
	"github.com/goldcrestspool/goldcrestspool/internal/outcome"
	"github.com/goldcrestspool/goldcrestspool/internal/upstream"
)

// serve makes a call and checks that it completes.
func serve(t *testing.T, caller *fakeCaller, g *Registry, send func(context.Context, *Registry) (outcome.Outcome, error)) {
	t.Helper()
	got, err := send(t.Context(), g)
	if err != nil || got.Kind != outcome.Completed {
		t.Errorf("outcome %v, error %v; want completed", got, err)
	}
	if problem := caller.check(got); problem != "" {
		t.Error(problem)
	}
}

// leaveAfter makes a call whose caller disconnects after a while.
func leaveAfter(t *testing.T, caller *fakeCaller, g *Registry, after time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), after)
	defer cancel()
	if got, _ := caller.generate(ctx, g); got.Reason != outcome.ReasonCancelled {
		t.Errorf("outcome %v; want cancelled", got)
	}
}

// countedBudget allows no attempt and counts how often it was asked.
type countedBudget struct{ asked int }

func (b *countedBudget) Take(Request, Cause) bool {
	b.asked++
	return false
}

// TestRegistryKeepsStreams runs one scenario in each case. An answer has 100
// tokens, which takes 2 s.
func TestRegistryKeepsStreams(t *testing.T) {
	const length = 100
	cases := []struct {
		story string
		run   func(t *testing.T, gw *testGateway)
	}{
		{"the same request twice is one answer", func(t *testing.T, gw *testGateway) {
			first, second := newCaller("weber", "r-1", length), newCaller("weber", "r-1", length)
			second.slow = 50 * time.Millisecond
			time.AfterFunc(time.Second, func() { serve(t, first, gw.registry, first.generate) })
			serve(t, second, gw.registry, second.generate)
			if !slices.Equal(first.tokens, second.tokens) || gw.engines[0].opened != 1 {
				t.Errorf("%d attempts; want one answer of one attempt", gw.engines[0].opened)
			}
		}},
		{"another request under the same ID is refused", func(t *testing.T, gw *testGateway) {
			first, second := newCaller("weber", "r-1", length), newCaller("weber", "r-1", length+1)
			leaveAfter(t, first, gw.registry, time.Second)
			if got, _ := second.generate(t.Context(), gw.registry); got.Kind != outcome.NotRun || got.Reason != outcome.ReasonKeyReused {
				t.Errorf("outcome %v; want not_run, key_reused", got)
			}
		}},
		{"another account's request looks like none", func(t *testing.T, gw *testGateway) {
			leaveAfter(t, newCaller("weber", "r-1", length), gw.registry, time.Second)
			_, theirs := newCaller("kofler", "r-1", length).resumeByID(t.Context(), gw.registry)
			_, none := newCaller("kofler", "r-2", length).resumeByID(t.Context(), gw.registry)
			if errcode.Of(theirs) != errcode.NotFound || theirs.Error() != none.Error() {
				t.Errorf("error %q for another account's request and %q for none", theirs, none)
			}
		}},
		{"more tokens than the answer has do not replace a stream", func(t *testing.T, gw *testGateway) {
			caller := newCaller("weber", "r-1", length)
			leaveAfter(t, caller, gw.registry, time.Second)
			tooMany := make([]string, length+1)
			_, err := gw.registry.Resume(t.Context(), ResumeRequest{Key: caller.req.Key, NextIndex: length + 1, Delivered: tooMany}, nil)
			if errcode.Of(err) != errcode.InvalidArgument {
				t.Errorf("error %v; want invalid argument", err)
			}
			serve(t, caller, gw.registry, caller.resumeByID)
		}},
		{"a slow caller holds up neither the engine nor others", func(t *testing.T, gw *testGateway) {
			slow := newCaller("weber", "r-1", length)
			slow.slow = time.Second
			serve(t, slow, gw.registry, slow.generate)
			if took := gw.all()[0].Took; took > 3*time.Second {
				t.Errorf("the engine was held for %v", took)
			}
		}},
		{"a slow engine is covered by heartbeats", func(t *testing.T, gw *testGateway) {
			gw.engines[0].step = 2500 * time.Millisecond
			caller := newCaller("weber", "r-1", 2)
			serve(t, caller, gw.registry, caller.generate)
			if caller.heartbeats != 4 {
				t.Errorf("%d heartbeats in 5 s; want 4", caller.heartbeats)
			}
		}},
		{"a caller comes back for the rest", func(t *testing.T, gw *testGateway) {
			caller := newCaller("weber", "r-1", length)
			leaveAfter(t, caller, gw.registry, time.Second)
			time.Sleep(5 * time.Second)
			serve(t, caller, gw.registry, caller.resumeByID)
			if gw.engines[0].opened != 1 {
				t.Errorf("%d attempts; want one", gw.engines[0].opened)
			}
		}},
		{"nobody comes back", func(t *testing.T, gw *testGateway) {
			leaveAfter(t, newCaller("weber", "r-1", 10*length), gw.registry, time.Second)
			time.Sleep(gw.registry.config.Linger + gw.registry.config.KeepEnded + time.Second)
			if stats, open := gw.registry.Stats(), gw.engines[0].open(); stats != (Stats{}) || open != 0 {
				t.Errorf("left over: %+v, %d streams at the engine; want none", stats, open)
			}
		}},
		{"the peer that took a stream over knows its request ID", func(t *testing.T, gw *testGateway) {
			peer := NewRegistry(gw.registry.config, gw.registry.runner)
			defer peer.Close()
			caller := newCaller("weber", "r-1", length)
			time.AfterFunc(time.Second, func() {
				began := time.Now()
				gw.registry.Leave(t.Context(), 0, []Peer{fakePeer{frozen: true}, fakePeer{to: peer}})
				if took := time.Since(began); took > gw.registry.config.HandOverTimeout {
					t.Errorf("leaving took %v although the second peer answers at once", took)
				}
			})
			if got, _ := caller.generate(t.Context(), gw.registry); got.Kind != outcome.Interrupted || got.Reason != outcome.ReasonLeaving {
				t.Errorf("outcome %v; want interrupted, leaving", got)
			}
			if !peer.Holds(caller.req.Key) {
				t.Error("the peer does not hold the stream")
			}
			serve(t, caller, peer, caller.resumeByID)
		}},
		{"a stream that no engine ran is not handed over", func(t *testing.T, gw *testGateway) {
			peer := NewRegistry(gw.registry.config, gw.registry.runner)
			defer peer.Close()
			refuseAll(upstream.ErrNotSent)(gw)
			caller := newCaller("weber", "r-1", length)
			time.AfterFunc(30*time.Millisecond, func() {
				gw.registry.Leave(t.Context(), time.Millisecond, []Peer{fakePeer{to: peer}})
			})
			if got, _ := caller.generate(t.Context(), gw.registry); got.Kind != outcome.NotRun || got.Reason != outcome.ReasonLeaving {
				t.Errorf("outcome %v; want not_run, leaving", got)
			}
			if _, err := caller.resumeByID(t.Context(), peer); errcode.Of(err) != errcode.NotFound {
				t.Errorf("the peer holds the stream: error %v; want not found", err)
			}
		}},
		{"a caller that went on elsewhere keeps its own tokens", func(t *testing.T, gw *testGateway) {
			here, elsewhere := newCaller("weber", "r-1", length), newCaller("weber", "r-1", length)
			elsewhere.receive(0, []string{tokenAfter(elsewhere.hash, "engine of another gateway")})
			ended := make(chan outcome.Outcome)
			go func() {
				got, _ := here.generate(t.Context(), gw.registry)
				ended <- got
			}()
			time.Sleep(time.Second)
			go serve(t, elsewhere, gw.registry, elsewhere.resume)
			if got := <-ended; got.Kind != outcome.Interrupted || got.Reason != outcome.ReasonReplaced {
				t.Errorf("outcome %v; want interrupted, replaced", got)
			}
			time.Sleep(3 * time.Second)
			if reports := gw.all(); len(reports) != 2 || reports[1].Attempt != 2 {
				t.Errorf("attempts %+v; want 1 and 2", reports)
			}
		}},
		{"a request that was given up on is taken up again", func(t *testing.T, gw *testGateway) {
			caller := newCaller("weber", "r-1", length)
			caller.req.Deadline = time.Now().Add(time.Second)
			if got, _ := caller.generate(t.Context(), gw.registry); got.Reason != outcome.ReasonDeadline {
				t.Errorf("outcome %v; want deadline", got)
			}
			caller.req.Deadline = time.Time{}
			serve(t, caller, gw.registry, caller.resume)
		}},
		{"a replaced stream is not told not_run", func(t *testing.T, gw *testGateway) {
			refuseAll(upstream.ErrNotSent)(gw)
			here, elsewhere := newCaller("weber", "r-1", length), newCaller("weber", "r-1", length)
			elsewhere.receive(0, []string{tokenAfter(elsewhere.hash, "engine of another gateway")})
			time.AfterFunc(30*time.Millisecond, func() {
				refuseAll(nil)(gw)
				serve(t, elsewhere, gw.registry, elsewhere.resume)
			})
			if got, _ := here.generate(t.Context(), gw.registry); got.Kind != outcome.Interrupted || got.Reason != outcome.ReasonReplaced {
				t.Errorf("outcome %v; want interrupted, replaced", got)
			}
			time.Sleep(3 * time.Second)
		}},
		{"one account's streams push out no other account's", func(t *testing.T, gw *testGateway) {
			caller := newCaller("weber", "r-1", length)
			leaveAfter(t, caller, gw.registry, time.Second)
			for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
				leaveAfter(t, newCaller("kofler", id, length), gw.registry, 10*time.Millisecond)
			}
			if idle := gw.registry.Stats().Idle; idle != gw.registry.config.MaxIdleStreams+1 {
				t.Errorf("%d idle streams; want %d of one account and 1 of the other", idle, gw.registry.config.MaxIdleStreams)
			}
			serve(t, caller, gw.registry, caller.resumeByID)
		}},
		{"a full gateway refuses at once", func(t *testing.T, gw *testGateway) {
			for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
				go newCaller("weber", id, length).generate(t.Context(), gw.registry)
			}
			synctest.Wait()
			if got, _ := newCaller("weber", "7", length).generate(t.Context(), gw.registry); got.Reason != outcome.ReasonOverloaded {
				t.Errorf("outcome %v; want overloaded", got)
			}
		}},
		{"a lost stream with progress is resumed without a budget", func(t *testing.T, gw *testGateway) {
			budget := &countedBudget{}
			gw.registry.runner.budget = budget
			caller := newCaller("weber", "r-1", length)
			time.AfterFunc(time.Second, gw.engines[0].lose)
			serve(t, caller, gw.registry, caller.generate)
			if budget.asked != 0 {
				t.Errorf("the budget was asked %d times; want 0", budget.asked)
			}
		}},
		{"an attempt without progress needs the budget", func(t *testing.T, gw *testGateway) {
			gw.registry.runner.budget = &countedBudget{}
			gw.engines[0].setRefuse(errors.New("reset"))
			if got, _ := newCaller("weber", "r-1", length).generate(t.Context(), gw.registry); got.Reason != outcome.ReasonOverloaded {
				t.Errorf("outcome %v; want overloaded", got)
			}
		}},
		{"a leaving engine costs no budget", func(t *testing.T, gw *testGateway) {
			gw.registry.runner.budget = &countedBudget{}
			gw.engines[0].setRefuse(upstream.ErrLeaving)
			caller := newCaller("weber", "r-1", length)
			serve(t, caller, gw.registry, caller.generate)
		}},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := DefaultConfig()
				config.MaxStreams = 6
				config.MaxIdleStreams = 3
				gw := newTestGateway(config)
				defer gw.registry.Close()
				c.run(t, gw)
			})
		})
	}
}
