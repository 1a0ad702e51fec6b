package forward

import (
	"testing"
	"time"
)

// acceptingCaller is a caller that takes all parts.
type acceptingCaller struct{ Caller }

func (acceptingCaller) Part([]byte) error { return nil }

// Guards against a stream that stands still for a second without a trace of it: its first
// event came in time, and it took no longer than others.
func TestTheLongestPauseOfAStreamIsKnown(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &session{f: &Forwarder{cfg: Config{Now: func() time.Time { return now }}}, caller: acceptingCaller{}, answerBegan: true, lastPartAt: now}
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
