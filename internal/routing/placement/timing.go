package placement

import "time"

// firstEventTiming learns how much later the first events of a service arrive than
// predicted. The predictions include the wait for the work that the upstream had
// before.
type firstEventTiming struct {
	// mean is the moving average of the delays beyond the predictions, and deviation
	// that of their absolute deviations from it, in seconds.
	mean, deviation float64
	samples         int
}

const (
	// timingSampleWeight is the weight of the newest sample in the averages.
	timingSampleWeight = 0.05
	// slowDeviations is how many deviations above the mean an attempt counts as
	// slow. Nearly all samples lie below that.
	slowDeviations = 4
	// minSamples is how many samples are needed before learned values are used.
	minSamples = 20
)

// learn adds a sample: the time to a first event minus its prediction.
func (t *firstEventTiming) learn(delay time.Duration) {
	x := delay.Seconds()
	t.samples++
	if t.samples == 1 {
		t.mean, t.deviation = x, x/2
		return
	}
	off := x - t.mean
	t.mean += timingSampleWeight * off
	t.deviation += timingSampleWeight * (max(off, -off) - t.deviation)
}

// slowAfter returns the time after which an attempt without a first event is slower
// than nearly all attempts. objective is that of the route, and expected the
// predicted time to the first event. The result is at least half of the objective,
// so that requests of a service with little load are not sent twice for nothing.
//
// expected includes the wait for the upstream's queue, because if all upstreams are
// slow, waiting is better than moving. If only the time to read the request's own
// prompt were expected, requests would be moved from queue to queue while there are
// too few engines, away from the homes of their prompt parts, and three times as many
// tokens would be read.
//
// slowness is the upstream's Config.Slowness, which expected includes. At a plain upstream, for
// which nothing is predicted, it multiplies what was learned.
func (t *firstEventTiming) slowAfter(objective, expected time.Duration, slowness float64) time.Duration {
	if expected == 0 && slowness > 1 {
		usual := t.slowAfter(objective, 0, 1)
		return time.Duration(slowness * float64(usual))
	}
	if t.samples < minSamples {
		return max(objective, 2*expected)
	}
	slow := 2*expected + time.Duration((t.mean+slowDeviations*t.deviation)*float64(time.Second))
	return max(slow, objective/2)
}
