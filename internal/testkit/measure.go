package testkit

import (
	"runtime"
	"syscall"
	"testing"
	"time"
)

// ProcessorTime returns the processor time that this process has used so far.
// Unlike the wall clock it does not count the machine's other work.
func ProcessorTime(t testing.TB) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// LiveHeap returns the bytes of the objects on the heap that are in use.
func LiveHeap() int64 {
	// The second collection frees what the first one's finalizers let go.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
