package rollout

import "math"

// Verdict summarizes the evidence about a new version.
type Verdict struct {
	// Against is the strength of the evidence against the new version: how many times likelier
	// the answers are if it is worse than the old one. At most one good version in x ever
	// reaches the value x, however often Against is computed.
	Against float64
	// Answers is the number of answers of the new version.
	Answers int
}

const (
	// badEvidence is the value of Against at which a version is bad. At most one good version
	// in 200 reaches it.
	badEvidence = 200
	// doubtfulEvidence is the value of Against from which a version is not promoted yet.
	doubtfulEvidence = 10
	// minAnswers is the number of answers below which a version is not proven good.
	minAnswers = 10
	// minEvidencePerHalf is the evidence that each half of the new version's upstreams must
	// give on its own, so that a single faulty upstream does not condemn the version.
	minEvidencePerHalf = 3
)

// Bad reports whether the version must get no more requests.
func (v Verdict) Bad() bool { return v.Against >= badEvidence }

// Good reports whether the version may be promoted: enough answers and little evidence against.
func (v Verdict) Good() bool { return v.Against < doubtfulEvidence && v.Answers >= minAnswers }

// slowThresholds are the thresholds of slow answers, in classes above the old version's median:
// twice and four times its duration. Most versions that are slow in part of their answers show
// at one of the two.
var slowThresholds = [...]TimeClass{2, 4}

// Judge compares a new version with the old one by failures and by slow answers, for each route
// and in total. Failures that the old version has too do not count against the new one.
// bothHalves reports whether both halves of the new version have upstreams.
//
// Each comparison is a mixture of likelihood ratios: how much likelier the new version's
// failures are under a worse failure rate than under the highest rate that the old version's
// answers allow. Such a ratio ever exceeds x with probability 1/x at most, however often it is
// computed, and so does a weighted mean of several.
func Judge(evidence EvidenceByRoute, bothHalves bool) Verdict {
	v := Verdict{Answers: evidence.newVersionAnswers()}
	if len(evidence) == 0 {
		return v
	}
	var all Evidence
	perRoute := 0.0
	for _, e := range evidence {
		for side := range e {
			all[side].merge(&e[side])
		}
		perRoute += judgeRoute(e, bothHalves)
	}
	// Durations of different routes are not comparable, so the total compares only failures.
	overall := evidenceAgainst(trialsBySide(&all, failures), bothHalves)
	v.Against = (overall + perRoute/float64(len(evidence))) / 2
	return v
}

// judgeRoute returns the mean of a route's comparisons.
func judgeRoute(e *Evidence, bothHalves bool) float64 {
	sum := evidenceAgainst(trialsBySide(e, failures), bothHalves)
	if median, known := medianOf(e[Old].Times); known {
		for _, step := range slowThresholds {
			sum += evidenceAgainst(trialsBySide(e, func(t *Tally) trials { return slowTrials(t, median+step) }), bothHalves)
		}
	}
	return sum / float64(1+len(slowThresholds))
}

// trials is a number of requests or answers, and how many of them were bad.
type trials struct{ n, bad int }

func failures(t *Tally) trials { return trials{t.Sent, t.Failures} }

func slowTrials(t *Tally, from TimeClass) trials {
	var out trials
	for class, n := range t.Times {
		out.n += n
		if class >= from {
			out.bad += n
		}
	}
	return out
}

func trialsBySide(e *Evidence, of func(*Tally) trials) [numSides]trials {
	var out [numSides]trials
	for side := range e {
		out[side] = of(&e[side])
	}
	return out
}

// minTimes is the number of durations needed for a median.
const minTimes = 8

// medianOf returns the median class, and false if there are too few durations.
func medianOf(times map[TimeClass]int) (TimeClass, bool) {
	total := 0
	for _, n := range times {
		total += n
	}
	if total < minTimes {
		return 0, false
	}
	below := 0
	for class := TimeClass(-maxClass); class <= maxClass; class++ {
		below += times[class]
		if 2*below >= total {
			return class, true
		}
	}
	return maxClass, true
}

// evidenceAgainst returns the evidence of one comparison. With two halves, evidence that comes
// from one of them alone is capped at 1.
func evidenceAgainst(c [numSides]trials, bothHalves bool) float64 {
	rate := highestRate(c[Old])
	a, b := likelihoodRatio(c[NewA], rate), likelihoodRatio(c[NewB], rate)
	joint := a * b
	if bothHalves && min(a, b) < minEvidencePerHalf {
		return min(joint, 1)
	}
	return joint
}

// rateDeviations is how many standard deviations the rate that the new version is held to lies
// above the old version's rate.
const rateDeviations = 2

// highestRate returns the highest rate of bad answers that is compatible with the old version's
// answers.
func highestRate(old trials) float64 {
	n := float64(old.n + 2)
	mean := float64(old.bad+1) / n
	return min(mean+rateDeviations*math.Sqrt(mean*(1-mean)/n), maxRate)
}

// maxRate keeps a rate below 1, because likelihoodRatio divides by its distance from 1.
const maxRate = 0.99

// worseFractions are the rates that a bad version may have, as fractions of the distance from the
// old version's rate to 1.
var worseFractions = [...]float64{0.03, 0.1, 0.25, 0.5, 0.95}

// likelihoodRatio returns how much likelier the trials are under a worse rate than under the
// given one, as the mean over worseFractions.
func likelihoodRatio(t trials, rate float64) float64 {
	good := float64(t.n - t.bad)
	sum := 0.0
	for _, fraction := range worseFractions {
		higher := rate + fraction*(1-rate)
		sum += math.Exp(float64(t.bad)*math.Log(higher/rate) + good*math.Log((1-higher)/(1-rate)))
	}
	return sum / float64(len(worseFractions))
}
