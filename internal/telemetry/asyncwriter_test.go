package telemetry

import (
	"strings"
	"sync"
	"testing"
)

// stuckWriter blocks in Write until free is closed, and counts the lines it gets.
type stuckWriter struct {
	free  chan struct{}
	mu    sync.Mutex
	lines int
}

func (s *stuckWriter) Write(p []byte) (int, error) {
	<-s.free
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines += strings.Count(string(p), "\n")
	return len(p), nil
}

// TestAStuckOutputBlocksNobodyAndLosesCountedLines guards against requests that hang
// because standard output is not read and the log blocks. Lines beyond the buffer are
// dropped and counted instead.
func TestAStuckOutputBlocksNobodyAndLosesCountedLines(t *testing.T) {
	out := &stuckWriter{free: make(chan struct{})}
	w := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxPendingBytes / 1024
	for range lines {
		if n, err := w.Write(line); n != len(line) || err != nil {
			t.Fatalf("wrote %d, error %v", n, err)
		}
	}
	accepted, dropped := w.Counts()
	// One full buffer is pending, and at the most one more is in the stuck Write.
	const full = maxPendingBytes / 1024
	if accepted+dropped != lines || accepted < full || accepted > 2*full {
		t.Errorf("%d accepted, %d dropped of %d, want %d to %d accepted", accepted, dropped, lines, full, 2*full)
	}
	close(out.free)
	w.Flush()
	out.mu.Lock()
	defer out.mu.Unlock()
	if int64(out.lines) != accepted {
		t.Errorf("%d lines written, %d accepted", out.lines, accepted)
	}
}
