package slotlease

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

var start = time.Unix(1000, 0)

func none(ident.Instance) int { return 0 }

func unknownWork(ident.Service) time.Duration { return 0 }

// upstreams returns n upstreams with 6 slots each.
func upstreams(n int) []Upstream {
	var list []Upstream
	for i := range n {
		list = append(list, Upstream{ID: ident.Instance(fmt.Sprint("u", i)), Domain: ident.FailureDomain(fmt.Sprint("d", i)), Slots: 6})
	}
	return list
}

func ask(number uint64) Ask {
	return Ask{ID: LeaseID{"gateway", number}, Account: "account", Wait: 40 * time.Millisecond, Hold: time.Second}
}

// fill leases all places of a keeper and returns the number of the last ask.
func fill(k *Keeper, now time.Time) uint64 {
	for n := uint64(1); ; n++ {
		decided := k.Ask(ask(n), now)
		if len(decided) == 0 {
			k.Return(ask(n).ID, now)
			return n
		}
	}
}

// Guards against a slot that is leased twice or stays free while an ask waits that could use it, and against
// an ask that is never answered or answered twice.
func TestKeeperInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		k := NewKeeper(upstreams(3), none, 0, now)
		asked := make(map[LeaseID]Ask)
		leased := make(map[LeaseID]ident.Instance)
		apply := func(decided []Decision) {
			for _, d := range decided {
				a, waits := asked[d.ID]
				if !waits {
					t.Fatalf("%v answered without an ask", d)
				}
				delete(asked, d.ID)
				for _, id := range a.Avoid {
					if id == d.Answer.Upstream {
						t.Fatalf("%v at an upstream that it avoids", d)
					}
				}
				if d.Answer.Upstream != "" {
					leased[d.ID] = d.Answer.Upstream
				}
			}
		}
		for n := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1, 2:
				a := ask(uint64(n + 1))
				a.Account = ident.ClientAccount(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"))
				if rapid.Bool().Draw(t, "avoids") {
					a.Avoid = []ident.Instance{"u0"}
				}
				asked[a.ID] = a
				apply(k.Ask(a, now))
			case 3:
				if id, some := lowest(leased); some {
					delete(leased, id)
					apply(k.Return(id, now))
				}
			case 4:
				if id, some := lowest(asked); some {
					delete(asked, id)
					apply(k.Return(id, now))
				}
			case 5:
				apply(k.SetUpstreams(upstreams(rapid.IntRange(2, 4).Draw(t, "upstreams")), now))
			}
			apply(k.Tick(now))
			checkKeeper(t, k, len(asked), now)
		}
		now = now.Add(time.Minute)
		apply(k.Tick(now))
		if len(asked) > 0 || !k.Idle() {
			t.Fatalf("%d asks without an answer, idle %v", len(asked), k.Idle())
		}
	})
}

// lowest returns the ask with the lowest number.
func lowest[V any](m map[LeaseID]V) (id LeaseID, some bool) {
	for each := range m {
		if !some || each.Number < id.Number {
			id, some = each, true
		}
	}
	return id, some
}

// checkKeeper checks what holds after each step.
func checkKeeper(t *rapid.T, k *Keeper, waiting int, now time.Time) {
	if len(k.waiters) != waiting || k.queue.Len() != waiting {
		t.Fatalf("%d asks wait, %d known, %d in the queue", waiting, len(k.waiters), k.queue.Len())
	}
	for _, u := range k.upstreams {
		if u.leased != k.countLeases(u.ID) || u.leased > room(u.Slots) {
			t.Fatalf("%d leases counted at %s, %d there", u.leased, u.ID, k.countLeases(u.ID))
		}
	}
	for id, w := range k.waiters {
		if free := k.freeUpstream(w.Value.(Ask), now); free != nil {
			t.Fatalf("%v waits while %s has a free slot", id, free.ID)
		}
	}
}

// Guards against slots that are lost for good: a gateway is killed, or its message is lost.
func TestLeaseEndsByItself(t *testing.T) {
	k := NewKeeper(upstreams(1), none, 0, start)
	last := fill(k, start)
	next, waits := k.NextTick(start)
	if !waits || !next.Equal(start.Add(time.Second)) {
		t.Fatalf("next tick %v, want the end of the leases", next)
	}
	k.Tick(next)
	if decided := k.Ask(ask(last+1), next); len(decided) != 1 || decided[0].Answer.Upstream == "" {
		t.Errorf("%v, want a lease after the others have ended", decided)
	}
}

// Guards against twice the requests at each upstream after a keeper died: the new one knows no leases.
func TestKeeperTakesOverWhatIsInProgress(t *testing.T) {
	k := NewKeeper(upstreams(1), func(ident.Instance) int { return 7 }, 0, start)
	if decided := k.Ask(ask(1), start); len(decided) > 0 {
		t.Fatalf("%v while the upstream has what it takes", decided)
	}
	granted := 0
	for now := start; now.Before(start.Add(minHandover)); now = now.Add(handoverStep) {
		granted += len(k.Ask(ask(uint64(2+now.Sub(start))), now))
	}
	if granted == 0 || granted > 2*room(6) {
		t.Errorf("%d decided during the handover, want some, as requests end", granted)
	}
}

// Guards against an upstream that gets twice the requests that it takes after a keeper died, where requests take
// longer than their reports: those of before still run.
func TestKeeperTakesOverLongRequests(t *testing.T) {
	const work, before = 2 * time.Second, 7
	k := NewKeeper(upstreams(1), func(ident.Instance) int { return before }, work, start)
	granted := 0
	for at := time.Duration(0); at < work; at += handoverStep {
		a := ask(uint64(1 + at))
		a.Wait, a.Hold = 0, time.Minute
		for _, d := range k.Ask(a, start.Add(at)) {
			if d.Answer.Upstream != "" {
				granted++
			}
		}
		// They had begun evenly over the time that one takes.
		still := before - int(before*at/work)
		if granted+still > room(6) {
			t.Fatalf("after %v: %d leased, %d of before still run, want %d at most", at, granted, still, room(6))
		}
	}
	if granted < before-1 {
		t.Errorf("%d leased as %d requests ended, want one for each", granted, before)
	}
}

// Guards against a caller that waits until its time is over for a slot that it surely doesn't get.
func TestHopelessAskIsRefusedAtOnce(t *testing.T) {
	k := NewKeeper(upstreams(1), none, 0, start)
	last := fill(k, start)
	now := start.Add(60 * time.Millisecond)
	k.Return(ask(1).ID, now)
	k.Ask(ask(last+1), now)
	refused := Decision{}
	for n := last + 2; refused.Answer.RetryAfter == 0 && n < last+100; n++ {
		if decided := k.Ask(ask(n), now); len(decided) > 0 {
			refused = decided[0]
		}
	}
	if refused.Answer.Upstream != "" || refused.Answer.RetryAfter <= 40*time.Millisecond {
		t.Errorf("%v, want a refusal with the time until a slot is free", refused)
	}
	none := ask(last + 200)
	none.Avoid = []ident.Instance{"u0"}
	if decided := k.Ask(none, now); len(decided) != 1 || decided[0].Answer.Upstream != "" {
		t.Errorf("%v, want a refusal of an ask that avoids all upstreams", decided)
	}
}

// Guards against an upstream that refuses each request at once and so gets all of them, as it has the fewest.
func TestFailingUpstreamDoesNotGetAllRequests(t *testing.T) {
	k := NewKeeper(upstreams(2), none, 0, start)
	failed := 0
	for n := range uint64(600) {
		now := start.Add(time.Duration(n) * 5 * time.Millisecond)
		for _, d := range k.Ask(ask(n+1), now) {
			if d.Answer.Upstream == "u0" {
				k.Fail(d.ID, now)
				failed++
			} else {
				k.Return(d.ID, now)
			}
		}
	}
	if most := 11 * room(6); failed > most {
		t.Errorf("%d of 600 requests failed, want %d at most, each slot once in %v", failed, most, failurePause)
	}
}

// Guards against a second lease for an ask whose message was repeated, and against a slot that is given back
// twice.
func TestRepeatedMessages(t *testing.T) {
	k := NewKeeper(upstreams(1), none, 0, start)
	one, two := k.Ask(ask(1), start), k.Ask(ask(1), start)
	if len(one) != 1 || len(two) != 1 || one[0] != two[0] || len(k.leases) != 1 {
		t.Errorf("%v and %v, want one lease", one, two)
	}
	k.Return(ask(1).ID, start)
	k.Return(ask(1).ID, start)
	if k.upstreams[0].leased != 0 {
		t.Errorf("%d leases, want none", k.upstreams[0].leased)
	}
}
