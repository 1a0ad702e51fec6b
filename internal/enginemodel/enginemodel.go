// Package enginemodel estimates how fast a service's engines are from its requests
// alone: how many prompt tokens an engine had to read before a first event, how many
// requests it had in progress, and how long the event took.
//
// A gateway is not configured with the kind of engines that it sends to, and no constant
// suits two kinds: with a prefill rate that is too high, requests pile up at few engines.
//
// The model predicts the time to the first event of a request as
//
//	base + own tokens * a + tokens ahead * b + requests in progress * c
//
// The four coefficients (base, a, b and c) are fitted by least squares with exponential
// forgetting; the prefill rate is 1/a. A sample that is far from its prediction gets a
// lower weight (Huber weights), so that an engine that is slow, is frozen or lacks cached
// tokens that it was believed to hold changes the coefficients little, as long as most
// samples are sound. The sums that the fit needs can be added: gateways exchange them, and
// a gateway that has just started begins with those of the others.
//
// Alternatives that were rejected: the median of ratios needs the base from another source,
// and the ratio to a prior cannot distinguish the base from the rate.
//
// The package is pure: it has no clock and does no I/O.
package enginemodel

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	// memorySamples is the number of a gateway's own samples after which a sample's weight
	// has decayed to about a third. With more, another kind of engine is followed too late,
	// because its samples have low weights at first.
	memorySamples = 40
	// tolerance is how far a sample may be from its prediction and still have full weight,
	// as a share of the prediction. minTolerance is the least that it may be, in seconds.
	// The tolerance is wide enough to follow another kind of engine, and narrow enough not
	// to follow a few slow engines.
	tolerance    = 0.4
	minTolerance = 0.005
	// kilo is the unit in which the fit counts tokens, a thousand, so that the four
	// coefficients have similar magnitudes.
	kilo = 1000
)

// prior is the model before there are samples: an engine that is slower than any known
// one (20 tokens per millisecond), so that work is spread and no upstream is given up until
// the real coefficients are known. The elements are seconds: base, per thousand own
// tokens, per thousand tokens ahead, and per request in progress.
var prior = vector{0.030, 0.050, 0.050, 0.001}

// priorWeight is how many samples the prior counts as, for each coefficient. Fifty requests
// outweigh it, and it prevents a few odd requests from giving meaningless coefficients. For
// the rate the prior counts as one request of a thousand tokens, so that engines ten times
// as fast as the prior are recognized too.
var priorWeight = vector{5, 1, 1, 5}

// minCoefficients and maxCoefficients bound the fitted coefficients: rates of 5 to 1,000
// tokens per millisecond, and for the others values that no engine exceeds.
var (
	minCoefficients = vector{0.001, 0.001, 0.0005, 0.0002}
	maxCoefficients = vector{0.500, 0.200, 0.2000, 0.0300}
)

// minAheadRatio is the lowest ratio of the coefficient for tokens ahead to that for own
// tokens. With views of the other gateways' work that are a quarter of a second old, the
// ratio was 0.4 to 0.7 on two kinds of engines. Below a third, queues would hardly count.
const minAheadRatio = 1.0 / 3

// coefficientCount is the number of coefficients of the model.
const coefficientCount = 4

// vector has an element for each coefficient: base, own tokens, tokens ahead, requests in
// progress.
type vector [coefficientCount]float64

// Sample is the observation of one request at an engine.
type Sample struct {
	// OwnTokens is how many prompt tokens the engine was believed to have to read for the
	// request itself, and TokensAhead the same for the requests that were there before and had
	// no first event.
	OwnTokens, TokensAhead float64
	// Running is how many requests were in progress there before.
	Running float64
	// FirstEvent is the time from sending to the first event.
	FirstEvent time.Duration
}

// row returns the factors of the coefficients for the sample.
func (s Sample) row() vector { return vector{1, s.OwnTokens / kilo, s.TokensAhead / kilo, s.Running} }

// Sums are the weighted sums over samples that Fit needs. The zero value contains no
// samples.
type Sums struct {
	// Weight is the sum of the samples' weights.
	Weight float64
	// Square is the upper triangle, by rows, of the sums of products of two factors. Target
	// holds the sums of products of a factor and the time.
	Square [productCount]float64
	Target vector
}

// productCount is the number of elements of the upper triangle.
const productCount = coefficientCount * (coefficientCount + 1) / 2

// List returns all sums in a fixed order, to be sent and decoded by SumsOf. Single
// precision is far more than the fit needs, and gateways send the sums with every report.
func (s Sums) List() []float32 {
	var out []float32
	for _, v := range s.pointers() {
		out = append(out, float32(*v))
	}
	return out
}

// SumsOf is the inverse of List. It returns an error if the number of sums is wrong or one
// of them is negative, infinite or not a number.
func SumsOf(list []float32) (Sums, error) {
	var s Sums
	into := s.pointers()
	if len(list) != len(into) {
		return Sums{}, errors.Errorf("engine model has %d sums, want %d", len(list), len(into))
	}
	for i, v := range list {
		if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) || v < 0 {
			return Sums{}, errors.Errorf("engine model has sum %v, want a finite number that is not negative", v)
		}
		*into[i] = float64(v)
	}
	return s, nil
}

// pointers returns pointers to all sums, in the order of List.
func (s *Sums) pointers() []*float64 {
	out := []*float64{&s.Weight}
	for i := range s.Square {
		out = append(out, &s.Square[i])
	}
	for i := range s.Target {
		out = append(out, &s.Target[i])
	}
	return out
}

// Add adds the samples of other sums.
func (s *Sums) Add(other Sums) {
	s.Weight += other.Weight
	for i, v := range other.Square {
		s.Square[i] += v
	}
	for i, v := range other.Target {
		s.Target[i] += v
	}
}

// Subtract removes sums that were added before. Sums that are negative after it because of
// rounding become 0.
func (s *Sums) Subtract(other Sums) {
	subtracted := other.pointers()
	for i, v := range s.pointers() {
		*v = max(0, *v-*subtracted[i])
	}
}

// AddSample adds a sample and lets the earlier ones decay. estimate is the current fit to the
// samples of all gateways, from which the weight of the sample follows.
func (s *Sums) AddSample(sample Sample, estimate Estimate) {
	s.scale(1 - 1.0/memorySamples)
	row, first := sample.row(), sample.FirstEvent.Seconds()
	expected := estimate.FirstEventSeconds(sample.OwnTokens, sample.TokensAhead, sample.Running)
	allowed := max(minTolerance, tolerance*expected)
	weight := allowed / max(allowed, math.Abs(first-expected))
	s.Weight += weight
	k := 0
	for i := range coefficientCount {
		for j := i; j < coefficientCount; j++ {
			s.Square[k] += weight * row[i] * row[j]
			k++
		}
		s.Target[i] += weight * row[i] * first
	}
}

// scale multiplies all sums by a factor.
func (s *Sums) scale(factor float64) {
	s.Weight *= factor
	for i := range s.Square {
		s.Square[i] *= factor
	}
	for i := range s.Target {
		s.Target[i] *= factor
	}
}

// Estimate holds the fitted coefficients of the model of a service's engines.
type Estimate struct {
	// Base is the time to the first event at an idle engine without reading the prompt.
	Base time.Duration
	// SecondsPerToken is the time to read one prompt token. SecondsPerTokenAhead is how much
	// later a first event arrives for each token of other requests that is to be read before. It
	// is less than SecondsPerToken if the view of the other gateways' work is old.
	SecondsPerToken, SecondsPerTokenAhead float64
	// SecondsPerRunning is how much later a first event arrives for each request in progress, in
	// seconds.
	SecondsPerRunning float64
	// Samples is the sum of the weights of the samples, without the prior.
	Samples float64
}

// Rate returns how many prompt tokens an engine reads per second.
func (e Estimate) Rate() float64 { return 1 / e.SecondsPerToken }

// FirstEvent returns the predicted time to a first event; see Sample for the arguments.
func (e *Estimate) FirstEvent(own, ahead, running float64) time.Duration {
	return seconds(e.FirstEventSeconds(own, ahead, running))
}

// FirstEventSeconds returns the predicted time to a first event in seconds, for callers that
// compare many.
func (e *Estimate) FirstEventSeconds(own, ahead, running float64) float64 {
	return e.Base.Seconds() + own*e.SecondsPerToken + ahead*e.SecondsPerTokenAhead + running*e.SecondsPerRunning
}

// FirstEventSecondsAt is FirstEventSeconds at an engine that is slower than the model by a factor. The
// base does not depend on it, because most of that is spent on the way to the engine and back.
func (e *Estimate) FirstEventSecondsAt(slowness, own, ahead, running float64) float64 {
	base := e.Base.Seconds()
	return base + slowness*(e.FirstEventSeconds(own, ahead, running)-base)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Fit returns the coefficients that fit the sums and the prior best, within bounds.
func (s Sums) Fit() Estimate {
	var a [coefficientCount][coefficientCount + 1]float64
	k := 0
	for i := range coefficientCount {
		for j := i; j < coefficientCount; j++ {
			a[i][j] = s.Square[k]
			a[j][i] = s.Square[k]
			k++
		}
		a[i][coefficientCount] = s.Target[i]
	}
	for i, weight := range priorWeight {
		// The prior counts as samples each of which depends on one coefficient only.
		a[i][i] += weight
		a[i][coefficientCount] += weight * prior[i]
	}
	x := solve(&a)
	for i := range x {
		x[i] = min(max(x[i], minCoefficients[i]), maxCoefficients[i])
	}
	ahead := min(max(x[2], minAheadRatio*x[1]), x[1])
	return Estimate{Base: seconds(x[0]), SecondsPerToken: x[1] / kilo, SecondsPerTokenAhead: ahead / kilo, SecondsPerRunning: x[3], Samples: s.Weight}
}

// solve solves a system of linear equations with the right-hand side in the last column. The
// matrix must be symmetric and positive definite, as the prior on its diagonal makes it.
func solve(a *[coefficientCount][coefficientCount + 1]float64) vector {
	for i := range coefficientCount {
		for k := range coefficientCount {
			if k == i {
				continue
			}
			factor := a[k][i] / a[i][i]
			for j := i; j <= coefficientCount; j++ {
				a[k][j] -= factor * a[i][j]
			}
		}
	}
	var x vector
	for i := range coefficientCount {
		x[i] = a[i][coefficientCount] / a[i][i]
	}
	return x
}
