package waiting

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against waits that no operator sees.
func TestMetrics(t *testing.T) {
	inRoom(t, newFewPlaces(1, "u"), func(f *roomFixture) {
		finish := f.fill("first")
		f.take(f.t.Context(), newCall("granted", "a"))
		f.take(f.t.Context(), newCall("refused", "a"))
		time.Sleep(10 * time.Millisecond)
		finish()
		var text strings.Builder
		f.WriteMetrics(&text)
		time.Sleep(longestWait)
		synctest.Wait()
		f.WriteMetrics(&text)
		for _, want := range []string{
			`calls_waiting{service="svc"} 1`, `calls_waiting{service="svc"} 0`, `waits_refused_total{service="svc",reason="no place within the wait"} 1`,
			`wait_granted_seconds_bucket{service="svc",le="0.005"} 0`, `wait_granted_seconds_bucket{service="svc",le="0.02"} 1`, `wait_granted_seconds_count{service="svc"} 1`,
		} {
			if !strings.Contains(text.String(), want+"\n") {
				t.Errorf("metrics lack %s:\n%s", want, text.String())
			}
		}
	})
}
