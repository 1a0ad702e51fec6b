// Package enginemodel estimates how fast a service's engines work, from nothing but
// what its requests see: how many tokens an engine had to read before a first event,
// how many requests it had in progress, and how long the event took.
//
// Nobody tells a gateway which engines it sends to, and no constant suits two kinds of
// them: with a reading rate that is too high, requests pile up at few engines.
//
// The first event of a request is taken to come after
//
//	base + own tokens / rate + tokens ahead * Ahead + requests in progress * Running
//
// Its four figures are fitted by least squares with forgetting. Each sample counts the
// less the farther it lies from what was expected (Huber's weights), so that an engine
// that is slow, frozen or lacks what it was believed to hold moves the figures little,
// as long as most samples are sound. The sums that the fit is made from can be added:
// gateways tell each other theirs, and one that has just started begins with those of
// the others. Weighed against it: the median of ratios, which needs the base from
// elsewhere, and a ratio to a prior, which cannot tell the base from the rate.
//
// The package is pure: it has no clock and does no I/O.
package enginemodel

import (
	"math"
	"time"

	"github.com/pkg/errors"
)

const (
	// memorySamples is over how many of a gateway's own samples the sums are kept. What is new
	// looks odd at first, so that a longer one follows another kind of engine late.
	memorySamples = 40
	// tolerance is the part of the expected time by which a sample may lie off and count
	// fully, and leastTolerance its least, in seconds: wide enough to follow another kind
	// of engine, narrow enough not to follow a few slow ones.
	tolerance    = 0.4
	minTolerance = 0.005
	// kilo: tokens are counted in thousands, so that the four figures have sizes that
	// compare.
	kilo = 1000
)

// prior holds before anything was seen: an engine that is slower than any known one
// (20 tokens a millisecond), so that work is spread and no upstream is given up until
// the real figures are known. Seconds: base, a thousand own tokens, a thousand tokens
// ahead, a request in progress.
var prior = vector{0.030, 0.050, 0.050, 0.001}

// priorWeight is how many samples the prior counts for, by figure. It is overruled by
// fifty requests, and keeps a few odd ones from giving a figure without sense. The rate's
// counts for one of a thousand tokens, so that engines ten times as fast as the prior
// are recognized too.
var priorWeight = vector{5, 1, 1, 5}

// minCoefficients and most bound the figures: rates of 5 to 1,000 tokens a millisecond, and what
// no engine is beyond.
var (
	minCoefficients = vector{0.001, 0.001, 0.0005, 0.0002}
	maxCoefficients = vector{0.500, 0.200, 0.2000, 0.0300}
)

// minAheadRatio is the least that a token ahead counts relative to one's own. Views of the
// others' work that are a quarter of a second old gave 0.4 to 0.7 on two kinds of
// engines; below a third, queues would be taken for none.
const minAheadRatio = 1.0 / 3

// coefficientCount is the number of figures.
const coefficientCount = 4

type vector [coefficientCount]float64

// Sample is what one request saw.
type Sample struct {
	// Own are the request's prompt tokens that were believed to be read, and Ahead
	// those of requests that were there before and had no first event.
	Own, Ahead float64
	// Running is how many requests were in progress there before it.
	Running float64
	// First is the time from sending to the first event.
	First time.Duration
}

func (s Sample) row() vector { return vector{1, s.Own / kilo, s.Ahead / kilo, s.Running} }

// Sums are what a fit is made from. The zero value holds nothing.
type Sums struct {
	// Weight is the sum of the samples' weights.
	Weight float64
	// Square are the sums of products of the figures' factors, its upper triangle by
	// rows, and Target those of the factors and the times.
	Square [productCount]float64
	Target vector
}

const productCount = coefficientCount * (coefficientCount + 1) / 2

// List returns all sums in a fixed order, for SumsOf: gateways send them with every
// report, and single precision is far more than the fit needs.
func (s Sums) List() []float32 {
	var out []float32
	for _, v := range s.pointers() {
		out = append(out, float32(*v))
	}
	return out
}

// SumsOf is the inverse of List. Sums that cannot be are an error.
func SumsOf(list []float32) (Sums, error) {
	var s Sums
	into := s.pointers()
	if len(list) != len(into) {
		return Sums{}, errors.Errorf("%d sums of an engine model, want %d", len(list), len(into))
	}
	for i, v := range list {
		if math.IsNaN(float64(v)) || math.IsInf(float64(v), 0) || v < 0 {
			return Sums{}, errors.Errorf("a sum of %v in an engine model", v)
		}
		*into[i] = float64(v)
	}
	return s, nil
}

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

// Add adds other sums.
func (s *Sums) Add(other Sums) {
	s.Weight += other.Weight
	for i, v := range other.Square {
		s.Square[i] += v
	}
	for i, v := range other.Target {
		s.Target[i] += v
	}
}

// Subtract takes out sums that were added before. What rounding leaves below zero counts as
// nothing.
func (s *Sums) Subtract(other Sums) {
	taken := other.pointers()
	for i, v := range s.pointers() {
		*v = max(0, *v-*taken[i])
	}
}

// Learn takes a sample in, and forgets a little of the earlier ones. figures are what is
// believed now, of all gateways' samples.
func (s *Sums) Learn(sample Sample, figures Figures) {
	s.scale(1 - 1.0/memorySamples)
	row, first := sample.row(), sample.First.Seconds()
	expected := figures.FirstSeconds(sample.Own, sample.Ahead, sample.Running)
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

func (s *Sums) scale(by float64) {
	s.Weight *= by
	for i := range s.Square {
		s.Square[i] *= by
	}
	for i := range s.Target {
		s.Target[i] *= by
	}
}

// Figures are an engine's, as far as they are known.
type Figures struct {
	// Base is the time of an idle engine's first event, reading left out.
	Base time.Duration
	// Token is the time to read one token, in seconds, and Ahead how much later a first
	// event comes for each token of others that was there before: less than Token where
	// the view of the others' work is old.
	Token, Ahead float64
	// Running is how much later it comes for each request in progress, in seconds.
	Running float64
	// Samples is how many samples count, with their weights; the prior not included.
	Samples float64
}

// Rate is how many prompt tokens an engine reads in a second.
func (f Figures) Rate() float64 { return 1 / f.Token }

// First is the expected time to a first event.
func (f *Figures) First(own, ahead, running float64) time.Duration {
	return seconds(f.FirstSeconds(own, ahead, running))
}

// FirstSeconds is First in seconds, for those who compare many.
func (f *Figures) FirstSeconds(own, ahead, running float64) float64 {
	return f.Base.Seconds() + own*f.Token + ahead*f.Ahead + running*f.Running
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Fit returns the figures that fit the sums and the prior best.
func (s Sums) Fit() Figures {
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
		// The prior counts as samples each of which knows one figure only.
		a[i][i] += weight
		a[i][coefficientCount] += weight * prior[i]
	}
	x := solve(&a)
	for i := range x {
		x[i] = min(max(x[i], minCoefficients[i]), maxCoefficients[i])
	}
	ahead := min(max(x[2], minAheadRatio*x[1]), x[1])
	return Figures{Base: seconds(x[0]), Token: x[1] / kilo, Ahead: ahead / kilo, Running: x[3], Samples: s.Weight}
}

// solve solves symmetric positive definite equations, the right side in the last
// column. The prior on the diagonal makes them so.
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
