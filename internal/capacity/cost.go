package capacity

import (
	"runtime"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/procstat"
)

const (
	// minMeasuredTime is the least processor time of one measurement. With less,
	// the clock's resolution would matter.
	minMeasuredTime = 30 * time.Millisecond
	// repetitions is how often a measurement is made. The least result counts,
	// since what else runs on the machine can only add to it.
	repetitions = 3
)

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	used, err := procstat.ProcessorTime()
	if err != nil {
		panic(err)
	}
	return used
}

// microsPerCall returns the processor time of one call of op in microseconds. It
// calls op once before it measures.
func microsPerCall(op func()) float64 {
	op()
	count := 1
	for {
		used := processorTimeOf(op, count)
		if used >= minMeasuredTime {
			break
		}
		count *= 2
	}
	least := processorTimeOf(op, count)
	for range repetitions - 1 {
		least = min(least, processorTimeOf(op, count))
	}
	return micros(least) / float64(count)
}

// processorTimeOf returns the processor time of count calls of op.
func processorTimeOf(op func(), count int) time.Duration {
	before := processorTime()
	for range count {
		op()
	}
	return processorTime() - before
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// memoryHeldBy returns how many bytes of memory the value that build returns keeps in
// use.
func memoryHeldBy(build func() any) float64 {
	before := memoryInUse()
	kept := build()
	after := memoryInUse()
	runtime.KeepAlive(kept)
	return max(0, float64(after-before))
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() int64 {
	heap, stacks := procstat.Memory()
	return heap + stacks
}

// measureProcessorRate waits for the given time and returns the processor time that this
// process used meanwhile, in microseconds per second.
func measureProcessorRate(run time.Duration) float64 {
	began, before := time.Now(), processorTime()
	time.Sleep(run)
	return micros(processorTime()-before) / time.Since(began).Seconds()
}
