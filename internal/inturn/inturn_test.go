package inturn

import (
	"slices"
	"testing"
)

// Guards against items that no turn selects, and against more items than a message holds.
func TestAllItemsAreSelectedInSomeTurns(t *testing.T) {
	items := []int{0, 1, 2, 3, 4, 5, 6}
	for maxCount := 1; maxCount <= len(items)+1; maxCount++ {
		var selected []int
		turns := (len(items) + maxCount - 1) / maxCount
		for turn := range turns {
			part := Select(items, maxCount, turn)
			if len(part) > maxCount {
				t.Errorf("%d items, at most %d wanted", len(part), maxCount)
			}
			selected = append(selected, part...)
		}
		slices.Sort(selected)
		if got := slices.Compact(selected); !slices.Equal(got, items) {
			t.Errorf("%d at a time: %v selected in %d turns", maxCount, got, turns)
		}
	}
}
