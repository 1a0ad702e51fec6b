package rollout

import "math"

// Verdict is what the evidence says of a version.
type Verdict struct {
	// Against is how strongly it speaks against the new version: by how much likelier
	// it is if that one is worse. Of good versions at most one in x ever reaches x,
	// however often one looks.
	Against float64
	// Answers is how many there are of the new version.
	Answers int
}

const (
	// badEvidence is the evidence at which a version is found bad: one good one in 200.
	badEvidence = 200
	// doubtfulEvidence is the evidence at which a version is not promoted yet.
	doubtfulEvidence = 10
	// minAnswers of a version that nobody tried more are no proof that it is good.
	minAnswers = 10
	// minEvidencePerHalf is the evidence that each half of the new version's upstreams must give
	// by itself, so that one upstream that fails by itself condemns no version.
	minEvidencePerHalf = 3
)

// Bad reports whether the version must get nothing any more.
func (v Verdict) Bad() bool { return v.Against >= badEvidence }

// Good reports whether nothing speaks against the version.
func (v Verdict) Good() bool { return v.Against < doubtfulEvidence && v.Answers >= minAnswers }

// slowThresholds are by how much an answer counts as slow, as classes above the old version's
// median: twice and four times its time. Most versions that are slow in part of their
// answers show at one of the two.
var slowThresholds = [...]Class{2, 4}

// Judge compares a new version with the old one, route by route and all together, by
// failures and by slow answers. What the old version fails as well is no fault of the new
// one. both reports whether both halves of the new version have upstreams.
//
// Each comparison is a mixture of likelihood ratios: how much likelier the new version's
// failures are under a worse rate than under the highest rate that the old version's
// answers allow. Such a ratio exceeds x with probability 1/x at most, at whichever moment
// one looks, and so does a weighted mean of several.
func Judge(seen Seen, both bool) Verdict {
	v := Verdict{Answers: seen.newVersionAnswers()}
	if len(seen) == 0 {
		return v
	}
	var all Evidence
	perRoute := 0.0
	for _, e := range seen {
		for side := range e {
			all[side].merge(&e[side])
		}
		perRoute += judgeRoute(e, both)
	}
	// Times of different routes are not compared, so that the sum counts failures alone.
	overall := evidenceAgainst(trialsBySide(&all, failures), both)
	v.Against = (overall + perRoute/float64(len(seen))) / 2
	return v
}

// judgeRoute is the mean of a route's comparisons.
func judgeRoute(e *Evidence, both bool) float64 {
	sum := evidenceAgainst(trialsBySide(e, failures), both)
	if median, known := medianOf(e[Old].Times); known {
		for _, step := range slowThresholds {
			sum += evidenceAgainst(trialsBySide(e, func(t *Tally) trials { return slowFrom(t, median+step) }), both)
		}
	}
	return sum / float64(1+len(slowThresholds))
}

// trials are answers, and how many of them were bad.
type trials struct{ n, bad int }

func failures(t *Tally) trials { return trials{t.Sent, t.Failures} }

func slowFrom(t *Tally, from Class) trials {
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

// minTimes of the old version tell what its median is.
const minTimes = 8

func medianOf(times map[Class]int) (Class, bool) {
	total := 0
	for _, n := range times {
		total += n
	}
	if total < minTimes {
		return 0, false
	}
	below := 0
	for class := Class(-maxClass); class <= maxClass; class++ {
		below += times[class]
		if 2*below >= total {
			return class, true
		}
	}
	return maxClass, true
}

// evidenceAgainst is the evidence of one comparison.
func evidenceAgainst(c [numSides]trials, both bool) float64 {
	rate := highestRate(c[Old])
	a, b := likelihoodRatio(c[NewA], rate), likelihoodRatio(c[NewB], rate)
	joint := a * b
	if both && min(a, b) < minEvidencePerHalf {
		return min(joint, 1)
	}
	return joint
}

// rateDeviations above the old version's rate lies the rate that the new one is held to.
const rateDeviations = 2

// highestRate is the highest rate of bad answers that the old version's answers allow.
func highestRate(old trials) float64 {
	n := float64(old.n + 2)
	mean := float64(old.bad+1) / n
	return min(mean+rateDeviations*math.Sqrt(mean*(1-mean)/n), maxRate)
}

// maxRate keeps a rate from being certain.
const maxRate = 0.99

// worseFractions are the rates that a bad version may have, as parts of the way from the old one's
// rate to 1.
var worseFractions = [...]float64{0.03, 0.1, 0.25, 0.5, 0.95}

// likelihoodRatio is the mean over the worse rates of how much likelier the trials are under
// one of them than under a rate.
func likelihoodRatio(t trials, rate float64) float64 {
	good := float64(t.n - t.bad)
	sum := 0.0
	for _, part := range worseFractions {
		higher := rate + part*(1-rate)
		sum += math.Exp(float64(t.bad)*math.Log(higher/rate) + good*math.Log((1-higher)/(1-rate)))
	}
	return sum / float64(len(worseFractions))
}
