package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/httpconn"
)

// Symptom: the usage of a window is off by 13 in a hundred. Sequence: half of the
// upstreams run requests and reset the connection instead of answering. Cause: only
// runs that were answered are counted.
func TestRunsThatWereNotAnsweredCount(t *testing.T) {
	for _, c := range []struct {
		name    string
		failure httpconn.Failure
		took    time.Duration
		want    bool
	}{
		{"reset while it ran", httpconn.Failure{Sent: true, Err: errors.New("connection reset")}, 40 * time.Millisecond, true},
		{"an idle connection had been dropped", httpconn.Failure{Sent: true, Reused: true, Err: errors.New("connection reset")}, 2 * time.Millisecond, false},
		{"silent", httpconn.Failure{Sent: true, Err: errSlow}, time.Second, false},
		{"silent until its time was over", httpconn.Failure{Sent: true, Err: errExpired}, time.Second, false},
		{"no connection", httpconn.Failure{Err: errors.New("refused")}, 300 * time.Millisecond, false},
	} {
		if got := probablyBegan(&c.failure, c.took); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
