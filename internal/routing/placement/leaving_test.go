package placement

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
	"github.com/goldcrestspool/goldcrestspool/internal/forward"
	"github.com/goldcrestspool/goldcrestspool/internal/routetable"
)

// Guards against calls that wait where all upstreams leave, and against a return time that is
// earlier than a replacement can have started.
func TestWhereAllUpstreamsLeaveCallsReturnWhenAReplacementHasStarted(t *testing.T) {
	f := newFixture()
	service := &routetable.Service{Name: "svc", Scale: &routetable.Scale{Startup: 4 * time.Second}}
	call := f.call(service, 0)
	f.setUpstreams(directory.Leaving, "a0", "b0")
	choice, found := f.Choose(call, nil, f.now)
	if found || choice.Blocked != forward.BlockedByLeaving || !choice.BlockedUntil.IsZero() {
		t.Fatalf("found %t, blocked by %d until %v", found, choice.Blocked, choice.BlockedUntil)
	}
	for _, elapsed := range []time.Duration{0, time.Second, 3 * time.Second, 5 * time.Second} {
		if got, want := f.RetryAfter(call, f.now.Add(elapsed)), max(0, 4*time.Second-elapsed); got != want {
			t.Errorf("%v after the last one left: return after %v, want %v", elapsed, got, want)
		}
	}
	f.setUpstreams(directory.Ready, "c0")
	if _, found := f.Choose(call, nil, f.now); !found || f.RetryAfter(call, f.now) != 0 {
		t.Error("the replacement is not used")
	}
	f.now = f.now.Add(time.Minute)
	f.setUpstreams(directory.Leaving, "c0")
	f.Choose(call, nil, f.now)
	if got := f.RetryAfter(call, f.now); got != 4*time.Second {
		t.Errorf("the next time: return after %v", got)
	}
	f.setUpstreams(directory.Ready)
	if choice, _ := f.Choose(call, nil, f.now); choice.Blocked != 0 {
		t.Error("none known is not the same as all leave")
	}
}
