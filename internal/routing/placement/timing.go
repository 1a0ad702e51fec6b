package placement

import "time"

// timing learns how long first events of a service take, beyond what is expected of
// them behind what their upstream has before them.
type timing struct {
	mean, deviation float64
	samples         int
}

const (
	// memory is the weight of one sample.
	memory = 0.05
	// deviations above the mean lie nearly all samples.
	deviations = 4
	// fewest samples before the timing is used.
	fewest = 20
)

func (t *timing) learn(latency time.Duration) {
	x := latency.Seconds()
	t.samples++
	if t.samples == 1 {
		t.mean, t.deviation = x, x/2
		return
	}
	off := x - t.mean
	t.mean += memory * off
	t.deviation += memory * (max(off, -off) - t.deviation)
}

// slow is after how long an attempt is slower than nearly all are: never under
// half of the objective, so that a calm service is not tried twice for nothing.
// Where all are slow, waiting is better than moving: an attempt behind a queue is
// expected to wait for it. What goes wrong if only the own prompt's reading is expected:
// under a want of engines requests are moved from queue to queue, away from the homes of
// their prompt parts, and three times as much is read.
func (t *timing) slow(objective, expected time.Duration) time.Duration {
	if t.samples < fewest {
		return max(objective, 2*expected)
	}
	usual := 2*expected + time.Duration((t.mean+deviations*t.deviation)*float64(time.Second))
	return max(usual, objective/2)
}
