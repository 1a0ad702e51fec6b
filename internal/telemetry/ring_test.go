package telemetry

import (
	"strings"
	"sync"
	"testing"
)

// stuck is a standard output that nobody reads until it is freed.
type stuck struct {
	free chan struct{}
	mu   sync.Mutex
	got  int
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	s.got += strings.Count(string(p), "\n")
	return len(p), nil
}

// Symptom: requests hang because standard output is stuck. Sequence: nobody reads
// it, and lines go on coming. Cause: a log that blocks.
func TestAStuckOutputBlocksNobodyAndLosesCountedLines(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	ring := NewRing(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxPendingBytes / 1024
	for range lines {
		if n, err := ring.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d, error %v", n, err)
		}
	}
	taken, dropped := ring.Counts()
	// One ring full waits, and at the most one is with the stuck writer.
	const full = maxPendingBytes / 1024
	if taken+dropped != lines || taken < full || taken > 2*full {
		t.Errorf("%d taken, %d dropped of %d, want %d to %d taken", taken, dropped, lines, full, 2*full)
	}
	close(out.free)
	ring.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	if int64(out.got) != taken {
		t.Errorf("%d lines written, %d taken", out.got, taken)
	}
}
