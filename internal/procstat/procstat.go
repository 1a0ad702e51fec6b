// Package procstat measures the processor time and memory that this process uses.
package procstat

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessorTime returns the processor time, user and system, that this process has used so
// far. Unlike elapsed time it does not include the time of the machine's other processes.
func ProcessorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, err
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// Memory returns the bytes of the objects on the heap and of the stacks in use, after a
// garbage collection.
func Memory() (heap, stacks int64) {
	// The second collection frees what finalizers that ran after the first released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), int64(m.StackInuse)
}
