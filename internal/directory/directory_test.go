package directory

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

func init() { testkit.FixSeed() }

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func ready(id string) *Upstream {
	return &Upstream{ID: ident.Instance(id), Service: "svc", Address: "10.0.0.1:80", FailureDomain: "hall-a", Slots: 8, State: Ready}
}

func leavingOf(id string) *Upstream {
	u := ready(id)
	u.State = Leaving
	return u
}

// usable returns whether a view lets new work go to an upstream.
func usable(d *Directory, id string, now time.Time) bool {
	u, known := d.Snapshot(now).Upstream(ident.Instance(id))
	return known && u.State == Ready
}

// Symptom: a departed upstream gets work again, or gateways differ for good.
// Sequence: the same records, by the store and by other gateways, in any order
// and more than once. Cause: a view that takes whatever comes last.
func TestRecordsJoinInAnyOrder(t *testing.T) {
	type step struct {
		id       string
		offset   ident.Offset
		upstream *Upstream
	}
	rapid.Check(t, func(t *rapid.T) {
		var steps []step
		for offset := range rapid.IntRange(1, 12).Draw(t, "records") {
			id := fmt.Sprint("u", rapid.IntRange(0, 2).Draw(t, "id"))
			s := step{id: id, offset: ident.Offset(offset)}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				s.upstream = ready(id)
			case 1:
				s.upstream = leavingOf(id)
			}
			steps = append(steps, s)
		}
		apply := func(order []step) map[ident.Instance]bool {
			d := New()
			for _, s := range order {
				d.Apply(ident.Instance(s.id), s.offset, s.upstream, start)
			}
			got := make(map[ident.Instance]bool)
			for _, r := range d.News(0, start).Records {
				got[r.ID] = r.Upstream != nil
			}
			return got
		}
		want := apply(steps)
		shuffled := rapid.Permutation(append(steps, steps...)).Draw(t, "order")
		if diff := cmp.Diff(want, apply(shuffled)); diff != "" {
			t.Fatal(diff)
		}
	})
}

func TestStories(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(d *Directory)
		now  time.Duration
		want bool
	}{
		// Symptom: work is sent to an upstream 2.1 s after it left. Sequence: a
		// gateway hears from the store again; three seconds later an upstream
		// leaves without a word. Cause: the drop was taken for an entry that
		// lapsed because of the outage, and got the outage's grace.
		{"leaves some seconds after an outage", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.StoreAway()
			d.StoreBack(at(time.Second))
			d.Apply("u", 2, nil, at(4*time.Second))
		}, 4100 * time.Millisecond, false},
		// Symptom: no upstream is left when the store comes back. Sequence: the
		// store is away for longer than entries live. Cause: lapsed entries are
		// taken for departures.
		{"lapses while the store is away", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.StoreAway()
			d.StoreBack(at(5 * time.Second))
			d.Apply("u", 2, nil, at(5*time.Second))
		}, 6 * time.Second, true},
		{"lapsed and did not come back", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.StoreAway()
			d.StoreBack(at(5 * time.Second))
			d.Apply("u", 2, nil, at(5*time.Second))
		}, 7100 * time.Millisecond, false},
		{"leaves", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.Apply("u", 2, leavingOf("u"), at(time.Second))
		}, 2 * time.Second, false},
		{"was leaving when the store went away", func(d *Directory) {
			d.Apply("u", 1, leavingOf("u"), at(0))
			d.StoreAway()
			d.Apply("u", 2, nil, at(time.Second))
		}, 1100 * time.Millisecond, false},
		// Symptom: requests reach an upstream 3 s after it left. Sequence: a gateway
		// alone does not hear from the store for a while, and then hears of the
		// departure from another one. Cause: the drop was taken for an entry that
		// lapsed in an outage.
		{"leaves while this gateway alone is away from the store", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.StoreAway()
			d.Take(News{Records: []Record{{ID: "u", Offset: 2}}, UpTo: 3}, at(2*time.Second))
		}, 2100 * time.Millisecond, false},
		// Symptom and cause: as above. Sequence: the gateway hears late that the store
		// confirmed the others' views, and then reads the departure itself.
		{"leaves after the store was back for the others", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.StoreAway()
			d.StoreBack(at(time.Second))
			d.Apply("u", 2, nil, at(3100*time.Millisecond))
		}, 3200 * time.Millisecond, false},
		// Symptom: no upstream is left when the store comes back. Sequence: another
		// gateway hears first that the entries lapsed, and tells this one. Cause: its
		// word is taken for departures.
		{"lapsed while the store was away for all", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.StoreAway()
			d.Take(News{Records: []Record{{ID: "u", Offset: 2, Usable: 1500 * time.Millisecond}}, UpTo: 3}, at(5*time.Second))
			d.StoreBack(at(5100 * time.Millisecond))
		}, 6 * time.Second, true},
		{"lapsed for all, and its grace has ended", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.StoreAway()
			d.Take(News{Records: []Record{{ID: "u", Offset: 2, Usable: 1500 * time.Millisecond}}, UpTo: 3}, at(5*time.Second))
			d.StoreBack(at(5100 * time.Millisecond))
		}, 6600 * time.Millisecond, false},
		{"is not in a complete listing", func(d *Directory) {
			d.Apply("u", 1, ready("u"), at(0))
			d.Listed(map[ident.Instance]bool{}, 5, at(time.Second))
		}, time.Second, false},
		{"is newer than a listing", func(d *Directory) {
			d.Apply("u", 7, ready("u"), at(0))
			d.Listed(map[ident.Instance]bool{}, 5, at(time.Second))
		}, time.Second, true},
		{"an older record comes late", func(d *Directory) {
			d.Apply("u", 3, leavingOf("u"), at(0))
			d.Apply("u", 2, ready("u"), at(time.Second))
		}, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New()
			c.play(d)
			d.Expire(at(c.now))
			if got := usable(d, "u", at(c.now)); got != c.want {
				t.Errorf("usable: %v, want %v", got, c.want)
			}
		})
	}
}

// Symptom: requests reach an upstream 2.3 s after it left, by one gateway of six.
// Sequence: an entry is dropped; a gateway that has just started lists the store, and
// tells this one all that is newer than what this one knows. Cause: the listing has
// no trace of the drop, and this gateway took over the offset that goes with it.
func TestADropBeforeAnotherGatewaysListing(t *testing.T) {
	here, started := New(), New()
	for _, d := range []*Directory{here, started} {
		d.Apply("stays", 2, ready("stays"), at(0))
	}
	here.Apply("u", 1, ready("u"), at(0))
	here.Reached(3)
	started.Apply("new", 4, ready("new"), at(time.Second))
	started.Listed(map[ident.Instance]bool{"stays": true, "new": true}, 5, at(time.Second))
	here.Take(started.News(here.Next(), at(time.Second)), at(time.Second))
	for id, want := range map[string]bool{"u": false, "stays": true, "new": true} {
		if got := usable(here, id, at(1100*time.Millisecond)); got != want {
			t.Errorf("%s usable: %v, want %v", id, got, want)
		}
	}
	if here.Next() != 5 {
		t.Errorf("known up to %d", here.Next())
	}
}

// Symptom: the last of 99 gateways with 1,000 upstreams hears of a departure 1.3 s after
// it. Cause: each renewal of an entry is told to all. What is new must still be told,
// also of an entry that was renewed since.
func TestRenewalsAreNoNews(t *testing.T) {
	here, there := New(), New()
	for _, d := range []*Directory{here, there} {
		d.Apply("u", 1, ready("u"), at(0))
		d.Reached(2)
	}
	there.Apply("u", 2, ready("u"), at(time.Second))
	there.Apply("v", 3, ready("v"), at(time.Second))
	there.Apply("v", 4, ready("v"), at(time.Second))
	there.Reached(5)
	news := there.News(here.Next(), at(time.Second))
	if len(news.Records) != 1 || news.Records[0].ID != "v" || news.UpTo != 5 || news.Complete {
		t.Fatalf("news: %+v", news)
	}
	here.Take(news, at(time.Second))
	there.Apply("u", 5, leavingOf("u"), at(2*time.Second))
	there.Apply("u", 6, leavingOf("u"), at(2*time.Second))
	there.Apply("v", 7, nil, at(2*time.Second))
	there.Reached(8)
	here.Take(there.News(here.Next(), at(2*time.Second)), at(2*time.Second))
	if usable(here, "u", at(3*time.Second)) || usable(here, "v", at(3*time.Second)) {
		t.Error("upstreams that left are usable")
	}
}

// Symptom and cause: as above. Sequence: the other gateway has forgotten a drop that
// is a minute old, and this one was cut off for longer.
func TestADropThatAnotherGatewayHasForgotten(t *testing.T) {
	here, there := New(), New()
	for _, d := range []*Directory{here, there} {
		d.Apply("u", 1, ready("u"), at(0))
		d.Reached(2)
	}
	there.Apply("u", 2, nil, at(time.Second))
	there.Reached(3)
	there.Expire(at(2*time.Second + dropRetention))
	here.Take(there.News(here.Next(), at(2*time.Second+dropRetention)), at(2*time.Second+dropRetention))
	if usable(here, "u", at(3*time.Second+dropRetention)) {
		t.Error("usable")
	}
}

func TestDroppedEntriesAreForgotten(t *testing.T) {
	d := New()
	d.Apply("u", 1, ready("u"), at(0))
	d.Apply("u", 2, nil, at(time.Second))
	d.Expire(at(time.Second + dropRetention + 1))
	if n := len(d.entries); n != 0 {
		t.Errorf("%d entries are left", n)
	}
}
