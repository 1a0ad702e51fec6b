package waiting

import (
	"testing"
	"time"
)

// Guards against a call of a route with a long objective that is passed over in its queue and still waits.
func TestALongObjectiveMakesNoLongWait(t *testing.T) {
	inRoom(t, newFewPlaces(0, "u"), func(f *roomFixture) {
		route := *testRoute
		route.Objective = 2 * WaitDivisor * DefaultMaxWait
		call := newCall("waits", "a")
		call.Route, call.Expires = &route, call.Received.Add(route.Objective)
		f.take(f.t.Context(), call)
		time.Sleep(DefaultMaxWait)
		f.wantRefused("waits", DefaultMaxWait, 0)
	})
}
