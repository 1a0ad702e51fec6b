package directory

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// in2 returns the position at an offset of the second era.
func in2(offset uint64) ident.Position { return ident.NewPosition(2, offset) }

// listed is an entry of a listing in the second era.
type listed struct {
	offset   uint64
	upstream *Upstream
}

// listEra2 applies a listing of the second era, up to an offset.
func listEra2(d *Directory, now time.Time, end uint64, entries ...listed) {
	d.BeginEra(in2(end), now)
	present := make(map[ident.Instance]bool)
	for _, e := range entries {
		present[e.upstream.ID] = true
		d.Apply(e.upstream.ID, in2(e.offset), e.upstream, now)
	}
	d.ApplyListing(present, in2(end), now)
}

// The store comes back from an older copy: u was written at offset 20, changed at 30, or dropped at 45 of the
// first era. Guards against what was known of it going back, and against what is new of it being late.
func TestAnUpstreamAfterTheStoreCameBackOlder(t *testing.T) {
	dropped := func(d *Directory) {
		d.Apply("u", pos(20), ready("u"), at(0))
		d.Apply("u", pos(45), nil, at(0))
		d.AdvanceTo(pos(46))
	}
	present := func(d *Directory) {
		d.Apply("u", pos(20), ready("u"), at(0))
		d.AdvanceTo(pos(46))
	}
	leaving := func(d *Directory) {
		d.Apply("u", pos(20), ready("u"), at(0))
		d.Apply("u", pos(40), leavingOf("u"), at(0))
		d.AdvanceTo(pos(46))
	}
	for _, c := range []struct {
		name   string
		before func(*Directory)
		after  func(*Directory)
		// usable: it gets work at the given time after the listing.
		at     time.Duration
		usable bool
	}{
		{"ready, and in the copy", present, func(d *Directory) { listEra2(d, at(0), 30, listed{20, ready("u")}) }, 3 * time.Second, true},
		{"ready, and not in the copy: served until it must be back", present, func(d *Directory) { listEra2(d, at(0), 10) }, 1900 * time.Millisecond, true},
		{"ready, not in the copy, and not back in time", present, func(d *Directory) { listEra2(d, at(0), 10) }, 2100 * time.Millisecond, false},
		{"ready, not in the copy, and back at a lower offset", present, func(d *Directory) {
			listEra2(d, at(0), 10)
			d.Apply("u", in2(10), ready("u"), at(time.Second))
		}, 3 * time.Second, true},
		{"leaves, and ready in the copy", leaving, func(d *Directory) { listEra2(d, at(0), 30, listed{20, ready("u")}) }, time.Second, false},
		{"leaves, and not in the copy", leaving, func(d *Directory) { listEra2(d, at(0), 10) }, time.Second, false},
		{"gone, and ready in the copy", dropped, func(d *Directory) { listEra2(d, at(0), 30, listed{20, ready("u")}) }, 4500 * time.Millisecond, false},
		{"gone, in the copy, and still listed after the store drops the dead", dropped, func(d *Directory) {
			listEra2(d, at(0), 30, listed{20, ready("u")})
		}, 6 * time.Second, true},
		{"gone, in the copy, and dropped again", dropped, func(d *Directory) {
			listEra2(d, at(0), 30, listed{20, ready("u")})
			d.Apply("u", in2(33), nil, at(3*time.Second))
		}, 9 * time.Second, false},
		{"gone, in the copy, and written anew", dropped, func(d *Directory) {
			listEra2(d, at(0), 30, listed{20, ready("u")})
			d.Apply("u", in2(30), ready("u"), at(time.Second))
		}, 1100 * time.Millisecond, true},
		{"gone, not in the copy, and written anew at a lower offset", dropped, func(d *Directory) {
			listEra2(d, at(0), 10)
			d.Apply("u", in2(10), ready("u"), at(time.Second))
		}, 1100 * time.Millisecond, true},
		{"ready, and leaves at an offset that was read before", present, func(d *Directory) {
			listEra2(d, at(0), 30, listed{20, ready("u")})
			d.Apply("u", in2(30), leavingOf("u"), at(time.Second))
		}, 1100 * time.Millisecond, false},
		{"an update of the earlier era comes late", leaving, func(d *Directory) {
			listEra2(d, at(0), 10)
			d.ApplyUpdate(Update{UpTo: pos(60), Records: []Record{{Name: "u", At: pos(59), Upstream: ready("u")}}}, at(time.Second))
		}, 1100 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			d.UseRenewal(1200 * time.Millisecond)
			c.before(d)
			c.after(d)
			d.Expire(at(c.at), at(c.at))
			if got := usable(d, "u", at(c.at)); got != c.usable {
				t.Errorf("usable: %v, want %v", got, c.usable)
			}
		})
	}
}

// Guards against a gateway that starts after the store came back from an older copy, and sends requests to
// upstreams of which the others know that they leave or are gone.
func TestAGatewayThatStartsAfterwardsHearsWhatIsKept(t *testing.T) {
	lived, started := New(), New()
	for i, u := range []string{"leaves", "gone", "stays"} {
		lived.Apply(ident.Instance(u), pos(20+i), ready(u), at(0))
	}
	lived.Apply("leaves", pos(40), leavingOf("leaves"), at(0))
	lived.Apply("gone", pos(41), nil, at(0))
	lived.AdvanceTo(pos(42))
	for _, d := range []*Directory{lived, started} {
		d.UseRenewal(1200 * time.Millisecond)
		listEra2(d, at(0), 30, listed{20, ready("leaves")}, listed{21, ready("gone")}, listed{22, ready("stays")})
	}
	if lived.KeptEntries() != 2 {
		t.Fatalf("%d entries are kept against the copy, want 2", lived.KeptEntries())
	}
	started.ApplyUpdate(lived.UpdateSince(started.Next(), at(0)), at(0))
	for u, want := range map[string]bool{"leaves": false, "gone": false, "stays": true} {
		if got := usable(started, u, at(time.Second)); got != want {
			t.Errorf("%s is usable: %v, want %v", u, got, want)
		}
	}
	// One that lists after the store has dropped it again does not wait for it to come back.
	after := New()
	after.UseRenewal(1200 * time.Millisecond)
	listEra2(after, at(0), 33, listed{20, ready("leaves")}, listed{22, ready("stays")})
	for range 2 {
		after.ApplyUpdate(lived.UpdateSince(after.Next(), at(0)), at(0))
	}
	after.Expire(at(9*time.Second), at(9*time.Second))
	if usable(after, "gone", at(9*time.Second)) {
		t.Error("an upstream that the store does not list is used")
	}
	// It passes that on, and gives way like the others.
	later := New()
	later.UseRenewal(1200 * time.Millisecond)
	listEra2(later, at(0), 30, listed{20, ready("leaves")}, listed{21, ready("gone")}, listed{22, ready("stays")})
	later.ApplyUpdate(started.UpdateSince(later.Next(), at(0)), at(0))
	if usable(later, "gone", at(time.Second)) || usable(later, "leaves", at(time.Second)) {
		t.Error("it is not passed on")
	}
	later.Expire(at(6*time.Second), at(6*time.Second))
	if !usable(later, "gone", at(6*time.Second)) || usable(later, "leaves", at(6*time.Second)) {
		t.Error("the upstream that is still listed must be used, the one that leaves must not")
	}
}

// Guards against a fleet in which each gateway lists the store because it came back from an older copy: one
// that knew no more than another gets what has changed from that.
func TestANewEraIsPassedOnAsChanges(t *testing.T) {
	first, other, ahead := New(), New(), New()
	for _, d := range []*Directory{first, other, ahead} {
		d.Apply("lost", pos(20), ready("lost"), at(0))
		d.Apply("stays", pos(5), ready("stays"), at(0))
		d.AdvanceTo(pos(21))
	}
	ahead.Apply("unheard", pos(21), ready("unheard"), at(0))
	ahead.AdvanceTo(pos(22))
	listEra2(first, at(0), 10, listed{5, ready("stays")})
	first.Apply("new", in2(10), ready("new"), at(time.Second))
	first.AdvanceTo(in2(11))
	update := first.UpdateSince(other.Next(), at(time.Second))
	if update.Complete || len(update.Records) != 2 {
		t.Fatalf("want the two changes: %+v", update)
	}
	other.ApplyUpdate(update, at(time.Second))
	other.Expire(at(1500*time.Millisecond), at(0))
	if other.Next() != first.Next() || !usable(other, "new", at(1500*time.Millisecond)) || !usable(other, "lost", at(1500*time.Millisecond)) {
		t.Errorf("known up to %v, want %v; new and lost must be usable", other.Next(), first.Next())
	}
	other.Expire(at(2100*time.Millisecond), at(0))
	if usable(other, "lost", at(2100*time.Millisecond)) || !usable(other, "stays", at(2100*time.Millisecond)) {
		t.Error("lost is usable after the time in which it must be back, or stays is not")
	}
	if first.HasChangesSince(ahead.Next()) {
		t.Error("a gateway that knew more gets only the changes")
	}
	ahead.ApplyUpdate(update, at(time.Second))
	if ahead.Next() != pos(22) {
		t.Errorf("a gateway that knew more took the changes, and knows all up to %v", ahead.Next())
	}
}

// Guards against a gateway that never hears of an upstream, or of a drop: what a record of the new era says was
// known to the gateway that passes it on, but not to one that has started since.
func TestWhatIsNewInTheLogIsPassedOnThoughItWasKnown(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(*Directory)
		copied []listed
		write  *Upstream
		usable bool
	}{
		{"lost, and written again at the same offset", func(d *Directory) { d.Apply("u", pos(10), ready("u"), at(0)) }, nil, ready("u"), true},
		{"gone, in the copy, and dropped again", func(d *Directory) {
			d.Apply("u", pos(5), ready("u"), at(0))
			d.Apply("u", pos(11), nil, at(0))
		}, []listed{{5, ready("u")}}, nil, false},
		{"leaving, ready in the copy, and leaving again", func(d *Directory) {
			d.Apply("u", pos(5), ready("u"), at(0))
			d.Apply("u", pos(11), leavingOf("u"), at(0))
		}, []listed{{5, ready("u")}}, leavingOf("u"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			lived, started := New(), New()
			c.before(lived)
			lived.AdvanceTo(pos(12))
			for _, d := range []*Directory{lived, started} {
				listEra2(d, at(0), 10, c.copied...)
			}
			lived.Apply("u", in2(10), c.write, at(3*time.Second))
			lived.AdvanceTo(in2(11))
			started.ApplyUpdate(lived.UpdateSince(started.Next(), at(3*time.Second)), at(3*time.Second))
			if got := usable(started, "u", at(4*time.Second)); got != c.usable || started.Next() != in2(11) {
				t.Errorf("usable: %v, known up to %v", got, started.Next())
			}
		})
	}
}

// Guards against an upstream that gets nothing for seconds after it was back: it had lapsed, and the gateway that
// listed late took its new record for one of the copy, as its offset had been read before.
func TestWhereTheCopyEndsTellsWhatIsNew(t *testing.T) {
	early, late := New(), New()
	for _, d := range []*Directory{early, late} {
		d.UseRenewal(1200 * time.Millisecond)
		d.Apply("u", pos(5), ready("u"), at(0))
		d.Apply("u", pos(11), nil, at(0))
		d.AdvanceTo(pos(12))
	}
	listEra2(early, at(0), 2)
	early.Apply("u", in2(2), ready("u"), at(100*time.Millisecond))
	early.AdvanceTo(in2(3))
	listEra2(late, at(200*time.Millisecond), 3, listed{2, ready("u")})
	if !usable(early, "u", at(time.Second)) || usable(late, "u", at(time.Second)) {
		t.Fatal("the first to list must use it, the other must be in doubt")
	}
	early.ApplyUpdate(late.UpdateSince(early.Next(), at(time.Second)), at(time.Second))
	if !usable(early, "u", at(time.Second)) {
		t.Error("a gateway that knows where the copy ends is led astray")
	}
	if !late.LowerCopyEnd(early.CopyEnd(at(time.Second)), at(time.Second)) || !usable(late, "u", at(time.Second)) {
		t.Error("not used after it was heard where the copy ends")
	}
	if !early.CopyEnd(at(time.Minute)).IsZero() {
		t.Error("it is passed on for ever")
	}
}

// Guards against an upstream that counts as kept against a copy though the store never came back: its gateways would
// send all entries to each other for nothing.
func TestALeavingUpstreamIsNotKeptInOneEra(t *testing.T) {
	d := New()
	d.Apply("u", pos(20), leavingOf("u"), at(0))
	d.Apply("u", pos(21), ready("u"), at(0))
	if usable(d, "u", at(0)) || d.KeptEntries() != 0 {
		t.Errorf("usable: %v, %d entries are kept", usable(d, "u", at(0)), d.KeptEntries())
	}
}

// Guards against an upstream that stays out of use, because a gateway that did not say what the copy has of it keeps its
// entry, which the store still lists.
func TestAKeptEntryWithoutItsRecordGivesWay(t *testing.T) {
	d := New()
	d.UseRenewal(1200 * time.Millisecond)
	d.ApplyUpdate(Update{UpTo: in2(30), Complete: true, Records: []Record{{Name: "u", At: in2(20).Kept()}}}, at(0))
	listEra2(d, at(0), 30, listed{20, ready("u")})
	if usable(d, "u", at(0)) || d.KeptEntries() != 1 {
		t.Errorf("usable: %v, %d entries are kept", usable(d, "u", at(0)), d.KeptEntries())
	}
	d.Expire(at(6*time.Second), at(6*time.Second))
	if !usable(d, "u", at(6*time.Second)) {
		t.Error("not usable though the store still lists it")
	}
}
