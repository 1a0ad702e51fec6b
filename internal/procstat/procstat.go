// Package procstat tells what this process uses of the machine, for measurements.
package procstat

import (
	"runtime"
	"syscall"
	"time"
)

// Processor returns the processor time that this process has used so far. Unlike the
// wall clock it does not count the machine's other work.
func Processor() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// Memory returns the bytes of the heap's objects and of the stacks that are in use,
// after a garbage collection.
func Memory() (heap, stacks int64) {
	// The second collection frees what the first one's finalizers let go.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}
