package configuration

import (
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// BenchmarkQuietHour is the processor time of one process that follows a log
// and peers without changes, an hour of virtual time each. Reads over a network
// come on top.
func BenchmarkQuietHour(b *testing.B) {
	for b.Loop() {
		var used time.Duration
		// synctest needs a T.
		ok := testing.RunTests(func(string, string) (bool, error) { return true, nil }, []testing.InternalTest{{
			Name: "hour",
			F: func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { used = quietHour(t) })
			},
		}})
		if !ok {
			b.Fatal("failed")
		}
		b.ReportMetric(float64(used.Microseconds())/time.Hour.Seconds(), "cpu-µs/s")
	}
}

func quietHour(t *testing.T) time.Duration {
	w := newWorld()
	defer w.stopAll()
	w.land(t, "a", 1, text(service, "a"))
	time.Sleep(time.Minute)
	start := processorTime(t)
	time.Sleep(time.Hour)
	return (processorTime(t) - start) / time.Duration(len(w.processes))
}

func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
