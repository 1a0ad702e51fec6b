package ident

import (
	"encoding/json"
	"math"
	"strconv"
	"testing"
)

// Guards against a record of the log that came back from an older copy that counts as older than what was read
// before, because its offset is lower.
func TestPositionsAreOrderedByEraFirst(t *testing.T) {
	ordered := []Position{
		{}, NewPosition(0, 0), NewPosition(0, 7), NewPosition(1, 0).Previous(), NewPosition(1, 0), NewPosition(1, 37),
		NewPosition(2, 3), NewPosition(2, 3).Kept(), NewPosition(2, 4), NewPosition(2, 37), NewPosition(3, 0),
	}
	for i, p := range ordered {
		for j, q := range ordered {
			if p.Before(q) != (i < j) || p.After(q) != (i > j) || p.Equal(q) != (i == j) {
				t.Errorf("%v and %v: %d", p, q, p.Compare(q))
			}
		}
	}
}

// Guards against a position that is logged as another one.
func TestPositionsHaveTheirText(t *testing.T) {
	for want, p := range map[string]Position{
		"none": {}, "0/0": NewPosition(0, 0), "0/7": NewPosition(0, 7), "1/": NewPosition(1, 0).Previous(), "1/0": NewPosition(1, 0),
		"2/3": NewPosition(2, 3), "2/3+": NewPosition(2, 3).Kept(), "3/18446744073709551614": NewPosition(3, math.MaxUint64-1),
	} {
		if text, err := json.Marshal(p); err != nil || string(text) != strconv.Quote(want) {
			t.Errorf("position %s is logged as %s, error %v", want, text, err)
		}
	}
}

// Guards against a fencing number that a later holder uses too, or a lower one, because the claim's offset was
// given out again.
func TestFencesRiseWithTheEra(t *testing.T) {
	last := Fence(0)
	for _, at := range []Position{NewPosition(0, 0), NewPosition(0, 99), NewPosition(1, 0), NewPosition(1, 1<<32-2), NewPosition(2, 0), NewPosition(2, 5), NewPosition(1<<32-1, 5)} {
		if fence := at.Fence(); fence <= last {
			t.Errorf("claim at %v has the fencing number %d after %d", at, fence, last)
		} else {
			last = fence
		}
	}
	for _, at := range []Position{NewPosition(1, 1<<32-1), NewPosition(1<<32, 5), NewPosition(math.MaxUint64, 0)} {
		if fence := at.Fence(); fence != 0 {
			t.Errorf("claim at %v has the fencing number %d, which another one may have", at, fence)
		}
	}
}
