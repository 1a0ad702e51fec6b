package placement

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
)

// Symptom: engines are short, and read three times as much as callers ask. Sequence: all
// queues grow; a stream without a first event for half of its objective is given up and
// sent to another engine, behind another queue, where its prompt's shared parts are read
// again. Cause: patience that counts the reading of the own prompt only. The load is two
// seconds of queue at every engine.
func TestPatienceCountsTheQueue(t *testing.T) {
	f := newFixture()
	slow := func() time.Duration {
		choice, found := f.Choose(f.call(engine, 7), nil, f.now)
		if !found {
			t.Fatal("no upstream")
		}
		f.Finished(choice, forward.CallerGone, f.now)
		return choice.Slow
	}
	for range minSamples {
		f.choose(t, f.call(engine, 7), forward.Done)
	}
	if got := slow(); got > route.Objective {
		t.Errorf("waits %v for an idle engine", got)
	}
	f.see(directory.Ready, "a0", "b0")
	f.queue(Load{Unread: 200_000})
	if got := slow(); got < 2*time.Second {
		t.Errorf("waits only %v behind two seconds of queue", got)
	}
}
