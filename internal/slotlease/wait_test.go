package slotlease

import (
	"testing"
	"time"
)

// Guards against a wait after which the call is late, also if its keeper is frozen, and against one that ends while
// the call could still be served in time.
func TestMaxWait(t *testing.T) {
	const objective = 800 * time.Millisecond
	for work, want := range map[time.Duration]time.Duration{
		0: 100 * time.Millisecond, 60 * time.Millisecond: 400 * time.Millisecond, 300 * time.Millisecond: 200 * time.Millisecond, time.Second: 100 * time.Millisecond,
	} {
		if got := MaxWait(objective, work); got != want {
			t.Errorf("requests of %v: a wait of %v, want %v", work, got, want)
		}
	}
}
