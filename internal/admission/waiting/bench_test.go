package waiting

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// BenchmarkWake measures a wake of a full queue of 100 accounts that finds a place for one call.
func BenchmarkWake(b *testing.B) {
	places := newFewPlaces(0, "u")
	room := NewRoom(RoomConfig{Now: time.Now, Placement: places, Log: hclog.NewNullLogger()})
	q := room.queueOf("svc")
	add := func(i int) {
		call := newCall("c", ident.ClientAccount(fmt.Sprint(i%100)))
		call.Received = call.Received.Add(time.Hour)
		w := room.newWaiter(call, nil)
		w.LatestStart = time.Time{}
		q.order.Add(w, time.Now())
	}
	for i := range DefaultMaxWaiters {
		add(i)
	}
	for i := range b.N {
		places.free["u"] = 1
		q.wake()
		add(i)
	}
}
