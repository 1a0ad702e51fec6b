package duty

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// comeBackOlder makes the store come back without its newest records, in a new era.
func (w *world) comeBackOlder(lost int) {
	w.era++
	w.records = w.records[:max(0, len(w.records)-lost)]
}

// Guards against two gateways that send one fencing number, or a later holder with a lower one, because the
// store came back from an older copy and gave the offsets of claims out again. Gateways freeze meanwhile, and
// writes whose answer was lost are carried out in the new log, where their condition holds by chance.
func TestFencesThroughOlderCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		c := newCalls()
		w.era = 1
		w.fault = func() fault {
			return rapid.SampledFrom([]fault{none, none, none, unavailable, answerLost, appliedLate}).Draw(t, "fault")
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.drawStep(t)
			if rapid.IntRange(0, 14).Draw(t, "older copy") == 0 {
				w.comeBackOlder(rapid.IntRange(0, 8).Draw(t, "lost"))
			}
			c.makeCalls(t, w)
		}
	})
}

func TestLeaseStoriesOfOlderCopies(t *testing.T) {
	started := func(managers int) (*world, *calls) {
		w := newWorld(managers)
		w.era = 1
		w.run(10 * time.Second)
		c := newCalls()
		c.makeCalls(t, w)
		return w, c
	}
	for _, lost := range []int{0, 1, 5, 100} {
		// Guards against a holder that goes on under a claim that the store has lost, or that loses the
		// duties for longer than a lease.
		t.Run(fmt.Sprintf("the holder claims again at once, %d records lost", lost), func(t *testing.T) {
			w, c := started(3)
			before := c.newest
			w.comeBackOlder(lost)
			w.run(testTiming.RenewEvery + 2*tickInterval)
			c.makeCalls(t, w)
			if got := fmt.Sprint(w.holders()); got != "[0]" || c.newest <= before {
				t.Errorf("held by %s, fence %d after %d", got, c.newest, before)
			}
		})
		// Guards against a successor that never comes, as the record that it waits for to age is of the
		// era before.
		t.Run(fmt.Sprintf("its holder is killed, %d records lost", lost), func(t *testing.T) {
			w, c := started(3)
			before := c.newest
			w.comeBackOlder(lost)
			w.managers = w.managers[1:]
			w.run(testTiming.Length + testTiming.RankDelay + 3*readInterval)
			c.makeCalls(t, w)
			if got := fmt.Sprint(w.holders()); got != "[0]" || c.newest <= before {
				t.Errorf("held by %s, fence %d after %d", got, c.newest, before)
			}
		})
	}
	// Guards against a claim that the copy has and that another one, now lost, has followed: its gateway must
	// not go on under it.
	t.Run("the copy has the claim of the holder before", func(t *testing.T) {
		w, c := started(2)
		first := w.managers
		kept := len(w.records)
		w.managers = first[1:]
		w.run(3 * testTiming.Length)
		c.makeCalls(t, w)
		w.managers = first
		w.comeBackOlder(len(w.records) - kept)
		for range 100 {
			w.run(tickInterval)
			c.makeCalls(t, w)
		}
		if got := fmt.Sprint(w.holders()); got != "[1]" {
			t.Errorf("held by %s, want the last holder", got)
		}
	})
	// Guards against a renewal or a release for the era before that is carried out late, when its condition
	// holds again, and takes the lease from its holder.
	t.Run("a write for the era before is carried out late", func(t *testing.T) {
		w, c := started(2)
		w.fault = func() fault { return appliedLate }
		w.run(testTiming.RenewEvery + 2*tickInterval)
		w.fault = func() fault { return none }
		condition := len(w.records)
		w.comeBackOlder(3)
		for len(w.records) < condition {
			w.run(tickInterval)
		}
		before := c.newest
		for _, late := range w.lateWrites {
			late()
		}
		if len(w.records) != condition+1 {
			t.Fatalf("the condition does not hold: %d records, want %d", len(w.records), condition+1)
		}
		held := 0
		for range 30 {
			w.run(tickInterval)
			c.makeCalls(t, w)
			held += len(w.holders())
		}
		if held != 30 || c.newest < before {
			t.Errorf("held in %d of 30 rounds, fence %d after %d", held, c.newest, before)
		}
	})
	// Guards against decisions of the era before that are taken for complete, though the store has lost
	// some, and against a holder that no longer trusts its own.
	t.Run("lost decisions", func(t *testing.T) {
		for _, killed := range []bool{false, true} {
			w, _ := started(2)
			if err := w.managers[0].Commit(t.Context(), []byte(`{"a":1}`)); err != nil {
				t.Fatal(err)
			}
			w.comeBackOlder(1)
			returned := w.now
			if killed {
				w.managers = w.managers[1:]
			}
			w.run(3 * testTiming.Length)
			grant, _ := w.managers[0].Grant()
			if killed && (grant.UnsureBefore.Before(returned) || grant.UnsureBefore.After(returned.Add(readInterval+tickInterval))) {
				t.Errorf("the successor is unsure of what was decided before %v, the store came back at %v", grant.UnsureBefore, returned)
			}
			if got := string(w.managers[0].Decided()); !killed && (got != `{"a":1}` || !grant.UnsureBefore.IsZero()) {
				t.Errorf("the holder knows %s, unsure before %v", got, grant.UnsureBefore)
			}
		}
	})
}

// Guards against a second holder beside one whose claim the log no longer shows: a log that is not empty may have had one.
func TestALogThatIsNotEmptyMayHaveHadAClaim(t *testing.T) {
	start := time.Unix(1000, 0)
	s := NewState("a", 1)
	s.ApplyRead(nil, ident.Position{}, ident.NewPosition(1, 5), start)
	if got := s.NextAction(testTiming, 0, 0, start.Add(testTiming.Length)); got != Wait {
		t.Errorf("action %v while the holder of a lost claim may act", got)
	}
	if got := s.NextAction(testTiming, 0, 0, start.Add(testTiming.Length+time.Millisecond)); got != Claim {
		t.Errorf("action %v after that", got)
	}
}
