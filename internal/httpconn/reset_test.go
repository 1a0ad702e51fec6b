package httpconn

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/boottime"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/worker"
	"github.com/goldcrestspool/goldcrestspool/internal/testkit"
)

// Guards against an order that is executed 5.6 s after its sender abandoned it,
// although a newer order of another sender was executed meanwhile, and against a
// request that starts to run long after its caller was answered. A link is cut;
// an exchange over it is begun and abandoned; the link works again. After an
// orderly close, the kernel keeps retransmitting the unsent data. With an orderly
// close in conn.reset, the request runs and this test fails, which shows that the
// relay reproduces the fault.
func TestAnAbandonedExchangeNeverArrivesLater(t *testing.T) {
	for _, c := range []struct {
		name string
		// reused: the connection was already used before the link was cut.
		reused bool
	}{{"over a new connection", false}, {"over a kept connection", true}} {
		t.Run(c.name, func(t *testing.T) {
			w := worker.New(t, "u")
			relay := testkit.NewRelay(t, "http://"+w.Address())
			pool := NewPool(boottime.Now)
			target := Target{ID: "u", Address: relay.Address(), DefaultIdleTime: time.Minute}
			if c.reused {
				answer, failure := pool.Send(t.Context(), target, request("before", ""))
				if failure != nil {
					t.Fatal(failure)
				}
				if _, err := io.ReadAll(answer); err != nil {
					t.Fatal(err)
				}
				answer.Close()
			}
			relay.Hold(true)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if _, failure := pool.Send(ctx, target, request("order", "body")); failure == nil {
				t.Fatal("an answer came over a cut link")
			}
			relay.Hold(false)
			<-time.After(100 * time.Millisecond)
			if n := w.RunCount("order"); n != 0 {
				t.Errorf("the order arrived %d times after it was abandoned", n)
			}
		})
	}
}
