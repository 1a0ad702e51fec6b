package crowd

import (
	"testing"
	"time"
)

const (
	// Stays is how long a crowd presses before the ordinary caller comes.
	Stays = 2 * time.Second
	// OrdinaryTries is how often the ordinary caller sends its request, as callers do that are told to come
	// back, and StartTries how often until the process has started and knows its upstreams.
	OrdinaryTries = 5
	StartTries    = 40
	// triesPause is the pause between two tries.
	triesPause = 250 * time.Millisecond
)

// Ask lets an ordinary caller send a request until it is answered, as a caller does that is refused or not heard.
// ask sends it once, and returns whether it was answered and what the caller heard.
func Ask(t testing.TB, when string, tries int, ask func(try int) (answered bool, heard string)) {
	t.Helper()
	var last string
	for try := range tries {
		answered, heard := ask(try)
		if answered {
			t.Logf("%s: answered at try %d", when, try+1)
			return
		}
		last = heard
		time.Sleep(triesPause)
	}
	t.Errorf("%s: an ordinary request was not answered in %d tries, at last %s", when, tries, last)
}

// Check fails the test if the process held more than its machine has.
func (h Held) Check(t testing.TB, memoryMiB int64, descriptors int) {
	t.Helper()
	sum := h.Resident + h.Unread
	t.Logf("most: resident and unread %.1f MiB, of it unread %.1f; %d descriptors", float64(sum)/(1<<20), float64(h.Unread)/(1<<20), h.Descriptors)
	if sum > memoryMiB<<20 {
		t.Errorf("the process held %d MiB, its machine has %d", sum>>20, memoryMiB)
	}
	if h.Descriptors > descriptors {
		t.Errorf("the process held %d descriptors, its machine has %d", h.Descriptors, descriptors)
	}
}
