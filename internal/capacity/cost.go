package capacity

import (
	"runtime"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/procstat"
)

const (
	// enough is the least processor time of one measurement, so that the
	// clock's resolution does not matter.
	enough = 30 * time.Millisecond
	// repeats is how often a measurement is made; the least counts, since
	// what else runs on the machine only adds.
	repeats = 3
)

// processor returns the processor time that this process has used.
func processor() time.Duration {
	used, err := procstat.Processor()
	if err != nil {
		panic(err)
	}
	return used
}

// cost returns the processor time of one call of op, in microseconds.
func cost(op func()) float64 {
	op()
	count := 1
	for {
		used := costOf(op, count)
		if used >= enough {
			break
		}
		count *= 2
	}
	least := costOf(op, count)
	for range repeats - 1 {
		least = min(least, costOf(op, count))
	}
	return micros(least) / float64(count)
}

func costOf(op func(), count int) time.Duration {
	before := processor()
	for range count {
		op()
	}
	return processor() - before
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// held returns the bytes of heap that what build returns holds.
func held(build func() any) float64 {
	before := inUse()
	kept := build()
	after := inUse()
	runtime.KeepAlive(kept)
	return max(0, float64(after-before))
}

// inUse returns heap and stacks in use after garbage collection.
func inUse() int64 {
	heap, stacks := procstat.Memory()
	return heap + stacks
}

// rate runs for a time and returns the processor time of this process, in
// microseconds for each second of the run.
func rate(run time.Duration) float64 {
	began, before := time.Now(), processor()
	time.Sleep(run)
	return micros(processor()-before) / time.Since(began).Seconds()
}
