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

// serve brings a call to its end and checks that it completed.
func serve(t *testing.T, caller *fakeCaller, g *Registry, how func(context.Context, *Registry) (outcome.Outcome, error)) {
	t.Helper()
	got, err := how(t.Context(), g)
	if err != nil || got.Kind != outcome.Completed {
		t.Errorf("outcome %v, error %v; want completed", got, err)
	}
	if problem := caller.check(got); problem != "" {
		t.Error(problem)
	}
}

// leaveAfter makes a call whose caller goes away after a while.
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

// TestRegistryKeepsStreams tells one story in each case. An answer has 100
// tokens, which takes 2 s.
func TestRegistryKeepsStreams(t *testing.T) {
	const length = 100
	cases := []struct {
		story string
		tell  func(t *testing.T, b *testGateway)
	}{
		{"the same request twice is one answer", func(t *testing.T, b *testGateway) {
			first, second := newCaller("weber", "r-1", length), newCaller("weber", "r-1", length)
			second.slow = 50 * time.Millisecond
			time.AfterFunc(time.Second, func() { serve(t, first, b.registry, first.generate) })
			serve(t, second, b.registry, second.generate)
			if !slices.Equal(first.tokens, second.tokens) || b.engines[0].opened != 1 {
				t.Errorf("%d attempts; want one answer of one attempt", b.engines[0].opened)
			}
		}},
		{"another request under the same ID is refused", func(t *testing.T, b *testGateway) {
			first, second := newCaller("weber", "r-1", length), newCaller("weber", "r-1", length+1)
			leaveAfter(t, first, b.registry, time.Second)
			if got, _ := second.generate(t.Context(), b.registry); got.Kind != outcome.NotRun || got.Reason != outcome.ReasonKeyReused {
				t.Errorf("outcome %v; want not_run, key_reused", got)
			}
		}},
		{"another account's request looks like none", func(t *testing.T, b *testGateway) {
			leaveAfter(t, newCaller("weber", "r-1", length), b.registry, time.Second)
			_, theirs := newCaller("kofler", "r-1", length).resumeByID(t.Context(), b.registry)
			_, none := newCaller("kofler", "r-2", length).resumeByID(t.Context(), b.registry)
			if errcode.Of(theirs) != errcode.NotFound || theirs.Error() != none.Error() {
				t.Errorf("told %q for another account's request and %q for none", theirs, none)
			}
		}},
		{"more tokens than the answer has do not replace a stream", func(t *testing.T, b *testGateway) {
			caller := newCaller("weber", "r-1", length)
			leaveAfter(t, caller, b.registry, time.Second)
			tooMany := make([]string, length+1)
			_, err := b.registry.Resume(t.Context(), ResumeRequest{Key: caller.req.Key, Next: length + 1, Delivered: tooMany}, nil)
			if errcode.Of(err) != errcode.InvalidArgument {
				t.Errorf("error %v; want invalid argument", err)
			}
			serve(t, caller, b.registry, caller.resumeByID)
		}},
		{"a slow caller holds up neither the engine nor others", func(t *testing.T, b *testGateway) {
			slow := newCaller("weber", "r-1", length)
			slow.slow = time.Second
			serve(t, slow, b.registry, slow.generate)
			if took := b.all()[0].Took; took > 3*time.Second {
				t.Errorf("the engine was held for %v", took)
			}
		}},
		{"a slow engine is covered by heartbeats", func(t *testing.T, b *testGateway) {
			b.engines[0].step = 2500 * time.Millisecond
			caller := newCaller("weber", "r-1", 2)
			serve(t, caller, b.registry, caller.generate)
			if caller.heartbeats != 4 {
				t.Errorf("%d heartbeats in 5 s; want 4", caller.heartbeats)
			}
		}},
		{"a caller comes back for the rest", func(t *testing.T, b *testGateway) {
			caller := newCaller("weber", "r-1", length)
			leaveAfter(t, caller, b.registry, time.Second)
			time.Sleep(5 * time.Second)
			serve(t, caller, b.registry, caller.resumeByID)
			if b.engines[0].opened != 1 {
				t.Errorf("%d attempts; want one", b.engines[0].opened)
			}
		}},
		{"nobody comes back", func(t *testing.T, b *testGateway) {
			leaveAfter(t, newCaller("weber", "r-1", 10*length), b.registry, time.Second)
			time.Sleep(b.registry.config.Linger + b.registry.config.KeepEnded + time.Second)
			if stats, open := b.registry.Stats(), b.engines[0].open(); stats != (Stats{}) || open != 0 {
				t.Errorf("left over: %+v, %d streams at the engine", stats, open)
			}
		}},
		{"the peer that took a stream over knows its request ID", func(t *testing.T, b *testGateway) {
			peer := NewRegistry(b.registry.config, b.registry.runner)
			defer peer.Close()
			caller := newCaller("weber", "r-1", length)
			time.AfterFunc(time.Second, func() {
				began := time.Now()
				b.registry.Leave(t.Context(), 0, []Peer{fakePeer{frozen: true}, fakePeer{to: peer}})
				if took := time.Since(began); took > b.registry.config.HandOverTimeout {
					t.Errorf("leaving took %v although the second peer answers at once", took)
				}
			})
			if got, _ := caller.generate(t.Context(), b.registry); got.Kind != outcome.Interrupted || got.Reason != outcome.ReasonLeaving {
				t.Errorf("outcome %v; want interrupted, leaving", got)
			}
			if !peer.Holds(caller.req.Key) {
				t.Error("the peer does not hold the stream")
			}
			serve(t, caller, peer, caller.resumeByID)
		}},
		{"a stream that no engine ran is not handed over", func(t *testing.T, b *testGateway) {
			peer := NewRegistry(b.registry.config, b.registry.runner)
			defer peer.Close()
			refuseAll(upstream.ErrNotSent)(b)
			caller := newCaller("weber", "r-1", length)
			time.AfterFunc(30*time.Millisecond, func() {
				b.registry.Leave(t.Context(), time.Millisecond, []Peer{fakePeer{to: peer}})
			})
			if got, _ := caller.generate(t.Context(), b.registry); got.Kind != outcome.NotRun || got.Reason != outcome.ReasonLeaving {
				t.Errorf("outcome %v; want not_run, leaving", got)
			}
			if _, err := caller.resumeByID(t.Context(), peer); errcode.Of(err) != errcode.NotFound {
				t.Errorf("the peer has it: %v", err)
			}
		}},
		{"a caller that went on elsewhere keeps its own tokens", func(t *testing.T, b *testGateway) {
			here, elsewhere := newCaller("weber", "r-1", length), newCaller("weber", "r-1", length)
			elsewhere.receive(0, []string{tokenAfter(elsewhere.hash, "engine of another gateway")})
			ended := make(chan outcome.Outcome)
			go func() {
				got, _ := here.generate(t.Context(), b.registry)
				ended <- got
			}()
			time.Sleep(time.Second)
			go serve(t, elsewhere, b.registry, elsewhere.resume)
			if got := <-ended; got.Kind != outcome.Interrupted || got.Reason != outcome.ReasonReplaced {
				t.Errorf("outcome %v; want interrupted, replaced", got)
			}
			time.Sleep(3 * time.Second)
			if reports := b.all(); len(reports) != 2 || reports[1].Attempt != 2 {
				t.Errorf("attempts %+v; want 1 and 2", reports)
			}
		}},
		{"a request that was given up on is taken up again", func(t *testing.T, b *testGateway) {
			caller := newCaller("weber", "r-1", length)
			caller.req.Deadline = time.Now().Add(time.Second)
			if got, _ := caller.generate(t.Context(), b.registry); got.Reason != outcome.ReasonDeadline {
				t.Errorf("outcome %v; want deadline", got)
			}
			caller.req.Deadline = time.Time{}
			serve(t, caller, b.registry, caller.resume)
		}},
		{"a replaced stream is not told not_run", func(t *testing.T, b *testGateway) {
			refuseAll(upstream.ErrNotSent)(b)
			here, elsewhere := newCaller("weber", "r-1", length), newCaller("weber", "r-1", length)
			elsewhere.receive(0, []string{tokenAfter(elsewhere.hash, "engine of another gateway")})
			time.AfterFunc(30*time.Millisecond, func() {
				refuseAll(nil)(b)
				serve(t, elsewhere, b.registry, elsewhere.resume)
			})
			if got, _ := here.generate(t.Context(), b.registry); got.Kind != outcome.Interrupted || got.Reason != outcome.ReasonReplaced {
				t.Errorf("outcome %v; want interrupted, replaced", got)
			}
			time.Sleep(3 * time.Second)
		}},
		{"one account's streams push out no other account's", func(t *testing.T, b *testGateway) {
			caller := newCaller("weber", "r-1", length)
			leaveAfter(t, caller, b.registry, time.Second)
			for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
				leaveAfter(t, newCaller("kofler", id, length), b.registry, 10*time.Millisecond)
			}
			if idle := b.registry.Stats().Idle; idle != b.registry.config.IdleStreams+1 {
				t.Errorf("%d idle streams; want %d of one account and 1 of the other", idle, b.registry.config.IdleStreams)
			}
			serve(t, caller, b.registry, caller.resumeByID)
		}},
		{"a full gateway refuses at once", func(t *testing.T, b *testGateway) {
			for _, id := range []string{"1", "2", "3", "4", "5", "6"} {
				go newCaller("weber", id, length).generate(t.Context(), b.registry)
			}
			synctest.Wait()
			if got, _ := newCaller("weber", "7", length).generate(t.Context(), b.registry); got.Reason != outcome.ReasonOverloaded {
				t.Errorf("outcome %v; want overloaded", got)
			}
		}},
		{"a lost stream with progress is resumed without a budget", func(t *testing.T, b *testGateway) {
			budget := &countedBudget{}
			b.registry.runner.budget = budget
			caller := newCaller("weber", "r-1", length)
			time.AfterFunc(time.Second, b.engines[0].lose)
			serve(t, caller, b.registry, caller.generate)
			if budget.asked != 0 {
				t.Errorf("the budget was asked %d times", budget.asked)
			}
		}},
		{"an attempt without progress needs the budget", func(t *testing.T, b *testGateway) {
			b.registry.runner.budget = &countedBudget{}
			b.engines[0].setRefuse(errors.New("reset"))
			if got, _ := newCaller("weber", "r-1", length).generate(t.Context(), b.registry); got.Reason != outcome.ReasonOverloaded {
				t.Errorf("outcome %v; want overloaded", got)
			}
		}},
		{"a leaving engine costs no budget", func(t *testing.T, b *testGateway) {
			b.registry.runner.budget = &countedBudget{}
			b.engines[0].setRefuse(upstream.ErrLeaving)
			caller := newCaller("weber", "r-1", length)
			serve(t, caller, b.registry, caller.generate)
		}},
	}
	for _, c := range cases {
		t.Run(c.story, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := DefaultConfig()
				config.MaxStreams = 6
				config.IdleStreams = 3
				b := newTestGateway(config)
				defer b.registry.Close()
				c.tell(t, b)
			})
		})
	}
}
