package returntime

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// TestBookSpreads: callers that are refused together do not return together.
//
// Symptom: load comes in waves, each refused like the one before. Sequence: a
// burst is refused at one moment. Cause: all are told the same time.
func TestBookSpreads(t *testing.T) {
	const callers, gap = 1000, 10 * time.Millisecond
	now := time.Unix(1000, 0)
	var s Schedule
	perGap := map[time.Duration]int{}
	for i := range callers {
		after := s.Book(now, time.Second, gap, ident.Request(fmt.Sprint(i)))
		if after < time.Second {
			t.Fatalf("caller %d returns after %v, before the backlog has drained", i, after)
		}
		perGap[after/gap]++
	}
	for slot, n := range perGap {
		if n > 2 {
			t.Errorf("%d callers return within one gap, at %v", n, slot*gap)
		}
	}
	if after := s.Book(now, 0, 0, "next"); after != time.Second+callers*gap {
		t.Errorf("the next one returns after %v", after)
	}
	if after := s.Book(now.Add(time.Hour), 0, 0, "late"); after != Min {
		t.Errorf("one an hour later returns after %v", after)
	}
}

// TestBounds: no return time is outside the bounds, however long the rush.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Schedule
	for i := range 1000 {
		after := s.Book(now, -time.Hour, time.Minute, ident.Request(fmt.Sprint(i)))
		if after < Min || after > Max {
			t.Fatalf("return time %v", after)
		}
	}
	if d := Spread(time.Hour, "x"); d != Max {
		t.Errorf("spread %v, want %v", d, Max)
	}
}

// TestSpread: the time depends on the request ID alone and fills its range.
func TestSpread(t *testing.T) {
	const base = 10 * time.Second
	var quarters [4]int
	for i := range 1000 {
		id := ident.Request(fmt.Sprint("request-", i))
		d := Spread(base, id)
		if d != Spread(base, id) {
			t.Fatal("two times for one request")
		}
		quarters[min(int(4*(d-base)/(base/2)), 3)]++
	}
	for i, n := range quarters {
		if n < 200 || n > 300 {
			t.Errorf("quarter %d of the range holds %d of 1000", i, n)
		}
	}
}
