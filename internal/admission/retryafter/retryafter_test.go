package retryafter

import (
	"fmt"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// TestBookSpreads checks that callers that are refused together don't retry
// together.
//
// It guards against callers that retry together and are refused together again
// and again. That happens if all requests of a burst are given the same
// retry-after time.
func TestBookSpreads(t *testing.T) {
	const callers, gap = 1000, 10 * time.Millisecond
	now := time.Unix(1000, 0)
	var s Schedule
	perGap := map[time.Duration]int{}
	for i := range callers {
		after := s.Book(now, time.Second, gap, ident.Request(fmt.Sprint(i)))
		if after < time.Second {
			t.Fatalf("caller %d retries after %v, before the backlog has drained", i, after)
		}
		perGap[after/gap]++
	}
	for gapIndex, n := range perGap {
		if n > 2 {
			t.Errorf("%d callers retry within one gap, at %v, want at most 2", n, gapIndex*gap)
		}
	}
	if after := s.Book(now, 0, 0, "next"); after != time.Second+callers*gap {
		t.Errorf("the next caller retries after %v, want %v", after, time.Second+callers*gap)
	}
	if after := s.Book(now.Add(time.Hour), 0, 0, "late"); after != Min {
		t.Errorf("a caller refused an hour later retries after %v, want %v", after, Min)
	}
}

// TestBounds checks that no retry-after time is outside the bounds, however long
// the overload lasts.
func TestBounds(t *testing.T) {
	now := time.Unix(1000, 0)
	var s Schedule
	for i := range 1000 {
		after := s.Book(now, -time.Hour, time.Minute, ident.Request(fmt.Sprint(i)))
		if after < Min || after > Max {
			t.Fatalf("retry-after time %v, want between %v and %v", after, Min, Max)
		}
	}
	if d := Spread(time.Hour, "x"); d != Max {
		t.Errorf("Spread of an hour returned %v, want %v", d, Max)
	}
}

// TestSpread checks that the time depends on the base and the request ID alone,
// and that the times of many requests are spread evenly over the range.
func TestSpread(t *testing.T) {
	const base = 10 * time.Second
	var quarters [4]int
	for i := range 1000 {
		id := ident.Request(fmt.Sprint("request-", i))
		d := Spread(base, id)
		if d != Spread(base, id) {
			t.Fatalf("Spread returned two different times for request %s", id)
		}
		quarters[min(int(4*(d-base)/(base/2)), 3)]++
	}
	for i, n := range quarters {
		if n < 200 || n > 300 {
			t.Errorf("quarter %d of the range holds %d of 1000 times, want 200 to 300", i, n)
		}
	}
}
