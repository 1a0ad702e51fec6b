package waiting

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

func accept(*Waiter) bool { return true }

func newWaiter(account ident.ClientAccount, arrived, latest time.Duration) *Waiter {
	return &Waiter{Account: account, Cost: 1, ArrivedAt: at(arrived), LatestStart: at(latest)}
}

// TestFullQueue guards against a queue that refuses accounts that wait for little because another one fills
// it.
func TestFullQueue(t *testing.T) {
	q := New(Config{MaxWaiters: 3})
	var large []*Waiter
	for range 3 {
		w := newWaiter("large", 0, time.Second)
		large = append(large, w)
		if refused := q.Add(w, at(0)); refused != nil {
			t.Fatal("a call was refused though the queue had room")
		}
	}
	small := newWaiter("small", 0, time.Second)
	if refused := q.Add(small, at(0)); refused != large[2] || refused.Waiting() || !small.Waiting() {
		t.Errorf("refused %+v, want the last call of the large account", refused)
	}
	again := newWaiter("large", 0, time.Second)
	if refused := q.Add(again, at(0)); refused != again || q.Len() != 3 {
		t.Errorf("refused %+v, want the new call of the large account", refused)
	}
}

// TestExpiry guards against calls that wait after their time is over.
func TestExpiry(t *testing.T) {
	q := New(Config{MaxWait: 100 * time.Millisecond})
	short, long := newWaiter("a", 0, 50*time.Millisecond), newWaiter("b", 0, time.Hour)
	for _, w := range []*Waiter{long, short} {
		q.Add(w, at(0))
	}
	if late := newWaiter("c", 0, 50*time.Millisecond); q.Add(late, at(50*time.Millisecond)) != late {
		t.Error("a call whose time was over began to wait")
	}
	if next, waits := q.NextExpiry(); !waits || !next.Equal(at(50*time.Millisecond)) {
		t.Errorf("first expiry %v, want that of the short wait", next)
	}
	if w := q.Next(at(50*time.Millisecond), accept); w != long {
		t.Errorf("granted %+v, want the call that has time left", w)
	}
	q.Add(long, at(0))
	if expired := q.Expired(at(100 * time.Millisecond)); len(expired) != 2 || expired[0] != short || expired[1] != long || q.Len() != 0 {
		t.Errorf("%d calls expired, want both, the short wait first", len(expired))
	}
}

// TestNotAccepted guards against a call that no free place fits and that holds back the others.
func TestNotAccepted(t *testing.T) {
	q := New(Config{})
	first, second := newWaiter("a", 0, time.Second), newWaiter("a", 0, 2*time.Second)
	q.Add(first, at(0))
	q.Add(second, at(0))
	if w := q.Next(at(0), func(w *Waiter) bool { return w != first }); w != second {
		t.Errorf("granted %+v, want the call that fits", w)
	}
	if w := q.Next(at(0), func(*Waiter) bool { return false }); w != nil || !first.Waiting() {
		t.Errorf("granted %+v, which wasn't accepted", w)
	}
	if w := q.Next(at(0), accept); w != first {
		t.Errorf("granted %+v, want the call that was skipped", w)
	}
}

// TestRemove guards against calls that are granted a place after they have left.
func TestRemove(t *testing.T) {
	q := New(Config{})
	w := newWaiter("a", 0, time.Second)
	q.Add(w, at(0))
	if !q.Remove(w) || q.Remove(w) || q.Len() != 0 || q.Next(at(0), accept) != nil {
		t.Error("a removed call still waits")
	}
	if New(Config{}).Remove(w) {
		t.Error("a queue removed a call that never waited in it")
	}
}

// TestCharge guards against an account that gets places beyond its part because others found it served
// without a wait.
func TestCharge(t *testing.T) {
	q := New(Config{})
	for range 30 {
		q.Charge(newWaiter("a", 0, time.Second))
		q.Charge(newWaiter("b", 0, time.Second))
	}
	for range 5 {
		q.Charge(newWaiter("a", 0, time.Second))
	}
	q.Add(newWaiter("a", 0, time.Second), at(0))
	q.Add(newWaiter("b", 0, time.Second), at(0))
	if w := q.Next(at(0), accept); w.Account != "b" {
		t.Errorf("granted a call of account %s, want one of the account that was served less", w.Account)
	}
}

// TestKeepAccounts guards against memory that grows with every account that was ever removed.
func TestKeepAccounts(t *testing.T) {
	q := New(Config{})
	served, waits := newWaiter("served", 0, time.Second), newWaiter("waits", 0, time.Second)
	q.Charge(served)
	q.Add(waits, at(0))
	q.KeepAccounts(func(ident.ClientAccount) bool { return false })
	if w := q.Next(at(0), accept); w != waits {
		t.Errorf("granted %+v, want the call that waited while its account was removed", w)
	}
	q.KeepAccounts(func(ident.ClientAccount) bool { return false })
	if n := q.shares.Accounts(); n != 0 {
		t.Errorf("%d accounts are kept, want none", n)
	}
}

// TestWait guards against a time that counts calls which go after the waiter, or leaves out those before.
func TestWait(t *testing.T) {
	q := New(Config{})
	urgent, first, last := newWaiter("a", 0, 3*time.Second), newWaiter("a", 0, time.Second), newWaiter("a", 0, 2*time.Second)
	first.Priority, last.Priority = 1, 1
	for _, w := range []*Waiter{last, first, urgent} {
		q.Add(w, at(0))
	}
	for _, test := range []struct {
		waiter *Waiter
		want   time.Duration
	}{{urgent, 0}, {first, 500 * time.Millisecond}, {last, time.Second}} {
		if got := q.Wait(test.waiter, 2); got != test.want {
			t.Errorf("wait %v, want %v", got, test.want)
		}
	}
	q.Charge(newWaiter("b", 0, time.Second))
	if got := q.Wait(newWaiter("b", 0, time.Second), 2); got <= 0 {
		t.Errorf("wait %v of an account that was served before, want more than 0", got)
	}
}
