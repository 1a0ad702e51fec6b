package waiting

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Guards against accounts that are charged by calls, or by the size that they declare, in place of the time
// for which they hold slots.
func TestCost(t *testing.T) {
	const reading = 200 * time.Millisecond
	route := &routetable.Route{Name: "r", Objective: time.Second}
	call := func(maxTokens int) *forward.Call { return &forward.Call{Route: route, MaxTokens: maxTokens} }
	var c costs
	if got := c.of(call(100), reading); got != 1.2 {
		t.Errorf("cost %v s before any answer, want the objective and the time to read the prompt", got)
	}
	for range 300 {
		c.learn(call(100), reading+400*time.Millisecond, reading)
	}
	for _, test := range []struct {
		maxTokens int
		reading   time.Duration
		want      float64
	}{{100, 0, 0.4}, {50, reading, 0.4}, {200, reading, 1}, {100_000, reading, 1}, {0, 0, 0.4}} {
		if got := c.of(call(test.maxTokens), test.reading); got < test.want-1e-6 || got > test.want+1e-6 {
			t.Errorf("cost %v s of an answer of at most %d tokens, want %v", got, test.maxTokens, test.want)
		}
	}
	c.keep(func(string) bool { return false })
	if got := c.of(call(100), 0); got != 1 {
		t.Errorf("cost %v s of a route that was removed, want the objective", got)
	}
}
