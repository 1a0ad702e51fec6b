package placement

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
)

// Guards against three times as many tokens being read as callers ask for while there are
// too few engines: a stream without a first event is abandoned after half of its objective
// and sent to another engine, behind another queue, where its prompt's shared parts are read
// again. The time after which an attempt is slow must include the queue, here two seconds at
// every engine.
func TestSilenceTimeoutCountsTheQueue(t *testing.T) {
	f := newFixture()
	slow := func() time.Duration {
		choice, found := f.Choose(f.call(engine, 7), nil, f.now)
		if !found {
			t.Fatal("no upstream")
		}
		f.Finished(choice, forward.CallerGone, f.now)
		return choice.SilenceTimeout
	}
	for range minSamples {
		f.choose(t, f.call(engine, 7), forward.Done)
	}
	if got := slow(); got > route.Objective {
		t.Errorf("an attempt at an idle engine is slow after %v, want at most the objective", got)
	}
	f.setUpstreams(directory.Ready, "a0", "b0")
	f.setOtherLoads(Load{UnreadTokens: 200_000})
	if got := slow(); got < 2*time.Second {
		t.Errorf("an attempt behind a queue of two seconds is slow after %v, want at least 2s", got)
	}
}
