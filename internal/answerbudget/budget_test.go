package answerbudget

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

const mib = 1 << 20

func newTestBudget(bytes int64, waiting int) *Budget {
	return New(Config{Now: time.Now, Log: hclog.NewNullLogger(), Limits: Limits{Bytes: bytes, Waiting: waiting}})
}

// answer is a share whose reading can be stopped.
type answer struct {
	*Share
	stopped chan struct{}
}

func begin(b *Budget, from ident.Instance) answer {
	stopped := make(chan struct{})
	return answer{Share: b.Begin(from, sync.OnceFunc(func() { close(stopped) })), stopped: stopped}
}

// reserve reserves in the background and returns where the error comes.
func (a answer) reserve(t *testing.T, bytes int64) <-chan error {
	result := make(chan error, 1)
	go func() { result <- a.Reserve(t.Context(), bytes) }()
	return result
}

// progress makes the answer progress from time to time until stop is called.
func (a answer) progress(every time.Duration) (stop func()) {
	stopped := make(chan struct{})
	var work sync.WaitGroup
	work.Go(func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
				a.Progress()
			case <-stopped:
				return
			}
		}
	})
	return func() {
		close(stopped)
		work.Wait()
	}
}

// isWaiting reports whether a reservation waits, once all goroutines do.
func isWaiting(result <-chan error) bool {
	synctest.Wait()
	return len(result) == 0
}

// mustReserve reserves and ends the test if there is no room.
func (a answer) mustReserve(t *testing.T, bytes int64) {
	t.Helper()
	if err := a.Reserve(t.Context(), bytes); err != nil {
		t.Fatalf("%d bytes: %v", bytes, err)
	}
}

// Guards against answers that hold more than the bound, all together, and against room that is lost for good.
func TestAllAnswersStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 1<<30), 20, 200).Draw(rt, "steps")
		limit := rapid.Int64Range(mib, 4*mib).Draw(rt, "limit")
		testkit.Bubble(t, func() {
			b := newTestBudget(limit, 8)
			var work sync.WaitGroup
			for i, step := range steps {
				work.Go(func() {
					time.Sleep(time.Duration(step%7) * 100 * time.Millisecond)
					a := begin(b, ident.Instance(fmt.Sprint(i%5)))
					defer a.End()
					for size := int64(1 << 10); size < int64(step)%(2*mib); size *= 2 {
						if a.Reserve(context.Background(), size) != nil {
							return
						}
						if s := b.State(); s.Bytes > limit+int64(len(steps))*ordinaryBytes {
							t.Errorf("%d bytes are held, %d allowed", s.Bytes, limit)
						}
						time.Sleep(time.Duration(step%11) * 30 * time.Millisecond)
					}
					if a.Settle(1<<10) == nil && step%2 == 0 {
						defer a.Deliver(func() {})()
						time.Sleep(time.Second)
					}
				})
			}
			work.Wait()
			if s := b.State(); s.Bytes != 0 || s.Waiting != 0 || b.yielding != 0 || len(b.large) != 0 || len(b.sources) != 0 || b.preferred != nil {
				t.Errorf("after all have ended: %+v, %d yielding, %d large, %d sources, preferred %v", s, b.yielding, len(b.large), len(b.sources), b.preferred)
			}
		})
	})
}

// Guards against ordinary answers that wait behind long ones.
func TestOrdinaryAnswersNeverWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(mib, 8)
		long := begin(b, "u1")
		long.mustReserve(t, mib*7/10)
		waits := begin(b, "u1").reserve(t, mib/2)
		if !isWaiting(waits) {
			t.Error("there was room for both long answers")
		}
		for range 100 {
			begin(b, "u1").mustReserve(t, ordinaryBytes)
		}
		<-waits
	})
}

// Guards against answers that stop halfway and keep the room of others, and against answers that progress and are cut off.
func TestAnswersThatStopYieldToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(mib, 8)
		stops, progresses := begin(b, "u1"), begin(b, "u1")
		stops.mustReserve(t, mib*3/10)
		progresses.mustReserve(t, mib*3/10)
		defer progresses.progress(readStall / 2)()
		time.Sleep(2 * readStall)
		select {
		case <-stops.stopped:
			t.Error("an answer was cut off though nobody waits")
		default:
		}
		other, waits := begin(b, "u1"), begin(b, "u1")
		other.mustReserve(t, mib*2/10)
		result := waits.reserve(t, mib*45/100)
		<-stops.stopped
		stops.End()
		if err := <-result; err != nil {
			t.Errorf("the room of the answer that stopped was not given on: %v", err)
		}
		if !stops.Yielded() || progresses.Yielded() {
			t.Errorf("yielded: the one that stopped %v, the one that progresses %v", stops.Yielded(), progresses.Yielded())
		}
		if err := stops.Settle(1); !errors.Is(err, ErrStalled) {
			t.Errorf("an answer that had to yield counts as whole: %v", err)
		}
	})
}

// Guards against an answer that waits longer than needed, as those that stopped yield one after the other.
func TestAllThatAreNeededYieldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(mib, 8)
		for range 4 {
			a := begin(b, "u1")
			a.mustReserve(t, mib*2/10)
			go func() {
				<-a.stopped
				a.End()
			}()
		}
		time.Sleep(2 * readStall)
		begun := time.Now()
		begin(b, "u1").mustReserve(t, mib*9/10)
		if took := time.Since(begun); took > 0 {
			t.Errorf("it took %v", took)
		}
	})
}

// Guards against answers that are read halfway and wait for each other until all of them have failed.
func TestAnswersThatAreReadHalfwayAreReadToTheirEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answers, whole = 16, mib / 2
		b := newTestBudget(2*mib, answers)
		var work sync.WaitGroup
		for range answers {
			work.Go(func() {
				a := begin(b, "u1")
				defer a.End()
				for size := int64(32 << 10); size <= whole; size *= 2 {
					if err := a.Reserve(t.Context(), size); err != nil {
						t.Errorf("at %d bytes: %v", size, err)
						return
					}
					time.Sleep(10 * time.Millisecond) // all are read at the same speed
				}
				if err := a.Settle(whole); err != nil {
					t.Error(err)
				}
			})
		}
		work.Wait()
	})
}

// Guards against an upstream whose answers take the room from those of all others.
func TestRoomGoesToWhoHoldsLeast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(mib, 8)
		holder := begin(b, "flood")
		holder.mustReserve(t, mib*7/10)
		first := begin(b, "flood").reserve(t, mib*6/10)
		synctest.Wait()
		second := begin(b, "flood").reserve(t, mib*6/10)
		synctest.Wait() // the first may use the part that is kept
		sound := begin(b, "sound")
		result := sound.reserve(t, mib*15/100)
		synctest.Wait()
		holder.End()
		if err := <-first; err != nil {
			t.Error(err)
		}
		if err := <-result; err != nil {
			t.Errorf("the answer of another upstream got no room: %v", err)
		}
		if !isWaiting(second) {
			t.Error("the second answer of an upstream got room before another's")
		}
		<-second
	})
}

// Guards against a crowd of answers that wait, of each of which the kernel holds what has come meanwhile.
func TestFewAnswersWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(mib, 2)
		holder := begin(b, "flood")
		holder.mustReserve(t, mib*7/10)
		first, second := begin(b, "flood").reserve(t, mib/2), (<-chan error)(nil)
		synctest.Wait()
		second = begin(b, "flood").reserve(t, mib/2)
		synctest.Wait()
		sound := begin(b, "sound").reserve(t, mib/2)
		if err := <-second; !errors.Is(err, ErrNoRoom) {
			t.Errorf("the last of the source that holds most: %v", err)
		}
		if err := begin(b, "flood").Reserve(t.Context(), mib/2); !errors.Is(err, ErrNoRoom) {
			t.Errorf("one more of that source: %v", err)
		}
		if !isWaiting(first) || !isWaiting(sound) {
			t.Error("others don't wait any more")
		}
		<-first
		<-sound
	})
}

// Guards against answers that wait for good, or for room that there cannot be.
func TestNoAnswerWaitsForGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(mib, 8)
		begun := time.Now()
		if err := begin(b, "u1").Reserve(t.Context(), mib+1); !errors.Is(err, ErrNoRoom) || time.Since(begun) > 0 {
			t.Errorf("more than there is: %v after %v", err, time.Since(begun))
		}
		whole := begin(b, "u1")
		whole.mustReserve(t, mib*7/10)
		if err := whole.Settle(mib * 7 / 10); err != nil {
			t.Error(err)
		}
		if err := begin(b, "u1").Reserve(t.Context(), mib/2); !errors.Is(err, ErrNoRoom) || time.Since(begun) != waitTime {
			t.Errorf("%v after %v, want no room after %v", err, time.Since(begun), waitTime)
		}
		gone := errors.New("the caller has gone")
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Millisecond, func() { cancel(gone) })
		if err := begin(b, "u1").Reserve(ctx, mib/2); !errors.Is(err, gone) {
			t.Errorf("%v, want the cause of the context's end", err)
		}
		if whole.Yielded() {
			t.Error("a whole answer had to yield before it was delivered")
		}
	})
}

// Guards against callers that take no answer and keep the room of others, and against slow ones that are cut off.
func TestAnswersThatNobodyTakesYieldToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBudget(mib, 8)
		taken, untaken := begin(b, "u1"), begin(b, "u1")
		for _, a := range []answer{taken, untaken} {
			a.mustReserve(t, mib*4/10)
			if err := a.Settle(mib * 4 / 10); err != nil {
				t.Error(err)
			}
		}
		interrupted := make(chan answer, 2)
		for _, a := range []answer{taken, untaken} {
			a.Deliver(func() { interrupted <- a })
		}
		defer taken.progress(deliveryStall * 8 / 10)()
		result := begin(b, "u1").reserve(t, mib*3/10)
		a := <-interrupted
		a.End()
		if a.Share != untaken.Share || len(interrupted) > 0 {
			t.Error("an answer that its caller takes was cut off")
		}
		if err := <-result; err != nil {
			t.Error(err)
		}
	})
}
