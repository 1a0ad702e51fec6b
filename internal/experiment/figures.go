package experiment

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/goldcrestspool/goldcrestspool/internal/document"
	"github.com/goldcrestspool/goldcrestspool/internal/platform"
	"github.com/goldcrestspool/goldcrestspool/internal/standin/engine"
)

// Figures are the results of one run for the requests that arrived after the warm-up. Times
// are in milliseconds, costs in cents, shares from 0 to 1.
type Figures struct {
	// ShortP50, ShortP95 and ShortP99 are percentiles of the time to the first token
	// in the first kind of request, which is the most urgent. LongP95 is the 95th
	// percentile in the kind with the longest answers.
	ShortP50, ShortP95, ShortP99, LongP95 float64
	// BetweenP95 is the 95th percentile of the mean time between tokens.
	BetweenP95 float64
	// Met is the share of requests that met their class's targets; ShortMet and
	// LongMet are the shares in the first kind and in that with the longest answers.
	Met, ShortMet, LongMet float64
	// ModelMet is Met without the plain services' calls.
	ModelMet float64
	// UsedCost and FleetCost are the costs of the engines' busy time and of their
	// whole time, per thousand model requests that met their targets.
	UsedCost, FleetCost float64
	// Recomputed counts prefilled tokens that some engine had computed before,
	// Resumed those of them that were due to interrupted streams. Both are per
	// thousand requests.
	Recomputed, Resumed float64
	// Goodput is the rate per second of requests that met their targets, among
	// those that arrived from faultAt to faultEnd.
	Goodput float64
	// WorkGoodput is the goodput of model requests as a fraction of the fleet's
	// engine time: each request counts as the least engine time of its kind.
	WorkGoodput float64
	// Refused is the share of requests that were refused and never sent, Unfinished
	// the share of those that were never refused and not completed either.
	Refused, Unfinished float64
	// RetriesAdmitted is the share of retries after the retry-after time that were
	// not refused; 1 without retries.
	RetriesAdmitted float64
	// LeastShareRatio is the smallest ratio of what a client account got to its
	// fair share. SmallShareRatio is that of the smallest account, apart from the
	// last one, which sends more requests in some cases.
	LeastShareRatio, SmallShareRatio float64
	// AttemptsPerRequest is the number of attempts divided by how often requests
	// were accepted: once for each request, and once more each time that its retry
	// was refused by the retry budget. LongestQueue is the longest queue of a
	// runner.
	AttemptsPerRequest, LongestQueue float64
	// ErrorMedian is the median of |log2(actual/predicted)| for the time to the
	// first token, and ErrorBias the median of log2(actual/predicted).
	ErrorMedian, ErrorBias float64
}

// figures computes the results of a finished run.
func (r *run) figures() Figures {
	var f Figures
	var calls []*call
	for _, k := range r.calls {
		if k.at >= warmUp {
			calls = append(calls, k)
		}
	}
	f.latencies(r.workload, calls)
	f.counts(calls)
	f.goodput(r.workload, calls)
	f.costs(r, calls)
	f.predictions(calls)
	f.fairness(calls, r.workload.Accounts)
	return f
}

func (f *Figures) latencies(w *Workload, calls []*call) {
	var short, long, between []float64
	urgent, patient := &w.Kinds[0], longestKind(w)
	for _, k := range calls {
		if k.kind == urgent {
			short = append(short, k.firstTokenWait())
		}
		if k.kind == patient {
			long = append(long, k.firstTokenWait())
		}
		if k.delivered > 1 {
			between = append(between, milliseconds(k.meanTokenGap()))
		}
	}
	f.ShortP50, f.ShortP95, f.ShortP99 = quantile(short, 0.50), quantile(short, 0.95), quantile(short, 0.99)
	f.LongP95 = quantile(long, 0.95)
	f.BetweenP95 = quantile(between, 0.95)
	f.ShortMet = shareOf(calls, func(k *call) bool { return k.kind == urgent }, (*call).met)
	f.LongMet = shareOf(calls, func(k *call) bool { return k.kind == patient }, (*call).met)
}

// longestKind returns the kind of request with the longest answers.
func longestKind(w *Workload) *Kind {
	found := &w.Kinds[0]
	for i := range w.Kinds {
		if w.Kinds[i].OutputTokens > found.OutputTokens {
			found = &w.Kinds[i]
		}
	}
	return found
}

// firstTokenWait returns the time to the first token in milliseconds. For a request without
// a first token it is the time until the caller gave up or the run ended.
func (k *call) firstTokenWait() float64 {
	switch {
	case k.delivered > 0:
		return milliseconds(k.firstTokenAt - k.at)
	case k.kind.Patience > 0:
		return milliseconds(k.kind.Patience)
	}
	return milliseconds(drainLimit - k.at)
}

func (f *Figures) counts(calls []*call) {
	n := float64(len(calls))
	all := func(*call) bool { return true }
	f.Met = shareOf(calls, all, (*call).met)
	f.Unfinished = shareOf(calls, all, func(k *call) bool { return k.delivered < k.outputTokens && k.refusals == 0 })
	f.Refused = shareOf(calls, all, func(k *call) bool { return k.refusals > 0 && k.attempts == 0 })
	retries, admitted, accepted := 0, 0, 0
	for _, k := range calls {
		f.Recomputed += float64(k.recomputed) * 1000 / n
		f.Resumed += float64(k.resumed) * 1000 / n
		f.AttemptsPerRequest += float64(k.attempts)
		accepted += 1 + k.retriesOverBudget
		retries += k.retries
		admitted += k.retriesAdmitted
	}
	f.AttemptsPerRequest /= float64(max(1, accepted))
	f.RetriesAdmitted = 1
	if retries > 0 {
		f.RetriesAdmitted = float64(admitted) / float64(retries)
	}
}

// goodput counts the requests that arrived during the fault and met their targets.
func (f *Figures) goodput(w *Workload, calls []*call) {
	p := engine.DefaultParameters()
	seconds := (faultEnd - faultAt).Seconds()
	for _, k := range calls {
		if k.at < faultAt || k.at >= faultEnd || !k.met() {
			continue
		}
		f.Goodput += 1 / seconds
		if !k.kind.Plain {
			f.WorkGoodput += k.kind.leastEngineTime(p) / seconds / float64(len(w.Runners))
		}
	}
}

func (f *Figures) costs(r *run, calls []*call) {
	used, fleet := 0.0, 0.0
	for _, u := range r.runners {
		f.LongestQueue = max(f.LongestQueue, float64(u.longestQueue))
		if u.Role == platform.RolePlain {
			continue
		}
		cents := centsPerHour(r.workload.Prices, u.Instance)
		used += cents * u.busyTime.Hours()
		fleet += cents * max(0, u.stoppedAt-max(u.startedAt, warmUp)).Hours()
	}
	met, asked := 0, 0
	for _, k := range calls {
		if k.kind.Plain {
			continue
		}
		asked++
		if k.met() {
			met++
		}
	}
	f.ModelMet = float64(met) / float64(max(1, asked))
	// If no request met its targets, one is counted, so that ratios stay finite.
	f.UsedCost = used * 1000 / float64(max(1, met))
	f.FleetCost = fleet * 1000 / float64(max(1, met))
}

func centsPerHour(prices []document.Price, i platform.Instance) float64 {
	for _, p := range prices {
		if p.FailureDomain == i.FailureDomain && p.Class == i.Class && p.Reclaimable == i.Reclaimable {
			return p.CentsPerHour
		}
	}
	return 0
}

func (f *Figures) predictions(calls []*call) {
	var bias, size []float64
	for _, k := range calls {
		if k.kind.Plain || k.actual == 0 || k.predicted <= 0 {
			continue
		}
		e := math.Log2(float64(k.actual) / float64(k.predicted))
		bias = append(bias, e)
		size = append(size, math.Abs(e))
	}
	f.ErrorBias, f.ErrorMedian = quantile(bias, 0.5), quantile(size, 0.5)
}

// fairness compares what each client account got with its fair share. The shares are a
// max-min fair division of the engine time of all answers that met their targets: no account
// gets more than it asked for, and the part that one account does not need is divided equally
// among the others.
func (f *Figures) fairness(calls []*call, usual []float64) {
	asked, got := make([]float64, len(usual)), make([]float64, len(usual))
	total := 0.0
	p := engine.DefaultParameters()
	for _, k := range calls {
		if k.kind.Plain {
			continue
		}
		work := k.kind.leastEngineTime(p)
		asked[k.account] += work
		if k.met() {
			got[k.account] += work
			total += work
		}
	}
	fair := fairShares(asked, total)
	f.LeastShareRatio = 1
	for a := range fair {
		f.LeastShareRatio = min(f.LeastShareRatio, got[a]/max(fair[a], math.SmallestNonzeroFloat64))
	}
	small := len(usual) - 2
	f.SmallShareRatio = got[small] / max(fair[small], math.SmallestNonzeroFloat64)
}

// fairShares divides the total max-min fairly: no account gets more than it asked for, and
// the others get equal shares of the rest.
func fairShares(asked []float64, total float64) []float64 {
	order := make([]int, len(asked))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(asked[a], asked[b]) })
	fair := make([]float64, len(asked))
	for i, a := range order {
		fair[a] = min(asked[a], total/float64(len(order)-i))
		total -= fair[a]
	}
	return fair
}

// shareOf returns which share of the calls in a group has a property.
func shareOf(calls []*call, in, has func(*call) bool) float64 {
	n, yes := 0, 0
	for _, k := range calls {
		if !in(k) {
			continue
		}
		n++
		if has(k) {
			yes++
		}
	}
	return float64(yes) / float64(max(1, n))
}

// quantile returns the value below which a fraction q of the values lies, or 0 without
// values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
