package capacity

import (
	"runtime"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/procstat"
)

const (
	// minMeasuredTime is the least processor time of one measurement, so that the
	// clock's resolution does not matter.
	minMeasuredTime = 30 * time.Millisecond
	// repetitions is how often a measurement is made; the least counts, since
	// what else runs on the machine only adds.
	repetitions = 3
)

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	used, err := procstat.Processor()
	if err != nil {
		panic(err)
	}
	return used
}

// microsPerCall returns the processor time of one call of op, in microseconds.
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

func processorTimeOf(op func(), count int) time.Duration {
	before := processorTime()
	for range count {
		op()
	}
	return processorTime() - before
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// memoryHeldBy returns the bytes of heap that what build returns holds.
func memoryHeldBy(build func() any) float64 {
	before := memoryInUse()
	kept := build()
	after := memoryInUse()
	runtime.KeepAlive(kept)
	return max(0, float64(after-before))
}

// memoryInUse returns heap and stacks in use after garbage collection.
func memoryInUse() int64 {
	heap, stacks := procstat.Memory()
	return heap + stacks
}

// measureProcessorRate runs for a time and returns the processor time of this process, in
// microseconds for each second of the run.
func measureProcessorRate(run time.Duration) float64 {
	began, before := time.Now(), processorTime()
	time.Sleep(run)
	return micros(processorTime()-before) / time.Since(began).Seconds()
}
