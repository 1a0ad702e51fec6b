package logthrottle

import (
	"testing"
	"time"
)

// Guards against log lines that are written more often than once per interval, and against held-back
// ones that no later line tells of.
func TestOneLinePassesPerInterval(t *testing.T) {
	var throttle Throttle
	now := time.Unix(1000, 0)
	passed, told := 0, 0
	for range 100 {
		if held, ok := throttle.Pass(now, time.Second); ok {
			passed++
			told += held
		}
		now = now.Add(100 * time.Millisecond)
	}
	if passed != 10 || told != 9*9 {
		t.Errorf("%d lines passed and told of %d others, want 10 and 81", passed, told)
	}
}
