package testkit

import (
	"testing"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/procstat"
)

// ProcessorTime returns the processor time that this process has used so far.
func ProcessorTime(t testing.TB) time.Duration {
	t.Helper()
	used, err := procstat.ProcessorTime()
	if err != nil {
		t.Fatal(err)
	}
	return used
}

// LiveHeap returns the bytes of the objects on the heap after a garbage collection.
func LiveHeap() int64 {
	heap, _ := procstat.Memory()
	return heap
}
