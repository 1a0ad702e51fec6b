// Package speed learns by which factor each upstream is slower or faster than its service's
// model predicts.
//
// Upstreams of one service need not be alike: they run on different hardware, or beside other
// work. With one prediction for all of them the slow ones get as much work as the fast ones,
// and their callers wait.
//
// A sample is the logarithm of an observed time divided by the time that the service's model
// predicts without the upstream's factor, both without what does not depend on the upstream's
// speed. The factor of an upstream follows from the weighted
// mean of its samples, which is drawn towards 1 while there are few. Samples far from the
// upstream's own mean have low weights, so that a slow spell changes the factor little. Sums of
// samples decay with time and can be added: gateways exchange them, because one of hundreds of
// gateways sends too few requests to an upstream to know its speed. Sums belong to an
// upstream's ID, which each of its incarnations has for itself.
//
// The package is pure: times are passed in, and it does no I/O but logging.
package speed

import (
	"math"
	"time"
)

const (
	// memory is the time after which a sample's weight has decayed to about a third.
	memory = 30 * time.Second
	// kindDeviation is how far upstreams of one service usually are from its model, as the
	// standard deviation of the logarithm of their factors.
	kindDeviation = 0.5
	// minError is the least error that the logarithm of a factor is taken to have. Requests that
	// are in progress together are slow together, so that their number alone promises too much.
	minError = 0.03
	// certainErrors is by how many errors a factor must differ from 1 to be used: few of some
	// hundred upstreams that are like the model differ by more. A factor in use stays in use as long
	// as it differs by keptErrors, so that work does not change to and fro.
	certainErrors, keptErrors = 2.75, 1.25
	// maxFactor bounds the factors in both directions.
	maxFactor = 4
	// forgottenWeight is the weight below which sums are dropped.
	forgottenWeight = 0.05
)

// Sums are the weighted sums over an upstream's samples. The zero value contains no samples.
type Sums struct {
	// Weight is the sum of the samples' weights.
	Weight float64
	// Log is the weighted sum of the logarithms of observed by predicted time.
	Log float64
}

// Plus returns the sums over the samples of both.
func (s Sums) Plus(o Sums) Sums { return Sums{s.Weight + o.Weight, s.Log + o.Log} }

// Minus returns the sums without samples that they contain. It returns no samples if nothing is
// left but rounding.
func (s Sums) Minus(o Sums) Sums {
	left := Sums{s.Weight - o.Weight, s.Log - o.Log}
	if left.Weight < forgottenWeight {
		return Sums{}
	}
	return left
}

// After returns the sums as they are when some time has passed.
func (s Sums) After(elapsed time.Duration) Sums {
	keep := math.Exp(-max(0, elapsed.Seconds()) / memory.Seconds())
	return Sums{s.Weight * keep, s.Log * keep}
}

// Estimate is what is known of an upstream's speed.
type Estimate struct {
	// Log is the logarithm of the upstream's factor, and Error its standard error.
	Log, Error float64
}

// Estimate returns what the sums tell if samples of one upstream have the given standard
// deviation.
func (s Sums) Estimate(deviation float64) Estimate {
	// Before there are samples, the factor is 1 as if known from so many.
	prior := (deviation / kindDeviation) * (deviation / kindDeviation)
	weight := s.Weight + prior
	return Estimate{Log: s.Log / weight, Error: math.Hypot(deviation/math.Sqrt(weight), minError)}
}

// Factor returns by how much the upstream is slower than its service's model: 2 if requests take
// twice as long there as predicted. It is exactly 1 unless it differs from that for certain. inUse is
// set if the factor was not 1 until now.
func (e Estimate) Factor(inUse bool) float64 {
	errors := certainErrors
	if inUse {
		errors = keptErrors
	}
	if math.Abs(e.Log) <= errors*e.Error {
		return 1
	}
	return min(max(math.Exp(e.Log), 1.0/maxFactor), maxFactor)
}

// timedSums are sums as they were at a time.
type timedSums struct {
	Sums
	at time.Time
}

// asOf returns the sums as they are at a later time.
func (s timedSums) asOf(now time.Time) Sums {
	if s.Sums == (Sums{}) {
		return Sums{}
	}
	return s.After(now.Sub(s.at))
}
