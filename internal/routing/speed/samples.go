package speed

import (
	"math"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/ident"
)

// Sample is the observation of one request at an upstream.
type Sample struct {
	Upstream ident.Instance
	Service  ident.Service
	Route    string
	// Observed is the time from sending to the first event, or to a plain upstream's answer.
	Observed time.Duration
	// Predicted is the prediction of the service's model, without the upstream's factor. It is 0
	// at a plain upstream, for which the mean of the service's answers at like load stands in.
	Predicted time.Duration
	// Fixed is the part of Predicted that does not depend on the upstream's speed. The factor is that
	// of the rest.
	Fixed time.Duration
	// Load is the number of requests per slot that the upstream had before.
	Load float64
}

const (
	// initialDeviation is the standard deviation of samples before it is known, and minDeviation
	// the lowest one.
	initialDeviation, minDeviation = 0.4, 0.1
	// absoluteToStandard is the standard deviation by the mean absolute one, for normal samples.
	absoluteToStandard = 1.25
	// minVariableShare is the least share of a prediction that must depend on the upstream's speed
	// for the sample to tell of it.
	minVariableShare = 0.25
	// deviationSamples is the number of samples over which the deviation is averaged.
	deviationSamples = 200
	// deviationMinWeight is the weight of an upstream's samples from which its mean is known well
	// enough to learn the deviation from its further ones.
	deviationMinWeight = 5
	// toleratedDeviations is how many deviations from its upstream's mean a sample may be and still
	// have half of the full weight.
	toleratedDeviations = 1.5
	// maxDeviations bounds the part of one sample in a learned deviation.
	maxDeviations = 3
)

// variableShare returns the share of the predicted time that depends on the upstream's speed.
func (s *Sample) variableShare() float64 {
	if s.Predicted <= 0 {
		return 1
	}
	return 1 - s.Fixed.Seconds()/s.Predicted.Seconds()
}

// logRatio returns the logarithm of the observed by the predicted time, both without the fixed part.
func (s *Sample) logRatio() float64 {
	predicted := (s.Predicted - s.Fixed).Seconds()
	observed := max((s.Observed - s.Fixed).Seconds(), predicted/(2*maxFactor))
	return math.Log(observed / predicted)
}

// robustWeight returns the weight of a sample that is so far from the mean of its upstream, of which
// the estimate is known.
func robustWeight(distance float64, known Estimate, deviation float64) float64 {
	tolerated := toleratedDeviations * math.Hypot(deviation, known.Error)
	return 1 / (1 + (distance/tolerated)*(distance/tolerated))
}

// spread learns the standard deviation of a service's samples around the means of their upstreams.
type spread struct {
	absolute float64
	samples  int
}

// deviation returns the standard deviation of samples.
func (s *spread) deviation() float64 {
	if s == nil || s.samples == 0 {
		return initialDeviation
	}
	return max(minDeviation, absoluteToStandard*s.absolute)
}

// learn adds the distance of a sample from its upstream's mean.
func (s *spread) learn(distance float64) {
	bounded := min(math.Abs(distance), maxDeviations*s.deviation())
	if s.samples == 0 {
		// The first value counts as some samples.
		s.absolute, s.samples = initialDeviation/absoluteToStandard, deviationMinWeight
	}
	s.samples = min(s.samples+1, deviationSamples)
	s.absolute += (bounded - s.absolute) / float64(s.samples)
}

// baselineKey identifies requests to plain upstreams that should take equally long.
type baselineKey struct {
	service ident.Service
	route   string
	load    int
}

const (
	// loadLevels is how many levels of load are told apart; a level is loadLevelWidth of an
	// upstream's slots wide.
	loadLevels     = 5
	loadLevelWidth = 0.5
	// baselineMinSamples is how many answers are needed before others are compared with their mean,
	// and baselineSamples the number over which it is averaged.
	baselineMinSamples, baselineSamples = 20, 400
	// baselineMaxDistance bounds the part of one answer in the mean.
	baselineMaxDistance = 1.0
)

// baselineKeyOf returns the key of a plain upstream's sample.
func baselineKeyOf(s *Sample) baselineKey {
	level := int(max(0, s.Load) / loadLevelWidth)
	return baselineKey{s.Service, s.Route, min(level, loadLevels-1)}
}

// baseline is the mean time of answers of plain upstreams, as the mean of logarithms. Each answer
// counts with its upstream's factor taken out: slow upstreams get less work, and the mean at low load
// would otherwise be theirs.
type baseline struct {
	mean    float64
	samples int
}

// learn adds the logarithm of an answer time from which the upstream's factor was taken out.
func (b *baseline) learn(x float64) {
	b.samples = min(b.samples+1, baselineSamples)
	if b.samples == 1 {
		b.mean = x
		return
	}
	distance := min(max(x-b.mean, -baselineMaxDistance), baselineMaxDistance)
	b.mean += distance / float64(b.samples)
}
