package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

// world is a store and several managers in virtual time. Nothing runs unless the test
// calls it.
type world struct {
	now      time.Time
	records  []platform.KeyedRecord
	managers []*Manager
	era      ident.Era
	// fault returns what happens to the next write. lateWrites are writes that are
	// applied later if their condition still holds.
	fault      func() fault
	lateWrites []func()
	// writeTime is how long a write takes. meanwhile, if set, is called repeatedly during
	// the next write.
	writeTime time.Duration
	meanwhile func()
	// expiryNotAnnounced is set where holders do not report that their lease expired.
	expiryNotAnnounced bool
}

type fault int

const (
	none fault = iota
	unavailable
	answerLost
	appliedLate
)

func newWorld(n int) *world {
	w := &world{now: time.Unix(1000, 0), fault: func() fault { return none }}
	for i := range n {
		w.add(ident.Instance(fmt.Sprint("gw", i)), i)
	}
	return w
}

var testTiming = NewTiming(3*time.Second, 700*time.Millisecond)

func (w *world) add(self ident.Instance, rank int) *Manager {
	m := NewManager(Config{
		Self: self, Incarnation: ident.Incarnation(len(w.managers) + 1), Timing: testTiming, Store: w, Log: hclog.NewNullLogger(),
		Now: func() time.Time { return w.now }, TrueTime: func() time.Time { return w.now }, Era: func() ident.Era { return w.era },
		Rank: func() (int, bool) { return rank, false }, GatewayCount: func() int { return 5 },
		GivenUpFence: func() ident.Fence { return w.givenUp(self) }, OnGivenUp: func() {},
	})
	w.managers = append(w.managers, m)
	return m
}

// givenUp returns the highest fencing number that the other managers report as given up.
func (w *world) givenUp(self ident.Instance) ident.Fence {
	highest := ident.Fence(0)
	for _, m := range w.managers {
		if m.cfg.Self != self && !w.expiryNotAnnounced {
			highest = max(highest, m.GivenUpFence())
		}
	}
	return highest
}

// end returns the position of the next record.
func (w *world) end() ident.Position { return ident.NewPosition(w.era, uint64(len(w.records))) }

func (w *world) Put(_ context.Context, _, key string, value []byte, condition *ident.Position) (ident.Position, error) {
	write := func() (ident.Position, error) {
		// The store compares offsets, whatever era the writer means.
		if condition != nil && condition.In(w.era) != w.end() {
			return ident.Position{}, platform.ErrConflict
		}
		at := w.end()
		w.records = append(w.records, platform.KeyedRecord{Key: key, Value: value})
		if condition != nil && condition.Era() != w.era {
			return ident.Position{}, platform.ErrEraChanged
		}
		return at, nil
	}
	defer w.passWriteTime()
	switch w.fault() {
	case unavailable:
		return ident.Position{}, platform.ErrUnavailable
	case answerLost:
		_, _ = write() // the caller cannot know whether it was applied
		return ident.Position{}, platform.ErrAnswerLost
	case appliedLate:
		w.lateWrites = append(w.lateWrites, func() { _, _ = write() })
		return ident.Position{}, platform.ErrAnswerLost
	}
	return write()
}

// passWriteTime lets the time of a write pass while the other managers run.
func (w *world) passWriteTime() {
	others := w.meanwhile
	w.meanwhile = nil
	for end := w.now.Add(w.writeTime); w.now.Before(end); w.now = w.now.Add(tickInterval) {
		if others != nil {
			others()
		}
	}
}

func (w *world) Follow(context.Context, string, ident.Position, time.Duration) (platform.KeyedBatch, error) {
	panic("the lease is read with Newest, not followed")
}

func (w *world) Newest(context.Context, string, func(platform.KeyedBatch)) (platform.KeyedBatch, error) {
	batch := platform.KeyedBatch{End: w.end()}
	if n := len(w.records); n > 0 {
		newest := w.records[n-1]
		newest.At = w.end().Previous()
		batch.Records = []platform.KeyedRecord{newest}
	}
	return batch, nil
}

// run ticks all managers for the given time.
func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(tickInterval) {
		for _, m := range w.managers {
			m.tick(context.Background())
		}
	}
}

// holders returns the indices of the managers that may make calls now.
func (w *world) holders() []int {
	var out []int
	for i, m := range w.managers {
		if _, holds := m.Grant(); holds {
			out = append(out, i)
		}
	}
	return out
}

// drawStep lets one manager run and time pass. Its write takes any time, in which another manager runs, and late writes
// may be applied.
func (w *world) drawStep(t *rapid.T) {
	w.writeTime = time.Duration(rapid.IntRange(0, 300).Draw(t, "took")) * time.Millisecond
	if rapid.IntRange(0, 9).Draw(t, "frozen before the answer") == 0 {
		w.writeTime += 2 * testTiming.Length
	}
	w.expiryNotAnnounced = rapid.Bool().Draw(t, "nobody is told")
	i := rapid.IntRange(0, len(w.managers)-1).Draw(t, "manager")
	w.meanwhile = func() {
		took := w.writeTime
		w.writeTime = 0
		w.managers[(i+1)%len(w.managers)].tick(context.Background())
		w.writeTime = took
	}
	w.managers[i].tick(context.Background())
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "passes")) * time.Millisecond)
	if len(w.lateWrites) > 0 && rapid.Bool().Draw(t, "late write is done") {
		w.lateWrites[0]()
		w.lateWrites = w.lateWrites[1:]
	}
}

// calls is what the platform received: the fencing numbers of calls, in order.
type calls struct {
	by     map[ident.Fence]ident.Instance
	newest ident.Fence
}

func newCalls() *calls { return &calls{by: make(map[ident.Fence]ident.Instance)} }

// makeCalls makes a call of each manager that holds the lease.
func (c *calls) makeCalls(t interface{ Fatalf(string, ...any) }, w *world) {
	holders := 0
	for _, m := range w.managers {
		grant, holds := m.Grant()
		if !holds {
			continue
		}
		holders++
		if by, used := c.by[grant.Fence]; used && by != m.cfg.Self {
			t.Fatalf("fencing number %d is sent by %s and %s", grant.Fence, by, m.cfg.Self)
		}
		c.by[grant.Fence] = m.cfg.Self
		if grant.Fence < c.newest {
			t.Fatalf("fencing number %d after %d", grant.Fence, c.newest)
		}
		c.newest = grant.Fence
	}
	if holders > 1 {
		t.Fatalf("%d gateways hold the lease at once", holders)
	}
}

// Guards against two gateways that perform a duty at the same time, or use the same
// fencing number. Gateways freeze at any point and for any time; writes are rejected, lose
// their answers, or are applied seconds later. Possible causes: a deadline that counts from
// the answer, a claim that counts as held before it was read back, or a condition that is
// not checked.
func TestOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(3)
		c := newCalls()
		w.fault = func() fault {
			return rapid.SampledFrom([]fault{none, none, none, none, unavailable, answerLost, appliedLate}).Draw(t, "fault")
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			w.drawStep(t)
			c.makeCalls(t, w)
		}
	})
}

func TestLeaseStories(t *testing.T) {
	t.Run("the first in line takes it", func(t *testing.T) {
		w := newWorld(3)
		w.run(time.Second)
		if got := fmt.Sprint(w.holders()); got != "[0]" {
			t.Errorf("held by %s", got)
		}
	})
	t.Run("it is renewed", func(t *testing.T) {
		w := newWorld(3)
		w.run(time.Minute)
		grant, holds := w.managers[0].Grant()
		if !holds || grant.Fence != 1 {
			t.Errorf("held: %v, fence %d", holds, grant.Fence)
		}
	})
	t.Run("a dead holder is followed within two lengths", func(t *testing.T) {
		w := newWorld(3)
		w.run(time.Second)
		w.managers = w.managers[1:]
		w.run(2 * testTiming.Length)
		if got := fmt.Sprint(w.holders()); got != "[0]" {
			t.Errorf("held by %s", got)
		}
	})
	t.Run("a released one is taken at once", func(t *testing.T) {
		w := newWorld(3)
		w.run(time.Second)
		w.managers[0].release()
		w.managers = w.managers[1:]
		w.run(readInterval + 2*testTiming.RankDelay)
		if got := fmt.Sprint(w.holders()); got != "[0]" {
			t.Errorf("held by %s", got)
		}
	})
	// Guards against a late usage report and 4 s without scaling, when the store rejects
	// the holder and no other gateway: successors waited for the lease's length from when
	// they first read its record.
	t.Run("one that has run out is taken at its holder's word", func(t *testing.T) {
		w := newWorld(3)
		w.run(time.Second)
		holder := w.managers[0]
		w.fault = func() fault { return unavailable }
		// The other gateways receive reports of a holder and do not read the record.
		all := w.managers
		w.managers = all[:1]
		for holds := true; holds; _, holds = holder.Grant() {
			w.run(tickInterval)
		}
		w.run(tickInterval)
		w.fault = func() fault { return none }
		w.managers = all
		for end := w.now.Add(testTiming.RankDelay + 3*tickInterval); w.now.Before(end); w.now = w.now.Add(tickInterval) {
			all[1].tick(t.Context())
		}
		grant, holds := all[1].Grant()
		if !holds || grant.Fence <= holder.GivenUpFence() || holder.GivenUpFence() == 0 {
			t.Errorf("held: %v, fence %d after %d", holds, grant.Fence, holder.GivenUpFence())
		}
	})
	// Guards against a call under an older fencing number that reaches the platform after
	// one under a newer number. The holder makes a call just before its lease expires and
	// reports the expiry; its successor makes a call before the first one arrives. The
	// lease's margin for calls in flight does not help where the holder reports expiry.
	t.Run("its holder's word waits for calls in flight", func(t *testing.T) {
		w := newWorld(2)
		w.run(time.Second)
		holder := w.managers[0]
		grant, _ := holder.Grant()
		ended, err := grant.Begin()
		if err != nil {
			t.Fatal(err)
		}
		w.fault = func() fault { return unavailable }
		w.managers = w.managers[:1]
		w.run(testTiming.Length)
		if _, err := grant.Begin(); !errors.Is(err, ErrNotHeld) || holder.GivenUpFence() != 0 {
			t.Errorf("Begin returns %v, want ErrNotHeld; reports that %d expired while a call is in flight", err, holder.GivenUpFence())
		}
		ended()
		w.run(tickInterval)
		if holder.GivenUpFence() != grant.Fence {
			t.Errorf("reports that %d expired, want %d", holder.GivenUpFence(), grant.Fence)
		}
	})
	// Guards against a duty that goes from one gateway to another and back within the
	// length of a lease. The holder releases the lease and restarts; its successor releases
	// it too. The cause would be a released lease that any gateway may claim.
	t.Run("it does not come back at once", func(t *testing.T) {
		w := newWorld(2)
		w.run(time.Second)
		w.managers[0].release()
		first := w.managers[0]
		w.managers = w.managers[1:]
		w.run(testTiming.RankDelay + readInterval + time.Second)
		w.managers[0].release()
		restarted := w.add(first.cfg.Self, 0)
		w.managers = []*Manager{restarted}
		w.run(testTiming.Length - time.Second)
		if _, holds := restarted.Grant(); holds {
			t.Error("held again at once")
		}
		w.run(3 * time.Second)
		if _, holds := restarted.Grant(); !holds {
			t.Error("not held after the length")
		}
	})
	t.Run("a refused holder stops and comes back with a higher number", func(t *testing.T) {
		w := newWorld(1)
		w.run(time.Second)
		grant, _ := w.managers[0].Grant()
		w.managers[0].FenceRejected(grant.Fence)
		if _, holds := w.managers[0].Grant(); holds {
			t.Fatal("still held")
		}
		w.run(2 * testTiming.Length)
		if next, holds := w.managers[0].Grant(); !holds || next.Fence <= grant.Fence {
			t.Errorf("held: %v, fence %d after %d", holds, next.Fence, grant.Fence)
		}
	})
	t.Run("a decision outlives its holder", func(t *testing.T) {
		w := newWorld(2)
		w.run(time.Second)
		if err := w.managers[0].Commit(context.Background(), []byte(`{"a":1}`)); err != nil {
			t.Fatal(err)
		}
		w.managers = w.managers[1:]
		w.run(3 * testTiming.Length)
		if got := string(w.managers[0].Decided()); got != `{"a":1}` || len(w.holders()) != 1 {
			t.Errorf("decided %q", got)
		}
	})
}

// Guards against a holder of the lease that writes its record before it has restored the
// state that the previous holder stored, and so erases it.
func TestStoredStateOutlivesItsHolder(t *testing.T) {
	w := newWorld(0)
	withState := func(m *Manager, initial string) *string {
		state := initial
		m.cfg.StateToStore = func() StoredState {
			return StoredState{PoisonRequests: json.RawMessage(state), Limits: json.RawMessage(state)}
		}
		m.cfg.RestoreState = func(stored StoredState) {
			if string(stored.PoisonRequests) != string(stored.Limits) {
				t.Errorf("restored %s and %s", stored.PoisonRequests, stored.Limits)
			}
			state = string(stored.Limits)
		}
		return &state
	}
	first := w.add("a", 0)
	withState(first, `[1]`)
	claim := func(m *Manager) {
		for range 100 {
			m.tick(context.Background())
			w.now = w.now.Add(tickInterval)
			if _, held := m.Grant(); held {
				return
			}
		}
		t.Fatal("the lease was not claimed")
	}
	claim(first)
	second := w.add("b", 0)
	restored := withState(second, `null`)
	claim(second)
	if *restored != `[1]` {
		t.Errorf("the second holder restored %s", *restored)
	}
	third := w.add("c", 0)
	read := withState(third, `null`)
	if _, err := third.ReadGatewayCount(context.Background()); err != nil || *read != `[1]` {
		t.Errorf("a gateway that starts restored %s, %v", *read, err)
	}
}
