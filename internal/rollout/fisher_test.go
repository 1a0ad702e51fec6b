package rollout

import (
	"math"
	"testing"

	"gonum.org/v1/gonum/stat/combin"
)

// maxJudgements is the assumed number of times that an order is judged. The allowed error is
// divided among them.
const maxJudgements = 100

// judgeByFisher is the alternative that Judge was compared with: Fisher's exact test, with the
// error divided among maxJudgements and the comparisons.
func judgeByFisher(evidence EvidenceByRoute, bothHalves bool) Verdict {
	v := Verdict{Answers: evidence.newVersionAnswers()}
	least, comparisons := 1.0, 1
	var all Evidence
	for _, e := range evidence {
		for side := range e {
			all[side].merge(&e[side])
		}
		comparisons += 1 + len(slowThresholds)
		least = min(least, fisherOfSides(trialsBySide(e, failures), bothHalves))
		if median, known := medianOf(e[Old].Times); known {
			for _, step := range slowThresholds {
				least = min(least, fisherOfSides(trialsBySide(e, func(t *Tally) trials { return slowTrials(t, median+step) }), bothHalves))
			}
		}
	}
	least = min(least, fisherOfSides(trialsBySide(&all, failures), bothHalves))
	v.Against = 1 / (least * maxJudgements * float64(comparisons))
	return v
}

// fisherOfSides returns the probability of the new version's bad answers if both versions are
// equally good. It is 1 if one of two halves gives too little evidence on its own.
func fisherOfSides(c [numSides]trials, bothHalves bool) float64 {
	joint := trials{c[NewA].n + c[NewB].n, c[NewA].bad + c[NewB].bad}
	if bothHalves && max(fisherExact(c[Old], c[NewA]), fisherExact(c[Old], c[NewB])) > 1.0/minEvidencePerHalf {
		return 1
	}
	return fisherExact(c[Old], joint)
}

// fisherExact returns the probability of at least as many bad answers of the new version, given
// the total of bad answers, if both versions are equally good.
func fisherExact(old, fresh trials) float64 {
	bad, n := old.bad+fresh.bad, old.n+fresh.n
	if fresh.n == 0 || bad == 0 || bad > n {
		return 1
	}
	sum := 0.0
	for k := fresh.bad; k <= min(bad, fresh.n); k++ {
		if n-bad < fresh.n-k {
			continue
		}
		sum += math.Exp(combin.LogGeneralizedBinomial(float64(bad), float64(k)) + combin.LogGeneralizedBinomial(float64(n-bad), float64(fresh.n-k)) -
			combin.LogGeneralizedBinomial(float64(n), float64(fresh.n)))
	}
	return min(sum, 1)
}

// TestFisher logs the table of all scenarios judged by judgeByFisher, if -compare is set.
func TestFisher(t *testing.T) {
	if !*compare {
		return
	}
	list := scenarios()
	for i := range list {
		list[i].judge = judgeByFisher
	}
	for _, r := range playAll(list, *seeds) {
		t.Log(r)
	}
}
