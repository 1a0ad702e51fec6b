package placement

import "time"

// firstEventTiming learns how long first events of a service take, beyond what is expected of
// them behind what their upstream has before them.
type firstEventTiming struct {
	mean, deviation float64
	samples         int
}

const (
	// timingSampleWeight is the weight of one sample.
	timingSampleWeight = 0.05
	// slowDeviations above the mean lie nearly all samples.
	slowDeviations = 4
	// minSamples samples before the timing is used.
	minSamples = 20
)

func (t *firstEventTiming) learn(latency time.Duration) {
	x := latency.Seconds()
	t.samples++
	if t.samples == 1 {
		t.mean, t.deviation = x, x/2
		return
	}
	off := x - t.mean
	t.mean += timingSampleWeight * off
	t.deviation += timingSampleWeight * (max(off, -off) - t.deviation)
}

// slowAfter is after how long an attempt is slower than nearly all are: never under
// half of the objective, so that a calm service is not tried twice for nothing.
// Where all are slow, waiting is better than moving: an attempt behind a queue is
// expected to wait for it. What goes wrong if only the own prompt's reading is expected:
// under a want of engines requests are moved from queue to queue, away from the homes of
// their prompt parts, and three times as much is read.
func (t *firstEventTiming) slowAfter(objective, expected time.Duration) time.Duration {
	if t.samples < minSamples {
		return max(objective, 2*expected)
	}
	usual := 2*expected + time.Duration((t.mean+slowDeviations*t.deviation)*float64(time.Second))
	return max(usual, objective/2)
}
