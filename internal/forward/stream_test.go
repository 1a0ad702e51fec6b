package forward

import (
	"testing"
	"time"
)

// listener is a caller that takes all parts.
type listener struct{ Caller }

func (listener) Part([]byte) error { return nil }

// Guards against a stream that stands still for a second without a trace of it: its first
// event came in time, and it took no longer than others.
func TestTheLongestPauseOfAStreamIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &session{f: &Forwarder{cfg: Config{Now: func() time.Time { return now }}}, caller: listener{}, began: true, partAt: now}
	for _, pause := range []time.Duration{20 * time.Millisecond, 800 * time.Millisecond, 30 * time.Millisecond} {
		now = now.Add(pause)
		if !s.deliver(nil, []byte("data: x\n\n")) {
			t.Fatal("the caller has left")
		}
	}
	if got := s.outcome.LongestPause; got != 800*time.Millisecond {
		t.Errorf("the longest pause is %v", got)
	}
}
