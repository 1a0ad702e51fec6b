package entry

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/directory"
)

// Guards against the crash of an upstream that counts as its planned end because its entry is dropped before the gateway
// asks, and against a planned end that counts as a crash.
func TestWhichEndsOfUpstreamsThatAreNotListedAreEarly(t *testing.T) {
	now := time.Unix(1000, 0)
	d := newDepartures(func() time.Time { return now }, 2*time.Second)
	ready, leaving := directory.Upstream{ID: "a", Service: "svc", State: directory.Ready}, directory.Upstream{ID: "b", Service: "svc", State: directory.Leaving}
	d.Observe(directory.NewView([]directory.Upstream{ready, leaving}), 0)
	if d.EndedEarly("a") {
		t.Error("one that is listed counts as gone")
	}
	d.Observe(directory.NewView(nil), 0)
	if !d.EndedEarly("a") || d.EndedEarly("b") || d.EndedEarly("c") {
		t.Errorf("early at once: ready %v, leaving %v, never listed %v; want true, false, false", d.EndedEarly("a"), d.EndedEarly("b"), d.EndedEarly("c"))
	}
	now = now.Add(2*time.Second - departureLag)
	if d.EndedEarly("a") {
		t.Error("an end that may be planned counts as early")
	}
	now = now.Add(departuresKeptFor)
	d.Observe(directory.NewView(nil), 0)
	if len(d.goneAt) > 0 {
		t.Errorf("%d departures are remembered for ever", len(d.goneAt))
	}
}
